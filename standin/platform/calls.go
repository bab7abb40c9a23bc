package platform

import (
	"sync"
	"time"
)

// callWindow is the span over which calls are counted for the rate.
const callWindow = time.Second

// callCounter counts calls, in all and over the last callWindow.
type callCounter struct {
	mu     sync.Mutex
	now    func() time.Time
	total  uint64
	peak   int
	recent []time.Time
}

func newCallCounter(now func() time.Time) *callCounter {
	return &callCounter{now: now}
}

// add counts one call.
func (c *callCounter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune()
	c.record()
}

// addBelow counts one call unless ceiling calls lie in the window already.
// A ceiling of 0 is none.
func (c *callCounter) addBelow(ceiling int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune()
	if ceiling > 0 && len(c.recent) >= ceiling {
		return false
	}
	c.record()
	return true
}

func (c *callCounter) record() {
	c.total++
	c.recent = append(c.recent, c.now())
	c.peak = max(c.peak, len(c.recent))
}

func (c *callCounter) prune() {
	oldest := c.now().Add(-callWindow)
	keep := 0
	for keep < len(c.recent) && !c.recent[keep].After(oldest) {
		keep++
	}
	c.recent = append(c.recent[:0], c.recent[keep:]...)
}

func (c *callCounter) sum() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

func (c *callCounter) lastWindow() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune()
	return len(c.recent)
}

func (c *callCounter) peakWindow() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak
}
