package burst

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Baselines run on links of the same rate without any protocol: no packets, no
// checks, no control traffic. Their results are therefore optimistic.

// baselineDivisor is the factor by which a baseline transfers less than the
// model. Only the ratio to the bound matters, and sixty-four complete copies
// from the origin would take a minute.
const baselineDivisor = 8

const (
	baselineBytes  = ModelBytes / baselineDivisor
	baselineChunks = baselineBytes / ChunkBytes
)

// BaselineResult holds the measurements of one baseline.
type BaselineResult struct {
	Baseline      string
	Fault         Fault
	Instances     int
	OriginCopies  float64
	TimeOverBound float64
	Serving       int
}

// String returns the line that bench prints.
func (r BaselineResult) String() string {
	return fmt.Sprintf("bench=burst baseline=%s fault=%s instances=%d origin_copies=%.2f time_over_bound=%.2f serving=%d mixed=0",
		r.Baseline, r.Fault, r.Instances, r.OriginCopies, r.TimeOverBound, r.Serving)
}

// newLimiter returns a limiter for a link's rate with its initial burst already
// spent; the burst would let one chunk pass a whole chain without delay.
func newLimiter(bytesPerSecond int) *rate.Limiter {
	limiter := rate.NewLimiter(rate.Limit(bytesPerSecond), ChunkBytes)
	limiter.AllowN(time.Now(), ChunkBytes)
	return limiter
}

// Direct measures every instance fetching all chunks from the origin.
func Direct(n int) BaselineResult {
	origin := newLimiter(OriginRate)
	started := time.Now()
	var done sync.WaitGroup
	for range n {
		done.Go(func() {
			link := newLimiter(MachineRate)
			for range baselineChunks {
				_ = origin.WaitN(context.Background(), ChunkBytes)
				_ = link.WaitN(context.Background(), ChunkBytes)
			}
		})
	}
	done.Wait()
	return BaselineResult{Baseline: "direct", Fault: FaultNone, Instances: n, OriginCopies: float64(n),
		TimeOverBound: timeOverBound(n, time.Since(started)), Serving: n}
}

// timeOverBound returns the ratio of took to the bound, scaled to the part of
// the model that a baseline transfers.
func timeOverBound(n int, took time.Duration) float64 {
	return took.Seconds() * baselineDivisor / Bound(n).Seconds()
}

// chainWaitBounds is the timeout of a broken chain, as a multiple of the bound.
const chainWaitBounds = 4

// Chain measures each instance fetching from its predecessor, the first from
// the origin. With FaultKill the middle instance stops half way.
func Chain(n int, fault Fault) BaselineResult {
	ctx, cancel := context.WithTimeout(context.Background(), chainWaitBounds*Bound(n)/baselineDivisor+time.Duration(n)*chunkTime)
	defer cancel()
	links := make([]chan struct{}, n+1)
	for i := range links {
		links[i] = make(chan struct{}, baselineChunks)
	}
	for range baselineChunks {
		links[0] <- struct{}{}
	}
	started := time.Now()
	var done sync.WaitGroup
	complete := make([]bool, n)
	for i := range n {
		chunks := baselineChunks
		if fault == FaultKill && i == n/2 {
			chunks /= 2
		}
		done.Go(func() { complete[i] = relayChunks(ctx, links[i], links[i+1], chunks) == baselineChunks })
	}
	done.Wait()
	r := BaselineResult{Baseline: "chain", Fault: fault, Instances: n, OriginCopies: 1, TimeOverBound: timeOverBound(n, time.Since(started))}
	for _, c := range complete {
		if c {
			r.Serving++
		}
	}
	return r
}

// chunkTime is the transfer time of a chunk on a machine's link.
const chunkTime = time.Second * ChunkBytes / MachineRate

// relayChunks receives up to the given number of chunks and forwards each after
// its transfer time on the machine's link. It returns the number forwarded.
func relayChunks(ctx context.Context, from <-chan struct{}, to chan<- struct{}, chunks int) int {
	for i := range chunks {
		select {
		case <-ctx.Done():
			return i
		case <-from:
		}
		// A chunk takes the full transfer time after it arrives, however long the
		// link was idle before; a token bucket would credit the idle time.
		select {
		case <-ctx.Done():
			return i
		case <-time.After(chunkTime):
		}
		to <- struct{}{}
	}
	return chunks
}
