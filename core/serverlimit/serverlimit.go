// Package serverlimit keeps the rate limits that backend servers advertise: the requests
// per second that a server accepts from all entries together.
//
// Entries exchange the limits as Reports. The newest observation of a server applies.
package serverlimit

import (
	"sync"
	"time"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
)

// limit is the state of a server's limit.
type limit struct {
	// perSecond is the requests per second from all entries together.
	perSecond float64
	// ended is true if the limit is no longer in force: a later response did not
	// advertise one.
	ended bool
	// at is the time of the newest observation. For the end of a limit it is the time at
	// which the request that revealed it was sent.
	at time.Time
	// until is when a limit ends that another entry reported as ended.
	until time.Time
	mark  feed.Mark
}

// Registry holds the limits of servers. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	limits  map[fleet.InstanceID]*limit
	counter feed.Counter
}

// New returns a registry without limits.
func New() *Registry { return &Registry{limits: make(map[fleet.InstanceID]*limit)} }

// Change is how a response changed a limit.
type Change uint8

const (
	// Unchanged: the response agrees with the known limit.
	Unchanged Change = iota
	// Started: no limit was in force before.
	Started
	// Adjusted: a different limit was in force before.
	Adjusted
)

// RecordAdvertised records the limit that a response advertised.
func (r *Registry) RecordAdvertised(now time.Time, server fleet.InstanceID, perSecond float64) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limits[server]
	isInForce := known != nil && !known.ended
	if isInForce && known.perSecond == perSecond {
		known.at = now
		return Unchanged
	}
	r.set(server, limit{perSecond: perSecond, at: now}, feed.Local)
	if isInForce {
		return Adjusted
	}
	return Started
}

// RecordNotAdvertised records a successful response without a limit to a request that was
// sent at the given time, and reports whether this ended a limit. A request sent before
// the limit was last advertised does not end it, since its response may have been delayed.
func (r *Registry) RecordNotAdvertised(sent time.Time, server fleet.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limits[server]
	if known == nil || known.ended || !sent.After(known.at) {
		return false
	}
	r.set(server, limit{perSecond: known.perSecond, ended: true, at: sent}, feed.Local)
	return true
}

func (r *Registry) set(server fleet.InstanceID, l limit, from feed.Source) {
	l.mark = r.counter.Mark(from)
	r.limits[server] = &l
}

// All returns the limits in force, in requests per second.
func (r *Registry) All(now time.Time) map[fleet.InstanceID]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[fleet.InstanceID]float64, len(r.limits))
	for server, l := range r.limits {
		if !l.ended || now.Before(l.until) {
			all[server] = l.perSecond
		}
	}
	return all
}

// unlistedRetention is how long the limit of an unlisted server is kept: another entry
// may know of the server before this one.
const unlistedRetention = time.Minute

// DropUnlisted drops the limits of servers that are no longer listed.
func (r *Registry) DropUnlisted(now time.Time, isListed func(fleet.InstanceID) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, l := range r.limits {
		if !isListed(server) && now.Sub(l.at) >= unlistedRetention {
			delete(r.limits, server)
		}
	}
}
