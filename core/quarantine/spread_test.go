package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/feed/feedtest"
	"chivespindle.example/core/quarantine"
)

var _ = Describe("Crashes observed by three entries", func() {
	// allowed is the time after the third crash by which every entry must quarantine the
	// request.
	const allowed = 3 * time.Second

	// Guards against entries that still send a request to servers after other entries have
	// found that it crashes them.
	DescribeTable("quarantine the request at every entry in time", func(size int) {
		f := feedtest.NewFleet(size, start, quarantine.New)
		f.Exchange()
		for n, by := range []int{0, size / 2, size - 1} {
			f.Registries[by].Crashed(start, request(1), serverID(n))
		}
		f.ExpectSpread(allowed, func(r *quarantine.Registry) bool { return r.Status(f.Now, request(1)).IsQuarantined() })
	},
		Entry("of 2", 2), Entry("of 8", 8), Entry("of 13", 13), Entry("of 44", 44), Entry("of 100", 100), Entry("of 410", 410),
	)

	It("are known to an entry that starts later after one message", func() {
		f := feedtest.NewFleet(8, start, quarantine.New)
		for n := range 3 {
			f.Registries[n].Crashed(start, request(1), serverID(n))
		}
		for range 3 {
			f.Exchange()
		}
		fresh := quarantine.New()
		reports, _ := f.Registries[7].Since(at(time.Second), 0, feed.SameGroup)
		Expect(fresh.Merge(at(time.Second), reports, feed.SameGroup)).To(HaveLen(1))
	})

	// Guards against reports that circulate forever.
	It("are no longer reported once all entries know them", func() {
		f := feedtest.NewFleet(100, start, quarantine.New)
		f.Exchange()
		for n := range 3 {
			f.Registries[40*n].Crashed(start, request(1), serverID(n))
		}
		for range 6 {
			f.Exchange()
		}
		Expect(f.Exchange()).To(BeZero())
	})
})
