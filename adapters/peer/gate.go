package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/quic-go/quic-go"
	"golang.org/x/time/rate"

	"chivespindle.example/core/failure"
)

// Bounds on what strangers can cost before they have shown a certificate.
const (
	// maxHandshakes bounds the unfinished handshakes of all addresses. One
	// costs about a millisecond of processor time and a few dozen kilobytes.
	maxHandshakes = 256
	// maxHandshakesPerAddress keeps one machine from taking all of them.
	maxHandshakesPerAddress = 64
	// Above this rate, a new address must show by a round trip (QUIC Retry)
	// that it receives what is sent to it, so that forged source addresses
	// cost next to nothing.
	unverifiedPerSecond = 200
	unverifiedBurst     = 200
)

// gate admits handshakes.
type gate struct {
	unverified *rate.Limiter
	generation func() uint64 // of the keys
	onLimit    func(from netip.AddrPort)
	onFailed   func(from netip.AddrPort, cause error)

	mu     sync.Mutex
	total  int
	byAddr map[netip.Addr]int
}

func newGate() *gate {
	return &gate{
		unverified: rate.NewLimiter(unverifiedPerSecond, unverifiedBurst),
		byAddr:     make(map[netip.Addr]int),
	}
}

// handshake is one admitted, unfinished handshake, kept in the connection's
// context.
type handshake struct {
	gate       *gate
	from       netip.AddrPort
	generation uint64 // of the keys when it began
	once       sync.Once
}

type handshakeKey struct{}

// verifySource asks for a Retry when handshakes come fast.
func (g *gate) verifySource(net.Addr) bool { return !g.unverified.Allow() }

// admit is called for each new connection, before any processor time is spent
// on it.
func (g *gate) admit(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	from := addrPortOf(info.RemoteAddr)
	if !g.enter(from.Addr()) {
		g.onLimit(from)
		return nil, failure.RateLimited.New("too many unfinished handshakes")
	}
	h := &handshake{gate: g, from: from, generation: g.generation()}
	ctx = context.WithValue(ctx, handshakeKey{}, h)
	context.AfterFunc(ctx, func() {
		if h.finish() {
			g.onFailed(from, context.Cause(ctx))
		}
	})
	return ctx, nil
}

func (g *gate) enter(addr netip.Addr) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.total >= maxHandshakes || g.byAddr[addr] >= maxHandshakesPerAddress {
		return false
	}
	g.total++
	g.byAddr[addr]++
	return true
}

func (g *gate) leave(addr netip.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total--
	g.byAddr[addr]--
	if g.byAddr[addr] == 0 {
		delete(g.byAddr, addr)
	}
}

// completed notes that the handshake of an accepted connection is done, and
// returns the generation of the keys with which it began.
func (g *gate) completed(ctx context.Context) uint64 {
	h, ok := ctx.Value(handshakeKey{}).(*handshake)
	if !ok {
		return 0
	}
	h.finish()
	return h.generation
}

// finish reports whether it is the first call.
func (h *handshake) finish() bool {
	first := false
	h.once.Do(func() {
		first = true
		h.gate.leave(h.from.Addr())
	})
	return first
}
