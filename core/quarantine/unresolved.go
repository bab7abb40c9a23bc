package quarantine

import (
	"time"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
)

const (
	// unresolvedTTL is how long an unresolved attempt is kept to be matched with a crash
	// of its server. A crashed server registers again within this time.
	unresolvedTTL = 4 * time.Second
	// maxUnresolved bounds the attempts that are kept; the oldest are dropped first.
	maxUnresolved = 256
)

// unresolvedAttempt is an attempt whose outcome is unknown: its client disconnected, or
// the check of its server was inconclusive.
type unresolvedAttempt struct {
	request Fingerprint
	server  fleet.InstanceID
	at      time.Time
	parts   []Part // that may cause a crash
}

// RecordUnresolved records that an attempt at a server ended with an unknown outcome. The
// attempt counts as in flight if the server turns out to have crashed. parts are those of
// the request's parts that may cause a crash.
func (r *Registry) RecordUnresolved(now time.Time, request Fingerprint, server fleet.InstanceID, parts ...Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresolved = append(r.unresolved, unresolvedAttempt{request, server, now, r.parts.suspects(now, parts)})
	r.dropUnresolved(func(attempt unresolvedAttempt) bool { return now.Sub(attempt.at) >= unresolvedTTL })
	if over := len(r.unresolved) - maxUnresolved; over > 0 {
		r.unresolved = append([]unresolvedAttempt(nil), r.unresolved[over:]...)
	}
}

// HasUnresolved reports whether an attempt at the server ended with an unknown outcome.
func (r *Registry) HasUnresolved(now time.Time, server fleet.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, attempt := range r.unresolved {
		if attempt.server == server && now.Sub(attempt.at) < unresolvedTTL {
			return true
		}
	}
	return false
}

// ServerCrashed counts the crash of a server against the unresolved attempts at that
// server and returns the requests that are quarantined as a result.
func (r *Registry) ServerCrashed(now time.Time, server fleet.InstanceID) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var quarantined []Fingerprint
	for _, attempt := range r.unresolved {
		if attempt.server != server || now.Sub(attempt.at) >= unresolvedTTL {
			continue
		}
		if r.addQuarantines(now, attempt.request, observation{server: server, at: attempt.at, parts: attempt.parts}, feed.Local) {
			quarantined = append(quarantined, attempt.request)
		}
	}
	r.dropUnresolved(func(attempt unresolvedAttempt) bool { return attempt.server == server })
	return quarantined
}

func (r *Registry) dropUnresolved(isDone func(unresolvedAttempt) bool) {
	kept := r.unresolved[:0]
	for _, attempt := range r.unresolved {
		if !isDone(attempt) {
			kept = append(kept, attempt)
		}
	}
	r.unresolved = kept
}
