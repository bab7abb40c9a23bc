package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
)

var _ = Describe("A server with a rate limit", func() {
	limits := func(perSecond float64, servers ...int) map[fleet.InstanceID]float64 {
		shares := make(map[fleet.InstanceID]float64)
		for _, i := range servers {
			shares[id(i)] = perSecond
		}
		return shares
	}

	It("is used as often as this entry's share allows, and the other servers for the rest", func() {
		b := newBalancer(2)
		b.SetLimits(start, limits(1, 0))
		taken := make(map[fleet.InstanceID]int)
		for s := range 10 {
			for range 3 {
				t, _ := b.Choose(start.Add(time.Duration(s)*time.Second), newRequest())
				taken[t.Server.ID]++
				t.End(start, placement.Succeeded)
			}
		}
		Expect(taken[id(0)]).To(BeNumerically("~", 9, 4))
		Expect(taken[id(1)]).To(Equal(30 - taken[id(0)]))
	})

	It("refuses a request that no other server can serve until its share allows it", func() {
		b := newBalancer(1)
		b.SetLimits(start, limits(2, 0))
		t, refusal := b.Choose(start, newRequest())
		Expect(t).To(BeNil())
		Expect(refusal.Reason).To(Equal(placement.Limited))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		t, _ = b.Choose(start.Add(500*time.Millisecond), newRequest())
		Expect(t).NotTo(BeNil())
	})

	// Guards against an entry that saves up its share while idle and then uses it
	// all at once.
	DescribeTable("accrues no more than the burst while idle", func(perSecond float64, most int) {
		b := newBalancer(1)
		b.SetLimits(start, limits(perSecond, 0))
		plain := newRequest()
		plain.Engine = nil // a plain service, so that capacity does not refuse it
		taken := 0
		for {
			t, _ := b.Choose(start.Add(time.Minute), plain)
			if t == nil {
				break
			}
			taken++
			t.End(start.Add(time.Minute), placement.Succeeded)
		}
		Expect(taken).To(Equal(most))
	},
		Entry("low limit", 0.5, 1),
		Entry("1 per second", 1.0, 1),
		Entry("high limit", 4.0, 6),
	)

	It("keeps its used share when the limit changes, and is unlimited when the limit ends", func() {
		b := newBalancer(1)
		b.SetLimits(start, limits(1, 0))
		t, _ := b.Choose(start.Add(time.Second), newRequest())
		Expect(t).NotTo(BeNil())
		b.SetLimits(start.Add(time.Second), limits(2, 0))
		t, _ = b.Choose(start.Add(1400*time.Millisecond), newRequest())
		Expect(t).To(BeNil())
		b.SetLimits(start.Add(1400*time.Millisecond), nil)
		t, _ = b.Choose(start.Add(1400*time.Millisecond), newRequest())
		Expect(t).NotTo(BeNil())
	})
})
