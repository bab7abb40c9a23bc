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

// openAttempts is how often Open tries a connection: a pooled one may turn out
// to be dead, or to lead to the former instance at the address. Nothing was
// sent on it in these cases, so a second one may be tried.
const openAttempts = 2

// Open opens a stream to the instance want at addr, or to whichever instance
// responds there if want is "". It reuses the connection to addr or dials one;
// concurrent callers share one dial. It takes at most the handshake timeout.
//
// Each failure is a failure.Unavailable (WrongPeer if another instance
// responds) with the outcome failure.NotRun, since nothing of the request was
// sent. When ctx ends, even after Open has returned, the stream is aborted.
func (e *Endpoint) Open(ctx context.Context, addr netip.AddrPort, want fleet.InstanceID, kind Kind) (*Stream, error) {
	traffic, ok := e.metrics.kinds[kind]
	if !ok {
		return nil, withNotRun(failure.Internal.New("no such kind of stream: %d", kind))
	}
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	openCtx, cancel := context.WithTimeout(ctx, e.opts.HandshakeTimeout)
	defer cancel()
	var lastErr error
	for range openAttempts {
		c, isNew, err := e.pool.get(openCtx, addr)
		if err != nil {
			return nil, openFailure(err, addr)
		}
		raw, err := e.openStream(openCtx, c, want)
		if err == nil {
			traffic.opened.Inc(1)
			return e.newStream(ctx, raw, c, kind), nil
		}
		lastErr = openFailure(err, addr)
		if isNew || openCtx.Err() != nil {
			break
		}
		e.pool.remove(c)
	}
	return nil, lastErr
}

// openStream opens a QUIC stream on one connection.
func (e *Endpoint) openStream(ctx context.Context, c *connection, want fleet.InstanceID) (*quic.Stream, error) {
	if want != "" && c.peer.ID != want {
		return nil, WrongPeer.New("%s answers, not %s", c.peer, want)
	}
	if !c.acquire() {
		return nil, ConnectionLost.New("the connection is being closed")
	}
	raw, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		c.release()
		return nil, err
	}
	return raw, nil
}

func openFailure(err error, addr netip.AddrPort) error {
	kind := failure.Unavailable
	if known := errorx.Cast(err); known != nil && known.IsOfType(failure.Unavailable) {
		kind = known.Type()
	}
	return withNotRun(kind.Wrap(err, "open a stream to %s", addr))
}

// dial establishes a connection. It takes at most the handshake timeout.
func (e *Endpoint) dial(addr netip.AddrPort) (*connection, error) {
	if !e.addWork() {
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
	c, err := e.newConnection(conn, true, generation)
	if err != nil {
		_ = conn.CloseWithError(connRefused, "")
		return nil, err
	}
	c.addr = addr
	if !e.register(c) {
		_ = conn.CloseWithError(connClosing, "")
		return nil, context.Cause(e.ctx)
	}
	return c, nil
}
