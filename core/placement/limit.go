package placement

import (
	"time"

	"chivespindle.example/core/fleet"
)

const (
	// minBurst is the burst of a small share, in requests. All entries that use the
	// server may send their bursts at the same moment.
	minBurst = 1
	// burstTime is the burst of a larger share, as the time in which it accrues.
	// The requests of an entry arrive unevenly; without a burst it could use only
	// part of its share.
	burstTime = 1500 * time.Millisecond
)

// tokenBucket is this entry's share of the rate limit of a server. A nil
// tokenBucket is never empty: the server has no limit.
type tokenBucket struct {
	perSecond  float64
	tokens     float64
	refilledAt time.Time
}

func (b *tokenBucket) refill(now time.Time) {
	if passed := now.Sub(b.refilledAt); passed > 0 {
		burst := max(minBurst, b.perSecond*burstTime.Seconds())
		b.tokens = min(burst, b.tokens+b.perSecond*passed.Seconds())
		b.refilledAt = now
	}
}

// isEmpty reports whether no request may be sent now.
func (b *tokenBucket) isEmpty(now time.Time) bool {
	if b == nil {
		return false
	}
	b.refill(now)
	return b.tokens < 1
}

func (b *tokenBucket) take() {
	if b != nil {
		b.tokens--
	}
}

// SetLimits replaces this entry's shares of the rate limits of servers, in requests
// per second. A new share starts empty: requests sent before it was set count
// against it.
//
// When the limit of a server ends, all entries return to it at once, so it is
// treated as a server that has just become ready.
func (b *Balancer) SetLimits(now time.Time, shares map[fleet.InstanceID]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, st := range b.servers {
		share, limited := shares[id]
		switch {
		case limited:
			st.setLimit(now, share)
		case st.limit != nil:
			st.limit = nil
			st.availableSince = now
		}
	}
}

// SetLimit sets this entry's share of the rate limit of one server.
func (b *Balancer) SetLimit(now time.Time, id fleet.InstanceID, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.servers[id]; st != nil {
		st.setLimit(now, share)
	}
}

func (st *serverState) setLimit(now time.Time, share float64) {
	if st.limit == nil {
		st.limit = &tokenBucket{perSecond: share, refilledAt: now}
		return
	}
	st.limit.refill(now)
	st.limit.perSecond = share
}

// isLimited reports whether this entry's share of the rate limit is used up at a
// server that could otherwise be used.
func (g *serverGroup) isLimited(now time.Time, req Request) bool {
	for _, st := range g.states {
		if req.isAllowed(st) && !st.Evacuated && !st.Leaving && !st.Reloading && !st.Unreachable && st.limit.isEmpty(now) {
			return true
		}
	}
	return false
}
