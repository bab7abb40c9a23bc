// Package untilsignal ends a program that only serves.
package untilsignal

import (
	"context"
	"errors"
	"syscall"

	"github.com/oklog/run"
)

// Wait returns at SIGTERM, SIGINT or the end of ctx, which may be nil.
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
