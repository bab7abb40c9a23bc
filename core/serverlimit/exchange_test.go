package serverlimit_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/feed/feedtest"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serverlimit"
)

// report is one of a limit of one server.
func report(perSecond float64, age time.Duration) serverlimit.Report {
	return serverlimit.Report{Server: server, PerSecond: perSecond, AgeMS: age.Milliseconds()}
}

func end(age time.Duration) serverlimit.Report {
	return serverlimit.Report{Server: server, PerSecond: 1, Ended: true, AgeMS: age.Milliseconds()}
}

var _ = Describe("Reports of a limit", func() {
	var r *serverlimit.Registry

	BeforeEach(func() { r = serverlimit.New() })

	merge := func(after time.Duration, reports ...serverlimit.Report) []serverlimit.Report {
		return r.Merge(at(after), reports, feed.Near)
	}
	perSecond := func(after time.Duration) float64 { return r.All(at(after))[server] }

	It("bind an entry that has not received a response", func() {
		Expect(merge(0, report(2, 0))).To(HaveLen(1))
		Expect(perSecond(0)).To(Equal(2.0))
		Expect(merge(time.Second, report(2, time.Second))).To(BeEmpty())
	})

	It("count by when the server advertised it, in whichever order they arrive", func() {
		merge(2*time.Second, report(3, 0))
		Expect(merge(3*time.Second, report(2, 2*time.Second))).To(BeEmpty())
		Expect(perSecond(3 * time.Second)).To(Equal(3.0))
	})

	// Guards against an entry that keeps an outdated limit since no report corrects it.
	It("are answered if they are older than what is known here", func() {
		merge(2*time.Second, report(3, 0))
		_, sent := r.Since(at(2*time.Second), 0, feed.Near)
		merge(3*time.Second, report(2, 2*time.Second))
		due, _ := r.Since(at(3*time.Second), sent, feed.Near)
		Expect(due).To(Equal([]serverlimit.Report{report(3, time.Second)}))
	})

	It("end a limit that was advertised before", func() {
		merge(0, report(1, 0))
		Expect(merge(3*time.Second, end(time.Second))).To(HaveLen(1))
		Expect(r.All(at(3 * time.Second))).To(BeEmpty())
		Expect(merge(4*time.Second, report(1, 4*time.Second))).To(BeEmpty())
		Expect(merge(5*time.Second, report(1, 0))).To(HaveLen(1))
	})

	// Guards against a burst at an overloaded server: a delayed report of the end seems
	// newer than the response that advertised the limit.
	It("end a limit a second after it was last advertised at the earliest", func() {
		merge(0, report(1, 0))
		merge(500*time.Millisecond, end(0))
		Expect(perSecond(900 * time.Millisecond)).To(Equal(1.0))
		Expect(perSecond(time.Second)).To(BeZero())
		merge(1100*time.Millisecond, report(1, 100*time.Millisecond))
		Expect(perSecond(1100 * time.Millisecond)).To(Equal(1.0))
	})

	It("come in parts if they are many, each once", func() {
		const servers = 150
		_, sent := r.Since(start, 0, feed.Near)
		for n := range servers {
			r.Advertised(start, fleet.InstanceID(fmt.Sprintf("i-%d", n)), 1)
		}
		all, largest := feedtest.Drain(r, start, sent)
		Expect(all).To(Equal(servers))
		Expect(largest).To(BeNumerically("<", servers))
	})

	It("of servers that are listed no more are forgotten", func() {
		r.Advertised(start, server, 1)
		isListed := func(id fleet.InstanceID) bool { return id != server }
		r.Keep(at(time.Second), isListed) // it may be listed here later
		Expect(perSecond(time.Second)).To(Equal(1.0))
		r.Keep(at(time.Minute), isListed)
		Expect(r.All(at(time.Minute))).To(BeEmpty())
	})
})

var _ = DescribeTable("A limit that one entry sees binds every entry in time", func(size int) {
	// allowed is the time after a server first advertised its limit that does not count.
	const allowed = 3 * time.Second
	f := feedtest.NewFleet(size, start, serverlimit.New)
	f.Exchange()
	f.Registries[size-1].Advertised(start, server, 1)
	f.ExpectSpread(allowed, func(r *serverlimit.Registry) bool { return len(r.All(f.Now)) > 0 })
	for range 3 {
		f.Exchange()
	}
	Expect(f.Exchange()).To(BeZero())
},
	Entry("of 2", 2), Entry("of 8", 8), Entry("of 13", 13), Entry("of 44", 44), Entry("of 100", 100), Entry("of 410", 410),
)
