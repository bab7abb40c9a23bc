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

// regionOf is the i-th region and its zone.
func regionOf(i int) fleet.Place {
	return fleet.Place{Zone: fleet.Zone(fmt.Sprintf("hall-%d", i)), Region: fleet.Region(fmt.Sprintf("region-%d", i))}
}

// links returns how many links a process holds.
func (n *node) links() int {
	var count int
	_ = n.loop.Do(context.Background(), func(time.Time) { count = n.mesh.Links() })
	return count
}

// knows returns how an entry stands with another; false if it is not there.
func (n *node) knows(id fleet.InstanceID) (mesh.Entry, bool) {
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

// With links from each entry to each other, the beats of 99 entries filled the
// links between regions: these fell silent, were dialled anew and filled them
// more, and callers' streams waited behind them.
var _ = Describe("Entries of several regions", func() {
	const regions, each = 5, 4
	var port uint16
	var entries []*node

	// All start at once and know three seeds, as after a loss of power.
	BeforeEach(func() {
		port = freePort()
		entries = nil
		for i := range regions * each {
			address := fmt.Sprintf("127.0.4.%d", i+1)
			entries = append(entries, startIn(regionOf(i%regions), port, fleet.RoleEntry, address, "127.0.4.1", "127.0.4.2", "127.0.4.3"))
		}
		for _, n := range entries {
			Eventually(func() int { return len(n.live()) }, patience).Should(Equal(len(entries) - 1))
		}
	})

	It("hold few links, and all know of all", func() {
		const near, far = each - 1, 2 * (regions - 1)
		for _, n := range entries {
			Eventually(n.links, patience).Should(BeNumerically("<=", near+far))
			Expect(n.live()).To(HaveLen(len(entries) - 1))
		}
	})

	// An entry begins its planned stop. Callers of all regions keep an answer that
	// names it for seconds, so none may name it any more.
	It("hear soon that one of another region leaves", func() {
		leaving := entries[len(entries)-1]
		Expect(leaving.loop.Do(context.Background(), func(now time.Time) {
			leaving.leaving = true
			leaving.mesh.Flush(now)
		})).To(Succeed())
		for _, n := range entries[:len(entries)-1] {
			Eventually(func() bool {
				e, ok := n.knows(leaving.id)
				return ok && e.Leaving
			}, patience).Should(BeTrue())
		}
	})

	// The seeds are lost for good, which may be bridges between regions. The others
	// go on knowing each other, and take the lost ones for silent.
	It("know of each other when the seeds are lost", func() {
		for _, n := range entries[:3] {
			n.stop()
		}
		rest := entries[3:]
		for _, n := range rest {
			Eventually(func() int { return len(n.live()) }, patience).Should(Equal(len(rest) - 1))
		}
	})

	// One is killed and started again: it knows the seeds only.
	It("know of one that was started anew", func() {
		last := len(entries) - 1
		entries[last].stop()
		Eventually(func() bool { _, ok := entries[3].knows(entries[last].id); return ok }, patience).Should(BeFalse())
		again := startIn(regionOf(last%regions), port, fleet.RoleEntry, fmt.Sprintf("127.0.4.%d", last+1), "127.0.4.1")
		Eventually(func() int { return len(again.live()) }, patience).Should(Equal(last))
		for _, n := range entries[:last] {
			Eventually(func() bool { _, ok := n.knows(again.id); return ok }, patience).Should(BeTrue())
		}
	})

	// An agent starts with seeds of other regions. Entries of its own region must
	// hear of its engine, since they place their callers there.
	It("are linked with the agents of their region", func() {
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
		}, patience).Should(Equal([]fleet.Region{"region-4", "region-4"}))
	})
})
