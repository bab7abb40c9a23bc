package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/feed/feedtest"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/quarantine"
)

var _ = Describe("A part of prompts whose requests are in flight at crashes", func() {
	const first, topic, guilty quarantine.Part = "m/f0", "m/7a", "m/bad"
	const apart = 300 * time.Millisecond
	var r *quarantine.Registry

	// crash crashes the n-th server while the n-th request is in flight.
	crash := func(n int, parts ...quarantine.Part) quarantine.Status {
		return r.Crashed(at(time.Duration(n)*apart), request(n), serverID(n), parts...)
	}
	// status returns the status of another request after n crashes.
	status := func(n int, parts ...quarantine.Part) quarantine.Status {
		return r.Status(at(time.Duration(n)*apart), request(1000), parts...)
	}

	BeforeEach(func() { r = quarantine.New() })

	It("is quarantined at the fourth crash, under whatever request", func() {
		for n := range 3 {
			Expect(crash(n, guilty).IsQuarantined()).To(BeFalse())
		}
		Expect(status(3, guilty).IsSuspect()).To(BeTrue())
		Expect(status(3, guilty).CanRetry()).To(BeFalse())
		crash(3, guilty)
		Expect(status(4, topic, guilty)).To(Equal(quarantine.Status{
			Servers: []fleet.InstanceID{"i-0", "i-1", "i-2", "i-3"}, Until: at(time.Hour), Part: guilty}))
		Expect(r.TakePartChanges()).To(ConsistOf(HaveField("Part", guilty)))
		Expect(r.TakePartChanges()).To(BeEmpty())
		Expect(status(4, topic).IsQuarantined()).To(BeFalse())
		Expect(r.Status(at(2*time.Hour), request(1000), guilty).IsQuarantined()).To(BeFalse())
	})

	// Guards against blaming the parts that most requests share.
	It("is the only one quarantined if the parts beside it get responses", func() {
		for n := range 8 {
			crash(n, first, topic, guilty)
			if n%3 == 1 {
				r.Proved(at(time.Duration(n)*apart+apart/2), []quarantine.Part{first, topic})
			}
		}
		Expect(status(8, guilty).Part).To(Equal(guilty))
		Expect(status(8, first, topic).IsQuarantined()).To(BeFalse())
	})

	// Guards against blaming a sound part that always comes with the guilty one.
	It("explains the crashes of the parts that come with it", func() {
		for n := range 5 {
			crash(n, first, topic, guilty)
		}
		Expect(status(5, guilty).IsQuarantined()).To(BeTrue())
		Expect(status(5, first, topic).IsQuarantined()).To(BeFalse())
		Expect(status(5, first, topic).IsSuspect()).To(BeFalse())
	})

	// Guards against a sound part that stays quarantined for the crashes of another one.
	It("is released once another part explains its crashes better", func() {
		for n := range 4 {
			crash(n, guilty, topic)
		}
		Expect(status(4, topic).IsQuarantined()).To(BeTrue())
		crash(4, guilty)
		Expect(status(5, topic).IsQuarantined()).To(BeFalse())
		Expect(status(5, guilty).IsQuarantined()).To(BeTrue())
		Expect(r.TakePartChanges()).To(ContainElement(And(HaveField("Part", topic), HaveField("Servers", BeEmpty()))))
	})

	// Guards against blaming the part that two guilty ones have in common.
	It("is found beside another guilty one", func() {
		const other quarantine.Part = "m/worse"
		r.Proved(start.Add(-time.Minute), []quarantine.Part{first})
		for n := range 10 {
			crash(n, first, []quarantine.Part{guilty, other}[n%2])
		}
		Expect(status(10, guilty).Part).To(Equal(guilty))
		Expect(status(10, other).Part).To(Equal(other))
		Expect(status(10, first).IsQuarantined()).To(BeFalse())
	})

	It("may be the first one", func() {
		for n := range 5 {
			topics := quarantine.Part(fmt.Sprintf("m/%d", n%2))
			crash(n, guilty, topics)
			r.Proved(at(time.Duration(n)*apart+apart/2), []quarantine.Part{topics})
		}
		Expect(status(5, guilty).Part).To(Equal(guilty))
	})

	// Guards against a part that a server crashes on after it had worked, as with new weights.
	It("is quarantined although there were responses before", func() {
		r.Proved(start.Add(-time.Minute), []quarantine.Part{guilty})
		for n := range 4 {
			crash(n, guilty)
		}
		Expect(status(4, guilty).IsQuarantined()).To(BeTrue())
	})

	DescribeTable("is not quarantined", func(crashes func()) {
		crashes()
		Expect(status(10, guilty).IsQuarantined()).To(BeFalse())
	},
		Entry("if many servers are lost together", func() {
			for n := range 10 {
				r.Crashed(at(time.Duration(n)*10*time.Millisecond), request(n), serverID(n), guilty)
			}
		}),
		Entry("if one request was in flight each time", func() {
			for n := range 10 {
				r.Crashed(at(time.Duration(n)*apart), request(1), serverID(n), guilty)
			}
		}),
		Entry("if one server crashed", func() {
			for n := range 10 {
				r.Crashed(start, request(n), serverID(1), guilty)
			}
		}),
		Entry("if a request with it got a response after the crashes", func() {
			for n := range 5 {
				crash(n, guilty)
			}
			r.Proved(at(9*apart), []quarantine.Part{guilty})
		}),
		Entry("if a request with it had got a response just before each crash", func() {
			for n := range 5 {
				r.Proved(at(time.Duration(n)*apart-time.Second), []quarantine.Part{guilty})
				crash(n, guilty)
			}
		}),
	)

	It("does not quarantine the requests that were in flight beside it", func() {
		victim := request(500)
		for n := range 5 {
			crash(n, guilty)
			r.Crashed(at(time.Duration(n)*apart), victim, serverID(n))
		}
		Expect(r.Status(at(5*apart), victim).IsSuspect()).To(BeFalse())
	})

	// Guards against a quarantine that ends since many more servers crash at once.
	It("stays quarantined after many crashes in a short time", func() {
		for n := range 5 {
			crash(n, guilty)
		}
		for n := range 200 {
			r.Crashed(at(6*apart+time.Duration(n)*time.Millisecond), request(100+n), serverID(100+n/3), guilty)
			Expect(status(7, guilty).IsQuarantined()).To(BeTrue())
		}
	})

	// Guards against a flood of other crashes that ends a quarantine here or at an entry
	// that starts later.
	It("stays quarantined under a flood of others", func() {
		for n := range 5 {
			crash(n, guilty)
		}
		for n := range 5000 {
			r.Crashed(at(10*time.Second), request(2000+n), serverID(99), quarantine.Part(fmt.Sprint("m/", n)))
		}
		Expect(status(60, guilty).IsQuarantined()).To(BeTrue())
		reports, _ := r.Since(at(11*time.Second), 0, feed.SameGroup)
		fresh := quarantine.New()
		fresh.Merge(at(11*time.Second), reports, feed.SameGroup)
		Expect(fresh.Status(at(11*time.Second), request(1), guilty).IsQuarantined()).To(BeTrue())
	})
})

