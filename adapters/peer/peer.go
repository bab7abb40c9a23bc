// Package peer is the transport between the system's own processes: QUIC with
// mutual TLS, one stream per exchange, CBOR messages and raw bytes in
// length-prefixed frames.
//
// An Endpoint is client and server over one UDP socket. Connections are dialled
// on demand, one per address, and reused. The dialling side closes a connection
// that has had no streams for UnusedTimeout. Only the dialling side opens
// streams.
//
// On the wire, the first byte of each stream is its Kind. Frames follow in both
// directions, see frame.go. The design and its measurements are described in
// docs/design/peer-transport.md.
package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Kind is the purpose of an exchange. It is the first byte of each stream.
type Kind uint8

// The kinds of exchange. The values are part of the wire format.
const (
	KindGossip  Kind = 1 // membership and load between processes
	KindConfig  Kind = 2 // changes of the operator's configuration
	KindChunk   Kind = 3 // chunks of model weights
	KindRequest Kind = 4 // a caller's request and its response
	KindReport  Kind = 5 // state of a backend server and its engine
	KindStatus  Kind = 6 // status queries of an operator
)

var kindNames = map[Kind]string{
	KindGossip:  "gossip",
	KindConfig:  "config",
	KindChunk:   "chunk",
	KindRequest: "request",
	KindReport:  "report",
	KindStatus:  "status",
}

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}

// urgencies order the kinds on one connection, 0 first, as in RFC 9218. A chunk
// of weights and a live request to the same peer share a connection; without
// priorities, the request would wait behind megabytes of the chunk.
var urgencies = map[Kind]int8{
	KindRequest: 1,
	KindConfig:  2,
	KindGossip:  3,
	KindReport:  3,
	KindStatus:  4,
	KindChunk:   6,
}

// Defaults of Options.
const (
	DefaultIdleTimeout      = 20 * time.Second
	DefaultKeepAlive        = 5 * time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultUnusedTimeout    = time.Minute
	DefaultMaxStreams       = 256
	DefaultMaxMessage       = 1 << 20
	// The first processes of a fleet that starts are dialled by all others: 3,500 agents
	// dial two of three entries each, and 410 entries all three.
	DefaultMaxAccepted           = 4096
	DefaultMaxAcceptedPerAddress = 2048
	DefaultMaxServed             = 1 << 16
	DefaultReceiveWindow         = maxConnectionWindow
	DefaultMessageMemory         = 64 << 20
)

// Handler serves the streams that peers open.
type Handler interface {
	// ServeStream serves one exchange and returns when it is done. The stream
	// is then closed: data already sent is still delivered, data still arriving
	// is discarded. ctx ends with the stream, the connection or the endpoint;
	// the handler must return soon after, since Close waits for it.
	ServeStream(ctx context.Context, from keys.Identity, kind Kind, s *Stream)
}

// Options are the settings of an Endpoint.
type Options struct {
	// Listen is the UDP address, used for accepting and dialling.
	Listen netip.AddrPort
	// Keys holds the endpoint's own certificate and the trusted authorities.
	// Required.
	Keys *keys.Store
	// Handler serves streams of peers. Without one, the endpoint accepts no
	// connections.
	Handler Handler
	// Logger and Metrics may be nil.
	Logger  *zap.Logger
	Metrics tally.Scope
	// IdleTimeout closes a connection on which nothing has arrived for this
	// long.
	IdleTimeout time.Duration
	// KeepAlive is the interval of keep-alive packets that the dialling side
	// sends on an idle connection. It must be at most half of IdleTimeout.
	KeepAlive time.Duration
	// HandshakeTimeout bounds establishing a connection, and all of Open.
	HandshakeTimeout time.Duration
	// UnusedTimeout is how long a dialled connection without streams is kept
	// open.
	UnusedTimeout time.Duration
	// MaxStreams bounds the streams that one peer may have open at a time on
	// one connection. Open waits while the peer's limit is reached.
	MaxStreams int
	// MaxMessage bounds one CBOR message, in bytes, in both directions.
	MaxMessage int
	// MaxAccepted bounds the connections that peers have open to this endpoint, and
	// MaxAcceptedPerAddress those of one IP address. Above the first, the connection that
	// has had no streams for longest is closed for a new one; without such a connection, and
	// above the second, the new one is refused.
	MaxAccepted           int
	MaxAcceptedPerAddress int
	// MaxServed bounds the streams of all peers that are served at a time. More are
	// refused as not run.
	MaxServed int
	// ReceiveWindow bounds the bytes that a peer may have sent on one accepted connection
	// and that were not read yet.
	ReceiveWindow int
	// MessageMemory bounds the bytes of the messages that are being received, and of those
	// that were received last on each stream, as they are in memory. Each connection may
	// have freeMessageBytes beside it, and at most half of it.
	MessageMemory int
	// Allow decides whether a peer may open a stream of a kind. Nil means
	// DefaultAllow.
	Allow func(from keys.Identity, kind Kind) bool
	// WrapSocket, if set, wraps the bound socket, for example to limit its rate or
	// to simulate a partition in a measurement. Nil means that the socket is
	// used as it is.
	WrapSocket func(*net.UDPConn) net.PacketConn
}

// DefaultAllow lets entries and agents open streams of every kind, and
// operators, who have read access only, KindStatus.
func DefaultAllow(from keys.Identity, kind Kind) bool {
	switch from.Role {
	case fleet.RoleEntry, fleet.RoleAgent:
		return true
	case fleet.RoleOperator:
		return kind == KindStatus
	default:
		return false
	}
}

func (o Options) withDefaults() (Options, error) {
	if o.Keys == nil {
		return o, failure.Internal.New("peer: Options.Keys must be set")
	}
	if !o.Listen.IsValid() {
		return o, failure.Invalid.New("listen address must be an IP number and a port")
	}
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.KeepAlive, DefaultKeepAlive)
	setDefault(&o.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&o.UnusedTimeout, DefaultUnusedTimeout)
	setDefault(&o.MaxStreams, DefaultMaxStreams)
	setDefault(&o.MaxMessage, DefaultMaxMessage)
	setDefault(&o.MaxAccepted, DefaultMaxAccepted)
	setDefault(&o.MaxAcceptedPerAddress, DefaultMaxAcceptedPerAddress)
	setDefault(&o.MaxServed, DefaultMaxServed)
	setDefault(&o.ReceiveWindow, DefaultReceiveWindow)
	setDefault(&o.MessageMemory, DefaultMessageMemory)
	if o.KeepAlive > o.IdleTimeout/2 {
		return o, failure.Invalid.New("keep-alive %s must be at most half of the idle timeout %s", o.KeepAlive, o.IdleTimeout)
	}
	if o.MaxMessage > maxFrameBytes {
		return o, failure.Invalid.New("message bound %d must be at most %d bytes", o.MaxMessage, maxFrameBytes)
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Allow == nil {
		o.Allow = DefaultAllow
	}
	return o, nil
}

func setDefault[T time.Duration | int](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
