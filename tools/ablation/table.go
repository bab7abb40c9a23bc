package main

import (
	"fmt"
	"io"
	"math"
	"path/filepath"
	"slices"
	"strings"
)

// writeHeader writes the header of the table and the row for the runs with all
// mechanisms on.
func writeHeader(w io.Writer, o options, base map[benchRun]result) {
	names := make([]string, len(o.sites))
	for i, site := range o.sites {
		names[i] = strings.TrimSuffix(filepath.Base(site), filepath.Ext(site))
	}
	fmt.Fprintf(w, "| off | %s |\n|---|%s\n", strings.Join(names, " | "), strings.Repeat("---|", len(names)))
	cells := make([]string, len(o.sites))
	for i, site := range o.sites {
		mean, _ := meanAndStdDev(scores(o, site, base))
		cells[i] = fmt.Sprintf("%.3f", mean)
	}
	fmt.Fprintf(w, "| (nothing) | %s |\n", strings.Join(cells, " | "))
}

// writeRow writes the row for the runs without one mechanism: the mean and the
// standard deviation of the paired differences of the scores (without the
// mechanism minus with it), and the rules that were violated without it.
func writeRow(w io.Writer, o options, name string, base, results map[benchRun]result) {
	cells := make([]string, len(o.sites))
	for i, site := range o.sites {
		with, without := scores(o, site, base), scores(o, site, results)
		differences := make([]float64, len(with))
		for k := range with {
			differences[k] = without[k] - with[k]
		}
		mean, stdDev := meanAndStdDev(differences)
		cells[i] = fmt.Sprintf("%+.3f ± %.3f%s", mean, stdDev, violationsOn(o, site, results))
	}
	fmt.Fprintf(w, "| %s | %s |\n", name, strings.Join(cells, " | "))
}

// scores returns the scores of a site's runs, in the order of benchRuns.
func scores(o options, site string, results map[benchRun]result) []float64 {
	var all []float64
	for _, r := range o.benchRuns() {
		if r.site == site {
			all = append(all, results[r].score)
		}
	}
	return all
}

// violationsOn returns the text that lists the rules violated on a site, or an
// empty string.
func violationsOn(o options, site string, results map[benchRun]result) string {
	var rules []string
	for _, r := range o.benchRuns() {
		if r.site == site {
			rules = append(rules, results[r].violations...)
		}
	}
	if len(rules) == 0 {
		return ""
	}
	slices.Sort(rules)
	return " broke " + strings.Join(slices.Compact(rules), " ")
}

// meanAndStdDev returns the mean and the standard deviation of the values.
func meanAndStdDev(values []float64) (mean, stdDev float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		stdDev += (v - mean) * (v - mean) / float64(max(1, len(values)-1))
	}
	return mean, math.Sqrt(stdDev)
}
