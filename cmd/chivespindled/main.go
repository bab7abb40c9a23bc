// Command chivespindled is the daemon. It runs either as an entry instance,
// which accepts requests from callers, or as the agent of one backend server.
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
