package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/placement"
)

var _ = Describe("HoldRoom", func() {
	// Under lasting overload no room is found for late calls. Held all the same,
	// they would be refused after a wait that helped nobody.
	It("takes few calls while no room is found for any", func() {
		var h placement.HoldLimiter
		Expect(enterAll(&h, start, 100)).To(BeNumerically("<=", 8))
	})

	// After an outage engines come back, and room is found for hundreds a second.
	It("takes as many as room was found for in the last second", func() {
		var h placement.HoldLimiter
		now := start
		for range 50 {
			now = now.Add(10 * ms)
			Expect(h.TryAcquire(now)).To(BeTrue())
			h.Release(now, true)
		}
		Expect(enterAll(&h, now, 100)).To(BeNumerically(">=", 50))
		Expect(enterAll(&h, now.Add(5*time.Second), 100)).To(BeZero())
	})
})

func enterAll(h *placement.HoldLimiter, now time.Time, tries int) int {
	n := 0
	for range tries {
		if h.TryAcquire(now) {
			n++
		}
	}
	return n
}
