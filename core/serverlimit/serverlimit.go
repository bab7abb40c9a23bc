// Package serverlimit keeps the limits that backend servers advertise: the requests
// a second that a server accepts from all entries together.
//
// Entries exchange the limits as Reports. The newest one of a server counts.
package serverlimit

import (
	"sync"
	"time"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
)

// limit is the state of a server's limit.
type limit struct {
	// perSecond is the requests a second from all entries together.
	perSecond float64
	// ended limits are no longer in force: a later response did not advertise one.
	ended bool
	// at is the time of the newest observation; for an end, when its request was sent.
	at time.Time
	// until is when a limit ends that another entry reported to have ended.
	until time.Time
	mark  feed.Mark
}

// Registry holds the limits of servers. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	limits  map[fleet.InstanceID]*limit
	learned feed.Counter
}

// New returns a registry without limits.
func New() *Registry { return &Registry{limits: make(map[fleet.InstanceID]*limit)} }

// Change is what a response changed.
type Change uint8

const (
	// Unchanged: the response agrees with what was known.
	Unchanged Change = iota
	// Started: the server had no limit before.
	Started
	// Adjusted: the server had another limit before.
	Adjusted
)

// Advertised records the limit that a response advertised.
func (r *Registry) Advertised(now time.Time, server fleet.InstanceID, perSecond float64) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limits[server]
	isInForce := known != nil && !known.ended
	if isInForce && known.perSecond == perSecond {
		known.at = now
		return Unchanged
	}
	r.set(server, limit{perSecond: perSecond, at: now}, feed.Own)
	if isInForce {
		return Adjusted
	}
	return Started
}

// NotAdvertised records a successful response without a limit to a request that was
// sent at a given time, and reports whether a limit ended by it. A request that was
// sent before the limit was last advertised ends nothing: its response may have been
// delayed.
func (r *Registry) NotAdvertised(sent time.Time, server fleet.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limits[server]
	if known == nil || known.ended || !sent.After(known.at) {
		return false
	}
	r.set(server, limit{perSecond: known.perSecond, ended: true, at: sent}, feed.Own)
	return true
}

func (r *Registry) set(server fleet.InstanceID, l limit, from feed.Source) {
	l.mark = r.learned.Mark(from)
	r.limits[server] = &l
}

// All returns the limits in force, in requests a second.
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

// unlistedFor is how long the limit of a server is kept that is not listed: another
// entry may know of the server before this one.
const unlistedFor = time.Minute

// Keep drops the limits of servers that are no longer listed.
func (r *Registry) Keep(now time.Time, isListed func(fleet.InstanceID) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, l := range r.limits {
		if !isListed(server) && now.Sub(l.at) >= unlistedFor {
			delete(r.limits, server)
		}
	}
}
