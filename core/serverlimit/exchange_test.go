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

// report returns a report of the server's limit.
func report(perSecond float64, age time.Duration) serverlimit.Report {
	return serverlimit.Report{Server: server, PerSecond: perSecond, AgeMS: age.Milliseconds()}
}

// endReport returns a report that the server's limit ended.
func endReport(age time.Duration) serverlimit.Report {
	return serverlimit.Report{Server: server, PerSecond: 1, Ended: true, AgeMS: age.Milliseconds()}
}

var _ = Describe("Reports of a server limit", func() {
	var r *serverlimit.Registry

	BeforeEach(func() { r = serverlimit.New() })

	merge := func(after time.Duration, reports ...serverlimit.Report) []serverlimit.Report {
		return r.Merge(at(after), reports, feed.SameGroup)
	}
	perSecond := func(after time.Duration) float64 { return r.All(at(after))[server] }

	It("apply to an entry that has not received a response", func() {
		Expect(merge(0, report(2, 0))).To(HaveLen(1))
		Expect(perSecond(0)).To(Equal(2.0))
		Expect(merge(time.Second, report(2, time.Second))).To(BeEmpty())
	})

	It("apply by the time at which the server advertised the limit, in whichever order they arrive", func() {
		merge(2*time.Second, report(3, 0))
		Expect(merge(3*time.Second, report(2, 2*time.Second))).To(BeEmpty())
		Expect(perSecond(3 * time.Second)).To(Equal(3.0))
	})

	// Guards against an entry that keeps an outdated limit because no report corrects it.
	It("are answered with a newer report if they are outdated", func() {
		merge(2*time.Second, report(3, 0))
		_, sent := r.Since(at(2*time.Second), 0, feed.SameGroup)
		merge(3*time.Second, report(2, 2*time.Second))
		due, _ := r.Since(at(3*time.Second), sent, feed.SameGroup)
		Expect(due).To(Equal([]serverlimit.Report{report(3, time.Second)}))
	})

	// Guards against a single report from which on those of all others are ignored.
	It("are replaced by a newer one although they have a negative age", func() {
		merge(0, report(2, -time.Hour))
		Expect(merge(time.Second, report(3, 0))).To(HaveLen(1))
		Expect(perSecond(time.Second)).To(Equal(3.0))
	})

	It("end a limit that was advertised before", func() {
		merge(0, report(1, 0))
		Expect(merge(3*time.Second, endReport(time.Second))).To(HaveLen(1))
		Expect(r.All(at(3 * time.Second))).To(BeEmpty())
		Expect(merge(4*time.Second, report(1, 4*time.Second))).To(BeEmpty())
		Expect(merge(5*time.Second, report(1, 0))).To(HaveLen(1))
	})

	// Guards against a burst at an overloaded server: a delayed report of the end appears
	// newer than the response that advertised the limit.
	It("end a limit no sooner than a second after it was last advertised", func() {
		merge(0, report(1, 0))
		merge(500*time.Millisecond, endReport(0))
		Expect(perSecond(900 * time.Millisecond)).To(Equal(1.0))
		Expect(perSecond(time.Second)).To(BeZero())
		merge(1100*time.Millisecond, report(1, 100*time.Millisecond))
		Expect(perSecond(1100 * time.Millisecond)).To(Equal(1.0))
	})

	It("are sent once each, in several messages if there are many", func() {
		const servers = 150
		_, sent := r.Since(start, 0, feed.SameGroup)
		for n := range servers {
			r.RecordAdvertised(start, fleet.InstanceID(fmt.Sprintf("i-%d", n)), 1)
		}
		all, largest := feedtest.Drain(r, start, sent)
		Expect(all).To(Equal(servers))
		Expect(largest).To(BeNumerically("<", servers))
	})

	It("are dropped for servers that are no longer listed", func() {
		r.RecordAdvertised(start, server, 1)
		isListed := func(id fleet.InstanceID) bool { return id != server }
		r.DropUnlisted(at(time.Second), isListed) // this entry may list it later
		Expect(perSecond(time.Second)).To(Equal(1.0))
		r.DropUnlisted(at(time.Minute), isListed)
		Expect(r.All(at(time.Minute))).To(BeEmpty())
	})
})

var _ = DescribeTable("A limit observed by one entry reaches every entry in time", func(size int) {
	// allowed is the time in which the limit must be known everywhere after a server
	// first advertised it.
	const allowed = 3 * time.Second
	f := feedtest.NewFleet(size, start, serverlimit.New)
	f.Exchange()
	f.Registries[size-1].RecordAdvertised(start, server, 1)
	f.ExpectSpread(allowed, func(r *serverlimit.Registry) bool { return len(r.All(f.Now)) > 0 })
	for range 3 {
		f.Exchange()
	}
	Expect(f.Exchange()).To(BeZero())
},
	Entry("of 2", 2), Entry("of 8", 8), Entry("of 13", 13), Entry("of 44", 44), Entry("of 100", 100), Entry("of 410", 410),
)
