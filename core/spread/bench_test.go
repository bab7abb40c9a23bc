package spread_test

import (
	"fmt"
	"testing"
	"time"

	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
)

// BenchmarkSpread reports the time to the last replica relative to the lower bound and
// the copies fetched from the origin, mean and worst over the iterations.
func BenchmarkSpread(b *testing.B) {
	for _, policy := range []spread.Policy{spread.PolicyTime, spread.PolicyOrigin} {
		for _, n := range []int{16, 32, 64} {
			for _, chunks := range []int{64, 256} {
				b.Run(fmt.Sprintf("policy=%s/members=%d/chunks=%d", policy, n, chunks), func(b *testing.B) {
					benchmarkPolicy(b, n, chunks, spread.Settings{Policy: policy})
				})
			}
		}
	}
}

func benchmarkPolicy(b *testing.B, n, chunks int, s spread.Settings) {
	var totalTime, copies, worstTime, worstCopies float64
	for seed := range b.N {
		d := newDriver(n, chunks, 10*time.Second, s, uint64(seed))
		d.startAll()
		if !d.run(10 * time.Minute) {
			b.Fatal("not complete")
		}
		totalTime += d.overBound()
		copies += d.copies()
		worstTime, worstCopies = max(worstTime, d.overBound()), max(worstCopies, d.copies())
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(totalTime/float64(b.N), "time/bound")
	b.ReportMetric(worstTime, "worst_time/bound")
	b.ReportMetric(copies/float64(b.N), "copies")
	b.ReportMetric(worstCopies, "worst_copies")
}

// BenchmarkNext measures one event and the decisions that follow it, in the middle of
// the distribution of a large version among many neighbours.
func BenchmarkNext(b *testing.B) {
	const chunks, peers = 25_000, 16
	d := newDriver(peers+1, chunks, time.Minute, spread.Settings{}, 1)
	now := d.now
	var plan *spread.Plan
	var fetches []spread.Fetch
	for b.Loop() {
		if plan == nil || plan.Have().Count() > chunks*9/10 {
			b.StopTimer()
			plan = newPlan(d.list[0], d.list, chunks, spread.Settings{})
			for _, m := range d.list[1:] {
				have := weights.NewSet(chunks)
				for range chunks / 2 {
					have.Add(d.rand.IntN(chunks))
				}
				plan.PeerUp(now, m)
				plan.SetPeerChunks(now, m.ID, have)
			}
			fetches = plan.Next(now)
			b.StartTimer()
		}
		now = now.Add(time.Millisecond)
		plan.AddPeerChunks(now, d.list[1+d.rand.IntN(peers)].ID, []int{d.rand.IntN(chunks)})
		if len(fetches) > 0 && d.rand.IntN(4) == 0 {
			plan.Done(now, fetches[0].ID)
			fetches = fetches[1:]
		}
		fetches = append(fetches, plan.Next(now)...)
		plan.Wake(now)
	}
}

// BenchmarkSetMembers measures the processing of the first member list of a large
// fleet.
func BenchmarkSetMembers(b *testing.B) {
	d := newDriver(390, 25_000, time.Minute, spread.Settings{}, 1)
	for b.Loop() {
		newPlan(d.list[0], d.list, 25_000, spread.Settings{})
	}
}

// BenchmarkNeighbours measures one choice of neighbours in a large fleet.
func BenchmarkNeighbours(b *testing.B) {
	d := newDriver(390, 1, time.Minute, spread.Settings{}, 1)
	plan := newPlan(d.list[0], d.list, 1, spread.Settings{})
	for b.Loop() {
		plan.Neighbours()
	}
}
