package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/resend"
)

const (
	// firstPackets is the number of datagrams that hold a client's first flight.
	firstPackets = 2
	// longHeader is the bit of a datagram's first byte that packets of a handshake
	// have set.
	longHeader = 0x80
)

// packet is a datagram and its control messages.
type packet struct{ data, oob []byte }

// flight is the first datagrams of a handshake that nobody has answered.
type flight struct {
	packets []packet
	sealed  bool // takes no more
}

// flights keeps the first datagrams of the handshakes that run, by address.
type flights struct {
	running atomic.Int32
	mu      sync.Mutex
	byAddr  map[netip.AddrPort]*flight
}

func newFlights() *flights { return &flights{byAddr: make(map[netip.AddrPort]*flight)} }

func (f *flights) begin(addr netip.AddrPort) *flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	started := &flight{}
	f.byAddr[addr] = started
	f.running.Add(1)
	return started
}

func (f *flights) end(addr netip.AddrPort, ended *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running.Add(-1)
	if f.byAddr[addr] == ended {
		delete(f.byAddr, addr)
	}
}

// note keeps a datagram if it is one of the first of a handshake.
func (f *flights) note(data, oob []byte, to net.Addr) {
	if f.running.Load() == 0 || len(data) == 0 || data[0]&longHeader == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	of := f.byAddr[addrPortOf(to)]
	if of == nil || of.sealed || len(of.packets) == firstPackets {
		return
	}
	of.packets = append(of.packets, packet{slices.Clone(data), slices.Clone(oob)})
}

// seal returns the datagrams of a flight, which takes no more.
func (f *flights) seal(of *flight) []packet {
	f.mu.Lock()
	defer f.mu.Unlock()
	of.sealed = true
	return of.packets
}

// udpSocket and packetSocket are the transport's socket, whose writes are noted.
type udpSocket struct {
	*net.UDPConn
	flights *flights
}

func (s udpSocket) WriteMsgUDP(b, oob []byte, to *net.UDPAddr) (n, oobn int, err error) {
	s.flights.note(b, oob, to)
	return s.UDPConn.WriteMsgUDP(b, oob, to)
}

func (s udpSocket) resend(p packet, to netip.AddrPort) error {
	_, _, err := s.UDPConn.WriteMsgUDPAddrPort(p.data, p.oob, to)
	return err
}

type packetSocket struct {
	net.PacketConn
	flights *flights
}

func (s packetSocket) WriteTo(b []byte, to net.Addr) (int, error) {
	s.flights.note(b, nil, to)
	return s.PacketConn.WriteTo(b, to)
}

func (s packetSocket) resend(p packet, to netip.AddrPort) error {
	_, err := s.PacketConn.WriteTo(p.data, net.UDPAddrFromAddrPort(to))
	return err
}

// socket is what the transport and the sending again of first packets share.
type socket interface {
	net.PacketConn
	resend(p packet, to netip.AddrPort) error
}

// newSocket returns the socket of the transport.
func (e *Endpoint) newSocket() socket {
	if e.opts.Socket == nil {
		return udpSocket{e.bound, e.flights}
	}
	return packetSocket{e.opts.Socket(e.bound), e.flights}
}

// untilAnswered returns TLS settings that call answered once the other side has
// sent its part of a handshake.
func untilAnswered(conf *tls.Config, answered func()) *tls.Config {
	certificate := conf.GetClientCertificate
	conf.GetClientCertificate = func(info *tls.CertificateRequestInfo) (*tls.Certificate, error) {
		answered()
		return certificate(info)
	}
	return conf
}

// resend sends a flight again by the schedule until ctx ends.
func (e *Endpoint) resend(ctx context.Context, of *flight, addr netip.AddrPort) {
	schedule := resend.Default()
	for times := 0; ; times++ {
		pause, again := schedule.Next(time.Since(e.started), times)
		if !again || !sleep(ctx, pause) {
			return
		}
		for _, p := range e.flights.seal(of) {
			if err := e.socket.resend(p, addr); err != nil {
				e.opts.Logger.Debug("peer_packet_not_resent", zap.Stringer("addr", addr), zap.Error(err))
				return
			}
		}
		e.metrics.resent.Inc(1)
	}
}

// sleep returns false if ctx ended before d had passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
