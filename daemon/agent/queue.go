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

// sharedRand is a random source that is safe for concurrent use.
type sharedRand struct{}

// Float64 returns a number in [0, 1).
func (sharedRand) Float64() float64 { return rand.Float64() }

// waiter is a request that waits for a slot of the backend server.
type waiter struct {
	decision chan error // nil error: it has a slot
}

func newWaiter() *waiter { return &waiter{decision: make(chan error, 1)} }

// requestQueue holds the requests of all entries for one backend server, ordered by
// priority. It keeps the engine's own queue empty, since a request there cannot be
// overtaken by one with a higher priority.
type requestQueue struct {
	pending          *admission.Queue[*waiter]
	concurrencyLimit *admission.ConcurrencyLimit
	lastID           atomic.Uint64
}

func newRequestQueue(now time.Time) *requestQueue {
	return &requestQueue{
		pending:          admission.NewQueue[*waiter](admission.QueueOptions{Rand: sharedRand{}}),
		concurrencyLimit: admission.NewConcurrencyLimit(now, admission.ConcurrencyOptions{}),
	}
}

// setSlots sets the number of slots to what the server reports. For a server that
// reports none it uses the adaptive concurrency limit.
func (r *requestQueue) setSlots(now time.Time, reported int) {
	slots := reported
	if slots <= 0 {
		slots = r.concurrencyLimit.Limit()
	}
	notifyWaiters(r.pending.SetSlots(now, slots))
}

// expire refuses waiting requests that can no longer be served in time.
func (r *requestQueue) expire(now time.Time) { notifyWaiters(r.pending.Expire(now)) }

// enter waits for a slot. It returns a function that releases the slot, or the
// reason why the request is not run.
func (r *requestQueue) enter(ctx context.Context, priority int, deadline time.Time) (release func(firstPiece time.Duration), err error) {
	queuedAt := time.Now()
	w := newWaiter()
	id := r.lastID.Add(1)
	offered := r.pending.Offer(queuedAt, admission.Urgency{Priority: priority, Deadline: r.admissionDeadline(deadline)}, id, w)
	notifyWaiters(offered.Changes)
	switch offered.Decision {
	case admission.Refused:
		return nil, overloadedError(offered.RetryAfter)
	case admission.Queued:
		if err := r.awaitDecision(ctx, id, w); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	running, _ := r.pending.Load()
	return func(firstPiece time.Duration) {
		now := time.Now()
		r.concurrencyLimit.Observe(now, admission.Sample{Latency: firstPiece, InFlight: running})
		notifyWaiters(r.pending.Done(now, now.Sub(started)))
	}, nil
}

// admissionDeadline returns the deadline that the queue compares with the durations
// of past requests, or none while no request runs or waits. Durations that were
// measured while the server or this process was paused suggest that every request
// takes seconds. Without this exception the idle server would refuse all requests
// with a shorter deadline permanently, since none would run to correct the
// estimate. One request at a time is enough to correct it, and its own deadline
// still ends it.
func (r *requestQueue) admissionDeadline(deadline time.Time) time.Time {
	if running, waiting := r.pending.Load(); running+waiting == 0 {
		return time.Time{}
	}
	return deadline
}

// awaitDecision waits for the decision of the queue. When ctx ends, the request is
// removed from the queue; if it has been given a slot meanwhile, the slot is
// released.
func (r *requestQueue) awaitDecision(ctx context.Context, id uint64, w *waiter) error {
	select {
	case err := <-w.decision:
		return err
	case <-ctx.Done():
	}
	expired := failure.WithOutcome(calls.DeadlinePassed.Wrap(ctx.Err(), "waited for a slot"), failure.NotRun)
	if r.pending.Cancel(id) {
		return expired
	}
	if err := <-w.decision; err != nil {
		return err
	}
	notifyWaiters(r.pending.Done(time.Now(), 0))
	return expired
}

// notifyWaiters sends the decisions to waiting requests.
func notifyWaiters(c admission.Changes[*waiter]) {
	for _, w := range c.Started {
		w.decision <- nil
	}
	for _, s := range c.Shed {
		s.Handle.decision <- overloadedError(s.RetryAfter)
	}
}

func overloadedError(retryAfter time.Duration) error {
	err := calls.Overloaded.New("the backend server has no room in time")
	return failure.WithRetryAfter(failure.WithOutcome(err, failure.NotRun), retryAfter)
}
