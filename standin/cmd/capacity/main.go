// Command capacity measures what a process of the system costs at several
// sizes and prints what that makes at the target, in lines of key=value pairs.
// docs/CAPACITY.md tells what they mean. It takes about a minute and a half,
// some 90 processes and 4 GB of memory.
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
	daemon := flag.String("daemon", "", "path of chivespindled; built anew if empty")
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
			return failure.Unavailable.Wrap(err, "folder of the program")
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

// build makes the program, so that a stale one is never measured.
func build(dir string) (string, error) {
	cmd := exec.Command("go", "build", "-trimpath", "-o", dir+string(filepath.Separator), "./cmd/chivespindled")
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		return "", failure.Unavailable.Wrap(err, "build chivespindled from the root of the repository")
	}
	return requests.DaemonPath(dir), nil
}

// measure runs all measurements. The zones need no other process and count no
// processor time, and the fleet for the path of requests takes a while to
// start, so both go on beside the programs; the parts that count this process's
// own processor time run alone at the end.
func measure(daemon string) error {
	var beside errgroup.Group
	var zones []slopes.Slope
	beside.Go(func() (err error) {
		zones, err = slopes.ZoneGossip([]int{50, 150, slopes.ZoneProcesses})
		return err
	})
	var path errgroup.Group
	var requestFleet *entryload.Fleet
	path.Go(func() (err error) {
		requestFleet, err = entryload.New(daemon)
		return err
	})
	// Whatever fails, no program is left running.
	closePath := sync.OnceFunc(func() {
		if path.Wait() == nil {
			requestFleet.Close()
		}
	})
	defer closePath()
	if err := show(slopes.Programs(daemon)); err != nil {
		return err
	}
	if err := path.Wait(); err != nil {
		return err
	}
	if err := showPath(requestFleet); err != nil {
		return err
	}
	closePath()
	if err := beside.Wait(); err != nil {
		return err
	}
	return showParts(zones)
}

// showPath measures the path of requests.
func showPath(f *entryload.Fleet) error {
	r, err := f.Run()
	if err != nil {
		return err
	}
	fmt.Println(r)
	return show(f.Streams())
}

// showParts measures the parts, and prints them after what was found before.
func showParts(all []slopes.Slope) error {
	for _, part := range slopes.Parts() {
		found, err := part()
		if err != nil {
			return err
		}
		all = append(all, found...)
	}
	if err := show(all, nil); err != nil {
		return err
	}
	return figures(all)
}

// show prints slopes unless their measurement failed.
func show(found []slopes.Slope, err error) error {
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

// figures prints what follows from the slopes by arithmetic.
func figures(all []slopes.Slope) error {
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
