package coldstart

import (
	"sync"
	"time"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
)

// Source is why a server counts as cold.
type Source string

const (
	// FromRegistration: its registration states a remaining cold time.
	FromRegistration Source = "registration"
	// FromStart: it is new or has restarted, and its registration states nothing.
	FromStart Source = "start"
	// FromResponse: one of its responses states a remaining cold time.
	FromResponse Source = "response"
)

const (
	// retention is how long an unlisted server is remembered. Its registration may only
	// have lapsed, and its return is not a start.
	retention = 10 * time.Minute
	// tolerance is the difference between two statements of the same end: both are
	// rounded, and responses are delayed differently.
	tolerance = 50 * time.Millisecond
)

// Registry holds until when servers are cold. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	records map[fleet.InstanceID]*record
	hasList bool
}

// record is the state of a server.
type record struct {
	born fleet.StartTime
	// revision is that of the last registration that stated left.
	revision catalog.Revision
	left     time.Duration
	states   bool
	// extendedAt is when until last became later: when the server became cold, or cold for
	// longer.
	extendedAt time.Time
	until      time.Time
	source     Source
	unlistedAt time.Time // zero while it is listed
}

// NewRegistry returns a registry that knows no servers.
func NewRegistry() *Registry { return &Registry{records: make(map[fleet.InstanceID]*record)} }

// Update records the listed servers. durationOf returns the cold time of a service's
// servers after their start, 0 if they are never cold. It returns the servers that state
// an invalid remaining time, once for each registration; durationOf applies to them.
//
// The servers of the first list may have started long before, so only their own
// statements count.
func (r *Registry) Update(now time.Time, listed []catalog.Server, durationOf func(fleet.ServiceName) time.Duration) (invalid []catalog.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isListed := make(map[fleet.InstanceID]bool, len(listed))
	for _, s := range listed {
		isListed[s.ID] = true
		if !r.observe(now, s, durationOf(s.Service)) {
			invalid = append(invalid, s)
		}
	}
	r.hasList = true
	for id, rec := range r.records {
		switch {
		case isListed[id]:
			rec.unlistedAt = time.Time{}
		case rec.unlistedAt.IsZero():
			rec.unlistedAt = now
		case now.Sub(rec.unlistedAt) >= retention:
			delete(r.records, id)
		}
	}
	return invalid
}

// observe records a listed server and reports whether its registration is valid.
func (r *Registry) observe(now time.Time, s catalog.Server, duration time.Duration) bool {
	rec := r.records[s.ID]
	hasStarted := rec == nil && r.hasList
	if rec == nil || s.Born.Replaces(rec.born) {
		hasStarted = hasStarted || rec != nil
		rec = &record{}
		r.records[s.ID] = rec
	}
	if s.Born != 0 {
		rec.born = s.Born
	}
	switch {
	case s.StatesColdLeft && !rec.isRepeated(s):
		rec.revision, rec.left, rec.states = s.Revision, s.ColdLeft, true
		isValid := s.ColdLeft >= 0 && s.ColdLeft <= MaxLeft
		left := s.ColdLeft
		if !isValid {
			left = duration
		}
		// A registration may be read long after it was written, so it does not shorten
		// what a response states.
		if until := now.Add(left); rec.source != FromResponse || until.After(rec.until) {
			rec.set(now, until, FromRegistration)
		}
		return isValid
	case hasStarted && !s.StatesColdLeft:
		rec.set(now, now.Add(duration), FromStart)
	}
	return true
}

// isRepeated reports whether a registration was read before. After a return of the
// platform from an older copy, all registrations are read again under revisions of the new
// era, with a remaining time of long ago.
func (rec *record) isRepeated(s catalog.Server) bool {
	if !rec.states {
		return false
	}
	return rec.revision == s.Revision || rec.revision.Era() != s.Revision.Era() && rec.left == s.ColdLeft
}

func (rec *record) set(now, until time.Time, source Source) {
	if until.After(rec.until) || !now.Before(rec.until) {
		rec.extendedAt = now
	}
	rec.until, rec.source = until, source
}

// RecordStated records that a response to a request sent at the given time states how much
// longer the server is cold, 0 if it is not. It reports whether this changed the end. A
// request that was sent before the end last became later neither ends nor shortens the cold
// time: its response may have been delayed, and the server may have become cold again since.
func (r *Registry) RecordStated(now, sent time.Time, server fleet.InstanceID, left time.Duration) (until time.Time, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[server]
	if rec == nil {
		rec = &record{unlistedAt: now}
		r.records[server] = rec
	}
	isCold := now.Before(rec.until)
	until = now.Add(left)
	switch {
	case left == 0 && !isCold, until.Before(rec.until) && sent.Before(rec.extendedAt):
		return rec.until, false
	case isCold && left > 0 && until.Sub(rec.until).Abs() <= tolerance:
		return rec.until, false
	}
	rec.set(now, until, FromResponse)
	return until, true
}

// Until returns until when a server is cold, and why. The time may have passed.
func (r *Registry) Until(server fleet.InstanceID) (time.Time, Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[server]; rec != nil {
		return rec.until, rec.source
	}
	return time.Time{}, ""
}
