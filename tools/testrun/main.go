// Command testrun runs the tests of packages and passes over the failures
// that the list of known red tests names, and over no others.
//
// Each listed test is left out of the run of its package and then run alone,
// so that its package fails for any other reason. A listed test that does not
// exist, or a list that is too long, fails the run.
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
	exitRed    = 1
	exitFailed = 2
)

func main() {
	knownFile := flag.String("known", "KNOWN-RED.txt", "list of known red tests; it may be missing")
	parallel := flag.Int("p", 4, "packages built and tested at once")
	race := flag.Bool("race", false, "look for data races")
	flag.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r := &runner{out: os.Stdout, parallel: *parallel, race: *race}
	green, err := r.runListed(ctx, *knownFile, flag.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, "testrun:", err)
		os.Exit(exitFailed)
	}
	if !green {
		os.Exit(exitRed)
	}
}
