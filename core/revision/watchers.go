package revision

import (
	"bytes"
	"slices"

	"chivespindle.example/core/fleet"
)

// DefaultWatchers is the number of processes of an availability zone that watch
// the platform. With 9 zones that is 27 pending watches, whatever the size of
// the fleet; one is left after two of a zone fail at once.
const DefaultWatchers = 3

// watchLabel separates this ranking from other rankings of the same instances.
const watchLabel = "chivespindle watcher\n"

// Watchers returns the processes of one availability zone that watch the
// platform, in rank order: the n entry instances that rank highest by
// rendezvous hash, or agents if the zone has no entry instance. All processes
// with the same list get the same result without communication, and the end of
// one instance changes one place only.
//
// members are the zone's instances that the caller considers live; those that
// are leaving are skipped. The instance list lags, so the caller removes
// instances whose heartbeats have stopped. While lists differ, a few processes
// more or fewer watch, which costs a few calls.
func Watchers(members []fleet.Instance, n int) []fleet.InstanceID {
	candidates := notLeaving(members, fleet.RoleEntry)
	if len(candidates) == 0 {
		candidates = notLeaving(members, fleet.RoleAgent)
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

// notLeaving returns the ids of the instances of a role that are not leaving,
// without duplicates.
func notLeaving(members []fleet.Instance, role fleet.Role) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range members {
		if m.Role == role && !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