var _ = Describe("Crashes of a part that three entries observe", func() {
	const first, guilty quarantine.Part = "m/f0", "m/bad"
	const allowed = 3 * time.Second

	// Guards against entries that still send requests with a part after other entries have
	// found that it crashes servers.
	DescribeTable("quarantine it at every entry in time, and nothing else", func(size int) {
		f := feedtest.NewFleet(size, start.Add(2*time.Second), quarantine.New)
		f.Exchange()
		for n := range 4 {
			by := f.Registries[n*(size-1)/3]
			by.Crashed(at(time.Duration(n)*300*time.Millisecond), request(n), serverID(n), first, guilty)
		}
		for _, r := range f.Registries {
			r.Proved(f.Now, []quarantine.Part{first})
		}
		isQuarantined := func(r *quarantine.Registry) bool { return r.Status(f.Now, request(9), first, guilty).Part == guilty }
		f.ExpectSpread(allowed, isQuarantined)
		for range 6 {
			f.Exchange()
		}
		for _, r := range f.Registries {
			Expect(r.Status(f.Now, request(9), first).IsQuarantined()).To(BeFalse())
		}
		Expect(f.Exchange()).To(BeZero())
	},
		Entry("of 2", 2), Entry("of 8", 8), Entry("of 44", 44), Entry("of 100", 100), Entry("of 410", 410),
	)

	It("count for the requests only if the entry's release does not report parts", func() {
		r := quarantine.New()
		report := quarantine.Report{Request: request(1), Server: "i-1"}
		Expect(r.Merge(start, []quarantine.Report{report}, feed.SameGroup)).To(BeEmpty())
		Expect(r.Status(start, request(1)).IsSuspect()).To(BeTrue())
		Expect(r.Status(start, request(2), first).IsSuspect()).To(BeFalse())
	})
})
