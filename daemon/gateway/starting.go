package gateway

import (
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/daemon/mesh"
)

// An entry that has just started knows nothing, and all others may have started with
// it: after a loss of power they come back together, and callers come at once.

const (
	// hearsAllWithin is the time in which an entry that has started has heard of
	// every agent.
	hearsAllWithin = 900 * time.Millisecond
	// newFor is how long an entry counts as new: engines that started at the same
	// moment answer by then, and usuallyLoaded is when the first of them do.
	newFor        = 3 * time.Second
	usuallyLoaded = 1300 * time.Millisecond
	// loadPoll is how soon one is expected that is later.
	loadPoll = 250 * time.Millisecond
	// unheardReadAfter is the longest time for which an entry that has started waits
	// to hear of others of its region before it lists the platform's catalog, by
	// chance, and othersReadFirst how long it leaves that to those that come before
	// it and have none either.
	unheardReadAfter = 500 * time.Millisecond
	othersReadFirst  = 800 * time.Millisecond
)

func (g *Gateway) hearsAll(now time.Time) bool { return now.Sub(g.started) >= hearsAllWithin }

func (g *Gateway) isNew(now time.Time) bool { return now.Sub(g.started) < newFor }

// loadedAt is when the first engine of a service is expected that has lost its weights
// with the power, seen from an entry that is new and knows of no engine to use.
func (g *Gateway) loadedAt(now time.Time) time.Time {
	at := g.started.Add(usuallyLoaded)
	if soon := now.Add(loadPoll); soon.After(at) {
		return soon
	}
	return at
}

// noteDeclined follows a call that a server declined. If that is an engine which no
// agent has reported to an entry that has just started, the registrations are from
// before a loss of power: for seconds the platform lists engines that have lost their
// weights.
func (g *Gateway) noteDeclined(now time.Time, s placement.Server) {
	_, reported := g.replicas[s.Addr.Addr()]
	if reported || g.hearsAll(now) || g.doubtsRegistrations || !g.isEngine(s.Service) {
		return
	}
	g.doubtsRegistrations = true
	g.changed = true
	g.opts.Logger.Warn("registrations_doubted", zap.String("server", string(s.ID)))
}

// readsFirst reports whether an entry without a catalog lists the platform's. Peers
// send a compressed copy.
//
// Listed by all entries at the same moment, a large configuration fills the links
// between regions for seconds, and with them the way of everything by which agents and
// entries find each other.
func (g *Gateway) readsFirst(now time.Time) bool {
	rank, others := startingRank(g.mesh.Entries(now), g.opts.Self, g.opts.Place.Region)
	switch waited := now.Sub(g.started); {
	case others == 0:
		return waited >= g.listsAfter
	default:
		return rank < regionReaders || waited >= othersReadFirst
	}
}

// startingRank is the place of an entry among those of its region that are there,
// whether they take requests yet or not, and the number of the others.
func startingRank(entries []mesh.Entry, self fleet.InstanceID, region fleet.Region) (rank, others int) {
	for _, e := range entries {
		if !e.Near || e.Place.Region != region || e.Leaving || e.Silent || e.TurnedAway {
			continue
		}
		others++
		if e.ID < self {
			rank++
		}
	}
	return rank, others
}
