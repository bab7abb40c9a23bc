// Package control runs the single goroutine that owns a process's control state.
//
// Everything that may change the state is a typed event with an Apply method.
// Events are applied one at a time, so state needs no locks; goroutines that
// transfer data only post events and read published snapshots.
package control

import (
	"context"
	"time"

	"chivespindle.example/core/failure"
)

// queueLength bounds the queued events. A full queue blocks Post, which slows down
// the goroutine that produces events but never the loop.
const queueLength = 1024

// Event is a change to apply to the control state. Apply runs on the loop's
// goroutine and must not block on I/O.
type Event interface {
	Apply(now time.Time)
}

// Func adapts a function to Event, for events without fields of their own.
type Func func(now time.Time)

// Apply implements Event.
func (f Func) Apply(now time.Time) { f(now) }

// Ticker is called with the current time at every tick of the loop.
type Ticker interface {
	Tick(now time.Time)
}

// Loop applies events and ticks on one goroutine.
type Loop struct {
	events       chan Event
	done         chan struct{}
	tickers      []Ticker
	tickInterval time.Duration
	clock        func() time.Time
}

// Options are the parameters of New. Zero values select a tick of 50 ms and the
// system clock.
type Options struct {
	TickInterval time.Duration
	Clock        func() time.Time
}

// New returns a loop that is started by Run.
func New(opts Options) *Loop {
	const defaultTickInterval = 50 * time.Millisecond
	if opts.TickInterval == 0 {
		opts.TickInterval = defaultTickInterval
	}
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	return &Loop{
		events:       make(chan Event, queueLength),
		done:         make(chan struct{}),
		tickInterval: opts.TickInterval,
		clock:        opts.Clock,
	}
}

// AddTicker registers t. It must be called before Run.
func (l *Loop) AddTicker(t Ticker) { l.tickers = append(l.tickers, t) }

// Post queues e. It blocks while the queue is full and returns false when the loop
// or ctx has ended; e is then not applied.
func (l *Loop) Post(ctx context.Context, e Event) bool {
	select {
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	default:
	}
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Do queues f and waits until it has been applied. It fails with
// failure.Unavailable if the loop has ended and with failure.Timeout if ctx ends
// first; in the second case f may still be applied later.
func (l *Loop) Do(ctx context.Context, f func(now time.Time)) error {
	applied := make(chan struct{})
	e := Func(func(now time.Time) {
		f(now)
		close(applied)
	})
	if !l.Post(ctx, e) {
		return l.notAppliedError(ctx)
	}
	select {
	case <-applied:
		return nil
	case <-l.done:
	case <-ctx.Done():
	}
	return l.notAppliedError(ctx)
}

// notAppliedError distinguishes a loop that has ended from one that is busy.
func (l *Loop) notAppliedError(ctx context.Context) error {
	select {
	case <-l.done:
		return failure.Unavailable.New("control loop has ended")
	default:
		return failure.Timeout.Wrap(ctx.Err(), "control loop is busy")
	}
}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	ticker := time.NewTicker(l.tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.events:
			e.Apply(l.clock())
		case <-ticker.C:
			l.tick(l.clock())
		}
	}
}

func (l *Loop) tick(now time.Time) {
	for _, t := range l.tickers {
		t.Tick(now)
	}
}
