package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"chivespindle.example/cmd/chivespindle/internal/requestlog"
)

// explainRequest prints what the logs contain about a request.
func (c *client) explainRequest(request, server string, files []string) error {
	collector := requestlog.NewCollector(request)
	collector.SetServer(server)
	if err := c.readLogs(files, collector.Add); err != nil {
		return err
	}
	return c.print(requestReport{collector.Report()})
}

// readLogs calls handle for each event in the files, or in the standard input
// if there are none.
func (c *client) readLogs(files []string, handle func(requestlog.Line)) error {
	if len(files) == 0 {
		files = []string{stdinName}
	}
	events := 0
	for _, name := range files {
		n, err := c.readLog(name, handle)
		if err != nil {
			return err
		}
		events += n
	}
	if events == 0 {
		return RefusedInput.New("no line of the logs is an event of a process")
	}
	return nil
}

// readLog calls handle for each event in one file and returns their number.
func (c *client) readLog(name string, handle func(requestlog.Line)) (int, error) {
	r := c.stdin
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return 0, RefusedInput.New("%s", err.Error())
		}
		defer func() { _ = file.Close() }() // opened for reading only
		r = file
	}
	events := 0
	_, err := requestlog.Read(r, func(line requestlog.Line) {
		events++
		handle(line)
	})
	if err != nil {
		return events, RefusedInput.Wrap(err, "%s", name)
	}
	return events, nil
}

type requestReport struct{ requestlog.Report }

const stepTime = "15:04:05.000"

func (r requestReport) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "request %s\n", r.Request)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, step := range r.Steps {
		mark := " "
		if step.Own {
			mark = ">"
		}
		_, _ = fmt.Fprintf(table, "%s %s\t%s\t%s\t%s\n", mark, step.At.UTC().Format(stepTime), step.Instance, step.Event, step.Details)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(w, "cause: %s\n", r.Cause)
}
