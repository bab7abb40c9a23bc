package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/feed/feedtest"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/quarantine"
)

var start = time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// request returns the n-th fingerprint.
func request(n int) quarantine.Fingerprint {
	var f quarantine.Fingerprint
	binary.LittleEndian.PutUint64(f[:], uint64(n))
	return f
}

func serverID(n int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("i-%d", n)) }

var _ = Describe("A request in flight at crashes", func() {
	var r *quarantine.Registry
	poison := request(1)

	crash := func(after time.Duration, servers ...int) {
		for _, n := range servers {
			r.Crashed(at(after), poison, serverID(n))
		}
	}
	status := func(after time.Duration) quarantine.Status { return r.Status(at(after), poison) }

	BeforeEach(func() { r = quarantine.New() })

	It("is quarantined at the third crash", func() {
		Expect(r.IsEmpty()).To(BeTrue())
		crash(0, 1)
		Expect(status(0).IsSuspect()).To(BeTrue())
		Expect(status(0).CanRetry()).To(BeTrue())
		crash(time.Second, 2)
		Expect(status(time.Second).CanRetry()).To(BeFalse())
		Expect(status(time.Second).IsQuarantined()).To(BeFalse())
		crash(2*time.Second, 3)
		Expect(status(2 * time.Second)).To(Equal(quarantine.Status{
			Servers: []fleet.InstanceID{"i-1", "i-2", "i-3"}, Until: at(time.Hour)}))
		Expect(status(2 * time.Second).IsQuarantined()).To(BeTrue())
	})

	// Guards against blaming all sixteen requests in flight at a crash for the one that
	// caused it.
	It("is cleared if it succeeds", func() {
		crash(0, 1, 2)
		r.Succeeded(at(time.Second), poison)
		crash(2*time.Second, 3, 4)
		Expect(status(2 * time.Second).IsQuarantined()).To(BeFalse())
		Expect(status(2 * time.Second).Servers).To(HaveLen(2))
	})

	It("counts a crash once however often it is observed", func() {
		crash(0, 1)
		crash(100*time.Millisecond, 1)
		for range 3 {
			r.Merge(at(200*time.Millisecond), []quarantine.Report{{Request: poison, Server: serverID(1), AgeMS: 150}}, feed.SameGroup)
		}
		Expect(status(time.Second).Servers).To(HaveLen(1))
		crash(5*time.Second, 1) // it had restarted under the same ID
		Expect(status(5 * time.Second).Servers).To(HaveLen(2))
	})

	It("ignores a report of a crash before its success", func() {
		crash(0, 1)
		r.Succeeded(at(2*time.Second), poison)
		late := []quarantine.Report{{Request: poison, Server: serverID(2), AgeMS: 1500}}
		Expect(r.Merge(at(3*time.Second), late, feed.OtherGroup)).To(BeEmpty())
		Expect(status(3 * time.Second).IsSuspect()).To(BeFalse())
	})

	It("may be sent again once the crashes are old", func() {
		crash(0, 1)
		crash(time.Minute, 2, 3)
		Expect(status(time.Hour - time.Second).IsQuarantined()).To(BeTrue())
		Expect(status(time.Hour).IsQuarantined()).To(BeFalse())
		r.DropExpired(at(2 * time.Hour))
		Expect(r.IsEmpty()).To(BeTrue())
	})

	It("leaves no record if it was not in flight at a crash", func() {
		r.Succeeded(start, poison)
		Expect(r.IsEmpty()).To(BeTrue())
		Expect(r.Merge(start, []quarantine.Report{{Request: poison}}, feed.SameGroup)).To(BeEmpty())
		Expect(r.IsEmpty()).To(BeTrue())
	})

	// Guards against a flood of different requests, as when many servers are lost, that
	// evicts quarantined requests or exhausts the memory.
	It("stays quarantined under a flood of others", func() {
		crash(0, 1, 2, 3)
		_, before := r.Since(at(0), 0, feed.SameGroup)
		const flood, remembered = 20000, 512
		for n := range flood {
			r.Crashed(at(time.Second), request(100+n), serverID(4))
		}
		count, _ := feedtest.Drain(r, at(time.Second), before)
		Expect(count).To(BeNumerically("<=", remembered))
		Expect(status(time.Second).IsQuarantined()).To(BeTrue())
		first, change := r.Since(at(time.Second), 0, feed.SameGroup)
		Expect(len(first)).To(BeNumerically("<=", 256))
		Expect(first).To(ContainElement(HaveField("Request", poison)))
		r.Crashed(at(time.Second), request(1), serverID(5))
		rest, _ := r.Since(at(time.Second), change, feed.SameGroup)
		Expect(rest).To(HaveLen(1))
	})
})

var _ = Describe("Reports to a peer", func() {
	one, two := request(1), request(2)

	It("are sent once each, in several messages if there are many", func() {
		r := quarantine.New()
		_, change := r.Since(start, 0, feed.SameGroup)
		const crashes = 60
		for n := range crashes {
			r.Crashed(start, request(n), serverID(1))
		}
		sent, largest := feedtest.Drain(r, start, change)
		Expect(sent).To(Equal(crashes))
		Expect(largest).To(BeNumerically("<", crashes))
	})

	DescribeTable("omit what it receives from others", func(from, to feed.Source, want int) {
		r := quarantine.New()
		_, change := r.Since(start, 0, to)
		r.Merge(start, []quarantine.Report{{Request: one, Server: serverID(1)}}, from)
		reports, _ := r.Since(start, change, to)
		Expect(reports).To(HaveLen(want))
		first, _ := r.Since(start, 0, to)
		Expect(first).To(HaveLen(1))
	},
		Entry("of its own group", feed.SameGroup, feed.SameGroup, 0),
		Entry("of another group", feed.OtherGroup, feed.OtherGroup, 0),
		Entry("but not what was received from another group", feed.OtherGroup, feed.SameGroup, 1),
		Entry("but not what is reported to another group", feed.SameGroup, feed.OtherGroup, 1),
	)

	It("repeat the observations of others once they quarantine a request", func() {
		r := quarantine.New()
		_, change := r.Since(start, 0, feed.SameGroup)
		reports := []quarantine.Report{{Request: one, Server: serverID(1)}, {Request: one, Server: serverID(2)}, {Request: two, Server: serverID(2)}}
		Expect(r.Merge(start, reports, feed.SameGroup)).To(BeEmpty())
		third := []quarantine.Report{{Request: one, Server: serverID(3)}}
		Expect(r.Merge(start, third, feed.SameGroup)).To(Equal([]quarantine.Fingerprint{one}))
		Expect(r.Merge(start, third, feed.OtherGroup)).To(BeEmpty())
		again, _ := r.Since(start, change, feed.SameGroup)
		Expect(again).To(HaveLen(3))
	})
})
