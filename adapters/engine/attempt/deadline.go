package attempt

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
)

// deadline cancels a context when it is not extended in time. It guards against a
// server or link that stalls: no byte arrives and the connection stays open, so
// only a timer can end the wait.
type deadline struct {
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu         sync.Mutex
	responding bool // a part of the response has been received
}

func newDeadline(parent context.Context, timeout time.Duration) *deadline {
	ctx, cancel := context.WithCancelCause(parent)
	d := &deadline{parent: parent, ctx: ctx, cancel: cancel}
	d.timer = time.AfterFunc(timeout, func() { cancel(errStalled) })
	return d
}

// requestProgress extends the deadline when the transport has taken a part of the
// request body. It does nothing once the response has started: the transport may
// take the end of the body after that, and the long timeout for the first byte
// would replace the short stall timeout, so that a stalled response would hang.
func (d *deadline) requestProgress(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.responding {
		d.timer.Reset(timeout)
	}
}

// responseProgress extends the deadline when a part of the response was received.
func (d *deadline) responseProgress(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.responding = true
	d.timer.Reset(timeout)
}

func (d *deadline) end() {
	d.mu.Lock()
	d.responding = true // prevents a later read of the request body from restarting the timer
	d.timer.Stop()
	d.mu.Unlock()
	d.cancel(nil)
}

// classify returns err of net/http with a failure type: failure.Timeout if a
// deadline expired, Canceled if the caller canceled, failure.Unavailable otherwise.
func (d *deadline) classify(err error, what string) *errorx.Error {
	switch cause := context.Cause(d.ctx); {
	case cause == errStalled:
		return failure.Timeout.Wrap(err, "%s stalls", what)
	case errors.Is(d.parent.Err(), context.DeadlineExceeded):
		return failure.Timeout.Wrap(err, "%s took longer than its caller waits", what)
	case d.parent.Err() != nil:
		return Canceled.Wrap(err, "%s is no longer wanted", what)
	default:
		return failure.Unavailable.Wrap(err, "%s failed", what)
	}
}
