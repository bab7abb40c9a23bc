package spread

import (
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// crossRegionDelay is how long after a chunk first appears a member leaves it to its
// region before it fetches the chunk from another region regardless of rank. A version
// of a few megabytes passes through a region within this time, so a chunk still missing
// then was lost or is late.
const crossRegionDelay = 1500 * time.Millisecond

// rankInRegion computes the chunks that this member fetches from other regions on
// behalf of its own.
func (r *roster) rankInRegion() {
	if r.firstInRegion == nil {
		return
	}
	var others []uint64
	for _, m := range r.members {
		if m.Region == r.self.Region && m.ID != r.self.ID {
			others = append(others, r.seed("member", m.ID))
		}
	}
	r.firstInRegion.Clear()
	for chunk, own := range r.score {
		isAbove := func(seed uint64) bool { return score(seed, chunk) > own }
		if !slices.ContainsFunc(others, isAbove) {
			r.firstInRegion.Add(chunk)
		}
	}
}

// deferToRegion removes from the wanted chunks those that another member of this
// member's region holds or is responsible for fetching.
//
// Links between regions are shared and costly. If every member fetched the first
// chunk it found, a version would cross them many times. With one responsible member
// per region and chunk, a version crosses each link about once, and staging takes
// hardly longer.
func (p *Plan) deferToRegion(now time.Time) {
	p.heldInRegion.Clear()
	for _, from := range p.peers {
		if from.distance <= fleet.SameRegion && !from.avoided {
			p.heldInRegion.Union(from.have) // also if the peer is busy
		}
	}
	for chunk := range p.wanted.All() {
		isLate := now.Sub(p.seenAt[chunk]) >= crossRegionDelay
		if !isLate && (!p.roster.firstInRegion.Has(chunk) || p.heldInRegion.Has(chunk)) {
			p.wanted.Remove(chunk)
		}
	}
}
