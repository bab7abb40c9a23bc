package revision_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
)

func instances(role fleet.Role, n int) []fleet.Instance {
	list := make([]fleet.Instance, n)
	for i := range list {
		list[i] = fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("%s-%d", role, i)), Role: role}
	}
	return list
}

func ids(members []fleet.Instance) []fleet.InstanceID {
	list := make([]fleet.InstanceID, len(members))
	for i, m := range members {
		list[i] = m.ID
	}
	return list
}

func TestWatchers(t *testing.T) {
	entries := instances(fleet.RoleEntry, 5)
	agents := instances(fleet.RoleAgent, 4)
	leaving := slices.Clone(entries)
	for i := range leaving {
		leaving[i].Leaving = i != 2
	}
	gone := slices.Clone(entries)
	for i := range gone {
		gone[i].Leaving = true
	}
	for name, c := range map[string]struct {
		members []fleet.Instance
		from    []fleet.InstanceID
		want    int
	}{
		"entry instances before agents":        {append(slices.Clone(entries), agents...), ids(entries), 3},
		"leaving instances are skipped":        {append(leaving, agents...), ids(entries[2:3]), 1},
		"agents if every entry is leaving":     {append(gone, agents...), ids(agents), 3},
		"agents in a zone without entries":     {agents, ids(agents), 3},
		"fewer than wanted":                    {entries[:2], ids(entries[:2]), 2},
		"one instance that is listed twice":    {append(slices.Clone(entries[:1]), entries[0]), ids(entries[:1]), 1},
		"operators never":                      {instances(fleet.RoleOperator, 3), nil, 0},
		"an empty zone":                        {nil, nil, 0},
		"a leaving instance beside a live one": {leaving, ids(entries[2:3]), 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := revision.Watchers(c.members, revision.DefaultWatchers)
			g.Expect(got).To(HaveLen(c.want))
			for _, id := range got {
				g.Expect(c.from).To(ContainElement(id))
			}
		})
	}
}

// TestWatchersAgreeAndChangeLittle ranks the same list in different orders. Two
// processes with different results would both watch, or neither. When a watcher
// ends, the others must continue; otherwise one failure briefly cuts off a zone
// from changes.
func TestWatchersAgreeAndChangeLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := instances(fleet.RoleEntry, rapid.IntRange(1, 40).Draw(t, "members"))
		before := revision.Watchers(members, revision.DefaultWatchers)
		shuffled := rapid.Permutation(members).Draw(t, "order")
		if got := revision.Watchers(shuffled, revision.DefaultWatchers); !slices.Equal(got, before) {
			t.Fatalf("%v in another order gave %v", before, got)
		}
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		left := slices.Delete(slices.Clone(members), gone, gone+1)
		after := revision.Watchers(left, revision.DefaultWatchers)
		for _, id := range before {
			if id != members[gone].ID && !slices.Contains(after, id) {
				t.Fatalf("%s stopped watching when %s ended", id, members[gone].ID)
			}
		}
	})
}
