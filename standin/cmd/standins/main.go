// Command standins runs the stand-ins of the platform on loopback addresses:
// the configuration service, the instance list, the origin of weights and the
// weight store. An admin interface on a separate port changes their contents and
// injects faults. docs/PLATFORM.md describes the stand-ins and the interface.
package main

import (
	"context"
	"fmt"
	"os"
)

func main() {
	if err := newCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintf(os.Stderr, "standins: %v\n", err)
		os.Exit(1)
	}
}
