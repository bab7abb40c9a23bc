package agent

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"chivespindle.example/core/admission"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
)

// sharedRand is the source of chance that all goroutines may use.
type sharedRand struct{}

// Float64 returns a number in [0, 1).
func (sharedRand) Float64() float64 { return rand.Float64() }

// turn is a request that waits for a slot of the backend server.
type turn struct {
	decided chan error // nil error: it has a slot
}

func newTurn() *turn { return &turn{decided: make(chan error, 1)} }

// room holds the requests of all entries before one backend server, the
// important ones in front. The engine's own queue stays empty: what waits
// there cannot be passed by a more important request.
type room struct {
	waiting *admission.Queue[*turn]
	limit   *admission.ConcurrencyLimit
	tickets atomic.Uint64
}

func newRoom(now time.Time) *room {
	return &room{
		waiting: admission.NewQueue[*turn](admission.QueueOptions{Rand: sharedRand{}}),
		limit:   admission.NewConcurrencyLimit(now, admission.ConcurrencyOptions{}),
	}
}

// setSlots takes the server's own word on its slots; a server that does not
// tell them is given what the adaptive limit has found.
func (r *room) setSlots(now time.Time, told int) {
	slots := told
	if slots <= 0 {
		slots = r.limit.Limit()
	}
	apply(r.waiting.SetSlots(now, slots))
}

// expire tells those that cannot be served in time any more.
func (r *room) expire(now time.Time) { apply(r.waiting.Expire(now)) }

// enter waits for a slot. It returns how to give the slot back, or why the
// request is not run.
func (r *room) enter(ctx context.Context, priority int, deadline time.Time) (leave func(firstPiece time.Duration), err error) {
	began := time.Now()
	t := newTurn()
	ticket := r.tickets.Add(1)
	offered := r.waiting.Offer(began, admission.Urgency{Priority: priority, Deadline: r.judgedBy(deadline)}, ticket, t)
	apply(offered.Changes)
	switch offered.Decision {
	case admission.Refused:
		return nil, overloaded(offered.RetryAfter)
	case admission.Queued:
		if err := r.wait(ctx, ticket, t); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	running, _ := r.waiting.Load()
	return func(firstPiece time.Duration) {
		now := time.Now()
		r.limit.Observe(now, admission.Sample{Latency: firstPiece, InFlight: running})
		apply(r.waiting.Done(now, now.Sub(started)))
	}, nil
}

// judgedBy returns the deadline that the room compares with what requests have
// taken; none while nothing runs or waits. What was learnt while the server or
// this process stood still says that every request takes seconds. Without this
// all with a shorter deadline would be refused from then on, though the server
// is idle: none would run, so nothing newer would ever be learnt. One request
// at a time is enough to learn from; its own deadline still ends it.
func (r *room) judgedBy(deadline time.Time) time.Time {
	if running, waiting := r.waiting.Load(); running+waiting == 0 {
		return time.Time{}
	}
	return deadline
}

// wait waits until the room has decided. A caller that goes away leaves the
// queue, unless the room was faster: then its slot is given back.
func (r *room) wait(ctx context.Context, ticket uint64, t *turn) error {
	select {
	case err := <-t.decided:
		return err
	case <-ctx.Done():
	}
	gone := failure.WithOutcome(calls.DeadlinePassed.Wrap(ctx.Err(), "waited for a slot"), failure.NotRun)
	if r.waiting.Cancel(ticket) {
		return gone
	}
	if err := <-t.decided; err != nil {
		return err
	}
	apply(r.waiting.Done(time.Now(), 0))
	return gone
}

// apply tells waiting requests what was decided.
func apply(c admission.Changes[*turn]) {
	for _, t := range c.Started {
		t.decided <- nil
	}
	for _, s := range c.Shed {
		s.Handle.decided <- overloaded(s.RetryAfter)
	}
}

func overloaded(pause time.Duration) error {
	err := calls.Overloaded.New("the backend server has no room in time")
	return failure.WithRetryAfter(failure.WithOutcome(err, failure.NotRun), pause)
}
