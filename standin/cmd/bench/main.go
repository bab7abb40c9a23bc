// Command bench runs the measurements that the design notes refer to and prints
// one line of key=value pairs per case.
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

// gcPercent is high enough that garbage collection in this process does not
// become the bottleneck.
const gcPercent = 400

func main() {
	only := flag.String("only", "", "comma-separated measurements to run: requests, entry, config, live, burst; all if empty")
	sizes := flag.String("sizes", "16,32,64", "comma-separated fleet sizes of the burst measurement")
	policies := flag.String("policies", "time,origin", "comma-separated policies of the burst measurement")
	faults := flag.String("faults", "none,kill,corrupt,stall,partition,newversion", "comma-separated faults of the burst measurement at the last size")
	processes := flag.String("processes", "9,27,81", "comma-separated numbers of processes of the configuration measurement")
	bin := flag.String("bin", "bin", "directory of the built programs")
	logPath := flag.String("log", "", "write the processes' logs to this file")
	profilePath := flag.String("cpuprofile", "", "write a CPU profile to this file")
	flag.Parse()
	defer startProfile(*profilePath)()
	// All simulated processes of a fleet share the garbage collector of this
	// process; in production, each process has its own.
	debug.SetGCPercent(gcPercent)
	logger := zap.NewNop()
	if *logPath != "" {
		logger = fileLogger(*logPath)
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

// measurement is one part of the benchmark.
type measurement struct {
	name string
	run  func() error
}

// runRequests measures the results that callers receive under each fault, the
// baselines for comparison, the capacity, and the behaviour under overload.
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

// runEntry measures the overhead that the path through an entry and an agent
// adds to a request.
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

// runConfig measures the propagation of a configuration change at several fleet
// sizes.
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

// liveInstances is the fleet size for the measurement of live requests.
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

// runBursts measures each size without faults, except the last, which it
// measures with all the given faults.
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
	// The fleets need ten seconds to accept their first configuration. The
	// baselines run in the meantime: they take time on the simulated links, but
	// no CPU time.
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

// runBaselines measures, at each size, the baselines that the burst is compared
// with.
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
