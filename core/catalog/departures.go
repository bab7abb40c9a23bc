package catalog

import (
	"time"

	"chivespindle.example/core/fleet"
)

const (
	// lapseTime is how long the registration of a dead server is listed after the return of
	// the platform: three heartbeats of servers, and a second for the delay of the list.
	lapseTime = 5 * time.Second
	// departureRetention is how long a departure is remembered. A copy of the platform is
	// some seconds old.
	departureRetention = 5 * time.Minute
)

// Departures remembers the servers that are listed, were leaving or were removed. A
// platform that returns from an older copy lists those that have left as they were before.
type Departures struct {
	servers map[fleet.InstanceID]departure
	// returnedAsOf is the revision of the first snapshot of the current era, returnedAt when
	// it was observed.
	returnedAsOf Revision
	returnedAt   time.Time
}

// departure is what is known of a server.
type departure struct {
	era int64 // of the last registration
	// born and counter are the highest of any of its registrations: a copy may be older
	// than the last era.
	born    fleet.StartTime
	counter int64
	// leaving and removed are false for a server that is in use.
	leaving, removed bool
	at               time.Time // when it was last observed
}

// Standing is how a listed server counts.
type Standing uint8

const (
	// Current: the registration states the server's latest known state.
	Current Standing = iota
	// Leaving: the server was leaving before the platform returned from a copy that
	// lists it as ready.
	Leaving
	// Gone: the registration had ended before the platform returned from a copy that
	// lists it.
	Gone
)

// NewDepartures returns an empty record.
func NewDepartures() *Departures { return &Departures{servers: make(map[fleet.InstanceID]departure)} }

// Observe records the servers of a snapshot. It reports whether the snapshot is the first
// of an era.
func (d *Departures) Observe(now time.Time, s Snapshot) bool {
	isFirst := s.AsOf.Era() != d.returnedAsOf.Era()
	if isFirst {
		d.returnedAsOf, d.returnedAt = s.AsOf, now
	}
	for _, server := range s.Servers {
		d.observe(now, server)
	}
	d.dropOld(now)
	return isFirst
}

// ObserveChanges records the servers that are registered by changes after a revision, so
// that the cost does not grow with the number of servers.
func (d *Departures) ObserveChanges(now time.Time, changes []Change, after Revision) {
	for _, c := range changes {
		if c.Server != nil && c.Revision > after {
			d.observe(now, *c.Server)
		}
	}
}

func (d *Departures) observe(now time.Time, server Server) {
	if server.Draining || d.Standing(now, server) == Current {
		d.record(now, server, server.Draining, false)
	}
}

// RecordRemoved records that a server's registration ended.
func (d *Departures) RecordRemoved(now time.Time, server Server, leaving bool) {
	d.record(now, server, leaving, true)
}

func (d *Departures) record(now time.Time, server Server, leaving, removed bool) {
	known := d.servers[server.ID]
	d.servers[server.ID] = departure{
		era:     server.Revision.Era(),
		born:    max(server.Born, known.born),
		counter: max(server.Revision.Counter(), known.counter),
		leaving: leaving, removed: removed, at: now,
	}
}

// Standing returns how a listed server counts. What it registers after the return of the
// platform counts, and so does a later start under its ID. A registration was made after
// the return if it is not in the first snapshot of the era, or if its counter is higher
// than those of all known ones: a copy has no such registration.
//
// The registration of a removed server counts as well once it is listed for longer than
// it would be without the server: it had lapsed, and the server lives.
func (d *Departures) Standing(now time.Time, server Server) Standing {
	if server.Revision.Era() == 0 {
		return Current // the platform has not returned from a copy
	}
	known, ok := d.servers[server.ID]
	isLater := server.Revision.Era() == known.era || server.Revision > d.returnedAsOf ||
		server.Revision.Counter() > known.counter
	switch {
	case !ok || isLater || known.born != 0 && server.Born > known.born:
		return Current
	case known.removed && d.IsHolding(now):
		return Gone
	case known.leaving:
		return Leaving
	default:
		return Current
	}
}

// IsHolding reports whether the platform returned from an older copy so recently that it
// may list servers that have ended.
func (d *Departures) IsHolding(now time.Time) bool { return now.Sub(d.returnedAt) < lapseTime }

func (d *Departures) dropOld(now time.Time) {
	for id, known := range d.servers {
		if now.Sub(known.at) > departureRetention {
			delete(d.servers, id)
		}
	}
}
