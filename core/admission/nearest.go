package admission

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
)

// Other is another entry that shares the limits.
type Other struct {
	ID fleet.InstanceID
	fleet.Place
}

// Nearest returns at most limit of the other entries, those of the own zone and
// region before those far away. Of equally near ones each entry takes others,
// by hash: by id all entries of a large fleet would follow the same few.
func Nearest(self fleet.InstanceID, here fleet.Place, others []Other, limit int) []fleet.InstanceID {
	type candidate struct {
		id       fleet.InstanceID
		distance fleet.Distance
		draw     uint64
	}
	candidates := make([]candidate, 0, len(others))
	for _, o := range others {
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
