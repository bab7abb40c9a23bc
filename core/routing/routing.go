// Package routing holds the operator's configuration for the serving of requests:
// which service a request goes to, what may be retried, and which workspace a key
// belongs to.
//
// A Table is built completely from one Config and never changes, so that a request
// sees a single version of the configuration from start to end.
package routing

import (
	"net/netip"
	"time"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
)

// Kind is the kind of a request, which decides whether it may be retried.
type Kind uint8

const (
	// Unsafe requests run at most once. It is the zero value, so that requests of
	// an unknown kind are never retried.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events. They count as unsafe
	// unless the route allows them to be resumed.
	Stream
)

// String returns the name used in logs.
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

// Target is one of the services among which a route distributes its requests.
type Target struct {
	Service fleet.ServiceName
	// Weight is the share of the requests relative to the other targets.
	Weight float64
}

// Route sends the requests for a host and a path prefix to services.
// The tags keep the field names that other processes expect.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Targets has at least one element.
	Targets []Target
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the longest time to the complete response, or to the first
	// event of a stream, that still counts as on time.
	TargetLatency time.Duration `cbor:"Aim"`
	// TargetPause is the longest pause between two events that still counts as on
	// time.
	TargetPause time.Duration `cbor:"PauseAim"`
	// MaxAttempts is the maximum number of servers that a request is sent to.
	MaxAttempts int
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Public routes require no key.
	Public bool
	// Resumable streams may be continued by another server after an event.
	Resumable bool
	// AllowedRegions are the regions in which the requests may be served; empty for all.
	AllowedRegions []fleet.Region `cbor:",omitempty"`
}

// Idempotent reports whether a request may be sent again after a server may have
// run it.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.MayResume() }

// MayResume reports whether another server may continue a response that has started.
func (r *Route) MayResume() bool { return r.Kind == Stream && r.Resumable }

// Origin is the server that holds complete copies of the weights.
type Origin struct {
	Addr netip.AddrPort
	Zone fleet.Zone
	// BytesPerSecond is the bandwidth of its link.
	BytesPerSecond int64
}

// Service is a set of interchangeable servers.
type Service struct {
	Name fleet.ServiceName
	// MaxConnections is the number of connections that each server accepts from all
	// callers together.
	MaxConnections int
	// Engine is the published profile of a model engine; nil for a plain service.
	Engine *enginemodel.Profile
	// Model is the model that the engines serve; empty for a plain service.
	Model string
	// Origin is set for the service that distributes weights.
	Origin *Origin
	// ColdStart is set if the servers bear fewer requests for some time after their start.
	ColdStart *ColdStart `cbor:",omitempty"`
}

// ColdStart describes the servers of a service after their start.
type ColdStart struct {
	// Duration is how long a server is cold.
	Duration time.Duration
	// PerSecond is the number of requests per second that a cold server bears from all
	// entries together.
	PerSecond float64
}

// Limits bound the size and the timing of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer and the keys that identify it.
type Workspace struct {
	Name fleet.Workspace
	Keys []string
	// Priority takes precedence over the priority of the route; 0 is the highest.
	Priority int
	// AllowedRegions are the regions in which the requests may be served; empty for all.
	// Those of the route apply as well.
	AllowedRegions []fleet.Region `cbor:",omitempty"`
}

// Config is one version of the operator's configuration.
type Config struct {
	// Version is assigned by the operator and increases.
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
