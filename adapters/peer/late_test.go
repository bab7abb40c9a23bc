package peer_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
)

// memoryNet carries datagrams between sockets in memory, and drops those for an
// address that has none.
type memoryNet struct {
	oneWay time.Duration

	mu    sync.Mutex
	conns map[netip.AddrPort]*memoryConn
	sent  map[netip.AddrPort]int // datagrams by sender
}

func newMemoryNet(oneWay time.Duration) *memoryNet {
	return &memoryNet{oneWay: oneWay, conns: map[netip.AddrPort]*memoryConn{}, sent: map[netip.AddrPort]int{}}
}

type datagram struct {
	data []byte
	from netip.AddrPort
}

type memoryConn struct {
	net  *memoryNet
	addr netip.AddrPort
	in   chan datagram
	wake chan struct{}
}

func (n *memoryNet) listen(addr netip.AddrPort) net.PacketConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &memoryConn{net: n, addr: addr, in: make(chan datagram, 1000), wake: make(chan struct{}, 1)}
	n.conns[addr] = c
	return c
}

func (c *memoryConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.sent[c.addr]++
	d := datagram{append([]byte(nil), p...), c.addr}
	time.AfterFunc(c.net.oneWay, func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		if other := c.net.conns[to.(*net.UDPAddr).AddrPort()]; other != nil {
			other.in <- d
		}
	})
	return len(p), nil
}

func (c *memoryConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-c.in:
		return copy(p, d.data), net.UDPAddrFromAddrPort(d.from), nil
	case <-c.wake:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

// SetReadDeadline ends a ReadFrom; a transport sets only a passed deadline.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.wake <- struct{}{}
	}
	return nil
}

func (c *memoryConn) LocalAddr() net.Addr              { return net.UDPAddrFromAddrPort(c.addr) }
func (c *memoryConn) Close() error                     { return nil }
func (c *memoryConn) SetDeadline(time.Time) error      { return nil }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// advance lets time pass on the virtual clock of a synctest.
func advance(d time.Duration) { <-time.NewTimer(d).C }

// startIn runs an endpoint with an address in a memoryNet.
func startIn(t *testing.T, n *memoryNet, addr netip.AddrPort, metrics tally.Scope) *peer.Endpoint {
	t.Helper()
	store, err := keys.Ephemeral(keys.Identity{ID: fleet.InstanceID(addr.Addr().String()), Role: fleet.RoleEntry})
	if err != nil {
		t.Fatal(err)
	}
	e, err := peer.New(peer.Options{
		Listen: loopback, Keys: store, Handler: handlerFunc(echo), Metrics: metrics,
		Socket: func(*net.UDPConn) net.PacketConn { return n.listen(addr) },
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = e.Run(context.Background()) }()
	return e
}

var (
	early = netip.MustParseAddrPort("10.0.0.1:7000")
	late  = netip.MustParseAddrPort("10.0.0.2:7000")
)

// reach has a process dial another that starts after a delay, and returns how long
// after its start it is reached.
func reach(t *testing.T, n *memoryNet, delay time.Duration, metrics tally.Scope) time.Duration {
	t.Helper()
	client := startIn(t, n, early, nil)
	defer client.Close()
	started := make(chan *peer.Endpoint, 1)
	begun := time.Now()
	time.AfterFunc(delay, func() { started <- startIn(t, n, late, metrics) })
	s, err := client.Open(context.Background(), late, "", peer.KindGossip)
	took := time.Since(begun) - delay
	server := <-started
	defer server.Close()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Abort()
	advance(2 * peer.DefaultHandshakeTimeout) // until what is open has ended
	return took
}

// Guards against a peer that starts after the first packet was sent being reached
// only when the transport, whose pauses double, sends again.
func TestPeerThatStartsLateIsReachedSoon(t *testing.T) {
	const oneWay = 2 * time.Millisecond
	const most = 100*time.Millisecond + 8*oneWay
	for delay := time.Duration(0); delay <= 600*time.Millisecond; delay += 60 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if took := reach(t, newMemoryNet(oneWay), delay, nil); took > most {
					t.Errorf("reached %s after its start, want at most %s", took, most)
				}
			})
		})
	}
}

// Guards against a peer whose answer takes long working on several handshakes for
// one connection.
func TestFarPeerWorksOnOneHandshake(t *testing.T) {
	const oneWay = 120 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		counts := tally.NewTestScope("", nil)
		n := newMemoryNet(oneWay)
		reach(t, n, 0, counts)
		counters := counts.Snapshot().Counters()
		if got := counters["connections_opened+side=accepted"].Value(); got != 1 {
			t.Errorf("%d connections accepted", got)
		}
		if refused, any := counters[refusedHandshake]; any {
			t.Errorf("%d handshakes left unfinished", refused.Value())
		}
	})
}

// Guards against an address at which nobody listens costing more than a few
// packets a dial, and none more once a process runs for longer.
func TestDialOfNobodySendsFewPackets(t *testing.T) {
	const firstFlight, byTransport, again = 2, 4, 4
	for age, most := range map[time.Duration]int{
		0:           firstFlight * (byTransport + again),
		time.Second: firstFlight * byTransport,
	} {
		synctest.Test(t, func(t *testing.T) {
			n := newMemoryNet(0)
			client := startIn(t, n, early, nil)
			defer client.Close()
			advance(age)
			if _, err := client.Open(context.Background(), late, "", peer.KindGossip); err == nil {
				t.Fatal("nobody listens")
			}
			if n.sent[early] > most {
				t.Errorf("%d packets at the age of %s, want at most %d", n.sent[early], age, most)
			}
		})
	}
}

// Guards against the sending again being left out on the socket that processes use.
func TestFirstPacketsAreSentAgainOverUDP(t *testing.T) {
	listener, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	store, err := keys.Ephemeral(keys.Identity{ID: "client", Role: fleet.RoleEntry})
	if err != nil {
		t.Fatal(err)
	}
	client, err := peer.New(peer.Options{Listen: loopback, Keys: store})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	go func() {
		_, _ = client.Open(context.Background(), listener.LocalAddr().(*net.UDPAddr).AddrPort(), "", peer.KindGossip)
	}()
	seen := map[string]bool{}
	_ = listener.SetReadDeadline(time.Now().Add(patience)) // never fails
	for buf := make([]byte, 1<<16); ; {
		n, err := listener.Read(buf)
		if err != nil {
			t.Fatal("no packet came twice")
		}
		if seen[string(buf[:n])] {
			return
		}
		seen[string(buf[:n])] = true
	}
}
