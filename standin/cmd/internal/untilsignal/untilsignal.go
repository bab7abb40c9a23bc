// Package untilsignal makes a server program wait until it is told to stop by a
// signal.
package untilsignal

import (
	"context"
	"errors"
	"syscall"

	"github.com/oklog/run"
)

// Wait returns when the process receives SIGTERM or SIGINT, or when ctx is done.
// A nil ctx never ends.
func Wait(ctx context.Context) error {
	if ctx == nil {
		ctx = context.Background()
	}
	var group run.Group
	group.Add(run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT))
	err := group.Run()
	if errors.Is(err, run.ErrSignal) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
