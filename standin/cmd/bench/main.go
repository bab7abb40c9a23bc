// Command bench runs the measurements of the design notes and prints one line
// of key=value pairs a case.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/standin/bench/burst"
	"chivespindle.example/standin/bench/entryload"
	"chivespindle.example/standin/bench/relay"
	"chivespindle.example/standin/bench/requests"
)

// gcPercent keeps the collector of this process from becoming the bottleneck.
const gcPercent = 400

func main() {
	only := flag.String("only", "", "comma-separated measurements to run: requests, entry, config, live, burst; all if empty")
	sizes := flag.String("sizes", "16,32,64", "fleet sizes of the burst")
	policies := flag.String("policies", "time,origin", "policies of the burst")
	faults := flag.String("faults", "none,kill,corrupt,stall,partition,newversion", "faults of the burst at the largest size")
	processes := flag.String("processes", "9,27,81", "numbers of processes of the configuration measurement")
	bin := flag.String("bin", "bin", "folder of the built programs")
	verbose := flag.String("log", "", "write the processes' logs to this file")
	profile := flag.String("cpuprofile", "", "write a processor profile to this file")
	flag.Parse()
	defer startProfile(*profile)()
	// All processes of a fleet share this one's collector; each would have its
	// own.
	debug.SetGCPercent(gcPercent)
	logger := zap.NewNop()
	if *verbose != "" {
		logger = fileLogger(*verbose)
	}
	measurements := []measurement{
		{"requests", func() error { return runRequests(*bin) }},
		{"entry", func() error { return runEntry(*bin) }},
		{"config", func() error { return runConfig(split(*processes), logger) }},
		{"live", func() error { return runLive(logger) }},
		{"burst", func() error { return runBursts(split(*sizes), split(*policies), split(*faults), logger) }},
	}
	for _, m := range measurements {
		if *only != "" && !slices.Contains(split(*only), m.name) {
			continue
		}
		if err := m.run(); err != nil {
			fail(err)
		}
	}
}

// measurement is one part of the bench.
type measurement struct {
	name string
	run  func() error
}

// runRequests measures what callers see under each fault, beside baselines.
func runRequests(bin string) error {
	f, err := requests.NewFleet(requests.DaemonPath(bin))
	if err != nil {
		return err
	}
	defer f.Close()
	for _, fault := range requests.Faults() {
		r, err := f.Run(fault)
		fmt.Println(r)
		if err != nil {
			return err
		}
	}
	for _, fault := range []requests.Fault{requests.FaultNone, requests.FaultSlow} {
		for name := range requests.Baselines() {
			r, err := f.RunBaseline(name, fault)
			fmt.Println(r)
			if err != nil {
				return err
			}
		}
	}
	capacity, err := f.MeasureCapacity()
	if err != nil {
		return err
	}
	fmt.Println(f.RunOverload(capacity))
	return nil
}

// runEntry measures what the path through entry and agent adds to a request.
func runEntry(bin string) error {
	f, err := entryload.New(requests.DaemonPath(bin))
	if err != nil {
		return err
	}
	defer f.Close()
	r, err := f.Run()
	fmt.Println(r)
	return err
}

// runConfig measures the way of a change at several sizes.
func runConfig(sizes []string, logger *zap.Logger) error {
	for _, text := range sizes {
		n, err := strconv.Atoi(text)
		if err != nil {
			return failure.Invalid.Wrap(err, "size %q", text)
		}
		r, err := relay.Measure(n, logger)
		fmt.Println(r)
		if err != nil {
			return err
		}
	}
	return nil
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "bench:", err)
	os.Exit(1)
}

func split(list string) []string { return strings.Split(list, ",") }

// liveInstances is the fleet size of the measurement of live requests.
const liveInstances = 18

// runLive measures live requests without a burst and during one.
func runLive(logger *zap.Logger) error {
	f, err := burst.NewFleet(liveInstances, logger)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.WaitReady(); err != nil {
		return err
	}
	r, err := f.RunLive()
	fmt.Println(r)
	return err
}

// runBursts measures each size without faults and the last with all of them.
func runBursts(sizes, policies, faults []string, logger *zap.Logger) error {
	var fleets []*burst.Fleet
	defer func() {
		for _, f := range fleets {
			f.Close()
		}
	}()
	for _, text := range sizes {
		n, err := strconv.Atoi(text)
		if err != nil {
			return failure.Invalid.Wrap(err, "size %q", text)
		}
		f, err := burst.NewFleet(n, logger)
		if err != nil {
			return err
		}
		fleets = append(fleets, f)
	}
	// The fleets take ten seconds to believe their first text; the baselines
	// need the links' time and no processor.
	if err := runBaselines(sizes); err != nil {
		return err
	}
	for i, f := range fleets {
		if err := f.WaitReady(); err != nil {
			return err
		}
		cases := []string{string(burst.FaultNone)}
		if i == len(fleets)-1 {
			cases = faults
		}
		if err := runCases(f, policies, cases); err != nil {
			return err
		}
	}
	return nil
}

// runBaselines measures what the burst is compared with at each size.
func runBaselines(sizes []string) error {
	for _, text := range sizes {
		n, err := strconv.Atoi(text)
		if err != nil {
			return failure.Invalid.Wrap(err, "size %q", text)
		}
		fmt.Println(burst.Direct(n))
		fmt.Println(burst.Chain(n, burst.FaultNone))
		fmt.Println(burst.Chain(n, burst.FaultKill))
	}
	return nil
}

func runCases(f *burst.Fleet, policies, faults []string) error {
	for _, fault := range faults {
		for _, policy := range policies {
			r, err := f.Run(burst.Case{Policy: policy, Fault: burst.Fault(fault)})
			fmt.Println(r)
			if err != nil {
				return err
			}
		}
	}
	return nil
}
