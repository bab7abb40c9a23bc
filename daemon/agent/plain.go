package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/serving"
	"chivespindle.example/daemon/control"
)

// plainEvery is the time between two reads of a plain service's status.
const plainEvery = 500 * time.Millisecond

// pollPlain reads a plain service's status. The service is open while it
// answers.
func (a *Agent) pollPlain(now time.Time) {
	if a.reading || now.Before(a.nextPlain) {
		return
	}
	a.reading = true
	a.nextPlain = now.Add(plainEvery)
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, statusTimeout)
		defer cancel()
		load, err := a.opts.Plain.Status(ctx)
		a.opts.Loop.Post(a.ctx, control.Func(func(at time.Time) { a.plainRead(at, load, err) }))
	}()
}

func (a *Agent) plainRead(now time.Time, load serving.Load, err error) {
	a.reading = false
	open := err == nil
	if open != a.plainOpen {
		a.opts.Logger.Info("plain_service", zap.Bool("open", open), zap.Error(err))
	}
	a.plainOpen = open
	a.load = load
	a.publish(now)
}
