package spread_test

import (
	"fmt"
	"testing"
	"time"

	"chivespindle.example/core/spread"
)

// BenchmarkSpread gives the time to the last replica over the bound and the
// copies drawn from the origin, mean and worst over its iterations.
func BenchmarkSpread(b *testing.B) {
	for _, policy := range []spread.Policy{spread.PolicyTime, spread.PolicyOrigin} {
		for _, n := range []int{16, 32, 64} {
			for _, chunks := range []int{64, 256} {
				b.Run(fmt.Sprintf("policy=%s/members=%d/chunks=%d", policy, n, chunks), func(b *testing.B) {
					spreadAll(b, n, chunks, spread.Settings{Policy: policy})
				})
			}
		}
	}
}

func spreadAll(b *testing.B, n, chunks int, s spread.Settings) {
	var time1, copies, worstTime, worstCopies float64
	for seed := range b.N {
		d := newDriver(n, chunks, 10*time.Second, s, uint64(seed))
		d.startAll()
		if !d.run(10 * time.Minute) {
			b.Fatal("not complete")
		}
		time1 += d.overBound()
		copies += d.copies()
		worstTime, worstCopies = max(worstTime, d.overBound()), max(worstCopies, d.copies())
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(time1/float64(b.N), "time/bound")
	b.ReportMetric(worstTime, "worst_time/bound")
	b.ReportMetric(copies/float64(b.N), "copies")
	b.ReportMetric(worstCopies, "worst_copies")
}
