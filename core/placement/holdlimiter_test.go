package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/placement"
)

var _ = Describe("HoldLimiter", func() {
	// Under lasting overload no server becomes available for late calls. Calls that
	// were held anyway would be refused after a useless wait.
	It("holds few calls while none can be placed", func() {
		var h placement.HoldLimiter
		Expect(acquireAll(&h, start, 100)).To(BeNumerically("<=", 8))
	})

	// After an outage, engines return and hundreds of calls per second can be
	// placed.
	It("holds as many calls as were placed in the last second", func() {
		var h placement.HoldLimiter
		now := start
		for range 50 {
			now = now.Add(10 * ms)
			Expect(h.TryAcquire(now)).To(BeTrue())
			h.Release(now, true)
		}
		Expect(acquireAll(&h, now, 100)).To(BeNumerically(">=", 50))
		Expect(acquireAll(&h, now.Add(5*time.Second), 100)).To(BeZero())
	})
})

func acquireAll(h *placement.HoldLimiter, now time.Time, tries int) int {
	n := 0
	for range tries {
		if h.TryAcquire(now) {
			n++
		}
	}
	return n
}
