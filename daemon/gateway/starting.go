package gateway

import (
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/daemon/mesh"
)

// An entry that has just started has no state, and all others may have started at the
// same time: after a power failure they restart together, and callers connect at once.

const (
	// allAgentsReportWithin is how long after its start an entry has received a report of
	// every agent.
	allAgentsReportWithin = 900 * time.Millisecond
	// newEntryPeriod is how long after its start an entry counts as new. Engines that started at
	// the same time answer by then, the first of them after typicalLoadTime.
	newEntryPeriod  = 3 * time.Second
	typicalLoadTime = 1300 * time.Millisecond
	// lateLoadDelay is how soon the first engine is expected once typicalLoadTime has passed.
	lateLoadDelay = 250 * time.Millisecond
	// maxListDelay bounds the random time for which an entry that has started and
	// knows no other entry of its region waits before it lists the platform's catalog.
	// lowerRankDelay is how long it leaves that to entries of a lower rank, which have
	// no catalog either.
	maxListDelay   = 500 * time.Millisecond
	lowerRankDelay = 800 * time.Millisecond
)

func (g *Gateway) knowsAllAgents(now time.Time) bool {
	return now.Sub(g.started) >= allAgentsReportWithin
}

func (g *Gateway) isNew(now time.Time) bool { return now.Sub(g.started) < newEntryPeriod }

// expectedLoadTime estimates when the first engine of a service is ready after a power failure
// in which all engines lost their weights. It is for a new entry that knows of no usable
// engine.
func (g *Gateway) expectedLoadTime(now time.Time) time.Time {
	at := g.started.Add(typicalLoadTime)
	if soon := now.Add(lateLoadDelay); soon.After(at) {
		return soon
	}
	return at
}

// handleDeclined handles a call that a server declined. If this entry has just started and
// the server is an engine that no agent has reported, the registrations are taken to be
// from before a power failure: for seconds after one, the platform lists engines that
// have lost their weights.
func (g *Gateway) handleDeclined(now time.Time, s placement.Server) {
	_, reported := g.replicas[s.Addr.Addr()]
	if reported || g.knowsAllAgents(now) || g.suspectsRegistrations || !g.isEngine(s.Service) {
		return
	}
	g.suspectsRegistrations = true
	g.changed = true
	g.opts.Logger.Warn("registrations_doubted", zap.String("server", string(s.ID)))
}

// listsCatalogFirst reports whether an entry without a catalog lists the platform's,
// instead of waiting for the compressed copy of a peer.
//
// If all entries listed a large configuration at the same time, it would fill the links
// between regions for seconds and delay the messages by which agents and entries discover
// each other.
func (g *Gateway) listsCatalogFirst(now time.Time) bool {
	rank, others := startingRank(g.mesh.Entries(now), g.opts.Self, g.opts.Place.Region)
	switch waited := now.Sub(g.started); {
	case others == 0:
		return waited >= g.listDelay
	default:
		return rank < readersPerGroup || waited >= lowerRankDelay
	}
}

// startingRank returns the rank of an entry by id among the live entries of its region,
// whether or not they accept requests yet, and the number of the others.
func startingRank(entries []mesh.Entry, self fleet.InstanceID, region fleet.Region) (rank, others int) {
	for _, e := range entries {
		if !e.SameGroup || e.Place.Region != region || e.Leaving || e.Silent || e.PlatformUnresponsive {
			continue
		}
		others++
		if e.ID < self {
			rank++
		}
	}
	return rank, others
}
