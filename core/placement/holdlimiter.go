package placement

import (
	"sync"
	"time"
)

const (
	// minHeld is how many calls may always be held: enough to find out whether
	// servers become available for them.
	minHeld = 4
	// placedWindow is the sliding window in which the held calls that were placed
	// are counted.
	placedWindow = time.Second
)

// HoldLimiter limits how many late calls wait at an entry for capacity at the
// servers of a service.
//
// After an outage, hundreds of waiting calls can be placed within a second, and
// each call that is refused instead is lost to its caller. Under lasting overload
// none can be placed, and waiting only delays the refusal. So as many calls may
// wait as were placed in the last second. It is safe for concurrent use.
type HoldLimiter struct {
	mu     sync.Mutex
	held   int
	placed []time.Time // within the last placedWindow
}

// TryAcquire reports whether another call may be held, and counts it if so.
func (h *HoldLimiter) TryAcquire(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	if h.held >= minHeld+len(h.placed) {
		return false
	}
	h.held++
	return true
}

// Release ends the hold of a call; placed is true if a server was found for it.
func (h *HoldLimiter) Release(now time.Time, placed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held--
	h.expire(now)
	if placed {
		h.placed = append(h.placed, now)
	}
}

func (h *HoldLimiter) expire(now time.Time) {
	old := 0
	for old < len(h.placed) && now.Sub(h.placed[old]) > placedWindow {
		old++
	}
	h.placed = h.placed[old:]
}
