package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
)

// diffReport lists what changes from one configuration to another.
type diffReport struct {
	Old     fleet.Digest `json:"old_digest"`
	New     fleet.Digest `json:"new_digest"`
	Changes []change     `json:"changes"`
}

// change is the JSON form of a fleettext.Change.
type change struct {
	Section string               `json:"section"`
	Kind    fleettext.ChangeKind `json:"kind"`
	Key     string               `json:"key,omitempty"`
	From    string               `json:"from,omitempty"`
	To      string               `json:"to,omitempty"`
}

func (c *client) newDiffCommand() *cobra.Command {
	const files = 2
	return &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Show what a text would change",
		Long: `Show what takes effect if the text NEW replaces OLD: defaults are filled in, and
comments and order are ignored. One of the two may be - for the standard input.
The exit code is 0 with and without a difference.`,
		Example: "  chivespindle diff fleet.ini fleet-new.ini",
		Args:    cobra.ExactArgs(files),
		RunE:    func(_ *cobra.Command, args []string) error { return c.diff(args[0], args[1]) },
	}
}

func (c *client) diff(oldFile, newFile string) error {
	if oldFile == stdinName && newFile == stdinName {
		return Usage.New("only one of OLD and NEW can be the standard input")
	}
	before, oldChecked := c.loadConfig(oldFile)
	after, newChecked := c.loadConfig(newFile)
	if before == nil || after == nil {
		return c.printCheckReport(&checkReport{Files: []checkedFile{oldChecked, newChecked}})
	}
	r := &diffReport{Old: before.Digest(), New: after.Digest(), Changes: []change{}}
	for _, d := range fleettext.Diff(before, after) {
		r.Changes = append(r.Changes, change(d))
	}
	return c.print(r)
}

func (r *diffReport) writeText(w io.Writer) {
	for _, d := range r.Changes {
		fmt.Fprintln(w, fleettext.Change(d))
	}
	if len(r.Changes) == 0 {
		fmt.Fprintln(w, "no difference in force")
	}
}
