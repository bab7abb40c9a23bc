package placement

import (
	"time"

	"chivespindle.example/core/fleet"
)

const (
	// leastDepth is the burst of a small share, in requests. All entries that use the
	// server may send theirs at the same moment.
	leastDepth = 1
	// depthTime is the burst of a larger share, as the time in which it accrues. An
	// entry's requests come unevenly; without a burst it would use a part of its share.
	depthTime = 1500 * time.Millisecond
)

// bucket is this entry's share of the limit of a server. A nil bucket is full: the
// server has no limit.
type bucket struct {
	perSecond float64
	tokens    float64
	at        time.Time
}

func (b *bucket) fill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		depth := max(leastDepth, b.perSecond*depthTime.Seconds())
		b.tokens = min(depth, b.tokens+b.perSecond*passed.Seconds())
		b.at = now
	}
}

// isEmpty reports whether no request may be sent now.
func (b *bucket) isEmpty(now time.Time) bool {
	if b == nil {
		return false
	}
	b.fill(now)
	return b.tokens < 1
}

func (b *bucket) take() {
	if b != nil {
		b.tokens--
	}
}

// SetLimits replaces this entry's shares of the servers with a limit, in requests a
// second. A share starts empty: requests sent before count against it.
//
// All entries return to a server at once when its limit ends, so it counts as one
// that has just become ready.
func (b *Balancer) SetLimits(now time.Time, shares map[fleet.InstanceID]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, st := range b.servers {
		share, limited := shares[id]
		switch {
		case !limited && st.limit != nil:
			st.limit = nil
			st.ready = now
		case !limited:
		case st.limit == nil:
			st.limit = &bucket{perSecond: share, at: now}
		default:
			st.limit.fill(now)
			st.limit.perSecond = share
		}
	}
}

// isLimited reports whether a server of the service would take work if its limit
// allowed it.
func (g *group) isLimited(now time.Time) bool {
	for _, st := range g.states {
		if !st.Leaving && !st.Reloading && !st.Unreachable && st.limit.isEmpty(now) {
			return true
		}
	}
	return false
}
