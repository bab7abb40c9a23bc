// Package progress ends transfers that bring nothing any more, and no others.
package progress

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"chivespindle.example/core/failure"
)

// Watch ends a call when no byte has arrived for the stall timeout.
//
// A stalled link does not close, so that a read would wait until the deadline
// of the whole transfer, minutes later, while the bytes could come from
// elsewhere. A short deadline for the whole is no way out: on a full link it ends
// reads that go on, and what they had brought crosses the link again. Ending the
// call's context unblocks the read. A link that brings a byte now and then is
// not caught; the caller's deadline bounds it.
type Watch struct {
	timer  *time.Timer
	stall  time.Duration
	armed  atomic.Int64 // for how long the timer runs, in nanoseconds
	cancel context.CancelCauseFunc
	ended  bool
	body   io.ReadCloser
}

// Start returns a context that ends with failure.Timeout once stall has passed
// without a byte, and the Watch that is to see the bytes. first is the time for
// the first of them.
func Start(ctx context.Context, first, stall time.Duration, what string) (context.Context, *Watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &Watch{stall: stall, cancel: cancel}
	w.armed.Store(int64(first))
	w.timer = time.AfterFunc(first, func() {
		cancel(failure.Timeout.New("%s brought no byte for %s", what, time.Duration(w.armed.Load())))
	})
	return ctx, w
}

// Wrap makes body's reads count as progress.
func (w *Watch) Wrap(body io.ReadCloser) io.ReadCloser {
	w.body = body
	w.Resume()
	return w
}

// Read implements io.Reader.
func (w *Watch) Read(buffer []byte) (int, error) {
	n, err := w.body.Read(buffer)
	if n > 0 {
		w.Resume()
	}
	if errors.Is(err, io.EOF) {
		w.ended = true
	}
	return n, err
}

// Close implements io.Closer.
func (w *Watch) Close() error { return w.body.Close() }

// AtEnd reports whether the reader came to the end of the body. It is the sender's
// only if the sender marks it, see exchange.EndIsFramed.
func (w *Watch) AtEnd() bool { return w.ended }

// Pause lets the timer rest, while the reader itself waits.
func (w *Watch) Pause() { w.timer.Stop() }

// Resume ends a Pause.
func (w *Watch) Resume() {
	w.armed.Store(int64(w.stall))
	w.timer.Reset(w.stall)
}

// Stop ends the watch and the context.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}
