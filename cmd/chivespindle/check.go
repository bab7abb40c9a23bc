package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"

	"github.com/spf13/cobra"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
)

// stdinName is the file name that stands for the standard input.
const stdinName = "-"

// checkReport lists the result for each file.
type checkReport struct {
	Files []checkedFile `json:"files"`
}

// checkedFile is the result of checking one file.
type checkedFile struct {
	File     string         `json:"file"`
	Accepted bool           `json:"accepted"`
	Config   *configSummary `json:"text,omitempty"` // of a valid configuration
	Faults   []fault        `json:"faults,omitempty"`
	Omitted  int            `json:"omitted,omitempty"` // number of faults not listed
}

// fault is why a file is rejected. Line is 0 if it concerns the whole file.
type fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Reason string `json:"reason"`
}

// String returns "file:line: reason".
func (f fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.File, f.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason)
}

// configSummary describes a valid configuration.
type configSummary struct {
	Fleet      string       `json:"fleet"`
	Digest     fleet.Digest `json:"digest"`
	Services   int          `json:"services"`
	Workspaces int          `json:"workspaces"`
}

func (c *client) newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check operators' texts offline",
		Long: `Check operators' texts offline, with the code that every process checks a text
with before it accepts it. Each fault is printed as file:line: reason. FILE may
be - for the standard input.`,
		Example: "  chivespindle check fleet.ini",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			r := &checkReport{}
			for _, file := range files {
				_, checked := c.loadConfig(file)
				r.Files = append(r.Files, checked)
			}
			return c.printCheckReport(r)
		},
	}
}

// printCheckReport prints the report and returns an error if a file is
// rejected.
func (c *client) printCheckReport(r *checkReport) error {
	if err := c.print(r); err != nil {
		return err
	}
	return r.err()
}

func (r *checkReport) err() error {
	refused := 0
	for _, f := range r.Files {
		if !f.Accepted {
			refused++
		}
	}
	if refused == 0 {
		return nil
	}
	return RefusedInput.New("%d of %d files refused", refused, len(r.Files))
}

func (r *checkReport) writeText(w io.Writer) {
	for _, f := range r.Files {
		f.writeText(w)
	}
}

func (f checkedFile) writeText(w io.Writer) {
	for _, fault := range f.Faults {
		fmt.Fprintln(w, fault)
	}
	if f.Omitted > 0 {
		fmt.Fprintf(w, "%s: and %d more\n", f.File, f.Omitted)
	}
	switch {
	case f.Config != nil:
		fmt.Fprintf(w, "%s: good: fleet %s, %d services, %d workspaces, digest %s\n",
			f.File, f.Config.Fleet, f.Config.Services, f.Config.Workspaces, f.Config.Digest)
	case f.Accepted:
		fmt.Fprintf(w, "%s: good\n", f.File)
	}
}

// loadConfig reads and checks one configuration. The Fleet is nil if it is
// rejected.
func (c *client) loadConfig(file string) (*fleettext.Fleet, checkedFile) {
	checked := checkedFile{File: file}
	text, err := c.readFile(file, fleettext.MaxBytes)
	if err != nil {
		checked.Faults = []fault{{File: file, Reason: "cannot be read: " + readErrorReason(err)}}
		return nil, checked
	}
	loaded, err := fleettext.Load(file, text)
	if err != nil {
		checked.Faults, checked.Omitted = configFaults(file, err)
		return nil, checked
	}
	checked.Accepted = true
	checked.Config = &configSummary{
		Fleet:      loaded.Name(),
		Digest:     loaded.Digest(),
		Services:   len(loaded.ServiceNames()),
		Workspaces: len(loaded.Workspaces()),
	}
	return loaded, checked
}

func configFaults(file string, err error) ([]fault, int) {
	check := fleettext.AsCheckError(err)
	if check == nil {
		return []fault{{File: file, Reason: err.Error()}}, 0
	}
	faults := make([]fault, len(check.Faults))
	for i, f := range check.Faults {
		faults[i] = fault(f)
	}
	return faults, check.Omitted
}

// readFile reads a file, or the standard input, up to one byte over limit. This
// is enough for the caller to detect a file that is too large, and a wrong path
// cannot use up the memory.
func (c *client) readFile(name string, limit int64) ([]byte, error) {
	if name == stdinName {
		return readAtMost(c.stdin, limit)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, failure.Unavailable.Wrap(err, "cannot read a file")
	}
	defer func() { _ = file.Close() }()
	return readAtMost(file, limit)
}

func readAtMost(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, failure.Unavailable.Wrap(err, "cannot read a file")
	}
	return data, nil
}

// readErrorReason returns why a file cannot be read, without the file's name.
func readErrorReason(err error) string {
	cause := causeOf(err)
	var pathError *fs.PathError
	if errors.As(cause, &pathError) {
		return pathError.Err.Error()
	}
	return cause.Error()
}
