// Package routing holds the operator's configuration of live requests as the
// entries use it: which service a request goes to, what may be repeated, and
// which workspace a key belongs to.
//
// A Table is built whole from one Config and is never changed, so that a
// request sees one version of the configuration from its begin to its end.
package routing

import (
	"net/netip"
	"time"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
)

// Kind says what may be repeated of a request.
type Kind uint8

const (
	// Unsafe requests run at most once. It is the zero value, so that a kind
	// that nobody knows is never repeated.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream is answered by a series of events. It counts as unsafe unless the
	// route says that it can be resumed.
	Stream
)

// String returns the word used in logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Target is one of the services that a route sends its requests to.
type Target struct {
	Service fleet.ServiceName
	// Weight is the share of the requests, relative to the other targets.
	Weight float64
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Targets has at least one element.
	Targets []Target
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time to the whole answer, of a stream to the first event, that
	// is still on time.
	TargetLatency time.Duration
	// TargetPause is the longest pause between two events that is still on time.
	TargetPause time.Duration
	// MaxAttempts is the number of servers that one request may be sent to.
	MaxAttempts int
	// Priority is the rank, 0 the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another server after an event.
	Resumable bool
}

// Idempotent reports whether a request may be sent again once a server may
// have run it.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.MayResume() }

// MayResume reports whether another server may resume an answer that has started.
func (r *Route) MayResume() bool { return r.Kind == Stream && r.Resumable }

// Origin is where whole copies of weights come from.
type Origin struct {
	Addr netip.AddrPort
	Zone fleet.Zone
	// BytesPerSecond is what its link carries.
	BytesPerSecond int64
}

// Service is a set of servers that answer alike.
type Service struct {
	Name fleet.ServiceName
	// MaxConnections is what each server accepts from all callers together.
	MaxConnections int
	// Engine holds the published figures of a model engine; nil for a plain
	// service.
	Engine *enginemodel.Profile
	// Model is the model that the engines serve; empty for a plain service.
	Model string
	// Origin is set for the service that hands out weights.
	Origin *Origin
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer with the keys that name it.
type Workspace struct {
	Name fleet.Workspace
	Keys []string
	// Priority takes precedence over that of the route.
	Priority int
}

// Config is one version of the operator's configuration.
type Config struct {
	// Version is the operator's own number; it rises.
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
