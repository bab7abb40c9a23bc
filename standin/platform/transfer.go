package platform

import (
	"context"
	"net/http"

	"golang.org/x/time/rate"
)

// transfer is one response body that is being sent.
type transfer struct {
	ctx             context.Context
	writer          http.ResponseWriter
	linkLimiter     *rate.Limiter // limits all transfers of the link together
	transferLimiter *rate.Limiter // limits this transfer
	onSent          func(n int)   // called with the size of each piece, and negative with what was not sent of it
}

// write sends data in pieces at the rate of the limiters. It returns false if
// the client has disconnected.
func (t *transfer) write(data []byte) bool {
	for len(data) > 0 {
		size := min(maxPieceBytes, t.transferLimiter.Burst(), t.linkLimiter.Burst(), len(data))
		if !t.waitFor(t.transferLimiter, size) || !t.waitFor(t.linkLimiter, size) {
			return false
		}
		// The client may read the counters once it has the last byte, before Write returns.
		t.onSent(size)
		n, err := t.writer.Write(data[:size])
		t.onSent(n - size)
		if err != nil {
			return false
		}
		data = data[size:]
	}
	return true
}

// waitFor takes size bytes from a limiter. It returns false if the client has
// disconnected.
func (t *transfer) waitFor(limiter *rate.Limiter, size int) bool {
	// WaitN fails for more than the burst, which SetLinkRate may have lowered
	// since the size of the piece was determined. Such a piece takes its bytes
	// in smaller parts.
	for size > 0 && t.ctx.Err() == nil {
		part := min(size, limiter.Burst())
		if limiter.WaitN(t.ctx, part) == nil {
			size -= part
		}
	}
	return size == 0
}

// flush sends the data that the server has buffered.
func (t *transfer) flush() {
	// Flush fails only if the client has disconnected, which ctx reports.
	_ = http.NewResponseController(t.writer).Flush()
}

// abort flushes the part of the body that was written and closes the connection.
func (t *transfer) abort() {
	t.flush()
	panic(http.ErrAbortHandler)
}
