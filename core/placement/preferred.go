package placement

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

const (
	// preferredShare is the number of engines that an entry prefers, as a multiple
	// of its fair share, and minPreferred is the minimum number, so that some stay
	// available while others change their version.
	preferredShare = 2
	minPreferred   = 3
	// notPreferredCost is the cost of an engine that this entry does not prefer,
	// for each other entry that may choose it before its report arrives, up to
	// maxNotPreferredCost, which is about the cost of one more prefill there.
	notPreferredCost    = time.Millisecond
	maxNotPreferredCost = 30 * time.Millisecond
)

// SetSelf sets the ID and the location of this entry. It must be called before
// SetServers.
func (b *Balancer) SetSelf(self fleet.InstanceID, place fleet.Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self = self
	b.place = place
}

// notPreferredPenalty returns the cost of an engine that this entry does not
// prefer.
//
// With many entries, reports of each other's choices arrive late, and each free
// slot of a fully loaded fleet was taken by two or three of them: calls waited far
// longer than predicted. With preferences, each engine is mainly used by a few
// entries, whose own requests are most of its work and are known to them exactly.
func (b *Balancer) notPreferredPenalty(st *serverState) time.Duration {
	entries := 1 + b.remote.entryCount()
	preferred := (preferredShare*len(st.group.states) + entries - 1) / entries
	if b.self == "" || b.disabled.OwnEngines || st.rank < max(minPreferred, preferred) {
		return 0
	}
	return min(maxNotPreferredCost, time.Duration(b.remote.entryCount())*notPreferredCost)
}

// rankServers orders the servers of each service by this entry's preference: the
// nearest first, then by a hash that differs between entries. Evacuated servers are last:
// otherwise an entry next to them would have no preference among those that it can use.
func (b *Balancer) rankServers() {
	for _, g := range b.services {
		ordered := slices.Clone(g.states)
		slices.SortFunc(ordered, func(x, y *serverState) int {
			return cmp.Or(compareBools(x.Evacuated, y.Evacuated), cmp.Compare(x.distance, y.distance), cmp.Compare(x.hash, y.hash))
		})
		for rank, st := range ordered {
			st.rank = rank
		}
	}
}
