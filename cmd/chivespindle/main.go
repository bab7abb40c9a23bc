// Command chivespindle is the client for operators and callers. It checks
// texts and settings offline, shows what the fleet does, follows a rollout,
// and sends requests as a caller does. It only reads: operators drive the
// system by editing the text.
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
		pause:  pause,
		build:  readBuild(),
	}
	code := c.run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// pause waits, and reports whether ctx lets the caller go on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
