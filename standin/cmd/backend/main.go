// Command backend runs the stand-in of a model engine or of a plain service
// on a loopback address, for demos and benchmarks.
package main

import "os"

func main() {
	if err := newCommand(os.Stdout).Execute(); err != nil {
		os.Exit(1)
	}
}
