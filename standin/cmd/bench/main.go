// Command bench runs the measurements of the design notes and prints one line
// of key=value pairs a case.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/standin/bench/burst"
)

// gcPercent keeps the collector of this process from becoming the bottleneck.
const gcPercent = 400

func main() {
	only := flag.String("only", "", "run only this measurement")
	sizes := flag.String("sizes", "16,32,64", "fleet sizes of the burst")
	policies := flag.String("policies", "time,origin", "policies of the burst")
	faults := flag.String("faults", "none,kill,corrupt,stall,partition,newversion", "faults of the burst at the largest size")
	verbose := flag.String("log", "", "write the processes' logs to this file")
	profile := flag.String("cpuprofile", "", "write a processor profile to this file")
	flag.Parse()
	defer startProfile(*profile)()
	// All processes of a fleet share this one's collector; each would have its
	// own.
	debug.SetGCPercent(gcPercent)
	if *only != "" && *only != "burst" {
		fail(failure.Invalid.New("no measurement %q", *only))
	}
	logger := zap.NewNop()
	if *verbose != "" {
		logger = fileLogger(*verbose)
	}
	if err := runBursts(split(*sizes), split(*policies), split(*faults), logger); err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "bench:", err)
	os.Exit(1)
}

func split(list string) []string { return strings.Split(list, ",") }

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
