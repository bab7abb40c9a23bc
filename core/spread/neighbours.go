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

// suspect is a member that could not be reached or was lost.
type suspect struct {
	until time.Time
	times int
}

// SetMembers takes the agents that want this manifest, self included or not,
// from the lagging instance list.
func (p *Plan) SetMembers(now time.Time, members []Member) {
	p.clock = now
	changed := p.roster.set(members)
	p.draws.listed = true
	if changed && p.draws.isOpen() {
		p.schedule()
	}
}

// Neighbours returns the members to keep a connection to, at most
// MaxNeighbours of them.
//
// All members of a list are placed on rings by hash, and a member chooses its
// successors: one on the ring of the whole fleet, which alone connects the
// graph, one on that of each other region, one on that of its own region, and
// the rest on rings of its own availability zone. The union of random rings is
// a random regular graph, so few hops lead from any member to any other. A
// change of the list moves only the edges next to it. A member that is down is
// passed over for a while, so that a stale list does not thin out the graph.
func (p *Plan) Neighbours() []Member {
	usable := slices.DeleteFunc(slices.Clone(p.roster.members), func(m Member) bool {
		return p.clock.Before(p.suspects[m.ID].until)
	})
	return p.roster.choose(p.self, usable, p.settings.MaxNeighbours)
}

// Admit reports whether to accept a connection that m asks for. It accepts
// twice MaxNeighbours connections in all, and always the member that precedes
// this one on the ring of the fleet, since that edge keeps the graph whole.
func (p *Plan) Admit(m Member) bool {
	if len(p.peers) < 2*p.settings.MaxNeighbours || p.peer(m.ID) != nil {
		return true
	}
	next, ok := p.roster.successor(fleetRing, m.ID, p.roster.members, nil)
	return ok && next.ID == p.self.ID
}

// suspect passes over a member that is down, longer each time.
func (p *Plan) suspect(now time.Time, id fleet.InstanceID) {
	p.clock = now
	s := p.suspects[id]
	s.times++
	s.until = now.Add(doubling(suspectPauseMin, s.times, suspectPauseMax))
	p.suspects[id] = s
}

const fleetRing = "ring fleet"

// choose returns the neighbours of a member among the usable members.
func (r *roster) choose(from Member, usable []Member, limit int) []Member {
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

// successor returns the first of the members after id on a ring that is not in
// skip.
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

// otherRegions returns the regions of members but for own, sorted.
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

// doubling returns first doubled for each time after the first, at most limit.
func doubling(first time.Duration, times int, limit time.Duration) time.Duration {
	return min(limit, first<<min(maxShift, max(0, times-1)))
}
