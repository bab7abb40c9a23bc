package swarm

import (
	"bytes"
	"sort"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
)

// rankMembers orders members by rendezvous hashing with the manifest, so that
// all agents agree on who contacts the origin first, and different versions
// select different agents.
func rankMembers(manifest fleet.Digest, members []spread.Member) []spread.Member {
	ranked := append([]spread.Member(nil), members...)
	score := make(map[fleet.InstanceID]fleet.Digest, len(members))
	for _, m := range members {
		score[m.ID] = fleet.DigestOf(append(manifest[:], m.ID...))
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := score[ranked[i].ID], score[ranked[j].ID]
		return bytes.Compare(a[:], b[:]) < 0
	})
	return ranked
}

// rankOf returns the position of id, or the length of the list if id is not in
// it: an instance that is not listed yet comes last.
func rankOf(ranked []spread.Member, id fleet.InstanceID) int {
	for i, m := range ranked {
		if m.ID == id {
			return i
		}
	}
	return len(ranked)
}
