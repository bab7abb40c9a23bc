package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"chivespindle.example/cmd/chivespindle/internal/requestlog"
)

// explainLosses prints when, on which routes and why calls were not served as
// their routes want.
func (c *client) explainLosses(every time.Duration, files []string) error {
	account := requestlog.NewAccount(every)
	if err := c.readLogs(files, account.Take); err != nil {
		return err
	}
	report := lossReport{Windows: account.Windows(), Routes: account.Routes()}
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
		t.row(v.From.UTC().Format(stepTime), fmt.Sprint(v.Calls), shareText(v.OnTime, v.Calls), lossText(v.Losses))
	}
	t.write(w)
	fmt.Fprintln(w)
	t = newTable("ROUTE", "CALLS", "ON TIME", "OTHERS")
	for _, v := range r.Routes {
		t.row(v.Route, fmt.Sprint(v.Calls), shareText(v.OnTime, v.Calls), lossText(v.Losses))
	}
	t.write(w)
}

func shareText(part, whole int) string {
	return decimal(float64(part) / float64(max(1, whole)))
}

func lossText(losses []requestlog.Loss) string {
	parts := make([]string, len(losses))
	for i, l := range losses {
		parts[i] = fmt.Sprintf("%s %d", l.Result, l.Calls)
		if l.ExcessMS != 0 {
			parts[i] += fmt.Sprintf(" (%+d ms)", l.ExcessMS)
		}
	}
	if len(parts) == 0 {
		return none
	}
	return strings.Join(parts, ", ")
}
