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

// Departures remembers the servers that were leaving or whose registration ended. A
// platform that returns from an older copy lists them as they were before.
type Departures struct {
	servers map[fleet.InstanceID]departure
	// returnedAsOf is the revision of the first snapshot of the current era, returnedAt when
	// it was observed.
	returnedAsOf Revision
	returnedAt   time.Time
}

// departure is what was known of a server in an era.
type departure struct {
	era     int64
	born    fleet.StartTime
	leaving bool
	removed bool
	at      time.Time
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

// Observe records the servers of a snapshot that are leaving, and drops the departures of
// those that are not. It reports whether the snapshot is the first of an era.
func (d *Departures) Observe(now time.Time, s Snapshot) bool {
	isFirst := s.AsOf.Era() != d.returnedAsOf.Era()
	if isFirst {
		d.returnedAsOf, d.returnedAt = s.AsOf, now
	}
	for _, server := range s.Servers {
		switch {
		case server.Draining:
			d.servers[server.ID] = departure{era: server.Revision.Era(), born: server.Born, leaving: true, at: now}
		case d.Standing(now, server) == Current:
			delete(d.servers, server.ID)
		}
	}
	d.dropOld(now)
	return isFirst
}

// RecordRemoved records that a server's registration ended.
func (d *Departures) RecordRemoved(now time.Time, server Server, leaving bool) {
	d.servers[server.ID] = departure{era: server.Revision.Era(), born: server.Born, leaving: leaving, removed: true, at: now}
}

// Standing returns how a listed server counts. What it registers after the return of the
// platform counts, and so does a later start under its ID.
//
// The registration of a removed server counts as well once it is listed for longer than
// it would be without the server: it had lapsed, and the server lives.
func (d *Departures) Standing(now time.Time, server Server) Standing {
	known, ok := d.servers[server.ID]
	isNewer := known.era == server.Revision.Era() || server.Revision > d.returnedAsOf || server.Born.Replaces(known.born)
	switch {
	case !ok || isNewer:
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
