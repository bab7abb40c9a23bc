package placement

import (
	"time"

	"chivespindle.example/core/enginemodel"
)

// reservedCost is the cost of a server whose free slots are reserved for more urgent
// requests. It exceeds the differences between the predictions of servers that would answer
// in time and the costs of distance, so that another is chosen. It is below the cost of a
// server that fails a quarter of its requests more than usual: such a server ends them at
// once, so it always has free slots.
const reservedCost = failureCost / 4

// hasReserve reports whether the request leaves slots free.
func (r Request) hasReserve() bool { return r.Limits.ReservedSlots > 0 }

// fitsReserve reports whether a server has room for the request beside the slots that its
// level leaves free. Late requests leave the same slots free as others of their level, and
// those that all late requests do.
func (r Request) fitsReserve(w enginemodel.Work, s *serverState) bool {
	if !r.hasReserve() {
		return true
	}
	slots := max(1, s.Slots)
	if r.Engine == nil {
		slots *= plainQueueFactor
	}
	share := 1.0
	if r.Late && r.Engine != nil {
		share = lateSlotShare
	}
	return float64(w.Running) < share*float64(r.Limits.Slots(slots))
}

// RetryAfter returns the delay after which a caller may retry that is refused without a
// choice of a server.
func (b *Balancer) RetryAfter(req Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retryAfter(req)
}
