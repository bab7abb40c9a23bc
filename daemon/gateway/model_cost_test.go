package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
)

// modelGroupSize is the number of entries per region in the model of the cost.
const modelGroupSize = 30

// modelCost is the mean of what an entry sends, receives and requests to know the
// servers.
type modelCost struct{ calls, lists, bytes float64 }

// startCost returns the cost per entry in the first seconds after a restart of all
// entries, while servers leave and others replace them.
func startCost(size int) modelCost {
	const servers, span = 50, 4 * time.Second
	const leaveEvery = 200 * time.Millisecond
	m := newEmptyModel(1, servers)
	for i := range size {
		m.after(m.randDuration(time.Second), func(now time.Time) {
			m.startEntry(now, modelAddr(i), fleet.Region(rune('a'+i/modelGroupSize)))
		})
	}
	for at := leaveEvery; at < span; at += leaveEvery {
		m.after(at, func(now time.Time) {
			live := m.store.live()
			m.store.leave(now, live[m.rand.IntN(len(live))], m.rand)
		})
	}
	m.runFor(span)
	var sum modelCost
	for _, e := range m.entries {
		sum.calls += float64(e.follower.calls)
		sum.lists += float64(e.follower.lists)
		sum.bytes += float64(e.serverBytes + e.follower.bytes)
	}
	n := float64(size)
	return modelCost{sum.calls / n, sum.lists / n, sum.bytes / n}
}

var _ = Describe("The cost per entry of knowing the servers", func() {
	// Guards against a cost per entry that grows with the number of entries after a
	// restart of all.
	It("is the same after a restart of 100 entries and of 410", func() {
		small, large := startCost(100), startCost(410)
		GinkgoWriter.Printf("8 entries: %+v\n100 entries: %+v\n410 entries: %+v\n", startCost(8), small, large)
		const maxGrowth = 1.3
		Expect(large.bytes).To(BeNumerically("<", maxGrowth*small.bytes))
		Expect(large.calls).To(BeNumerically("<", maxGrowth*small.calls))
	})
})
