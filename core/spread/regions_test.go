package spread_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/core/spread"
)

// newRegionalFleet returns a fleet in three regions with 48 chunks of 42 ms each on a
// machine's link and an origin that takes as long as such a link for one copy.
func newRegionalFleet(members int, seed uint64, nearFirst bool) *driver {
	const chunks = 48
	d := newDriver(members, chunks, 2*chunks*42*time.Millisecond, spread.Settings{
		NearFirst: nearFirst, NoStore: true, OriginCopies: 2.5, ReportWait: 250 * time.Millisecond,
		TakeoverDelay: 700 * time.Millisecond, SourcePauseMax: 700 * time.Millisecond,
	}, seed)
	d.settings.OriginRate /= 2
	d.originFactor = 2
	d.crossesRegion = func(a, b *agent) bool { return a.Region != b.Region }
	d.startAll()
	return d
}

// BenchmarkRegions reports the time to the last replica relative to the lower bound and
// the number of copies transferred into each region.
func BenchmarkRegions(b *testing.B) {
	for _, c := range []struct {
		name      string
		members   int
		nearFirst bool
	}{{"rarest/99", 99, false}, {"near/99", 99, true}, {"near/265", 265, true}} {
		b.Run(c.name, func(b *testing.B) {
			var over, first, copies, crossings float64
			for seed := range b.N {
				d := newRegionalFleet(c.members, uint64(seed), c.nearFirst)
				if !d.run(time.Minute) {
					b.Fatal("not complete")
				}
				over += d.overBound()
				first += d.firstReady().Seconds()
				copies += d.copies()
				crossings += float64(d.crossings) / 48 / 3
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(over/float64(b.N), "time/bound")
			b.ReportMetric(first/float64(b.N), "first_s")
			b.ReportMetric(copies/float64(b.N), "copies")
			b.ReportMetric(crossings/float64(b.N), "crossings/region")
		})
	}
}

// 265 members want a version of 48 chunks, and 120 of them have a quota. When members
// without a quota also ranked themselves first for a chunk, the origin sent more than
// one copy too many, the bytes arrived two seconds late, and requests waited for
// engines that all changed their version at once.
var _ = ginkgo.Describe("a fleet with more members than quota", func() {
	ginkgo.It("fetches little more than one copy from the origin", func() {
		d := newRegionalFleet(265, 1, true)
		gomega.Expect(d.run(time.Minute)).To(gomega.BeTrue())
		gomega.Expect(d.copies()).To(gomega.BeNumerically("<", 1.1))
	})
})

// Guards against a late version after an outage of the origin: all chunks come due at
// several members meanwhile, are requested at once, and none is complete for seconds.
var _ = ginkgo.Describe("a fleet whose origin is unavailable at first", func() {
	ginkgo.It("fetches little more than one copy once the origin recovers", func() {
		const away, seeds = 6 * time.Second, 3
		for seed := range uint64(seeds) {
			present, absent := newRegionalFleet(88, seed, true), newRegionalFleet(88, seed, true)
			absent.origin = until(absent, away, spread.ReasonUnavailable)
			gomega.Expect(present.run(time.Minute)).To(gomega.BeTrue())
			gomega.Expect(absent.run(time.Minute)).To(gomega.BeTrue())
			gomega.Expect(absent.copies()).To(gomega.BeNumerically("<", 2), "copies, seed %d", seed)
			gomega.Expect(absent.firstReady()-away).To(gomega.BeNumerically("<", present.firstReady()+time.Second), "first replica, seed %d", seed)
		}
	})

	// Guards against a late completion because every member holds its schedule back:
	// most of the version is in the fleet when the origin fails.
	ginkgo.It("completes soon after an outage that begins when most chunks have been fetched", func() {
		const fails, back, seeds = 1400 * time.Millisecond, 8 * time.Second, 3
		for seed := range uint64(seeds) {
			d := newRegionalFleet(88, seed, true)
			d.origin = func(int) (spread.Reason, bool) {
				since := d.now.Sub(startTime)
				return spread.ReasonUnavailable, since >= fails && since < back
			}
			gomega.Expect(d.run(time.Minute)).To(gomega.BeTrue())
			gomega.Expect(d.firstReady()-back).To(gomega.BeNumerically("<", 2*time.Second), "first replica, seed %d", seed)
		}
	})
})
