package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
)

var _ = Describe("A place that another entry's request leaves", func() {
	const other = fleet.InstanceID("other")
	const longest = time.Second // of the time for which it is left to that entry

	var b *placement.Balancer
	report := func(now time.Time, running int) {
		b.UpdateEntryLoads(now, other, []placement.Load{{Server: id(0), Work: enginemodel.Work{Running: running}}})
	}
	isPlaced := func(now time.Time) bool {
		report(now, figures().Slots)
		report(now, 0)
		t, _ := b.Choose(now, ask())
		if t == nil {
			return false
		}
		isFree := t.Predicted < figures().TimeToFirstEvent(enginemodel.Work{Running: figures().Slots}, ask().PromptTokens)
		t.End(now, placement.Abandoned)
		return isFree
	}

	BeforeEach(func() {
		b = board(1)
	})

	It("counts as taken at first, and as free in the end", func() {
		Expect(isPlaced(start)).To(BeFalse())
		report(start.Add(longest), 0)
		t, _ := b.Choose(start.Add(longest), ask())
		Expect(t).NotTo(BeNil())
		Expect(t.Work().Running).To(Equal(1))
	})

	// Guards against engines that stand idle after a change of their version: places
	// that were left while it drained counted as taken.
	It("is free at an engine that has just become ready", func() {
		report(start, figures().Slots)
		changing := servers(1)
		changing[0].Reloading = true
		b.SetServers(start, changing)
		report(start, 0)
		b.SetServers(start, servers(1))
		t, _ := b.Choose(start, ask())
		Expect(t).NotTo(BeNil())
		Expect(t.Work().Running).To(BeNumerically("<=", 2), "its own request, and as much of another entry that is not heard yet")
	})
})
