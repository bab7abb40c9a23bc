// Package progress aborts transfers that make no progress.
package progress

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"chivespindle.example/core/failure"
)

// Watchdog aborts a call when no byte has arrived within the stall timeout.
//
// A stalled link does not close its connections, so a read would block until
// the deadline of the whole transfer, minutes later, while the data could be
// fetched from elsewhere. A short deadline for the whole transfer is no
// alternative: on a saturated link it aborts transfers that make progress, and
// the bytes that they had received are sent again. Cancelling the call's
// context unblocks the read. A link that delivers a byte now and then is not
// detected; the caller's deadline bounds it.
type Watchdog struct {
	timer        *time.Timer
	stallTimeout time.Duration
	timeout      atomic.Int64 // of the running timer, in nanoseconds
	cancel       context.CancelCauseFunc
	reachedEOF   bool
	body         io.ReadCloser
}

// Start returns a context that ends with failure.Timeout when no byte has
// arrived within the stall timeout, and the Watchdog that observes the bytes.
// Until Wrap is called, responseTimeout applies instead.
func Start(ctx context.Context, responseTimeout, stallTimeout time.Duration, operation string) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &Watchdog{stallTimeout: stallTimeout, cancel: cancel}
	w.timeout.Store(int64(responseTimeout))
	w.timer = time.AfterFunc(responseTimeout, func() {
		cancel(failure.Timeout.New("%s brought no byte for %s", operation, time.Duration(w.timeout.Load())))
	})
	return ctx, w
}

// Wrap returns a reader of body whose reads count as progress.
func (w *Watchdog) Wrap(body io.ReadCloser) io.ReadCloser {
	w.body = body
	w.Resume()
	return w
}

// Read implements io.Reader.
func (w *Watchdog) Read(buffer []byte) (int, error) {
	n, err := w.body.Read(buffer)
	if n > 0 {
		w.Resume()
	}
	if errors.Is(err, io.EOF) {
		w.reachedEOF = true
	}
	return n, err
}

// Close implements io.Closer.
func (w *Watchdog) Close() error { return w.body.Close() }

// ReachedEOF reports whether the reader reached the end of the body. Only if the
// sender marks it, see exchange.EndIsFramed, is the body known to be complete.
func (w *Watchdog) ReachedEOF() bool { return w.reachedEOF }

// Pause stops the timer, while the reader itself waits.
func (w *Watchdog) Pause() { w.timer.Stop() }

// Resume restarts the timer.
func (w *Watchdog) Resume() {
	w.timeout.Store(int64(w.stallTimeout))
	w.timer.Reset(w.stallTimeout)
}

// Stop stops the timer and cancels the context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}
