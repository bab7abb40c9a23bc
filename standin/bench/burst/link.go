package burst

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// linkBurst is what a link's queue takes in one step: the largest batch that
// the transport hands to the socket at once, with room.
const linkBurst = 128 << 10

// Link stands for one machine's network link. All packets of the machine's
// process, weights and live requests alike, leave through one queue at the
// link's rate; that is where live requests wait behind weights. Weights that
// come in are limited by Down.
type Link struct {
	up   *rate.Limiter
	Down *rate.Limiter
	sent atomic.Int64
	// cut, if set, tells which packets are lost.
	cut atomic.Pointer[func(to netip.AddrPort) bool]
	// stalled holds a channel while nothing gets through; it closes at the end.
	stalled atomic.Pointer[chan struct{}]
}

// NewLink returns a link of bytesPerSecond each way.
func NewLink(bytesPerSecond int64) *Link {
	return &Link{
		up:   rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurst),
		Down: rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurst),
	}
}

// Cut loses packets to the addresses that lost names; nil heals the link.
func (l *Link) Cut(lost func(to netip.AddrPort) bool) {
	if lost == nil {
		l.cut.Store(nil)
		return
	}
	l.cut.Store(&lost)
}

// Stall lets nothing through until the returned function is called. Packets
// are lost meanwhile, as on a link that fails without closing.
func (l *Link) Stall() (release func()) {
	stalled := make(chan struct{})
	l.stalled.Store(&stalled)
	return func() {
		l.stalled.Store(nil)
		close(stalled)
	}
}

// Socket puts the link in front of a socket.
func (l *Link) Socket(socket *net.UDPConn) net.PacketConn {
	return &linkedSocket{UDPConn: socket, link: l}
}

// Sent returns the bytes that left through the link.
func (l *Link) Sent() int64 { return l.sent.Load() }

func (l *Link) lost(to netip.AddrPort) bool {
	if l.stalled.Load() != nil {
		return true
	}
	cut := l.cut.Load()
	return cut != nil && (*cut)(to)
}

// linkedSocket is a UDP socket behind a link.
type linkedSocket struct {
	*net.UDPConn
	link *Link
}

// WriteMsgUDP implements the write that the transport uses.
func (s *linkedSocket) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	if s.link.lost(addr.AddrPort()) {
		return len(b), len(oob), nil
	}
	if err := s.link.up.WaitN(context.Background(), min(len(b), linkBurst)); err != nil {
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
