// Command capacity measures the resource usage of the system's processes at
// several sizes and prints the usage that follows for the target size, in lines
// of key=value pairs, which docs/CAPACITY.md explains. It takes about 90 seconds
// and needs about 90 processes and 4 GB of memory.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"chivespindle.example/core/failure"
	"chivespindle.example/standin/bench/entryload"
	"chivespindle.example/standin/bench/requests"
	"chivespindle.example/standin/bench/slopes"
	"chivespindle.example/standin/bench/slopes/usage"
)

func main() {
	daemon := flag.String("daemon", "", "path of chivespindled; built from source if empty")
	flag.Parse()
	if err := run(*daemon); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(daemon string) error {
	started := time.Now()
	fmt.Printf("capacity=machine cores=%d load=%.1f\n", runtime.NumCPU(), usage.Load())
	if daemon == "" {
		dir, err := os.MkdirTemp("", "chivespindle-bin-")
		if err != nil {
			return failure.Unavailable.Wrap(err, "create a directory for the program")
		}
		defer func() { _ = os.RemoveAll(dir) }()
		if daemon, err = build(dir); err != nil {
			return err
		}
	}
	if err := measure(daemon); err != nil {
		return err
	}
	fmt.Printf("capacity=machine seconds=%.0f load=%.1f\n", time.Since(started).Seconds(), usage.Load())
	return nil
}

// build builds the program, so that an outdated binary is never measured.
func build(dir string) (string, error) {
	cmd := exec.Command("go", "build", "-trimpath", "-o", dir+string(filepath.Separator), "./cmd/chivespindled")
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		return "", failure.Unavailable.Wrap(err, "build chivespindled from the root of the repository")
	}
	return requests.DaemonPath(dir), nil
}

// measure runs all measurements. The zone measurement needs no other process and
// does not measure CPU time, and the fleet for the request path takes a while to
// start, so both run concurrently with the measurement of the programs. The
// parts that measure the CPU time of this process run alone at the end.
func measure(daemon string) error {
	var zoneGroup errgroup.Group
	var zones []slopes.Slope
	zoneGroup.Go(func() (err error) {
		zones, err = slopes.ZoneGossip([]int{50, 150, slopes.ZoneProcesses})
		return err
	})
	var fleetGroup errgroup.Group
	var requestFleet *entryload.Fleet
	fleetGroup.Go(func() (err error) {
		requestFleet, err = entryload.New(daemon)
		return err
	})
	// Stops all programs of the fleet even if a measurement fails.
	closeFleet := sync.OnceFunc(func() {
		if fleetGroup.Wait() == nil {
			requestFleet.Close()
		}
	})
	defer closeFleet()
	if err := printSlopes(slopes.Programs(daemon)); err != nil {
		return err
	}
	if err := fleetGroup.Wait(); err != nil {
		return err
	}
	if err := measureRequestPath(requestFleet); err != nil {
		return err
	}
	closeFleet()
	if err := zoneGroup.Wait(); err != nil {
		return err
	}
	return measureParts(zones)
}

// measureRequestPath measures the request path and prints the results.
func measureRequestPath(f *entryload.Fleet) error {
	r, err := f.Run()
	if err != nil {
		return err
	}
	fmt.Println(r)
	return printSlopes(f.Streams())
}

// measureParts measures the parts and prints all slopes: first the given ones,
// then those of the parts.
func measureParts(all []slopes.Slope) error {
	for _, part := range slopes.Parts() {
		found, err := part()
		if err != nil {
			return err
		}
		all = append(all, found...)
	}
	if err := printSlopes(all, nil); err != nil {
		return err
	}
	return printFigures(all)
}

// printSlopes prints slopes, or returns err if it is not nil.
func printSlopes(found []slopes.Slope, err error) error {
	if err != nil {
		return err
	}
	for _, s := range found {
		lines, err := s.Lines()
		if err != nil {
			return err
		}
		for _, line := range lines {
			fmt.Println(line)
		}
	}
	return nil
}

// printFigures prints the figures that are calculated from the slopes.
func printFigures(all []slopes.Slope) error {
	for _, s := range all {
		if s.Name != slopes.ListBody {
			continue
		}
		body, _, err := s.AtTarget()
		if err != nil {
			return err
		}
		for _, f := range slopes.PlatformFigures(body) {
			fmt.Println(f)
		}
	}
	return nil
}
