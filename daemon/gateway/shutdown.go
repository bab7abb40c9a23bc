package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/failure"
)

// reasonShutdown is why a call ends that this entry has no time for before its process ends.
const reasonShutdown = "shutdown"

// errShutdown is the cause of the cancellation of a call at the end of a shutdown.
var errShutdown = failure.Unavailable.New("the entry shuts down")

// Stop describes the graceful stop of a process.
type Stop struct {
	// Began is when the stop was requested, or the earliest time at which it may have been.
	Began time.Time
	// AnyUntil is until when calls are sent to servers that may last beyond SureUntil.
	AnyUntil time.Time
	// SureUntil is until when calls are sure to be able to run. It is EndsAt if it is zero,
	// and at most EndsAt.
	SureUntil time.Time
	// EndsAt is when calls that have not ended get an error response, or are aborted.
	EndsAt time.Time
}

// shutdown is the stop of this process. The calls read it concurrently.
type shutdown struct {
	stop atomic.Pointer[Stop] // nil unless the process is stopping
	// ended is done at the end of the stop.
	ended context.Context
	end   context.CancelFunc

	refused, failed, aborted atomic.Int64 // calls, because of the stop
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// Leave reports to the other entries without delay that this one leaves, so that they no
// longer list it.
func (g *Gateway) Leave(ctx context.Context, stop Stop) error {
	if stop.SureUntil.IsZero() {
		stop.SureUntil = stop.EndsAt
	}
	g.shutdown.stop.Store(&stop)
	time.AfterFunc(time.Until(stop.EndsAt), g.shutdown.end)
	return g.opts.Loop.Do(ctx, func(now time.Time) {
		g.leaving = true
		g.changed = true
		g.publish(now)
		g.mesh.Flush(now)
	})
}

// callContext returns the context of a call that is served until a deadline. It ends earlier if
// the caller disconnects or a shutdown ends.
func (g *Gateway) callContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.shutdown.ended, func() { cancelCause(errShutdown) })
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, func() {
		stop()
		cancel()
		cancelCause(nil)
	}
}

// isShutDown reports whether a call was cancelled at the end of a shutdown.
func isShutDown(ctx context.Context) bool { return context.Cause(ctx) == errShutdown }

// hasDisconnected reports whether a call was cancelled by its caller.
func hasDisconnected(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !isShutDown(ctx)
}

// mustLeaveToOthers reports whether the call may not be sent to a server, since the process may end
// before it. Shortly after the stop began only a call that may not be sent again is left to another
// entry, as its outcome would remain unknown.
//
// It is checked whenever the call is about to be sent and not once it has arrived: its body may come
// late, and it may wait for a server.
func (j *job) mustLeaveToOthers(now time.Time) bool {
	stop := j.g.shutdown.stop.Load()
	switch {
	case stop == nil || j.mayHaveRun || !stop.SureUntil.Before(j.deadline):
		return false
	case !now.Before(stop.AnyUntil):
		return true
	default:
		return !j.route.Idempotent() && j.g.view.Load().hasOtherEntry()
	}
}

// hasOtherEntry reports whether another entry is known to accept calls.
func (v *view) hasOtherEntry() bool {
	for _, e := range v.entries {
		if e.Ready && !e.Leaving && !e.Silent {
			return true
		}
	}
	return false
}

// StopCounts are the calls that a stop has affected.
type StopCounts struct {
	// Refused did not run. Failed got an error response, though a server may have run them.
	// Aborted had received a part of their response.
	Refused, Failed, Aborted int64
}

// StopCounts returns the calls that the stop has affected so far.
func (g *Gateway) StopCounts() StopCounts {
	s := g.shutdown
	return StopCounts{Refused: s.refused.Load(), Failed: s.failed.Load(), Aborted: s.aborted.Load()}
}

// count records a call that ends because of the stop.
func (s *shutdown) count(j *job, v ErrorResponse) {
	switch {
	case v.Reason != reasonShutdown:
	case j.hasStarted():
		s.aborted.Add(1)
	case v.Code == Unavailable:
		s.refused.Add(1)
	default:
		s.failed.Add(1)
	}
}

// stopFields returns when, after the stop began, the head of a call arrived, all of it was
// received, and it was last sent to a server. Times before the stop are negative.
func (j *job) stopFields() []zap.Field {
	stop := j.g.shutdown.stop.Load()
	if stop == nil {
		return nil
	}
	fields := []zap.Field{zap.Duration("stop_arrived", j.call.Arrived.Sub(stop.Began))}
	if !j.call.Received.IsZero() {
		fields = append(fields, zap.Duration("stop_received", j.call.Received.Sub(stop.Began)))
	}
	if !j.sentAt.IsZero() {
		fields = append(fields, zap.Duration("stop_sent", j.sentAt.Sub(stop.Began)))
	}
	return fields
}
