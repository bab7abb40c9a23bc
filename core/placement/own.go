package placement

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

const (
	// ownShare is how many engines an entry prefers, as a multiple of its fair
	// share of them, and ownLeast how many at least: some stay while others of
	// them change their version.
	ownShare = 2
	ownLeast = 3
	// othersCost is the cost of an engine that other entries prefer, for each of
	// them that may choose it before it is heard, up to othersMost, which is about
	// that of one more prompt to read there.
	othersCost = time.Millisecond
	othersMost = 30 * time.Millisecond
)

// SetSelf tells which entry the board is of. It is called before SetServers.
func (b *Balancer) SetSelf(self fleet.InstanceID, place fleet.Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self = self
	b.place = place
}

// costOfOthers is what an engine costs that this entry does not prefer.
//
// Many entries hear each other's choices late, and each free place of a full fleet
// was taken by two or three: calls waited far longer than predicted. Each engine is
// preferred by few entries, whose own requests are most of its work and are known
// exactly.
func (b *Balancer) costOfOthers(st *state) time.Duration {
	entries := 1 + b.others.known()
	share := (ownShare*len(st.group.states) + entries - 1) / entries
	if b.self == "" || b.off.OwnEngines || st.rank < max(ownLeast, share) {
		return 0
	}
	return min(othersMost, time.Duration(b.others.known())*othersCost)
}

// rankServers orders the servers of each service by how this entry prefers
// them: the nearest first, then by a hash that differs by entry.
func (b *Balancer) rankServers() {
	for _, g := range b.services {
		ordered := slices.Clone(g.states)
		slices.SortFunc(ordered, func(x, y *state) int {
			return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(x.hash, y.hash))
		})
		for rank, st := range ordered {
			st.rank = rank
		}
	}
}
