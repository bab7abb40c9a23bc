package platform

import (
	"context"
	"errors"
	"io"
	"time"

	"chivespindle.example/core/failure"
)

// progress ends a call when no byte has arrived for the stall timeout.
//
// A stalled link does not close, so that a read would wait until the deadline
// of the whole transfer, minutes later, while the chunk could come from
// elsewhere. Ending the call's context unblocks the read. A link that brings
// a byte now and then is not caught; the caller's deadline bounds it.
type progress struct {
	timer  *time.Timer
	stall  time.Duration
	cancel context.CancelCauseFunc
	ended  bool
	body   io.ReadCloser
}

// watchProgress returns a context that ends with failure.Timeout once stall
// has passed without a byte, and the progress to report bytes to.
func watchProgress(ctx context.Context, stall time.Duration, path string) (context.Context, *progress) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progress{stall: stall, cancel: cancel}
	p.timer = time.AfterFunc(stall, func() {
		cancel(failure.Timeout.New("%s brought no byte for %s", path, stall))
	})
	return ctx, p
}

// wrap makes body's reads count as progress.
func (p *progress) wrap(body io.ReadCloser) io.ReadCloser {
	p.body = body
	p.resume()
	return p
}

// Read implements io.Reader.
func (p *progress) Read(buffer []byte) (int, error) {
	n, err := p.body.Read(buffer)
	if n > 0 {
		p.resume()
	}
	if errors.Is(err, io.EOF) {
		p.ended = true
	}
	return n, err
}

// Close implements io.Closer.
func (p *progress) Close() error { return p.body.Close() }

// atEnd reports whether the body ended as the sender meant it to.
func (p *progress) atEnd() bool { return p.ended }

func (p *progress) pause() { p.timer.Stop() }

func (p *progress) resume() { p.timer.Reset(p.stall) }

func (p *progress) stop() {
	p.timer.Stop()
	p.cancel(nil)
}
