package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/feed/feedtest"
	"chivespindle.example/core/quarantine"
)

// crashFleet is entries that exchange reports of crashes.
type crashFleet struct {
	entries    []*feedtest.Entry
	registries []*quarantine.Registry
	now        time.Time
}

func newCrashFleet(size int) *crashFleet {
	f := &crashFleet{entries: feedtest.Fleet(size), now: start}
	for range size {
		f.registries = append(f.registries, quarantine.New())
	}
	return f
}

// registryAt is the registry of an entry at the time of its fleet.
type registryAt struct {
	*quarantine.Registry
	now time.Time
}

func (r registryAt) Since(sent feed.Cursor, to feed.Source) ([]quarantine.Report, feed.Cursor) {
	return r.Registry.Since(r.now, sent, to)
}

func (r registryAt) Merge(reports []quarantine.Report, from feed.Source) {
	r.Registry.Merge(r.now, reports, from)
}

func (f *crashFleet) exchange() int {
	return feedtest.Exchange(f.entries, func(i int) feedtest.Registry[quarantine.Report] {
		return registryAt{f.registries[i], f.now}
	})
}

func (f *crashFleet) countQuarantined() int {
	n := 0
	for _, r := range f.registries {
		if r.Standing(f.now, request(1)).IsQuarantined() {
			n++
		}
	}
	return n
}

var _ = Describe("Crashes that three entries observe", func() {
	// What is allowed is the time after the third crash in which requests do not count;
	// a whole beat is sent to each entry in this pause.
	const allowed, beat = 3 * time.Second, 500 * time.Millisecond

	// Guards against entries that send servers a request of which others know that it crashes them.
	DescribeTable("quarantine the request at every entry in time", func(size int) {
		f := newCrashFleet(size)
		f.exchange()
		for n, by := range []int{0, size / 2, size - 1} {
			f.registries[by].Crashed(start, request(1), engine(n))
		}
		for f.countQuarantined() < size {
			f.now = f.now.Add(beat)
			Expect(f.now.Sub(start)).To(BeNumerically("<=", allowed), "known to %d", f.countQuarantined())
			f.exchange()
		}
	},
		Entry("of 2", 2), Entry("of 8", 8), Entry("of 13", 13), Entry("of 44", 44), Entry("of 100", 100), Entry("of 410", 410),
	)

	It("are known to an entry that starts afterwards, after one message", func() {
		f := newCrashFleet(8)
		for n := range 3 {
			f.registries[n].Crashed(start, request(1), engine(n))
		}
		for range 3 {
			f.exchange()
		}
		fresh := quarantine.New()
		reports, _ := f.registries[7].Since(at(time.Second), 0, feed.Near)
		Expect(fresh.Merge(at(time.Second), reports, feed.Near)).To(HaveLen(1))
	})

	// Guards against reports that go round between entries for ever.
	It("are reported no more once all know them", func() {
		f := newCrashFleet(100)
		f.exchange()
		for n := range 3 {
			f.registries[40*n].Crashed(start, request(1), engine(n))
		}
		for range 6 {
			f.exchange()
		}
		Expect(f.exchange()).To(BeZero())
	})
})
