package slopes

import (
	"math/rand/v2"
	"runtime"
	"time"

	"chivespindle.example/standin/bench/slopes/usage"
)

// enoughCPU is how much processor time a measurement of a repeated call
// spends, so that the clock's steps and the collector's runs even out.
const enoughCPU = 120 * time.Millisecond

// perCall returns the processor time of one call of f in milliseconds, the
// collector's share included.
func perCall(f func()) float64 {
	f() // what is made once only
	for n := 1; ; n *= 2 {
		started := usage.Self()
		for range n {
			f()
		}
		if used := usage.Self() - started; used >= enoughCPU {
			return float64(used.Nanoseconds()) / float64(n) / float64(time.Millisecond)
		}
	}
}

// heapOf returns the bytes that what f makes keeps.
func heapOf[T any](f func() T) float64 {
	before := usage.Heap()
	made := f()
	after := usage.Heap()
	runtime.KeepAlive(made)
	return after - before
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// measured fills in a slope's points.
func measured(s Slope, sizes []int, value func(n int) float64) Slope {
	for _, n := range sizes {
		s.Points = append(s.Points, Point{float64(n), value(n)})
	}
	return s
}

// Parts are the measurements that need no other process. Each takes a few
// seconds at most; they share one process, so they run one after another.
func Parts() []func() ([]Slope, error) {
	return []func() ([]Slope, error){Membership, Text, List, Routing, Spread, Rollout, Records}
}
