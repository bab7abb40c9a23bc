// Command capacity measures what a process of the system costs at several
// sizes and prints what that makes at the target, in lines of key=value pairs.
// docs/CAPACITY.md tells what they mean. It takes about a minute and a half,
// some 130 processes and 5 GB of memory.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"time"

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
// processor time, so they run beside the programs; the parts that do count it
// run alone at the end.
func measure(daemon string) error {
	zones := make(chan error, 1)
	go func() { zones <- show(slopes.ZoneGossip([]int{50, 150, slopes.ZoneProcesses})) }()
	if err := show(slopes.Programs(daemon)); err != nil {
		return err
	}
	if err := path(daemon); err != nil {
		return err
	}
	if err := <-zones; err != nil {
		return err
	}
	var all []slopes.Slope
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

// path measures the path of requests.
func path(daemon string) error {
	f, err := entryload.New(daemon)
	if err != nil {
		return err
	}
	defer f.Close()
	r, err := f.Run()
	if err != nil {
		return err
	}
	fmt.Println(r)
	return show(f.Streams())
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
