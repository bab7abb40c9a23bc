package swarm

import (
	"bytes"
	"sort"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
)

// rankMembers orders members by rendezvous hash with the manifest, so that
// all agents agree on who asks the origin first, and each version asks others.
func rankMembers(manifest fleet.Digest, members []spread.Member) []spread.Member {
	ranked := append([]spread.Member(nil), members...)
	weight := make(map[fleet.InstanceID]fleet.Digest, len(members))
	for _, m := range members {
		weight[m.ID] = fleet.DigestOf(append(manifest[:], m.ID...))
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := weight[ranked[i].ID], weight[ranked[j].ID]
		return bytes.Compare(a[:], b[:]) < 0
	})
	return ranked
}

// rankOf returns the position of id, or the length if it is not listed: an
// instance that the list does not name yet asks last.
func rankOf(ranked []spread.Member, id fleet.InstanceID) int {
	for i, m := range ranked {
		if m.ID == id {
			return i
		}
	}
	return len(ranked)
}
