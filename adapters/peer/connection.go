package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"chivespindle.example/adapters/keys"
)

// closeDelay is how long a connection stays open after its last stream ended on
// this side. Closing a QUIC connection discards data in flight: without the
// delay, the last bytes of a response just sent would be lost. A second is many
// round trips, so a lost packet is retransmitted within it.
const closeDelay = time.Second

// connection is a QUIC connection to a peer and the state that the endpoint
// keeps for it.
type connection struct {
	quic     *quic.Conn
	peer     keys.Identity
	addr     netip.AddrPort
	dialled  bool
	expires  time.Time // expiry of the peer's certificate
	messages *messageMemory

	mu                sync.Mutex
	checkedGeneration uint64    // generation of the keys with which the peer was last verified
	active            int       // open streams
	messageBytes      int64     // held by the messages of its streams
	lastUsed          time.Time // when active last fell to 0
	retired           bool      // takes no new streams; closed once unused
	suspect           bool      // a stream timed out
	packetsAtStall    uint64    // packets received when the stream timed out
}

// newConnection reads the peer's identity from the handshake. generation is
// that of the keys before the handshake began, so that a reload during the
// handshake is not missed.
func (e *Endpoint) newConnection(conn *quic.Conn, dialled bool, generation uint64) (*connection, error) {
	cert := conn.ConnectionState().TLS.PeerCertificates[0]
	peer, err := keys.IdentityOf(cert)
	if err != nil {
		return nil, err
	}
	return &connection{
		quic:              conn,
		messages:          e.messages,
		peer:              peer,
		addr:              addrPortOf(conn.RemoteAddr()),
		dialled:           dialled,
		expires:           cert.NotAfter,
		checkedGeneration: generation,
		lastUsed:          time.Now(),
	}, nil
}

func addrPortOf(addr net.Addr) netip.AddrPort {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	port := udp.AddrPort()
	return netip.AddrPortFrom(port.Addr().Unmap(), port.Port())
}

// unusedSince returns since when the connection has had no streams; false if it has one.
func (c *connection) unusedSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, c.active == 0
}

// acquire adds one open stream. It returns false on a retired connection.
func (c *connection) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	c.active++
	return true
}

func (c *connection) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	c.lastUsed = time.Now()
}

// retire prevents new streams on the connection. Running ones continue. It
// reports whether the connection was not retired before.
func (c *connection) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.retired
	c.retired = true
	return !was
}

// retireIfUnused retires the connection if it had no streams for the duration
// unused, or for closeDelay if it is already retired. It reports whether the
// connection may be closed.
func (c *connection) retireIfUnused(now time.Time, unused time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		unused = closeDelay
	}
	if c.active > 0 || now.Sub(c.lastUsed) < max(unused, closeDelay) {
		return false
	}
	c.retired = true
	return true
}

// outdated reports whether the connection must take no more new streams, since
// keys were reloaded or the peer's certificate has expired.
//
// A reload outdates every dialled connection: the next exchange dials with the
// new files, and both sides verify each other again. An accepted connection is
// outdated only if the new authorities do not accept the peer's certificates; a
// peer that is still accepted keeps its connection.
func (c *connection) outdated(store *keys.Store, now time.Time) bool {
	if now.After(c.expires) {
		return true
	}
	generation := store.Generation()
	c.mu.Lock()
	same := c.checkedGeneration == generation
	c.mu.Unlock()
	if same {
		return false
	}
	if c.dialled || store.Check(c.quic.ConnectionState().TLS.PeerCertificates) != nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkedGeneration = generation
	return false
}

// markSuspect records that a stream on the connection timed out. Either the
// peer is slow, or the connection is dead and QUIC has not detected it yet. In
// the second case each new request would be lost, with an unknown outcome,
// until the idle timeout. See usable.
func (c *connection) markSuspect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspect = true
	c.packetsAtStall = c.quic.ConnectionStats().PacketsReceived
}

// usable reports whether the connection may take new streams. It may not if a
// stream timed out and no packet has arrived since: a new connection then
// either works or fails within the handshake timeout, with nothing sent. If the
// peer was merely slow, that costs one handshake. Any packet received after the
// timeout makes the connection usable again.
func (c *connection) usable() bool {
	if context.Cause(c.quic.Context()) != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	if !c.suspect {
		return true
	}
	c.suspect = c.quic.ConnectionStats().PacketsReceived == c.packetsAtStall
	return !c.suspect
}
