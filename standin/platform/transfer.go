package platform

import (
	"context"
	"net/http"

	"golang.org/x/time/rate"
)

// transfer is one body on its way to a client.
type transfer struct {
	ctx    context.Context
	writer http.ResponseWriter
	shared *rate.Limiter // the link
	own    *rate.Limiter // this transfer's own rate
	count  func(n int)   // told of each piece that the network took
}

// write sends data in pieces as the limiters allow. It reports whether all
// was sent; if not, the client has left.
func (t *transfer) write(data []byte) bool {
	for len(data) > 0 {
		size := min(maxPieceBytes, t.own.Burst(), t.shared.Burst(), len(data))
		if !t.await(t.own, size) || !t.await(t.shared, size) {
			return false
		}
		n, err := t.writer.Write(data[:size])
		t.count(n)
		if err != nil {
			return false
		}
		data = data[size:]
	}
	return true
}

// await takes size bytes from a limiter, false if the client left.
func (t *transfer) await(limiter *rate.Limiter, size int) bool {
	// WaitN refuses more than the burst, which SetLinkRate may have lowered
	// since the piece was cut: such a piece goes in smaller parts.
	for size > 0 && t.ctx.Err() == nil {
		part := min(size, limiter.Burst())
		if limiter.WaitN(t.ctx, part) == nil {
			size -= part
		}
	}
	return size == 0
}

// flush pushes out what the server still buffers.
func (t *transfer) flush() {
	// A failed flush means that the client has left, which ctx shows.
	_ = http.NewResponseController(t.writer).Flush()
}

// cut closes the connection in the middle of the body.
func (t *transfer) cut() {
	t.flush()
	panic(http.ErrAbortHandler)
}
