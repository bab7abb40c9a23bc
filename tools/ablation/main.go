// Command ablation measures the contribution of each mechanism. It simulates
// days with one mechanism at a time switched off and prints, for each site, the
// mean and the standard deviation of the score's difference from the same days
// and seeds with all mechanisms on.
//
// The benchmark program is supplied by the users and named by a flag. It runs in
// a clone of the repository's last commit.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
)

func main() {
	var o options
	var sites, days, seeds, only string
	flag.StringVar(&o.bench, "bench", "", "program that simulates a day: BENCH run SITE DAY --seed N --report FILE")
	flag.StringVar(&sites, "sites", "", "site files, separated by commas")
	flag.StringVar(&days, "days", "quiet-1,trouble-1,trouble-2", "days to simulate on each site, separated by commas")
	flag.StringVar(&seeds, "seeds", "0", "seeds of each day, separated by commas; 0 is the day's own seed")
	flag.StringVar(&only, "only", "", "mechanisms to switch off, separated by commas; all if empty")
	flag.IntVar(&o.jobs, "jobs", 4, "number of simulations that run in parallel")
	flag.Parse()
	o.sites, o.days, o.seeds, o.only = splitList(sites), splitList(days), splitList(seeds), splitList(only)
	if o.bench == "" || len(o.sites) == 0 {
		fmt.Fprintln(os.Stderr, "ablation: --bench and --sites are required")
		os.Exit(2)
	}
	if err := run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "ablation:", err)
		os.Exit(1)
	}
}

func splitList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}
