package placement

import (
	"sync"
	"time"
)

const (
	// holdLeast is how many calls may always be held: enough to learn whether
	// room is found for them.
	holdLeast = 4
	// holdSpan is the time over which it is counted for how many room was found.
	holdSpan = time.Second
)

// HoldLimiter bounds how many late calls wait at an entry for room at the servers
// of a service.
//
// After an outage room is found for hundreds of waiting calls in a second, and
// each that is refused is lost to its caller. Under lasting overload none is
// found, and waiting only delays the refusal. So as many may wait as room was
// found for in the last second. It is safe for concurrent use.
type HoldLimiter struct {
	mu     sync.Mutex
	held   int
	placed []time.Time // of the last holdSpan
}

// TryAcquire takes a call in and reports whether there was room.
func (h *HoldLimiter) TryAcquire(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(now)
	if h.held >= holdLeast+len(h.placed) {
		return false
	}
	h.held++
	return true
}

// Release takes a call out; placed tells that a server was found for it.
func (h *HoldLimiter) Release(now time.Time, placed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held--
	h.forget(now)
	if placed {
		h.placed = append(h.placed, now)
	}
}

func (h *HoldLimiter) forget(now time.Time) {
	old := 0
	for old < len(h.placed) && now.Sub(h.placed[old]) > holdSpan {
		old++
	}
	h.placed = h.placed[old:]
}
