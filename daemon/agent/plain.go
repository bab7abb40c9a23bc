package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/serving"
	"chivespindle.example/daemon/control"
)

// plainStatusInterval is the time between two reads of a plain service's status.
const plainStatusInterval = 500 * time.Millisecond

// pollPlain reads a plain service's status. The service is open while it responds.
func (a *Agent) pollPlain(now time.Time) {
	if a.readingStatus || now.Before(a.nextPlainRead) {
		return
	}
	a.readingStatus = true
	a.nextPlainRead = now.Add(plainStatusInterval)
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, statusTimeout)
		defer cancel()
		load, err := a.opts.Plain.Status(ctx)
		a.opts.Loop.Post(a.ctx, control.Func(func(at time.Time) { a.handlePlainStatus(at, load, err) }))
	}()
}

func (a *Agent) handlePlainStatus(now time.Time, load serving.Load, err error) {
	a.readingStatus = false
	open := err == nil
	if open != a.plainOpen {
		a.opts.Logger.Info("plain_service", zap.Bool("open", open), zap.Error(err))
	}
	a.plainOpen = open
	a.load = load
	a.publish(now)
}
