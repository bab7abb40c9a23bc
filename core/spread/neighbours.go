package spread

import (
	"math"
	"slices"
	"strconv"
	"time"

	"chivespindle.example/core/fleet"
)

const (
	suspectPauseMin = 5 * time.Second
	suspectPauseMax = time.Minute
	// maxShift bounds the exponent of every doubling pause.
	maxShift = 16
)

// suspect is a member that could not be reached or whose connection was lost.
type suspect struct {
	until time.Time
	times int
}

// SetMembers sets the agents that want this manifest, with or without self, from the
// instance list, which may be stale.
func (p *Plan) SetMembers(now time.Time, members []Member) {
	p.clock = now
	changed := p.roster.setMembers(members)
	p.upstream.hasMembers = true
	if changed && p.upstream.isOpen() {
		p.buildTimeline()
	}
}

// Neighbours returns the members to keep a connection to, at most MaxNeighbours.
//
// All listed members are placed on rings by hash, and a member chooses its successors:
// one on the ring of the whole fleet, which alone keeps the graph connected, one on the
// ring of each other region, one on the ring of its own region, and the rest on rings
// of its own availability zone. The union of random rings is a random regular graph, so
// any two members are few hops apart. A change of the list affects only the adjacent
// edges. Unreachable members are skipped for a while, so that a stale list does not
// reduce the degree of the graph.
func (p *Plan) Neighbours() []Member {
	usable := slices.DeleteFunc(slices.Clone(p.roster.members), func(m Member) bool {
		return p.clock.Before(p.suspects[m.ID].until)
	})
	return p.roster.chooseNeighbours(p.self, usable, p.settings.MaxNeighbours)
}

// Admit reports whether to accept a connection that m requests. It accepts up to twice
// MaxNeighbours connections in total, and always accepts the member that precedes this
// one on the ring of the fleet, since that edge keeps the graph connected.
func (p *Plan) Admit(m Member) bool {
	if len(p.peers) < 2*p.settings.MaxNeighbours || p.peer(m.ID) != nil {
		return true
	}
	next, ok := p.roster.successor(fleetRing, m.ID, p.roster.members, nil)
	return ok && next.ID == p.self.ID
}

// markSuspect excludes an unreachable member from the choice of neighbours, longer after
// each failure.
func (p *Plan) markSuspect(now time.Time, id fleet.InstanceID) {
	p.clock = now
	s := p.suspects[id]
	s.times++
	s.until = now.Add(doubling(suspectPauseMin, s.times, suspectPauseMax))
	p.suspects[id] = s
}

const fleetRing = "ring fleet"

// chooseNeighbours returns the neighbours of a member among the usable members.
func (r *roster) chooseNeighbours(from Member, usable []Member, limit int) []Member {
	var chosen []Member
	add := func(ring string, among []Member) bool {
		if len(chosen) >= limit {
			return false
		}
		next, ok := r.successor(ring, from.ID, among, chosen)
		if ok {
			chosen = append(chosen, next)
		}
		return ok
	}
	add(fleetRing, usable)
	for _, region := range r.otherRegions(from.Region, usable) {
		add("ring region", inRegion(usable, region))
	}
	add("ring region", inRegion(usable, from.Region))
	zone := inZone(usable, from.Zone)
	for ring := range limit {
		add("ring zone"+strconv.Itoa(ring), zone)
	}
	for add("ring rest", usable) {
	}
	return chosen
}

// successor returns the first of members after id on a ring that is not in skip.
func (r *roster) successor(ring string, id fleet.InstanceID, members, skip []Member) (Member, bool) {
	own := r.seed(ring, id)
	nearest := uint64(math.MaxUint64)
	var next Member
	for _, m := range members {
		if m.ID == id || slices.ContainsFunc(skip, func(s Member) bool { return s.ID == m.ID }) {
			continue
		}
		if gap := r.seed(ring, m.ID) - own; gap <= nearest {
			nearest = gap
			next = m
		}
	}
	return next, next.ID != ""
}

// otherRegions returns the regions of members except own, sorted.
func (r *roster) otherRegions(own fleet.Region, members []Member) []fleet.Region {
	var regions []fleet.Region
	for _, m := range members {
		if m.Region != own {
			regions = append(regions, m.Region)
		}
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

func inRegion(members []Member, region fleet.Region) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Region != region })
}

func inZone(members []Member, zone fleet.Zone) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Zone != zone })
}

// doubling returns first, doubled for each failure after the first, up to limit.
func doubling(first time.Duration, times int, limit time.Duration) time.Duration {
	return min(limit, first<<min(maxShift, max(0, times-1)))
}
