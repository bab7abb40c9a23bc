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

// Limits on the resources that peers can use before they have presented a
// certificate.
const (
	// maxHandshakes bounds the pending handshakes of all addresses. One costs
	// about a millisecond of processor time and a few dozen kilobytes.
	maxHandshakes = 256
	// maxHandshakesPerAddress prevents one machine from using up maxHandshakes.
	maxHandshakesPerAddress = 64
	// Above this rate, a new address must prove by a round trip (QUIC Retry)
	// that it receives packets sent to it, so that forged source addresses cost
	// next to nothing.
	unverifiedPerSecond = 200
	unverifiedBurst     = 200
	// One in unverifiedPart of an address's places may be used without such proof.
	unverifiedPart = 4
)

// handshakeLimiter bounds the pending handshakes of peers, and the connections of one
// address.
type handshakeLimiter struct {
	unverified     *rate.Limiter
	generation     func() uint64 // of the keys
	onLimitReached func(reason string, from netip.AddrPort)
	onFailed       func(from netip.AddrPort, cause error)

	maxPerAddress int // connections, with pending handshakes

	mu            sync.Mutex
	pending       int
	pendingByAddr map[netip.Addr]int
	openByAddr    map[netip.Addr]int // connections, with pending handshakes
}

func newHandshakeLimiter(maxPerAddress int) *handshakeLimiter {
	return &handshakeLimiter{
		unverified:    rate.NewLimiter(unverifiedPerSecond, unverifiedBurst),
		maxPerAddress: maxPerAddress,
		pendingByAddr: make(map[netip.Addr]int),
		openByAddr:    make(map[netip.Addr]int),
	}
}

// handshake is one admitted, pending handshake, stored in the connection's
// context.
type handshake struct {
	limiter    *handshakeLimiter
	from       netip.AddrPort
	generation uint64 // of the keys when the handshake began
	once       sync.Once
}

type handshakeKey struct{}

// verifySource requests a Retry while handshakes arrive faster than the limit, and from an
// address that has a share of its places in use. Otherwise a client that forges the address
// of a peer could use up the places of that peer.
func (g *handshakeLimiter) verifySource(from net.Addr) bool {
	return !g.unverified.Allow() || g.isMuchUsed(addrPortOf(from).Addr())
}

func (g *handshakeLimiter) isMuchUsed(addr netip.Addr) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pendingByAddr[addr] >= maxHandshakesPerAddress/unverifiedPart || g.openByAddr[addr] >= max(1, g.maxPerAddress/unverifiedPart)
}

// admit is called for each new connection, before any processor time is spent
// on it.
func (g *handshakeLimiter) admit(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	from := addrPortOf(info.RemoteAddr)
	if reason := g.acquire(from.Addr()); reason != "" {
		g.onLimitReached(reason, from)
		return nil, failure.RateLimited.New("too many connections or unfinished handshakes")
	}
	h := &handshake{limiter: g, from: from, generation: g.generation()}
	ctx = context.WithValue(ctx, handshakeKey{}, h)
	context.AfterFunc(ctx, func() {
		g.closed(from.Addr())
		if h.finish() {
			g.onFailed(from, context.Cause(ctx))
		}
	})
	return ctx, nil
}

// acquire adds a connection with a pending handshake. It returns the reason for which it is
// refused, or "".
func (g *handshakeLimiter) acquire(addr netip.Addr) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pending >= maxHandshakes || g.pendingByAddr[addr] >= maxHandshakesPerAddress {
		return refusedHandshakeLimit
	}
	if g.openByAddr[addr] >= g.maxPerAddress {
		return refusedConnectionLimit
	}
	g.pending++
	g.pendingByAddr[addr]++
	g.openByAddr[addr]++
	return ""
}

// closed removes a connection.
func (g *handshakeLimiter) closed(addr netip.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openByAddr[addr]--
	if g.openByAddr[addr] == 0 {
		delete(g.openByAddr, addr)
	}
}

func (g *handshakeLimiter) release(addr netip.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending--
	g.pendingByAddr[addr]--
	if g.pendingByAddr[addr] == 0 {
		delete(g.pendingByAddr, addr)
	}
}

// completed ends the pending handshake of an accepted connection and returns
// the generation of the keys with which it began.
func (g *handshakeLimiter) completed(ctx context.Context) uint64 {
	h, ok := ctx.Value(handshakeKey{}).(*handshake)
	if !ok {
		return 0
	}
	h.finish()
	return h.generation
}

// finish releases the pending handshake and reports whether this was the first
// call.
func (h *handshake) finish() bool {
	first := false
	h.once.Do(func() {
		first = true
		h.limiter.release(h.from.Addr())
	})
	return first
}
