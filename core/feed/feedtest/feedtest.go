// Package feedtest simulates fleets of entries that exchange reports, for tests.
package feedtest

import (
	"fmt"
	"time"

	"github.com/onsi/gomega"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/linking"
)

// Registry holds the observations of an entry, which are exchanged as reports of type R.
// Merge returns the changes that the reports cause.
type Registry[R, C any] interface {
	Since(now time.Time, sent feed.Cursor, to feed.Source) ([]R, feed.Cursor)
	Merge(now time.Time, reports []R, from feed.Source) []C
}

// Fleet is a set of entries in three regions, each with a registry.
type Fleet[R, C any, T Registry[R, C]] struct {
	Registries []T
	Now        time.Time
	entries    []entry
}

// entry is an entry of a fleet, with its links.
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

// sourceOf returns whether another entry is in the same group as e.
func (e entry) sourceOf(other entry) feed.Source {
	if e.plan.SameGroup[other.id] {
		return feed.SameGroup
	}
	return feed.OtherGroup
}

// Exchange makes all entries send one message over each of their links. The messages of
// a round are merged after all have been sent. It returns the number of reports sent.
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

// ExpectSpread makes the entries exchange messages until isKnown holds for every
// registry, and fails if that takes longer than allowed. The pause between
// two rounds is the interval in which each entry is sent a complete heartbeat.
func (f *Fleet[R, C, T]) ExpectSpread(allowed time.Duration, isKnown func(T) bool) {
	const interval = 500 * time.Millisecond
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
		f.Now = f.Now.Add(interval)
		gomega.Expect(f.Now.Sub(start)).To(gomega.BeNumerically("<=", allowed), "known to %d entries", count())
		f.Exchange()
	}
}

// Drain sends a peer all reports that it lacks. It returns the total number of reports and
// the number in the largest message.
func Drain[R, C any](r Registry[R, C], now time.Time, sent feed.Cursor) (all, largest int) {
	for {
		var reports []R
		if reports, sent = r.Since(now, sent, feed.SameGroup); len(reports) == 0 {
			return all, largest
		}
		all += len(reports)
		largest = max(largest, len(reports))
	}
}
