package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
)

// table is a heading with rows below, in aligned columns.
type table struct {
	lines []string
}

func newTable(heads ...string) *table {
	t := &table{}
	t.row(heads...)
	return t
}

func (t *table) row(cells ...string) { t.lines = append(t.lines, strings.Join(cells, "\t")) }

// write prints the table after a blank line; nothing if it has no rows.
func (t *table) write(w io.Writer) {
	const columnGap = 2
	if len(t.lines) == 1 {
		return
	}
	aligned := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(aligned)
	for _, line := range t.lines {
		fmt.Fprintln(aligned, line)
	}
	_ = aligned.Flush() // w holds the page in memory
}

// none stands in a cell for nothing.
const none = "-"

func orDash(text string) string {
	if text == "" {
		return none
	}
	return text
}

func versionText(v fleet.Version) string {
	if v.IsZero() {
		return none
	}
	return v.String()
}

func revisionText(r revision.Revision) string {
	if r == 0 {
		return none
	}
	return strconv.FormatUint(uint64(r), 10)
}

// shortDigest gives enough of a digest to compare two by eye.
func shortDigest(d fleet.Digest) string {
	const shown = 12
	if d.IsZero() {
		return none
	}
	return d.String()[:shown]
}

// bytesText gives a size in decimal units, as the settings take it.
func bytesText(n int64) string {
	const step = 1000
	units := []string{"B", "KB", "MB", "GB", "TB"}
	value, unit := float64(n), 0
	for value >= step && unit < len(units)-1 {
		value /= step
		unit++
	}
	if unit == 0 {
		return fmt.Sprintf("%dB", n)
	}
	return fmt.Sprintf("%.1f%s", value, units[unit])
}
