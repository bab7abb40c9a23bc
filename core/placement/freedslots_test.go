package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
)

var _ = Describe("A slot freed by another entry's request", func() {
	const other = fleet.InstanceID("other")
	const longest = time.Second // upper bound of the reservation

	var b *placement.Balancer
	report := func(now time.Time, running int) {
		b.UpdateEntryLoads(now, other, []placement.Load{{Server: id(0), Work: enginemodel.Work{Running: running}}})
	}
	isPlaced := func(now time.Time) bool {
		report(now, profile().Slots)
		report(now, 0)
		t, _ := b.Choose(now, newRequest())
		if t == nil {
			return false
		}
		isFree := t.Predicted < profile().TimeToFirstEvent(enginemodel.Work{Running: profile().Slots}, newRequest().PromptTokens)
		t.End(now, placement.Abandoned)
		return isFree
	}

	BeforeEach(func() {
		b = newBalancer(1)
	})

	It("counts as taken at first and as free after the reservation ends", func() {
		Expect(isPlaced(start)).To(BeFalse())
		report(start.Add(longest), 0)
		t, _ := b.Choose(start.Add(longest), newRequest())
		Expect(t).NotTo(BeNil())
		Expect(t.Work().Running).To(Equal(1))
	})

	// Guards against engines that stay idle after a change of their version because
	// the slots freed while they drained still count as taken.
	It("is free at an engine that has just become ready", func() {
		report(start, profile().Slots)
		changing := servers(1)
		changing[0].Reloading = true
		b.SetServers(start, changing)
		report(start, 0)
		b.SetServers(start, servers(1))
		t, _ := b.Choose(start, newRequest())
		Expect(t).NotTo(BeNil())
		Expect(t.Work().Running).To(BeNumerically("<=", 2), "its own request, and as many assumed for the other entry before its report arrives")
	})
})
