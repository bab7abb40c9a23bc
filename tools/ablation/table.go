package main

import (
	"fmt"
	"io"
	"math"
	"path/filepath"
	"slices"
	"strings"
)

// writeHead writes the head of the table and the row with everything on.
func writeHead(w io.Writer, o options, base map[play]result) {
	names := make([]string, len(o.sites))
	for i, site := range o.sites {
		names[i] = strings.TrimSuffix(filepath.Base(site), filepath.Ext(site))
	}
	fmt.Fprintf(w, "| off | %s |\n|---|%s\n", strings.Join(names, " | "), strings.Repeat("---|", len(names)))
	cells := make([]string, len(o.sites))
	for i, site := range o.sites {
		mean, _ := meanAndSpread(worths(o, site, base))
		cells[i] = fmt.Sprintf("%.3f", mean)
	}
	fmt.Fprintf(w, "| (nothing) | %s |\n", strings.Join(cells, " | "))
}

// writeRow writes by how much the days are worth less without a mechanism: the
// mean of the paired differences and their spread.
func writeRow(w io.Writer, o options, name string, base, results map[play]result) {
	cells := make([]string, len(o.sites))
	for i, site := range o.sites {
		with, without := worths(o, site, base), worths(o, site, results)
		lost := make([]float64, len(with))
		for k := range with {
			lost[k] = without[k] - with[k]
		}
		mean, spread := meanAndSpread(lost)
		cells[i] = fmt.Sprintf("%+.3f ± %.3f%s", mean, spread, brokenOn(o, site, results))
	}
	fmt.Fprintf(w, "| %s | %s |\n", name, strings.Join(cells, " | "))
}

func worths(o options, site string, results map[play]result) []float64 {
	var all []float64
	for _, p := range o.plays() {
		if p.site == site {
			all = append(all, results[p].worth)
		}
	}
	return all
}

func brokenOn(o options, site string, results map[play]result) string {
	var rules []string
	for _, p := range o.plays() {
		if p.site == site {
			rules = append(rules, results[p].broken...)
		}
	}
	if len(rules) == 0 {
		return ""
	}
	slices.Sort(rules)
	return " broke " + strings.Join(slices.Compact(rules), " ")
}

// meanAndSpread returns the mean and the standard deviation of the values.
func meanAndSpread(values []float64) (mean, spread float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		spread += (v - mean) * (v - mean) / float64(max(1, len(values)-1))
	}
	return mean, math.Sqrt(spread)
}
