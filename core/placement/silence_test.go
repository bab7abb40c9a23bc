package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
)

const (
	plainTimeout = 600 * ms
	// interval is the time between two requests of these tests.
	interval = 10 * ms
)

// plainRequest returns a request to a plain service.
func plainRequest() placement.Request {
	r := newRequest()
	r.Engine, r.TargetLatency, r.TimeLeft = nil, plainTimeout/2, 1500*ms
	return r
}

// placeAt places n requests at the server i-00 of four.
func placeAt(b *placement.Balancer, n int) []*placement.Assignment {
	r := plainRequest()
	r.Exclude = append(r.Exclude, id(1), id(2), id(3))
	all := make([]*placement.Assignment, n)
	for i := range all {
		all[i], _ = b.Choose(start, r)
	}
	return all
}

// visits returns the times since start at which a request was placed at i-00, of those
// between two times. Each request is answered at once, except at i-00 if it is silent.
func visits(b *placement.Balancer, from, to time.Duration, silent bool) []time.Duration {
	var at []time.Duration
	var unanswered []*placement.Assignment
	for t := from; t < to; t += interval {
		now := start.Add(t)
		for len(unanswered) > 0 && at[len(at)-len(unanswered)]+plainTimeout <= t {
			unanswered[0].End(now, placement.TimedOut)
			unanswered = unanswered[1:]
		}
		a, _ := b.Choose(now, plainRequest())
		Expect(a).NotTo(BeNil())
		if a.Server.ID != id(0) {
			a.End(now, placement.Succeeded)
			continue
		}
		at = append(at, t)
		if silent {
			unanswered = append(unanswered, a)
		} else {
			a.End(now, placement.Succeeded)
		}
	}
	return at
}

var _ = Describe("A server that was silent once", func() {
	// Guards against a server that gets nothing for minutes because each of the requests
	// that it held counted as a failure of its own.
	It("is used again a second later, whatever number of requests it held", func() {
		const longestPause = 1050 * ms
		for _, held := range []int{1, 2, 3, 8} {
			b := newBalancer(4)
			for _, a := range placeAt(b, held) {
				a.End(start.Add(plainTimeout), placement.TimedOut)
			}
			used := visits(b, plainTimeout, 10*time.Second, false)
			Expect(used).NotTo(BeEmpty(), "requests held: %d", held)
			Expect(used[0]).To(BeNumerically("<=", plainTimeout+longestPause+10*interval), "requests held: %d", held)
		}
	})

	// Guards against a server that stays ejected although it answers what it held.
	It("is used again as soon as it answers a request that it held", func() {
		b := newBalancer(4)
		held := placeAt(b, 3)
		held[0].End(start.Add(plainTimeout), placement.TimedOut)
		Expect(visits(b, plainTimeout, plainTimeout+100*ms, false)).To(BeEmpty())
		held[1].End(start.Add(plainTimeout+100*ms), placement.Succeeded)
		held[2].End(start.Add(plainTimeout+100*ms), placement.TimedOut)
		Expect(visits(b, plainTimeout+100*ms, plainTimeout+300*ms, false)).NotTo(BeEmpty())
	})

	// Guards against a server that hangs and, once its ejection is over, attracts requests
	// until the first of them has timed out, since it is idle.
	It("gets one request after its ejection until it responds", func() {
		b := newBalancer(4)
		placeAt(b, 1)[0].End(start.Add(plainTimeout), placement.TimedOut)
		Expect(visits(b, plainTimeout, 3*plainTimeout+600*ms, true)).To(HaveLen(1))
	})

	// Guards against a server that gets one request at a time although it has responded.
	DescribeTable("is used again as soon as it", func(respond func(*placement.Assignment)) {
		b := newBalancer(4)
		placeAt(b, 1)[0].End(start, placement.TimedOut)
		later := start.Add(2 * time.Second)
		counts := map[fleet.InstanceID]int{}
		for range 40 {
			a, _ := b.Choose(later, smallRequest())
			counts[a.Server.ID]++
			respond(a)
		}
		Expect(counts[id(0)]).To(BeNumerically("~", 10, 3))
	},
		Entry("starts a stream", func(a *placement.Assignment) { a.AddTokens(1) }),
		Entry("declines a request", func(a *placement.Assignment) { a.End(start.Add(2*time.Second), placement.Declined) }),
	)

	// Guards against a server that is never tried again since its failure rate falls with
	// responses only.
	It("is used again within seconds after it broke the responses that it held", func() {
		b := newBalancer(4)
		for _, a := range placeAt(b, 8) {
			a.End(start.Add(interval), placement.Broken)
		}
		Expect(visits(b, interval, 5*time.Second, false)).NotTo(BeEmpty())
	})

	It("is tried after growing pauses if it does not respond", func() {
		b := newBalancer(4)
		placeAt(b, 1)[0].End(start, placement.TimedOut)
		at := visits(b, interval, 40*time.Second, true)
		Expect(len(at)).To(BeNumerically("~", 6, 2))
		Expect(at[len(at)-1] - at[len(at)-2]).To(BeNumerically(">=", 6*time.Second))
	})
})
