// Package feedtest has fleets of entries that exchange what they learn, for tests.
package feedtest

import (
	"fmt"
	"time"

	"github.com/onsi/gomega"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/linking"
)

// Registry is what an entry learned, exchanged as reports of type R. Merge returns
// what they change.
type Registry[R, C any] interface {
	Since(now time.Time, sent feed.Cursor, to feed.Source) ([]R, feed.Cursor)
	Merge(now time.Time, reports []R, from feed.Source) []C
}

// Fleet is entries in three regions, each with a registry.
type Fleet[R, C any, T Registry[R, C]] struct {
	Registries []T
	Now        time.Time
	entries    []entry
}

// entry is one of a fleet, with its links.
type entry struct {
	id   fleet.InstanceID
	plan linking.Plan
	sent map[fleet.InstanceID]feed.Cursor
}

// NewFleet returns size entries with new registries.
func NewFleet[R, C any, T Registry[R, C]](size int, now time.Time, newRegistry func() T) *Fleet[R, C, T] {
	members := make([]linking.Member, size)
	for i := range members {
		members[i] = linking.Member{
			ID:     fleet.InstanceID(fmt.Sprintf("10.0.%d.%d", i/250, i%250)),
			Region: fleet.Region(fmt.Sprint(i % 3)),
		}
	}
	f := &Fleet[R, C, T]{Now: now}
	for i, self := range members {
		others := append(append([]linking.Member(nil), members[:i]...), members[i+1:]...)
		f.entries = append(f.entries, entry{self.ID, linking.NewPlan(self, others), make(map[fleet.InstanceID]feed.Cursor)})
		f.Registries = append(f.Registries, newRegistry())
	}
	return f
}

// sourceOf returns what another entry is to e.
func (e entry) sourceOf(other entry) feed.Source {
	if e.plan.SameGroup[other.id] {
		return feed.Near
	}
	return feed.Far
}

// Exchange has all entries send one message over each of their links. None knows
// yet what another sends in the same round. It returns the number of reports sent.
func (f *Fleet[R, C, T]) Exchange() int {
	var deliver []func()
	count := 0
	for i, from := range f.entries {
		for j, to := range f.entries {
			if i == j || !from.plan.Includes(to.id) && !to.plan.Includes(from.id) {
				continue
			}
			reports, sent := f.Registries[i].Since(f.Now, from.sent[to.id], from.sourceOf(to))
			from.sent[to.id] = sent
			count += len(reports)
			deliver = append(deliver, func() { f.Registries[j].Merge(f.Now, reports, to.sourceOf(from)) })
		}
	}
	for _, merge := range deliver {
		merge()
	}
	return count
}

// ExpectSpread has the entries exchange messages until isKnown holds for every
// registry, and fails if that takes longer than allowed. A whole beat is sent to each
// entry in the pause between two rounds.
func (f *Fleet[R, C, T]) ExpectSpread(allowed time.Duration, isKnown func(T) bool) {
	const beat = 500 * time.Millisecond
	count := func() int {
		n := 0
		for _, r := range f.Registries {
			if isKnown(r) {
				n++
			}
		}
		return n
	}
	start := f.Now
	for count() < len(f.Registries) {
		f.Now = f.Now.Add(beat)
		gomega.Expect(f.Now.Sub(start)).To(gomega.BeNumerically("<=", allowed), "known to %d", count())
		f.Exchange()
	}
}

// Drain sends a peer all that it lacks. It returns the number of reports in all and
// in the largest message.
func Drain[R, C any](r Registry[R, C], now time.Time, sent feed.Cursor) (all, largest int) {
	for {
		var reports []R
		if reports, sent = r.Since(now, sent, feed.Near); len(reports) == 0 {
			return all, largest
		}
		all += len(reports)
		largest = max(largest, len(reports))
	}
}
