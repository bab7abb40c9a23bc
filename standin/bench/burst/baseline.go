package burst

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Baselines are worked out on the same links without any protocol, which
// flatters them: no packets, no checks, no control traffic.

// baselineShare is the part of the model that a baseline moves. What counts is
// the ratio to the bound, and sixty-four whole copies from the origin would
// take a minute.
const baselineShare = 8

const (
	baselineBytes  = ModelBytes / baselineShare
	baselineChunks = baselineBytes / ChunkBytes
)

// BaselineResult is what one baseline came to.
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

// newLimiter returns a link's rate without the first burst, which would carry
// one chunk through a whole chain in no time.
func newLimiter(bytesPerSecond int) *rate.Limiter {
	limiter := rate.NewLimiter(rate.Limit(bytesPerSecond), ChunkBytes)
	limiter.AllowN(time.Now(), ChunkBytes)
	return limiter
}

// Direct lets every instance draw the whole from the origin.
func Direct(n int) BaselineResult {
	origin := newLimiter(OriginRate)
	started := time.Now()
	var done sync.WaitGroup
	for range n {
		done.Go(func() {
			own := newLimiter(MachineRate)
			for range baselineChunks {
				_ = origin.WaitN(context.Background(), ChunkBytes)
				_ = own.WaitN(context.Background(), ChunkBytes)
			}
		})
	}
	done.Wait()
	return BaselineResult{Baseline: "direct", Fault: FaultNone, Instances: n, OriginCopies: float64(n),
		TimeOverBound: overBound(n, time.Since(started)), Serving: n}
}

// overBound is the ratio to the bound of the baseline's part of the model.
func overBound(n int, took time.Duration) float64 {
	return took.Seconds() * baselineShare / Bound(n).Seconds()
}

// chainWait is how many bounds a chain that broke is waited for.
const chainWait = 4

// Chain lets each instance copy from the one before it, the first from the
// origin. With FaultKill one in the middle dies half way.
func Chain(n int, fault Fault) BaselineResult {
	ctx, cancel := context.WithTimeout(context.Background(), chainWait*Bound(n)/baselineShare+time.Duration(n)*chunkTime)
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
	whole := make([]bool, n)
	for i := range n {
		chunks := baselineChunks
		if fault == FaultKill && i == n/2 {
			chunks /= 2
		}
		done.Go(func() { whole[i] = copyAlong(ctx, links[i], links[i+1], chunks) == baselineChunks })
	}
	done.Wait()
	r := BaselineResult{Baseline: "chain", Fault: fault, Instances: n, OriginCopies: 1, TimeOverBound: overBound(n, time.Since(started))}
	for _, w := range whole {
		if w {
			r.Serving++
		}
	}
	return r
}

// chunkTime is how long a chunk takes on a machine's link.
const chunkTime = time.Second * ChunkBytes / MachineRate

// copyAlong takes up to chunks from one link and hands each on when the
// machine's own link has carried it. It returns how many came.
func copyAlong(ctx context.Context, from <-chan struct{}, to chan<- struct{}, chunks int) int {
	for i := range chunks {
		select {
		case <-ctx.Done():
			return i
		case <-from:
		}
		// A chunk takes the link's time after it has come, however long the link
		// was idle before; a token bucket would give that time back.
		select {
		case <-ctx.Done():
			return i
		case <-time.After(chunkTime):
		}
		to <- struct{}{}
	}
	return chunks
}
