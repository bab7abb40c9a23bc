package burst

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// linkBurst is the burst size of a link's rate limiter in bytes. It exceeds the
// largest batch that the transport writes to the socket in one call.
const linkBurst = 128 << 10

// Link simulates one machine's network link. All outgoing packets of the
// machine's process, weights and live requests alike, share one queue at the
// link's rate, so live requests wait behind weights. Incoming weights are
// limited by DownloadLimiter.
type Link struct {
	uploadLimiter   *rate.Limiter
	DownloadLimiter *rate.Limiter
	sent            atomic.Int64
	// lossFilter, if set, reports whether packets to an address are dropped.
	lossFilter atomic.Pointer[func(to netip.AddrPort) bool]
	// stalled holds a channel while all packets are dropped; it is closed when
	// the stall ends.
	stalled atomic.Pointer[chan struct{}]
}

// NewLink returns a link limited to bytesPerSecond in each direction.
func NewLink(bytesPerSecond int64) *Link {
	return &Link{
		uploadLimiter:   rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurst),
		DownloadLimiter: rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurst),
	}
}

// SetLoss drops packets to the addresses for which isLost returns true; nil
// stops the loss.
func (l *Link) SetLoss(isLost func(to netip.AddrPort) bool) {
	if isLost == nil {
		l.lossFilter.Store(nil)
		return
	}
	l.lossFilter.Store(&isLost)
}

// Stall drops all outgoing packets until the returned function is called, as on
// a link that fails without closing its connections.
func (l *Link) Stall() (release func()) {
	stalled := make(chan struct{})
	l.stalled.Store(&stalled)
	return func() {
		l.stalled.Store(nil)
		close(stalled)
	}
}

// Socket wraps a socket so that its packets leave through the link.
func (l *Link) Socket(socket *net.UDPConn) net.PacketConn {
	return &linkedSocket{UDPConn: socket, link: l}
}

// Sent returns the number of bytes sent through the link.
func (l *Link) Sent() int64 { return l.sent.Load() }

func (l *Link) isLost(to netip.AddrPort) bool {
	if l.stalled.Load() != nil {
		return true
	}
	lossFilter := l.lossFilter.Load()
	return lossFilter != nil && (*lossFilter)(to)
}

// linkedSocket is a UDP socket that sends through a link.
type linkedSocket struct {
	*net.UDPConn
	link *Link
}

// WriteMsgUDP is the write method that the QUIC transport calls.
func (s *linkedSocket) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	if s.link.isLost(addr.AddrPort()) {
		return len(b), len(oob), nil
	}
	if err := s.link.uploadLimiter.WaitN(context.Background(), min(len(b), linkBurst)); err != nil {
		return 0, 0, err
	}
	s.link.sent.Add(int64(len(b)))
	return s.UDPConn.WriteMsgUDP(b, oob, addr)
}

// WriteTo implements net.PacketConn.
func (s *linkedSocket) WriteTo(b []byte, addr net.Addr) (int, error) {
	n, _, err := s.WriteMsgUDP(b, nil, addr.(*net.UDPAddr))
	return n, err
}
