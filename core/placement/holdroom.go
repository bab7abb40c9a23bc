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

// HoldRoom bounds how many late calls wait at an entry for room at the servers
// of a service.
//
// After an outage room is found for hundreds of waiting calls in a second, and
// each that is refused is lost to its caller. Under lasting overload none is
// found, and waiting only delays the refusal. So as many may wait as room was
// found for in the last second. It is safe for concurrent use.
type HoldRoom struct {
	mu     sync.Mutex
	held   int
	placed []time.Time // of the last holdSpan
}

// Enter takes a call in and reports whether there was room.
func (h *HoldRoom) Enter(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(now)
	if h.held >= holdLeast+len(h.placed) {
		return false
	}
	h.held++
	return true
}

// Leave takes a call out; placed tells that a server was found for it.
func (h *HoldRoom) Leave(now time.Time, placed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held--
	h.forget(now)
	if placed {
		h.placed = append(h.placed, now)
	}
}

func (h *HoldRoom) forget(now time.Time) {
	old := 0
	for old < len(h.placed) && now.Sub(h.placed[old]) > holdSpan {
		old++
	}
	h.placed = h.placed[old:]
}
