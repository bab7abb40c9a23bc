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

// table is a header with rows in aligned columns.
type table struct {
	lines []string
}

func newTable(columns ...string) *table {
	t := &table{}
	t.addRow(columns...)
	return t
}

func (t *table) addRow(cells ...string) { t.lines = append(t.lines, strings.Join(cells, "\t")) }

// write prints the table after a blank line, and nothing if it has no rows.
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
	_ = aligned.Flush() // w is an in-memory buffer
}

// emptyCell is printed for a cell without a value.
const emptyCell = "-"

func orDash(text string) string {
	if text == "" {
		return emptyCell
	}
	return text
}

func formatVersion(v fleet.Version) string {
	if v.IsZero() {
		return emptyCell
	}
	return v.String()
}

func formatRevision(r revision.Revision) string {
	if r == 0 {
		return emptyCell
	}
	return strconv.FormatUint(uint64(r), 10)
}

// shortDigest returns a prefix of a digest, long enough to compare two by eye.
func shortDigest(d fleet.Digest) string {
	const shown = 12
	if d.IsZero() {
		return emptyCell
	}
	return d.String()[:shown]
}

// formatBytes formats a size in decimal units, as the settings accept them.
func formatBytes(n int64) string {
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
