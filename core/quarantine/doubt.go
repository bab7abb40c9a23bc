package quarantine

import (
	"time"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
)

const (
	// doubtLife is how long a crash of the server counts against an attempt that ended
	// before it was known: a crashed server is registered anew within it.
	doubtLife = 4 * time.Second
	// mostDoubts bounds the attempts that are kept; the oldest go first.
	mostDoubts = 256
)

// doubt is an attempt whose outcome is unknown: its client disconnected, or the check
// of its server was inconclusive.
type doubt struct {
	request Fingerprint
	server  fleet.InstanceID
	at      time.Time
}

// Doubt records that an attempt at a server ended without its outcome. It counts as
// in flight if the server turns out to have crashed.
func (r *Registry) Doubt(now time.Time, request Fingerprint, server fleet.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubts = append(r.doubts, doubt{request, server, now})
	r.dropDoubts(func(d doubt) bool { return now.Sub(d.at) >= doubtLife })
	if over := len(r.doubts) - mostDoubts; over > 0 {
		r.doubts = append([]doubt(nil), r.doubts[over:]...)
	}
}

// IsDoubted reports whether an attempt at the server ended without its outcome.
func (r *Registry) IsDoubted(now time.Time, server fleet.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.doubts {
		if d.server == server && now.Sub(d.at) < doubtLife {
			return true
		}
	}
	return false
}

// ServerCrashed counts the crash of a server against the attempts there that ended
// without their outcome, and returns the requests that are quarantined by it.
func (r *Registry) ServerCrashed(now time.Time, server fleet.InstanceID) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var quarantined []Fingerprint
	for _, d := range r.doubts {
		if d.server != server || now.Sub(d.at) >= doubtLife {
			continue
		}
		rec := r.record(now, d.request)
		was := rec.standing().IsQuarantined()
		r.add(rec, observation{server: server, at: d.at}, feed.Own)
		if !was && rec.standing().IsQuarantined() {
			quarantined = append(quarantined, d.request)
		}
	}
	r.dropDoubts(func(d doubt) bool { return d.server == server })
	return quarantined
}

func (r *Registry) dropDoubts(isOver func(doubt) bool) {
	kept := r.doubts[:0]
	for _, d := range r.doubts {
		if !isOver(d) {
			kept = append(kept, d)
		}
	}
	r.doubts = kept
}
