package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/linking"
	"chivespindle.example/core/quarantine"
)

// entry is one of a fleet that exchanges reports over its links.
type entry struct {
	id       fleet.InstanceID
	plan     linking.Plan
	registry *quarantine.Registry
	told     map[fleet.InstanceID]feed.Cursor
}

func (e *entry) sourceOf(id fleet.InstanceID) feed.Source {
	if e.plan.Near[id] {
		return feed.Near
	}
	return feed.Far
}

func fleetOf(size int) []*entry {
	members := make([]linking.Member, size)
	for i := range members {
		members[i] = linking.Member{ID: fleet.InstanceID(fmt.Sprintf("10.0.%d.%d", i/250, i%250)), Region: fleet.Region(fmt.Sprint(i % 3))}
	}
	entries := make([]*entry, size)
	for i, self := range members {
		others := append(append([]linking.Member(nil), members[:i]...), members[i+1:]...)
		entries[i] = &entry{id: self.ID, plan: linking.For(self, others), registry: quarantine.New(), told: make(map[fleet.InstanceID]feed.Cursor)}
	}
	return entries
}

// exchange has all entries send one message over each of their links. None knows
// yet in this round what another sends in it. It returns the number of reports.
func exchange(now time.Time, entries []*entry) int {
	type message struct {
		from, to *entry
		reports  []quarantine.Report
	}
	var sent []message
	count := 0
	for _, from := range entries {
		for _, to := range entries {
			if from == to || !from.plan.Wants(to.id) && !to.plan.Wants(from.id) {
				continue
			}
			var reports []quarantine.Report
			reports, from.told[to.id] = from.registry.Since(now, from.told[to.id], from.sourceOf(to.id))
			sent = append(sent, message{from, to, reports})
			count += len(reports)
		}
	}
	for _, m := range sent {
		m.to.registry.Merge(now, m.reports, m.to.sourceOf(m.from.id))
	}
	return count
}

func countQuarantined(now time.Time, entries []*entry) int {
	n := 0
	for _, e := range entries {
		if e.registry.Standing(now, request(1)).IsQuarantined() {
			n++
		}
	}
	return n
}

var _ = Describe("Crashes that three entries observe", func() {
	// What is allowed is the time after the third crash in which requests do not count,
	// in whole beats of entries.
	const allowed, beat = 3 * time.Second, 500 * time.Millisecond

	// Guards against entries that send servers a request of which others know that it crashes them.
	DescribeTable("quarantine the request at every entry in time", func(size int) {
		entries := fleetOf(size)
		exchange(start, entries)
		for n, by := range []int{0, size / 2, size - 1} {
			entries[by].registry.Crashed(start, request(1), engine(n))
		}
		now, rounds := start, 0
		for ; countQuarantined(now, entries) < size; rounds++ {
			Expect(time.Duration(rounds)*beat).To(BeNumerically("<", allowed), "known by %d", countQuarantined(now, entries))
			now = now.Add(beat)
			exchange(now, entries)
		}
	},
		Entry("of 2", 2), Entry("of 8", 8), Entry("of 13", 13), Entry("of 44", 44), Entry("of 100", 100), Entry("of 410", 410),
	)

	It("are known to an entry that starts afterwards, after one message", func() {
		entries := fleetOf(8)
		for n := range 3 {
			entries[n].registry.Crashed(start, request(1), engine(n))
		}
		for range 3 {
			exchange(start, entries)
		}
		fresh := quarantine.New()
		reports, _ := entries[7].registry.Since(at(time.Second), 0, feed.Near)
		Expect(fresh.Merge(at(time.Second), reports, feed.Near)).To(HaveLen(1))
	})

	// Guards against reports that go round between entries for ever.
	It("are reported no more once all know them", func() {
		entries := fleetOf(100)
		exchange(start, entries)
		for n := range 3 {
			entries[40*n].registry.Crashed(start, request(1), engine(n))
		}
		for range 6 {
			exchange(start, entries)
		}
		Expect(exchange(start, entries)).To(BeZero())
	})
})
