package platform

import (
	"sync"
	"time"
)

// rateWindow is the sliding window of the call rate.
const rateWindow = time.Second

// callCounter counts calls in total and within the last rateWindow.
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

// addIfBelow counts one call unless the window already holds limit calls. A limit
// of 0 means no limit.
func (c *callCounter) addIfBelow(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune()
	if limit > 0 && len(c.recent) >= limit {
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
	windowStart := c.now().Add(-rateWindow)
	expired := 0
	for expired < len(c.recent) && !c.recent[expired].After(windowStart) {
		expired++
	}
	c.recent = append(c.recent[:0], c.recent[expired:]...)
}

func (c *callCounter) totalCalls() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

func (c *callCounter) windowCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune()
	return len(c.recent)
}

func (c *callCounter) peakCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak
}
