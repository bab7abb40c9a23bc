package attempt

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
)

// deadline ends a context when it is not extended in time. It guards against
// a server or link that stalls: no byte comes and the connection stays open,
// so nothing but a clock ends the wait.
type deadline struct {
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu       sync.Mutex
	answered bool // bytes of the answer came
}

func newDeadline(parent context.Context, pause time.Duration) *deadline {
	ctx, cancel := context.WithCancelCause(parent)
	d := &deadline{parent: parent, ctx: ctx, cancel: cancel}
	d.timer = time.AfterFunc(pause, func() { cancel(errStalled) })
	return d
}

// sent extends the deadline when a part of the request's body was taken. It
// does nothing once the answer has begun: the transport may take the end of
// the body after that, and the long wait for a first byte would replace the
// short one between bytes, so that a stalled answer hangs.
func (d *deadline) sent(pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.answered {
		d.timer.Reset(pause)
	}
}

// received extends the deadline when a part of the answer came.
func (d *deadline) received(pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered = true
	d.timer.Reset(pause)
}

func (d *deadline) end() {
	d.mu.Lock()
	d.answered = true // no later read of the body starts the timer again
	d.timer.Stop()
	d.mu.Unlock()
	d.cancel(nil)
}

// classify gives a failure of net/http its type: failure.Timeout if a
// deadline passed, Canceled if our caller gave up, else failure.Unavailable.
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
