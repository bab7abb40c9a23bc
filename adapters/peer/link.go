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

// linger is how long a connection stays open after its last stream ended here.
// The end of a QUIC connection drops what is still on its way: closed at once,
// the last bytes of an answer that was just sent would be lost. A second is
// many round trips, so a lost packet is sent again within it.
const linger = time.Second

// link is one connection with what the endpoint needs to know of it.
type link struct {
	conn    *quic.Conn
	peer    keys.Identity
	addr    netip.AddrPort
	dialled bool
	expires time.Time // end of the peer's certificate

	mu       sync.Mutex
	checked  uint64    // generation of the keys that accepted the peer
	active   int       // streams in use
	lastUsed time.Time // when active last fell to 0
	retired  bool      // not used for new streams; closed once unused
	doubted  bool      // a stream stalled
	heard    uint64    // packets received when the doubt arose
}

// newLink takes the identity from the handshake. generation is the one of the
// keys before the handshake began, so that a reload during it is not missed.
func newLink(conn *quic.Conn, dialled bool, generation uint64) (*link, error) {
	cert := conn.ConnectionState().TLS.PeerCertificates[0]
	peer, err := keys.IdentityOf(cert)
	if err != nil {
		return nil, err
	}
	return &link{
		conn:     conn,
		peer:     peer,
		addr:     addrPortOf(conn.RemoteAddr()),
		dialled:  dialled,
		expires:  cert.NotAfter,
		checked:  generation,
		lastUsed: time.Now(),
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

// acquire counts one more stream. It returns false on a retired link.
func (l *link) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return false
	}
	l.active++
	return true
}

func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
	l.lastUsed = time.Now()
}

// retire keeps new streams off the link. Running ones go on. It reports
// whether the link was in use until now.
func (l *link) retire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.retired
	l.retired = true
	return !was
}

// retireIfUnused retires the link if it had no streams for the time unused, or
// for linger if it is retired already. It reports whether the link may be
// closed.
func (l *link) retireIfUnused(now time.Time, unused time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		unused = linger
	}
	if l.active > 0 || now.Sub(l.lastUsed) < max(unused, linger) {
		return false
	}
	l.retired = true
	return true
}

// outdated reports whether new streams must not use the link any more, since
// keys were reloaded or the peer's certificate has ended.
//
// A reload outdates every dialled link: the next exchange makes a connection
// with the new files, which both sides judge anew. An accepted link is outdated
// only if the peer's certificates are not accepted by the new authority; a
// peer that is still good finds nothing changed.
func (l *link) outdated(store *keys.Store, now time.Time) bool {
	if now.After(l.expires) {
		return true
	}
	generation := store.Generation()
	l.mu.Lock()
	same := l.checked == generation
	l.mu.Unlock()
	if same {
		return false
	}
	if l.dialled || store.Check(l.conn.ConnectionState().TLS.PeerCertificates) != nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checked = generation
	return false
}

// doubt notes that a stream on the link stalled. Either the peer is slow, or
// the link is dead and QUIC has not noticed yet. In the second case each new
// request would be sent into the void, with an unknown outcome, until the idle
// timeout. See usable.
func (l *link) doubt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubted = true
	l.heard = l.conn.ConnectionStats().PacketsReceived
}

// usable reports whether new streams may go over the link. Silence since a
// stall makes it unusable: a new connection then either works or fails within
// the handshake timeout, with nothing sent. If the peer was merely slow, that
// costs one handshake. Any packet since the stall clears the doubt.
func (l *link) usable() bool {
	if context.Cause(l.conn.Context()) != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return false
	}
	if !l.doubted {
		return true
	}
	l.doubted = l.conn.ConnectionStats().PacketsReceived == l.heard
	return !l.doubted
}
