// Command chivespindled is the daemon: an entry instance takes requests from
// callers, an agent stands beside one backend server.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "chivespindled:", err)
		os.Exit(exitCode(err))
	}
}
