// Package feedtest has fleets of entries that exchange what they learn, for tests.
package feedtest

import (
	"fmt"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/linking"
)

// Entry is one of a fleet, with its links.
type Entry struct {
	ID   fleet.InstanceID
	plan linking.Plan
	sent map[fleet.InstanceID]feed.Cursor
}

// Fleet returns size entries in three regions.
func Fleet(size int) []*Entry {
	members := make([]linking.Member, size)
	for i := range members {
		members[i] = linking.Member{
			ID:     fleet.InstanceID(fmt.Sprintf("10.0.%d.%d", i/250, i%250)),
			Region: fleet.Region(fmt.Sprint(i % 3)),
		}
	}
	entries := make([]*Entry, size)
	for i, self := range members {
		others := append(append([]linking.Member(nil), members[:i]...), members[i+1:]...)
		entries[i] = &Entry{self.ID, linking.For(self, others), make(map[fleet.InstanceID]feed.Cursor)}
	}
	return entries
}

// sourceOf returns what another entry is to e.
func (e *Entry) sourceOf(other *Entry) feed.Source {
	if e.plan.Near[other.ID] {
		return feed.Near
	}
	return feed.Far
}

// Registry is what an entry learned, exchanged as reports of type R.
type Registry[R any] interface {
	Since(sent feed.Cursor, to feed.Source) ([]R, feed.Cursor)
	Merge(reports []R, from feed.Source)
}

// Exchange has all entries send one message over each of their links. None knows
// yet what another sends in the same round. It returns the number of reports sent.
func Exchange[R any](entries []*Entry, registryOf func(i int) Registry[R]) int {
	var deliver []func()
	count := 0
	for i, from := range entries {
		for j, to := range entries {
			if i == j || !from.plan.Wants(to.ID) && !to.plan.Wants(from.ID) {
				continue
			}
			reports, sent := registryOf(i).Since(from.sent[to.ID], from.sourceOf(to))
			from.sent[to.ID] = sent
			count += len(reports)
			deliver = append(deliver, func() { registryOf(j).Merge(reports, to.sourceOf(from)) })
		}
	}
	for _, f := range deliver {
		f()
	}
	return count
}
