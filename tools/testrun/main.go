// Command testrun runs the tests of packages and ignores the failures of the
// tests on the list of known red tests, but no other failures.
//
// Each listed test is skipped when its package is tested, and then run on its
// own, so that any other failure in the package still fails the run. The run
// also fails if a listed test does not exist or if the list is too long.
//
// Usage: testrun [-known file] [-p n] [-race] package...
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
)

const (
	exitTestsFailed = 1
	exitError       = 2
)

func main() {
	knownFile := flag.String("known", "KNOWN-RED.txt", "file with the list of known red tests; it may be missing")
	parallel := flag.Int("p", 4, "number of packages built and tested in parallel")
	race := flag.Bool("race", false, "enable the race detector")
	flag.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r := &runner{out: os.Stdout, parallel: *parallel, race: *race}
	green, err := r.runListed(ctx, *knownFile, flag.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, "testrun:", err)
		os.Exit(exitError)
	}
	if !green {
		os.Exit(exitTestsFailed)
	}
}
