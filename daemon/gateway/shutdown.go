package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"chivespindle.example/core/failure"
)

// reasonShutdown is why a call ends that this entry has no time for before its process ends.
const reasonShutdown = "shutdown"

// errShutdown is the cause of the cancellation of a call at the end of a shutdown.
var errShutdown = failure.Unavailable.New("the entry shuts down")

// shutdown is the end of a process that is stopping. The calls read it concurrently.
type shutdown struct {
	endsAt atomic.Pointer[time.Time] // nil unless the process is stopping
	// ended is done at that time.
	ended context.Context
	end   context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// Leave reports to the other entries without delay that this one leaves, so that they no
// longer list it. Calls that have not ended at endsAt get an error response then.
func (g *Gateway) Leave(ctx context.Context, endsAt time.Time) error {
	g.shutdown.endsAt.Store(&endsAt)
	time.AfterFunc(time.Until(endsAt), g.shutdown.end)
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

// mayOutlastProcess reports whether the call should be left to another entry, since the process
// may end before it. Only a call that may not be sent again is, as its outcome would remain
// unknown; and any call once the time for the others is over.
func (j *job) mayOutlastProcess(now time.Time) bool {
	endsAt := j.g.shutdown.endsAt.Load()
	switch {
	case endsAt == nil || !endsAt.Before(j.deadline):
		return false
	case !now.Before(*endsAt):
		return true
	default:
		return !j.route.Idempotent() && j.view.hasOtherEntry()
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
