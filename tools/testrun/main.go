// Command testrun runs the tests of packages and ignores the failures of the
// tests on the list of known red tests, but no other failures.
//
// Each listed test is skipped when its package is tested, and then run on its
// own, so that any other failure in the package still fails the run. The run
// also fails if a listed test does not exist or if the list is too long.
//
// The packages given by -alone are run after all others, one at a time, because the tests
// of others would disturb them.
//
// Usage: testrun [-known file] [-p n] [-race] [-alone package,...] package...
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
)

const (
	exitTestsFailed = 1
	exitError       = 2
)

func main() {
	knownFile := flag.String("known", "KNOWN-RED.txt", "file with the list of known red tests; it may be missing")
	parallel := flag.Int("p", 4, "number of packages built and tested in parallel")
	race := flag.Bool("race", false, "enable the race detector")
	alone := flag.String("alone", "", "comma-separated list of packages that are run after all others, one at a time")
	flag.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r := &runner{out: os.Stdout, parallel: *parallel, race: *race}
	green, err := r.runListed(ctx, *knownFile, flag.Args(), splitList(*alone))
	if err != nil {
		fmt.Fprintln(os.Stderr, "testrun:", err)
		os.Exit(exitError)
	}
	if !green {
		os.Exit(exitTestsFailed)
	}
}

// splitList splits a comma-separated list.
func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}
