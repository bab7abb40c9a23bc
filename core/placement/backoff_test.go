package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
)

var _ = Describe("A server that requests a backoff", func() {
	const rejecting = 0
	const requested = 3 * time.Second
	// latest is when the first request is sent again at the latest.
	const latest = requested + requested/4
	var b *placement.Balancer

	// place places n small requests at the same time.
	place := func(now time.Time, n int) []*placement.Assignment {
		var placed []*placement.Assignment
		for range n {
			t, _ := b.Choose(now, smallRequest())
			Expect(t).NotTo(BeNil())
			placed = append(placed, t)
		}
		return placed
	}
	atRejecting := func(placed []*placement.Assignment) []*placement.Assignment {
		var there []*placement.Assignment
		for _, t := range placed {
			if t.Server.ID == id(rejecting) {
				there = append(there, t)
			}
		}
		return there
	}
	endAll := func(now time.Time, placed []*placement.Assignment) {
		for _, t := range placed {
			t.End(now, placement.Succeeded)
		}
	}
	at := func(d time.Duration) time.Time { return start.Add(d) }

	BeforeEach(func() {
		b = newBalancer(2)
		b.RecordBackoff(start, id(rejecting), requested)
	})

	// Guards against a server that gets most requests because rejecting them keeps it idle.
	It("gets no request until the backoff ends", func() {
		for _, d := range []time.Duration{0, time.Second, requested - time.Millisecond} {
			placed := place(at(d), 8)
			Expect(atRejecting(placed)).To(BeEmpty())
			endAll(at(d), placed)
		}
	})

	// Guards against a server that is overloaded again by the return of all requests at once.
	It("then gets a single request, and the others once it has accepted that", func() {
		probes := atRejecting(place(at(latest), 8))
		Expect(probes).To(HaveLen(1))
		Expect(atRejecting(place(at(latest), 8))).To(BeEmpty())
		Expect(probes[0].Accepted(at(latest))).To(BeTrue())
		Expect(len(atRejecting(place(at(latest), 8)))).To(BeNumerically(">", 1))
	})

	It("gets the next probe a moment after one that it rejected without a backoff", func() {
		probe := atRejecting(place(at(latest), 4))[0]
		probe.End(at(latest), placement.Declined)
		Expect(atRejecting(place(at(latest), 4))).To(BeEmpty())
		Expect(atRejecting(place(at(latest+time.Second), 8))).To(HaveLen(1))
	})

	It("gets none if it requests another one of the probe", func() {
		probe := atRejecting(place(at(latest), 8))[0]
		b.RecordBackoff(at(latest), id(rejecting), requested)
		probe.End(at(latest), placement.Declined)
		Expect(atRejecting(place(at(latest+requested-time.Millisecond), 8))).To(BeEmpty())
	})

	// Guards against a backoff that is ended by the response to an older request.
	It("is not ended by a request that was placed before it", func() {
		b = newBalancer(1)
		before := place(start, 1)[0]
		b.RecordBackoff(start, id(rejecting), requested)
		Expect(before.IsRevoked(start)).To(BeTrue())
		Expect(before.Accepted(at(time.Second))).To(BeFalse())
		t, _ := b.Choose(at(time.Second), smallRequest())
		Expect(t).To(BeNil())
	})

	// Guards against callers that return before a server accepts their requests.
	It("makes the entry refuse requests at once until the first backoff ends if no other server is left", func() {
		b.RecordBackoff(start, id(1), 2*requested)
		req := smallRequest()
		req.TimeLeft = time.Minute
		t, refusal := b.Choose(start, req)
		Expect(t).To(BeNil())
		Expect(refusal.Reason).To(Equal(placement.BackedOff))
		Expect(refusal.RetryAfter).To(And(BeNumerically(">=", requested), BeNumerically("<=", 20*time.Second)))
	})

	It("keeps it after its registration has lapsed and returned", func() {
		b.SetServers(at(time.Second), servers(2)[1:])
		b.SetServers(at(2*time.Second), servers(2))
		Expect(atRejecting(place(at(2*time.Second), 8))).To(BeEmpty())
	})

	It("is used at once after it has restarted", func() {
		list := servers(2)
		for _, list[rejecting].Born = range []fleet.StartTime{1, 2} {
			b.SetServers(at(time.Second), list)
		}
		Expect(atRejecting(place(at(time.Second), 8))).NotTo(BeEmpty())
	})

	DescribeTable("bounds a backoff by the longest that was requested and by MaxBackoff", func(requested []time.Duration, want time.Duration) {
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

var _ = Describe("A server that rejects requests without requesting a backoff", func() {
	const rejecting = 0
	var b *placement.Balancer

	isUsed := func(now time.Time) bool {
		used := false
		for range 12 {
			t, _ := b.Choose(now, smallRequest())
			used = used || t.Server.ID == id(rejecting)
			t.End(now, placement.Declined)
		}
		return used
	}
	// pauseAfter returns how long the server gets no request after a rejection.
	pauseAfter := func(now time.Time) time.Duration {
		const step = 10 * time.Millisecond
		b.RecordRejection(now, id(rejecting))
		d := step
		for !isUsed(now.Add(d)) {
			d += step
		}
		return d
	}

	BeforeEach(func() { b = newBalancer(2) })

	// Guards against a server that is the first choice for each request because it rejects
	// all of them at once.
	It("gets requests ever more rarely until it accepts one", func() {
		now := start
		var pauses []time.Duration
		for range 8 {
			pauses = append(pauses, pauseAfter(now))
			now = now.Add(pauses[len(pauses)-1])
		}
		Expect(pauses[0]).To(Equal(50 * time.Millisecond))
		Expect(pauses[1]).To(Equal(2 * pauses[0]))
		Expect(pauses[7]).To(Equal(1600 * time.Millisecond))
		for accepted := false; !accepted; {
			t, _ := b.Choose(now, smallRequest())
			accepted = t.Server.ID == id(rejecting)
			t.Accepted(now)
			t.End(now, placement.Succeeded)
		}
		Expect(pauseAfter(now)).To(Equal(pauses[0]))
	})

	// Guards against callers that are refused because the only server was full a moment ago.
	It("is used all the same if no other server is left", func() {
		b = newBalancer(1)
		t, _ := b.Choose(start, smallRequest())
		b.RecordRejection(start, id(rejecting))
		Expect(t.IsRevoked(start)).To(BeFalse())
		t, _ = b.Choose(start, smallRequest())
		Expect(t).NotTo(BeNil())
	})

	// Guards against a burst that a full server rejects counting as many rejections in a row.
	It("gets the next one as soon after many rejections at once as after one", func() {
		for range 8 {
			b.RecordRejection(start, id(rejecting))
		}
		Expect(pauseAfter(start)).To(Equal(50 * time.Millisecond))
	})
})
