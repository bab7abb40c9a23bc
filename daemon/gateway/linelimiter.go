package gateway

import (
	"sync"
	"time"
)

// lineLimiter limits log lines to maxLinesPerSecond and counts those left out.
type lineLimiter struct {
	mu          sync.Mutex
	windowStart time.Time
	written     int
	omitted     int
	sampled     int
}

// allow reports whether a line may be written now and, with the first line of a new
// second, how many lines the one before left out.
func (g *lineLimiter) allow(now time.Time) (ok bool, leftOut int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.windowStart) >= time.Second {
		leftOut = g.omitted
		g.windowStart = now
		g.written = 0
		g.omitted = 0
	}
	if g.written >= maxLinesPerSecond {
		g.omitted++
		return false, leftOut
	}
	g.written++
	return true, leftOut
}

// sample returns true for the first of each sequence of every calls.
func (g *lineLimiter) sample(every int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sampled++
	return g.sampled%every == 1
}
