package gateway

import (
	"sync"
	"time"
)

// lineGate lets so many lines through in a second and counts the others.
type lineGate struct {
	mu      sync.Mutex
	second  time.Time
	passed  int
	left    int
	sampled int
}

// allow reports whether a line may be written now, and how many were left out
// in the second that has just ended.
func (g *lineGate) allow(now time.Time) (ok bool, leftOut int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.second) >= time.Second {
		leftOut = g.left
		g.second = now
		g.passed = 0
		g.left = 0
	}
	if g.passed >= linesPerSecond {
		g.left++
		return false, leftOut
	}
	g.passed++
	return true, leftOut
}

// sample reports true for the first of every so many calls.
func (g *lineGate) sample(every int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sampled++
	return g.sampled%every == 1
}
