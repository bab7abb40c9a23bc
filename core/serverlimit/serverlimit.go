// Package serverlimit keeps the limits that backend servers name: the requests a
// second that a server takes from all entries together.
//
// Entries exchange what servers say as Reports. The newest counts.
package serverlimit

import (
	"sync"
	"time"

	"chivespindle.example/core/fleet"
)

// Limit is what a server said.
type Limit struct {
	// PerSecond is the requests a second from all entries together.
	PerSecond float64
	// Ended limits bind no more: a later answer did not name one.
	Ended bool
	// at is as of when; an end counts from when the request was sent.
	at time.Time
}

// Registry holds the limits of servers. It is safe for concurrent use.
type Registry struct {
	mu     sync.Mutex
	limits map[fleet.InstanceID]*Limit
}

// New returns a registry without limits.
func New() *Registry { return &Registry{limits: make(map[fleet.InstanceID]*Limit)} }

// Of returns the limit of a server; false if it has none.
func (r *Registry) Of(server fleet.InstanceID) (Limit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limits[server]
	if known == nil || known.Ended {
		return Limit{}, false
	}
	return *known, true
}

// Named notes that an answer named a limit, and reports whether that is news.
func (r *Registry) Named(now time.Time, server fleet.InstanceID, perSecond float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limits[server]
	if known != nil && !known.Ended && known.PerSecond == perSecond {
		known.at = now
		return false
	}
	r.limits[server] = &Limit{PerSecond: perSecond, at: now}
	return true
}

// Unnamed notes that the answer to a request that was sent at a moment named no
// limit, and reports whether one ended by it. Answers to requests that were sent
// before the limit was named say nothing: they may have overtaken that answer.
func (r *Registry) Unnamed(sent time.Time, server fleet.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limits[server]
	if known == nil || known.Ended || !sent.After(known.at) {
		return false
	}
	known.Ended = true
	known.at = sent
	return true
}
