package peer

import (
	"context"
	"io"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
)

// accept starts to serve a connection whose handshake is complete.
func (e *Endpoint) accept(conn *quic.Conn, generation uint64) {
	c, err := e.newConnection(conn, false, generation)
	if err != nil || !e.register(c) {
		_ = conn.CloseWithError(connRefused, "")
		return
	}
	if !e.addWork() {
		return
	}
	go func() {
		defer e.work.Done()
		e.serveConnection(c)
	}()
}

func (e *Endpoint) serveConnection(c *connection) {
	for {
		raw, err := c.quic.AcceptStream(e.ctx)
		if err != nil {
			return
		}
		if !e.addWork() {
			return
		}
		go func() {
			defer e.work.Done()
			e.serveStream(c, raw)
		}()
	}
}

func (e *Endpoint) serveStream(c *connection, raw *quic.Stream) {
	kind, err := e.readKind(raw)
	if err != nil {
		rejectStream(raw, streamAborted)
		return
	}
	if reason := e.refusal(c, kind); reason != "" {
		e.metrics.refused(reason, zap.Stringer("peer", c.peer), zap.Stringer("from", c.addr), zap.Stringer("kind", kind))
		rejectStream(raw, streamRefused)
		return
	}
	defer e.served.Add(-1)
	if e.served.Add(1) > int64(e.opts.MaxServed) {
		e.metrics.refused(refusedStreamLimit, zap.Stringer("peer", c.peer), zap.Stringer("from", c.addr), zap.Stringer("kind", kind))
		rejectStream(raw, streamRefused)
		return
	}
	if !c.acquire() {
		rejectStream(raw, streamRetired)
		return
	}
	e.metrics.kinds[kind].served.Inc(1)
	// The stream ends with its connection, so it needs no parent context. With
	// the endpoint's context as parent, Close would reset the streams before it
	// reports to the peers that the process is stopping.
	s := e.newStream(context.Background(), raw, c, kind)
	s.kindSent = true // the kind is sent only by the side that opens the stream
	defer s.Close()
	e.opts.Handler.ServeStream(s.ctx, c.peer, kind, s)
}

// readKind reads the first byte within HandshakeTimeout, since a stream without
// one occupies a goroutine.
func (e *Endpoint) readKind(raw *quic.Stream) (Kind, error) {
	_ = raw.SetReadDeadline(time.Now().Add(e.opts.HandshakeTimeout)) // never fails
	var first [1]byte
	_, err := io.ReadFull(raw, first[:])
	return Kind(first[0]), err
}

// refusal returns the reason for which a stream is refused, or "".
func (e *Endpoint) refusal(c *connection, kind Kind) string {
	if _, known := kindNames[kind]; !known {
		return refusedKind
	}
	if !e.opts.Allow(c.peer, kind) {
		return refusedRole
	}
	return ""
}

func rejectStream(raw *quic.Stream, code quic.StreamErrorCode) {
	raw.CancelRead(code)
	raw.CancelWrite(code)
}
