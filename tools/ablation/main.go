// Command ablation plays days with one mechanism switched off after the other
// and prints what each is worth: the difference to the same days and seeds with
// everything on, by site, with its spread.
//
// The bench is a program of the users, named by a flag; it is started in a copy
// of the repository's last commit.
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
	flag.StringVar(&o.bench, "bench", "", "program that plays a day: BENCH run SITE DAY --seed N --report FILE")
	flag.StringVar(&sites, "sites", "", "site files, with commas between")
	flag.StringVar(&days, "days", "quiet-1,trouble-1,trouble-2", "days of each site")
	flag.StringVar(&seeds, "seeds", "0", "seeds of each day; 0 is the day's own")
	flag.StringVar(&only, "only", "", "mechanisms to switch off; all if empty")
	flag.IntVar(&o.jobs, "jobs", 4, "plays at a time")
	flag.Parse()
	o.sites, o.days, o.seeds, o.only = split(sites), split(days), split(seeds), split(only)
	if o.bench == "" || len(o.sites) == 0 {
		fmt.Fprintln(os.Stderr, "ablation: --bench and --sites are needed")
		os.Exit(2)
	}
	if err := run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "ablation:", err)
		os.Exit(1)
	}
}

func split(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}
