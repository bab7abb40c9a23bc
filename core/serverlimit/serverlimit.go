// Package serverlimit keeps the limits that backend servers name: the requests a
// second that a server takes from all entries together.
//
// Entries exchange what servers say as Reports. The newest counts.
package serverlimit

import (
	"sync"
	"time"

	"chivespindle.example/core/feed"
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
	// until is until when a limit binds that another entry reported to have ended.
	until time.Time
	mark  feed.Mark
}

// Registry holds the limits of servers. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	limits  map[fleet.InstanceID]*Limit
	learned feed.Counter
}

// New returns a registry without limits.
func New() *Registry { return &Registry{limits: make(map[fleet.InstanceID]*Limit)} }

// Named notes that an answer named a limit, and reports whether that is news.
func (r *Registry) Named(now time.Time, server fleet.InstanceID, perSecond float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limits[server]
	if known != nil && !known.Ended && known.PerSecond == perSecond {
		known.at = now
		return false
	}
	r.set(server, Limit{PerSecond: perSecond, at: now}, feed.Own)
	return true
}

// Unnamed notes that the request that was sent at a moment succeeded and its answer
// named no limit, and reports whether one ended by it. Answers to requests that were sent
// before the limit was named say nothing: they may have overtaken that answer.
func (r *Registry) Unnamed(sent time.Time, server fleet.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limits[server]
	if known == nil || known.Ended || !sent.After(known.at) {
		return false
	}
	r.set(server, Limit{PerSecond: known.PerSecond, Ended: true, at: sent}, feed.Own)
	return true
}

func (r *Registry) set(server fleet.InstanceID, l Limit, from feed.Source) {
	l.mark = r.learned.Mark(from)
	r.limits[server] = &l
}

// All returns the requests a second that servers with a limit take.
func (r *Registry) All(now time.Time) map[fleet.InstanceID]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[fleet.InstanceID]float64, len(r.limits))
	for server, l := range r.limits {
		if !l.Ended || now.Before(l.until) {
			all[server] = l.PerSecond
		}
	}
	return all
}

// unlistedFor is how long the limit of a server is kept that is not listed: another
// entry may know of the server before this one.
const unlistedFor = time.Minute

// Keep forgets the limits of servers that are listed no more.
func (r *Registry) Keep(now time.Time, isListed func(fleet.InstanceID) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, l := range r.limits {
		if !isListed(server) && now.Sub(l.at) >= unlistedFor {
			delete(r.limits, server)
		}
	}
}
