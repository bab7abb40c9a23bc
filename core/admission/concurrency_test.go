package admission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/admission"
)

// server models a backend server that runs the given number of requests concurrently at
// full speed. The latency grows in proportion beyond that.
type server struct {
	slots   int
	latency time.Duration
}

func (s server) at(inFlight int) time.Duration {
	return s.latency * time.Duration(max(inFlight, s.slots)) / time.Duration(s.slots)
}

// load keeps a server as busy as its limit and the demand allow, in the seconds [from, to).
func load(c *admission.ConcurrencyLimit, s server, from, to, demand int) {
	for second := from; second < to; second++ {
		inFlight := min(c.Limit(), demand)
		for i := range 20 {
			now := after(float64(second) + float64(i)/20)
			c.Observe(now, admission.Sample{Latency: s.at(inFlight), InFlight: inFlight})
		}
	}
}

var _ = Describe("ConcurrencyLimit", func() {
	newLimit := func() *admission.ConcurrencyLimit {
		return admission.NewConcurrencyLimit(start, admission.ConcurrencyOptions{Initial: 4})
	}

	// If the limit is above the server's capacity, requests wait there although other
	// servers have free slots; if it is below, they wait although the server is idle.
	DescribeTable("finds the capacity of a server",
		func(slots int) {
			c := newLimit()
			load(c, server{slots, 100 * time.Millisecond}, 0, 300, 1000)
			AddReportEntry("limit", fmt.Sprintf("%d for %d slots", c.Limit(), slots))
			Expect(c.Limit()).To(And(BeNumerically(">=", slots), BeNumerically("<=", 3*slots)))
		},
		Entry("small", 4), Entry("medium", 16), Entry("large", 64),
	)

	It("follows a server whose capacity decreases", func() {
		c := newLimit()
		load(c, server{32, 100 * time.Millisecond}, 0, 300, 1000)
		load(c, server{8, 100 * time.Millisecond}, 300, 330, 1000)
		Expect(c.Limit()).To(BeNumerically("<=", 24))
	})

	// The model becomes permanently slower. A limit that treated this as load would stay
	// at its minimum forever.
	It("recovers when a server becomes permanently slower", func() {
		c := newLimit()
		load(c, server{16, 100 * time.Millisecond}, 0, 100, 1000)
		load(c, server{16, 500 * time.Millisecond}, 100, 400, 1000)
		Expect(c.Limit()).To(BeNumerically(">=", 16))
	})

	It("does not rise while it is not needed", func() {
		c := newLimit()
		load(c, server{64, 100 * time.Millisecond}, 0, 300, 3)
		Expect(c.Limit()).To(Equal(4))
	})

	It("falls to its minimum when the server refuses requests", func() {
		c := newLimit()
		for i := range 2000 {
			c.Observe(after(float64(i)/10), admission.Sample{InFlight: c.Limit(), Declined: true})
		}
		Expect(c.Limit()).To(Equal(2))
	})

	It("stays within its bounds", func() {
		c := admission.NewConcurrencyLimit(start, admission.ConcurrencyOptions{Max: 10, Initial: 100})
		Expect(c.Limit()).To(Equal(10))
		load(c, server{64, 100 * time.Millisecond}, 0, 100, 1000)
		Expect(c.Limit()).To(Equal(10))
	})
})
