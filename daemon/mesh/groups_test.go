package mesh_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
)

// regionOf returns the i-th region and its zone.
func regionOf(i int) fleet.Place {
	return fleet.Place{Zone: fleet.Zone(fmt.Sprintf("hall-%d", i)), Region: fleet.Region(fmt.Sprintf("region-%d", i))}
}

// linkCount returns the number of links that a process has.
func (n *node) linkCount() int {
	var count int
	_ = n.loop.Do(context.Background(), func(time.Time) { count = n.mesh.Links() })
	return count
}

// liveEntry returns what an entry knows of another; false if that one is not live.
func (n *node) liveEntry(id fleet.InstanceID) (mesh.Entry, bool) {
	var found mesh.Entry
	var ok bool
	_ = n.loop.Do(context.Background(), func(now time.Time) {
		for _, e := range n.mesh.Entries(now) {
			if e.ID == id && !e.Silent {
				found, ok = e, true
			}
		}
	})
	return found, ok
}

// Guards against an overloaded network between regions: if each entry has a link with
// each other one, the heartbeats of 99 entries fill that network. Links fall silent,
// are dialled again and fill it even more, and callers' streams wait behind them.
var _ = Describe("Entries of several regions", func() {
	const regions, each = 5, 4
	var port uint16
	var entries []*node

	// All entries start together and know three seeds, as after a power failure.
	BeforeEach(func() {
		port = freePort()
		entries = nil
		for i := range regions * each {
			address := fmt.Sprintf("127.0.4.%d", i+1)
			entries = append(entries, startIn(regionOf(i%regions), port, fleet.RoleEntry, address, "127.0.4.1", "127.0.4.2", "127.0.4.3"))
		}
		for _, n := range entries {
			Eventually(func() int { return len(n.liveEntries()) }, eventualTimeout).Should(Equal(len(entries) - 1))
		}
	})

	It("have few links, and each knows all others", func() {
		const sameGroup, otherGroups = each - 1, 2 * (regions - 1)
		for _, n := range entries {
			Eventually(n.linkCount, eventualTimeout).Should(BeNumerically("<=", sameGroup+otherGroups))
			Expect(n.liveEntries()).To(HaveLen(len(entries) - 1))
		}
	})

	// Callers of all regions keep an address response for seconds, so no entry may name
	// an entry that has begun its planned stop.
	It("learn soon that an entry of another region is leaving", func() {
		leaving := entries[len(entries)-1]
		Expect(leaving.loop.Do(context.Background(), func(now time.Time) {
			leaving.leaving = true
			leaving.mesh.Flush(now)
		})).To(Succeed())
		for _, n := range entries[:len(entries)-1] {
			Eventually(func() bool {
				e, ok := n.liveEntry(leaving.id)
				return ok && e.Leaving
			}, eventualTimeout).Should(BeTrue())
		}
	})

	// The seeds, which may be bridges between regions, fail permanently. The other
	// entries still know each other and consider the failed ones silent.
	It("know each other when the seeds have failed", func() {
		for _, n := range entries[:3] {
			n.stop()
		}
		rest := entries[3:]
		for _, n := range rest {
			Eventually(func() int { return len(n.liveEntries()) }, eventualTimeout).Should(Equal(len(rest) - 1))
		}
	})

	// An entry is killed and restarted. It knows only the seeds.
	It("know an entry that was restarted", func() {
		last := len(entries) - 1
		entries[last].stop()
		Eventually(func() bool { _, ok := entries[3].liveEntry(entries[last].id); return ok }, eventualTimeout).Should(BeFalse())
		restarted := startIn(regionOf(last%regions), port, fleet.RoleEntry, fmt.Sprintf("127.0.4.%d", last+1), "127.0.4.1")
		Eventually(func() int { return len(restarted.liveEntries()) }, eventualTimeout).Should(Equal(last))
		for _, n := range entries[:last] {
			Eventually(func() bool { _, ok := n.liveEntry(restarted.id); return ok }, eventualTimeout).Should(BeTrue())
		}
	})

	// An agent starts with seeds of other regions. The entries of its own region must
	// receive reports about its engine, since they send their callers there.
	It("have links with the agents of their region", func() {
		agent := startIn(regionOf(4), port, fleet.RoleAgent, "127.0.4.99", "127.0.4.1", "127.0.4.2", "127.0.4.3")
		Eventually(func() []fleet.Region {
			var of []fleet.Region
			for _, n := range entries {
				_ = n.loop.Do(context.Background(), func(time.Time) {
					if n.mesh.IsLinked(agent.id) {
						of = append(of, n.place.Region)
					}
				})
			}
			return of
		}, eventualTimeout).Should(Equal([]fleet.Region{"region-4", "region-4"}))
	})
})
