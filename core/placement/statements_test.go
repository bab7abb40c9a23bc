package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/placement"
)

var _ = Describe("The statements of servers", func() {
	var b *placement.Balancer

	BeforeEach(func() { b = newBalancer(1) })

	It("are reported as new once", func() {
		Expect(b.RecordLeaving(start, "s-0")).To(BeTrue())
		Expect(b.RecordLeaving(start, "s-0")).To(BeFalse())
	})

	DescribeTable("bound a backoff by the longest that was requested and by MaxBackoff", func(requested []time.Duration, want time.Duration) {
		var until time.Time
		for i, d := range requested {
			var started bool
			until, started = b.RecordBackoff(start, "s-0", d)
			Expect(started).To(Equal(i == 0))
		}
		Expect(until.Sub(start)).To(Equal(want))
	},
		Entry("one", []time.Duration{3 * time.Second}, 3*time.Second),
		Entry("a shorter one after it", []time.Duration{3 * time.Second, time.Second}, 3*time.Second),
		Entry("a longer one after it", []time.Duration{3 * time.Second, 5 * time.Second}, 5*time.Second),
		Entry("a day", []time.Duration{24 * time.Hour}, placement.MaxBackoff),
	)
})
