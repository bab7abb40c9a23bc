package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
)

// modelGroup is the most entries of a region in the model of the cost.
const modelGroup = 30

// modelCost is what an entry sends, receives and asks for to know the servers, in the mean.
type modelCost struct{ calls, lists, bytes float64 }

// costOfStart returns the cost an entry of the first seconds after a restart of all, while
// servers leave and others take their places.
func costOfStart(size int) modelCost {
	const servers, span = 50, 4 * time.Second
	const leaveEvery = 200 * time.Millisecond
	m := newEmptyModel(1, servers)
	for i := range size {
		m.after(m.chance(time.Second), func(now time.Time) {
			m.start(now, modelAddr(i), fleet.Region(rune('a'+i/modelGroup)))
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
		sum.calls += float64(e.follow.calls)
		sum.lists += float64(e.follow.lists)
		sum.bytes += float64(e.bytes + e.follow.bytes)
	}
	n := float64(size)
	return modelCost{sum.calls / n, sum.lists / n, sum.bytes / n}
}

var _ = Describe("What it costs an entry to know the servers", func() {
	// Guards against a cost that grows with the number of entries after a restart of all.
	It("is the same after a restart of 100 entries and of 410", func() {
		small, large := costOfStart(100), costOfStart(410)
		GinkgoWriter.Printf("8 entries: %+v\n100 entries: %+v\n410 entries: %+v\n", costOfStart(8), small, large)
		const most = 1.3
		Expect(large.bytes).To(BeNumerically("<", most*small.bytes))
		Expect(large.calls).To(BeNumerically("<", most*small.calls))
	})
})
