package main

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// buildInfo describes what the program was built from.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"source_revision,omitempty"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

// readBuildInfo returns the build information that the Go toolchain embedded in
// the program.
func readBuildInfo() buildInfo {
	b := buildInfo{Version: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version = info.Main.Version
	b.Go = info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

func (c *client) newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Say what this program was built from",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return c.print(c.build) },
	}
}

func (b buildInfo) writeText(w io.Writer) {
	fmt.Fprintf(w, "chivespindle %s", b.Version)
	if b.Revision != "" {
		fmt.Fprintf(w, ", source %s", b.Revision)
	}
	if b.Modified {
		fmt.Fprint(w, " with changes")
	}
	fmt.Fprintf(w, ", %s\n", b.Go)
}
