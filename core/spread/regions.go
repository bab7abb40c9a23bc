package spread

import (
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// farAfter is how long a chunk that exists is left to the own region before a
// member fetches it from another one all the same: the time in which a version
// of some megabytes passes through a region, so that what is missing then was
// lost or is late.
const farAfter = 1500 * time.Millisecond

// rankInRegion finds the chunks that this member fetches from other regions for
// its own.
func (r *roster) rankInRegion() {
	if r.crosses == nil {
		return
	}
	var others []uint64
	for _, m := range r.members {
		if m.Region == r.self.Region && m.ID != r.self.ID {
			others = append(others, r.seed("member", m.ID))
		}
	}
	r.crosses.Clear()
	for chunk, own := range r.score {
		isAbove := func(seed uint64) bool { return score(seed, chunk) > own }
		if !slices.ContainsFunc(others, isAbove) {
			r.crosses.Add(chunk)
		}
	}
}

// leaveToRegion takes from the wanted chunks those that another member of the
// own region has or will fetch.
//
// Links between regions are shared by all and cost. Where every member fetched
// what it found first, a version crossed them many times; with one member of each
// region for each chunk it crosses about once, and is staged hardly later.
func (p *Plan) leaveToRegion(now time.Time) {
	p.near.Clear()
	for _, from := range p.peers {
		if from.distance <= fleet.SameRegion && !from.avoided {
			p.near.Union(from.have) // busy or not
		}
	}
	for chunk := range p.wanted.All() {
		isLate := now.Sub(p.seenAt[chunk]) >= farAfter
		if !isLate && (!p.roster.crosses.Has(chunk) || p.near.Has(chunk)) {
			p.wanted.Remove(chunk)
		}
	}
}
