package spread_test

import (
	"testing"
	"time"

	"chivespindle.example/core/spread"
)

// growth is a fleet of the size at which the spread was measured to bind: three
// regions of 33, 48 chunks of 42 ms on a machine's link, an origin that takes as
// long as that link for a copy.
func growth(seed uint64, nearFirst bool) *driver {
	const members, chunks = 99, 48
	d := newDriver(members, chunks, 2*chunks*42*time.Millisecond, spread.Settings{
		NearFirst: nearFirst, NoStore: true, OriginCopies: 2.5, ListenTime: 250 * time.Millisecond,
		Takeover: 700 * time.Millisecond, SourcePauseMax: 700 * time.Millisecond,
	}, seed)
	d.settings.OriginRate /= 2
	d.originFactor = 2
	d.crossed = func(a, b *agent) bool { return a.Region != b.Region }
	d.startAll()
	return d
}

// BenchmarkRegions gives the time to the last replica over the bound, and how
// many copies crossed into each region.
func BenchmarkRegions(b *testing.B) {
	for _, nearFirst := range []bool{false, true} {
		b.Run(map[bool]string{true: "near", false: "rarest"}[nearFirst], func(b *testing.B) {
			var over, first, copies, crossings float64
			for seed := range b.N {
				d := growth(uint64(seed), nearFirst)
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
