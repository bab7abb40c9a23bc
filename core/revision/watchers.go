package revision

import (
	"bytes"
	"slices"

	"chivespindle.example/core/fleet"
)

// DefaultWatchers is how many processes of an availability zone watch the
// platform. With 9 zones that is 27 waiting watches, whatever the size of the
// fleet; one is left after two of a zone failed at once.
const DefaultWatchers = 3

// watchLabel keeps this rank apart from other ranks over the same instances.
const watchLabel = "chivespindle watcher\n"

// Watchers returns the processes of one availability zone that watch the
// platform, the first in rank first: the n entry instances that rank highest
// by rendezvous hash, agents if the zone has no entry instance. All who see
// the same list come to the same answer without talking, and the end of one
// instance changes one place only.
//
// members are the zone's instances that the caller holds for alive; those
// that are leaving are passed over. The instance list lags, so the caller
// takes out the instances whose heartbeats have stopped. If lists differ for
// a while, a few processes more or fewer watch, which costs a few calls.
func Watchers(members []fleet.Instance, n int) []fleet.InstanceID {
	candidates := staying(members, fleet.RoleEntry)
	if len(candidates) == 0 {
		candidates = staying(members, fleet.RoleAgent)
	}
	score := make(map[fleet.InstanceID]fleet.Digest, len(candidates))
	for _, id := range candidates {
		score[id] = fleet.DigestOf([]byte(watchLabel + string(id)))
	}
	slices.SortFunc(candidates, func(a, b fleet.InstanceID) int {
		x, y := score[a], score[b]
		return bytes.Compare(y[:], x[:])
	})
	return candidates[:min(n, len(candidates))]
}

// staying lists the instances of a role that are not leaving, each once.
func staying(members []fleet.Instance, role fleet.Role) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range members {
		if m.Role == role && !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
