package admission

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
)

// Peer is another entry that shares the limits.
type Peer struct {
	ID fleet.InstanceID
	fleet.Place
}

// Nearest returns at most limit of the peers, those in the same zone first, then those
// in the same region, then the rest. Among equally near peers each entry chooses
// differently, by hash: ordered by ID, all entries of a large fleet would follow the same
// few peers.
func Nearest(self fleet.InstanceID, here fleet.Place, peers []Peer, limit int) []fleet.InstanceID {
	type candidate struct {
		id       fleet.InstanceID
		distance fleet.Distance
		draw     uint64
	}
	candidates := make([]candidate, 0, len(peers))
	for _, o := range peers {
		candidates = append(candidates, candidate{o.ID, here.DistanceTo(o.Place), xxhash.Sum64String(string(self) + "/" + string(o.ID))})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.draw, b.draw))
	})
	var ids []fleet.InstanceID
	for _, c := range candidates[:min(limit, len(candidates))] {
		ids = append(ids, c.id)
	}
	return ids
}
