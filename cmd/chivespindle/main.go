// Command chivespindle is the client for operators and callers. It checks fleet
// configurations and settings offline, shows the state of the fleet, follows a
// rollout, and sends requests as a caller does. It does not change the fleet:
// operators do so by editing the configuration.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	c := &client{
		stdin:  os.Stdin,
		stdout: os.Stdout,
		stderr: os.Stderr,
		now:    time.Now,
		sleep:  sleep,
		build:  readBuildInfo(),
	}
	code := c.run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
