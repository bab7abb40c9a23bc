package peer

import (
	"context"
	"io"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
)

// accept starts to serve a connection whose handshake is done.
func (e *Endpoint) accept(conn *quic.Conn, generation uint64) {
	l, err := newLink(conn, false, generation)
	if err != nil || !e.register(l) {
		_ = conn.CloseWithError(connRefused, "")
		return
	}
	if !e.begin() {
		return
	}
	go func() {
		defer e.work.Done()
		e.serveConnection(l)
	}()
}

func (e *Endpoint) serveConnection(l *link) {
	for {
		raw, err := l.conn.AcceptStream(e.ctx)
		if err != nil {
			return
		}
		if !e.begin() {
			return
		}
		go func() {
			defer e.work.Done()
			e.serveStream(l, raw)
		}()
	}
}

func (e *Endpoint) serveStream(l *link, raw *quic.Stream) {
	kind, err := e.readKind(raw)
	if err != nil {
		refuse(raw, streamAborted)
		return
	}
	if reason := e.refusal(l, kind); reason != "" {
		e.metrics.refused(reason, zap.Stringer("peer", l.peer), zap.Stringer("from", l.addr), zap.Stringer("kind", kind))
		refuse(raw, streamRefused)
		return
	}
	if !l.acquire() {
		refuse(raw, streamRetired)
		return
	}
	traffic := e.metrics.kinds[kind]
	traffic.served.Inc(1)
	// The connection's end ends the stream, so it needs no parent. With one, Close
	// would reset the streams before it says that the process ends.
	s := newStream(context.Background(), raw, l, kind, e.opts.MaxMessage, traffic)
	s.kindSent = true // only the side that opens a stream sends it
	defer s.Close()
	e.opts.Handler.ServeStream(s.ctx, l.peer, kind, s)
}

// readKind waits for the first byte only briefly, since a stream without one
// holds a goroutine here.
func (e *Endpoint) readKind(raw *quic.Stream) (Kind, error) {
	_ = raw.SetReadDeadline(time.Now().Add(e.opts.HandshakeTimeout)) // never fails
	var first [1]byte
	_, err := io.ReadFull(raw, first[:])
	return Kind(first[0]), err
}

// refusal returns why a stream is refused, "" if it is not.
func (e *Endpoint) refusal(l *link, kind Kind) string {
	if _, known := kindNames[kind]; !known {
		return refusedKind
	}
	if !e.opts.Allow(l.peer, kind) {
		return refusedRole
	}
	return ""
}

func refuse(raw *quic.Stream, code quic.StreamErrorCode) {
	raw.CancelRead(code)
	raw.CancelWrite(code)
}
