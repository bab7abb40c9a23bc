package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"chivespindle.example/cmd/chivespindle/internal/requestlog"
)

// explainLosses prints, by time and by route, how many calls were not served as
// their routes require, and why.
func (c *client) explainLosses(window time.Duration, files []string) error {
	counter := requestlog.NewResultCounter(window)
	if err := c.readLogs(files, counter.Add); err != nil {
		return err
	}
	report := lossReport{Windows: counter.Windows(), Routes: counter.Routes()}
	if len(report.Windows) == 0 {
		return RefusedInput.New("no line of the logs accounts for calls; give those of entries")
	}
	return c.print(report)
}

type lossReport struct {
	Windows []requestlog.Window      `json:"windows"`
	Routes  []requestlog.RouteLosses `json:"routes"`
}

func (r lossReport) writeText(w io.Writer) {
	t := newTable("FROM", "CALLS", "ON TIME", "OTHERS, WITH WHAT THEIR FIRST EVENTS CAME LATER THAN PREDICTED")
	for _, v := range r.Windows {
		t.addRow(v.From.UTC().Format(stepTime), fmt.Sprint(v.Calls), formatShare(v.OnTime, v.Calls), formatLosses(v.Losses))
	}
	t.write(w)
	fmt.Fprintln(w)
	t = newTable("ROUTE", "CALLS", "ON TIME", "OTHERS")
	for _, v := range r.Routes {
		t.addRow(v.Route, fmt.Sprint(v.Calls), formatShare(v.OnTime, v.Calls), formatLosses(v.Losses))
	}
	t.write(w)
}

func formatShare(part, whole int) string {
	return formatDecimal(float64(part) / float64(max(1, whole)))
}

func formatLosses(losses []requestlog.Loss) string {
	parts := make([]string, len(losses))
	for i, l := range losses {
		parts[i] = fmt.Sprintf("%s %d", l.Result, l.Calls)
		if l.ExcessMS != 0 {
			parts[i] += fmt.Sprintf(" (%+d ms)", l.ExcessMS)
		}
	}
	if len(parts) == 0 {
		return emptyCell
	}
	return strings.Join(parts, ", ")
}
