package slopes

import (
	"math/rand/v2"
	"runtime"
	"time"

	"chivespindle.example/standin/bench/slopes/usage"
)

// minCPUTime is the processor time that the measurement of a repeated call
// uses at least, to average out the clock's resolution and garbage
// collections.
const minCPUTime = 120 * time.Millisecond

// cpuPerCall returns the processor time of one call of f in milliseconds,
// including garbage collection.
func cpuPerCall(f func()) float64 {
	f() // exclude one-time initialization
	for n := 1; ; n *= 2 {
		started := usage.Self()
		for range n {
			f()
		}
		if used := usage.Self() - started; used >= minCPUTime {
			return float64(used.Nanoseconds()) / float64(n) / float64(time.Millisecond)
		}
	}
}

// retainedHeap returns the heap bytes that the result of f retains.
func retainedHeap[T any](f func() T) float64 {
	before := usage.Heap()
	made := f()
	after := usage.Heap()
	runtime.KeepAlive(made)
	return after - before
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// measurePoints returns s with a point for each size.
func measurePoints(s Slope, sizes []int, value func(n int) float64) Slope {
	for _, n := range sizes {
		s.Points = append(s.Points, Point{float64(n), value(n)})
	}
	return s
}

// Parts returns the measurements that need no other process. Each takes a few
// seconds at most. They must run one after another, because they measure the
// process that they share.
func Parts() []func() ([]Slope, error) {
	return []func() ([]Slope, error){Membership, Text, List, Routing, Spread, Rollout, Records}
}
