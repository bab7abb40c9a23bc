package attempt

import (
	"context"
	"errors"
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
}

func newDeadline(parent context.Context, pause time.Duration) *deadline {
	ctx, cancel := context.WithCancelCause(parent)
	d := &deadline{parent: parent, ctx: ctx, cancel: cancel}
	d.timer = time.AfterFunc(pause, func() { cancel(errStalled) })
	return d
}

func (d *deadline) extend(pause time.Duration) { d.timer.Reset(pause) }

func (d *deadline) end() {
	d.timer.Stop()
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
