package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/catalog"
)

var _ = Describe("A server that was leaving or removed before the platform returned from an older copy", func() {
	start := time.Date(2031, 5, 6, 7, 8, 0, 0, time.UTC)
	at := func(after time.Duration) time.Time { return start.Add(after) }
	registered := func(era, counter int64) catalog.Server { return *server("a", "10.0.0.1:80", revision(era, counter)) }
	draining := func(era, counter int64) catalog.Server {
		s := registered(era, counter)
		s.Draining = true
		return s
	}
	snapshot := func(asOf catalog.Revision, servers ...catalog.Server) catalog.Snapshot {
		return catalog.Snapshot{AsOf: asOf, Servers: servers}
	}
	var d *catalog.Departures

	BeforeEach(func() {
		d = catalog.NewDepartures()
		Expect(d.Observe(start, snapshot(revision(1, 20), registered(1, 10)))).To(BeTrue())
	})

	// Guards against a leaving server that is used again, for as long as the copy is its registration.
	It("is still leaving until it registers again", func() {
		Expect(d.Observe(at(time.Second), snapshot(revision(1, 30), draining(1, 30)))).To(BeFalse())
		Expect(d.Observe(at(2*time.Second), snapshot(revision(2, 22), registered(2, 10)))).To(BeTrue())
		Expect(d.Standing(at(2*time.Second), registered(2, 10))).To(Equal(catalog.Leaving))
		Expect(d.Standing(at(time.Hour), registered(2, 10))).To(Equal(catalog.Leaving))
		Expect(d.Standing(at(2*time.Second), registered(2, 23))).To(Equal(catalog.Current))
	})

	// Guards against a second return that brings back what the first did not.
	It("is still leaving after a second return", func() {
		d.Observe(at(time.Second), snapshot(revision(1, 30), draining(1, 30)))
		d.Observe(at(2*time.Second), snapshot(revision(2, 22), registered(2, 10)))
		d.Observe(at(3*time.Second), snapshot(revision(3, 22), registered(3, 10)))
		Expect(d.Standing(at(3*time.Second), registered(3, 10))).To(Equal(catalog.Leaving))
	})

	// Guards against a server that had lapsed and is never used again.
	It("is gone if it was removed, unless it is listed for longer than a dead one", func() {
		d.RecordRemoved(at(time.Second), registered(1, 10), false)
		d.Observe(at(2*time.Second), snapshot(revision(2, 22), registered(2, 10)))
		Expect(d.Standing(at(2*time.Second), registered(2, 10))).To(Equal(catalog.Gone))
		Expect(d.Standing(at(2*time.Second), registered(2, 23))).To(Equal(catalog.Current))
		Expect(d.Standing(at(8*time.Second), registered(2, 10))).To(Equal(catalog.Current))
	})

	It("was leaving and then removed, and is leaving if it is listed for long", func() {
		d.RecordRemoved(at(time.Second), registered(1, 10), true)
		d.Observe(at(2*time.Second), snapshot(revision(2, 22), registered(2, 10)))
		Expect(d.Standing(at(2*time.Second), registered(2, 10))).To(Equal(catalog.Gone))
		Expect(d.Standing(at(8*time.Second), registered(2, 10))).To(Equal(catalog.Leaving))
	})

	It("counts once it has registered again, also after a later return", func() {
		d.RecordRemoved(at(time.Second), registered(1, 10), false)
		d.Observe(at(2*time.Second), snapshot(revision(1, 31), registered(1, 31)))
		d.Observe(at(3*time.Second), snapshot(revision(2, 22), registered(2, 10)))
		Expect(d.Standing(at(3*time.Second), registered(2, 10))).To(Equal(catalog.Current))
	})

	// Guards against a copy from before the last era, whose counters are higher than the last
	// known one.
	It("is still leaving after a return to a copy that is older than the last return", func() {
		d.Observe(at(time.Second), snapshot(revision(1, 30), draining(1, 30)))
		d.Observe(at(2*time.Second), snapshot(revision(2, 24), draining(2, 24)))
		d.Observe(at(3*time.Second), snapshot(revision(3, 29), registered(3, 27)))
		Expect(d.Standing(at(3*time.Second), registered(3, 27))).To(Equal(catalog.Leaving))
	})

	// Guards against a copy that lists an earlier start of a server that has ended.
	It("is gone if the copy lists an earlier start under its ID", func() {
		old, last := registered(2, 10), registered(1, 28)
		old.Born, last.Born = 1000, 2000
		d.RecordRemoved(at(time.Second), last, false)
		d.Observe(at(2*time.Second), snapshot(revision(2, 22), old))
		Expect(d.Standing(at(2*time.Second), old)).To(Equal(catalog.Gone))
	})

	It("counts if it has registered between the return and the first snapshot", func() {
		d.RecordRemoved(at(time.Second), registered(1, 10), false)
		d.Observe(at(2*time.Second), snapshot(revision(2, 30), registered(2, 25)))
		Expect(d.Standing(at(2*time.Second), registered(2, 25))).To(Equal(catalog.Current))
	})

	It("counts after a start under its ID", func() {
		old, restarted := draining(1, 30), registered(2, 22)
		old.Born, restarted.Born = 1000, 2000
		d.Observe(at(time.Second), snapshot(revision(1, 30), old))
		d.Observe(at(2*time.Second), snapshot(revision(2, 22), restarted))
		Expect(d.Standing(at(2*time.Second), restarted)).To(Equal(catalog.Current))
	})
})
