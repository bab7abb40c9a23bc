package peer

import (
	"context"
	"net"
	"net/netip"

	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// openAttempts is how often Open looks for a connection: the one at hand may
// turn out to be dead, or to lead to the address's former instance. Nothing
// was sent on it then, so a second one may be tried.
const openAttempts = 2

// Open opens a stream to the instance want at addr, or to whichever answers
// there if want is "". It uses the connection to addr if there is one, and
// makes one if not; concurrent callers make only one. It takes at most the
// handshake timeout.
//
// Each failure is a failure.Unavailable (WrongPeer if another instance
// answers) with the outcome failure.NotRun, since nothing of the request was
// sent. When ctx ends, also later, the stream is aborted.
func (e *Endpoint) Open(ctx context.Context, addr netip.AddrPort, want fleet.InstanceID, kind Kind) (*Stream, error) {
	traffic, known := e.metrics.kinds[kind]
	if !known {
		return nil, notOpened(failure.Internal.New("no such kind of stream: %d", kind))
	}
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	waiting, cancel := context.WithTimeout(ctx, e.opts.HandshakeTimeout)
	defer cancel()
	var last error
	for range openAttempts {
		l, fresh, err := e.pool.get(waiting, addr)
		if err != nil {
			return nil, openFailure(err, addr)
		}
		raw, err := e.openOn(waiting, l, want)
		if err == nil {
			traffic.opened.Inc(1)
			return newStream(ctx, raw, l, kind, e.opts.MaxMessage, traffic), nil
		}
		last = openFailure(err, addr)
		if fresh || waiting.Err() != nil {
			break
		}
		e.pool.forget(l)
	}
	return nil, last
}

// openOn opens a QUIC stream on one connection.
func (e *Endpoint) openOn(ctx context.Context, l *link, want fleet.InstanceID) (*quic.Stream, error) {
	if want != "" && l.peer.ID != want {
		return nil, WrongPeer.New("%s answers, not %s", l.peer, want)
	}
	if !l.acquire() {
		return nil, ConnectionLost.New("the connection is being closed")
	}
	raw, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		l.release()
		return nil, err
	}
	return raw, nil
}

func openFailure(err error, addr netip.AddrPort) error {
	kind := failure.Unavailable
	if known := errorx.Cast(err); known != nil && known.IsOfType(failure.Unavailable) {
		kind = known.Type()
	}
	return notOpened(kind.Wrap(err, "open a stream to %s", addr))
}

// dial makes a connection. It lasts at most the handshake timeout.
func (e *Endpoint) dial(addr netip.AddrPort) (*link, error) {
	if !e.begin() {
		return nil, context.Cause(e.ctx)
	}
	defer e.work.Done()
	ctx, cancel := context.WithTimeout(e.ctx, e.opts.HandshakeTimeout)
	defer cancel()
	generation := e.opts.Keys.Generation()
	conn, err := e.transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), e.opts.Keys.ClientTLS(), e.clientConfig())
	if err != nil {
		e.metrics.dialFailed.Inc(1)
		e.opts.Logger.Debug("peer_dial_failed", zap.Stringer("addr", addr), zap.Error(err))
		return nil, err
	}
	l, err := newLink(conn, true, generation)
	if err != nil {
		_ = conn.CloseWithError(connRefused, "")
		return nil, err
	}
	l.addr = addr
	if !e.register(l) {
		_ = conn.CloseWithError(connClosing, "")
		return nil, context.Cause(e.ctx)
	}
	return l, nil
}
