package placement

import (
	"time"

	"chivespindle.example/core/coldstart"
	"chivespindle.example/core/fleet"
)

// Cold means that the servers that could serve the request are cold, and that this entry has
// used up its quota for them.
const Cold Reason = "cold"

// maxColdDelay is how long after its placement a request may be sent to a cold server.
// Later it would arrive along with requests that were counted in another window.
const maxColdDelay = coldstart.Window - time.Second

// coldState is this entry's use of a cold server. It survives a re-listing and a restart
// of the server.
type coldState struct {
	quota coldstart.Quota
	sent  coldstart.Ledger
}

// SetColdQuotas replaces this entry's quotas for the cold servers. A cold server without a
// quota gets no requests.
func (b *Balancer) SetColdQuotas(now time.Time, quotas map[fleet.InstanceID]coldstart.Quota) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, quota := range quotas {
		b.setColdQuota(id, quota)
	}
	for id, c := range b.cold {
		if _, ok := quotas[id]; ok {
			continue
		}
		c.quota = coldstart.Quota{}
		if c.sent.IsEmpty(now) {
			delete(b.cold, id)
			if st := b.servers[id]; st != nil {
				st.cold = nil
			}
		}
	}
}

// ExtendCold makes a server cold until a time, or leaves it cold if it already is for
// longer, and sets this entry's quota for it.
func (b *Balancer) ExtendCold(id fleet.InstanceID, until time.Time, quota coldstart.Quota) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setColdQuota(id, quota)
	if st := b.servers[id]; st != nil && until.After(st.ColdUntil) {
		st.ColdUntil = until
	}
}

func (b *Balancer) setColdQuota(id fleet.InstanceID, quota coldstart.Quota) {
	c := b.cold[id]
	if c == nil {
		c = &coldState{}
		b.cold[id] = c
	}
	c.quota = quota
	if st := b.servers[id]; st != nil {
		st.cold = c
	}
}

// updateCold sets the state of a server that is listed as cold until a time.
func (st *serverState) updateCold(now, until time.Time, c *coldState) {
	if st.isCold(now) && !now.Before(until) {
		st.availableSince = now
	}
	st.cold = c
}

// isCold reports whether the server is cold. When the cold time ends, all entries resume
// sending at once, so the server is treated as one that has just become available.
func (st *serverState) isCold(now time.Time) bool {
	switch {
	case st.ColdUntil.IsZero():
		return false
	case now.Before(st.ColdUntil):
		return true
	}
	if st.ColdUntil.After(st.availableSince) {
		st.availableSince = st.ColdUntil
	}
	return false
}

// takeCold counts a request against the quota of a cold server, and reports whether the
// server is cold.
func (st *serverState) takeCold(now time.Time) bool {
	if !st.isCold(now) || st.cold == nil {
		return false
	}
	st.cold.sent.Add(now)
	return true
}

// withinQuota returns the cold servers for which the quota has room and that are not
// avoided.
func withinQuota(now time.Time, cold []*serverState, quotaOf func(coldstart.Quota) int) []*serverState {
	var usable []*serverState
	for _, st := range cold {
		if !st.isAvoided(now) && st.cold != nil && st.cold.sent.HasRoom(now, quotaOf(st.cold.quota)) {
			usable = append(usable, st)
		}
	}
	return usable
}

func regularQuota(q coldstart.Quota) int { return q.Requests }

func lastResortQuota(q coldstart.Quota) int { return q.LastResort }

// isAvoided reports whether the server is left out while there are others.
func (st *serverState) isAvoided(now time.Time) bool {
	return st.Unreachable || st.isPaused(now) || now.Before(st.health.ejectedUntil) || now.Before(st.health.refusedUntil)
}

// coldRefusal refuses a request for which only cold servers without quota are left. Its
// caller may retry once the quota is available again or a server is no longer cold.
func (b *Balancer) coldRefusal(now time.Time, g *serverGroup, req Request, cold []*serverState) Refusal {
	wait := coldstart.Window
	for _, st := range cold {
		wait = min(wait, max(0, st.ColdUntil.Sub(now)))
	}
	refusal := Refusal{Reason: Cold, RetryAfter: b.retryAfterBackoff(wait, req), Candidates: len(cold)}
	if _, returns := g.firstReturn(now, req); !returns && !g.isLimited(now, req) {
		refusal.NotBefore = firstRoom(now, cold)
	}
	return refusal
}

// firstRoom returns when the first of the cold servers is within its quota again or no longer
// cold.
func firstRoom(now time.Time, cold []*serverState) time.Time {
	var first time.Time
	for _, st := range cold {
		at := st.ColdUntil
		if st.cold != nil {
			if room, ok := st.cold.sent.RoomAt(now, st.cold.quota.LastResort); ok && room.Before(at) {
				at = room
			}
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// missesQuota reports whether the request must not be sent since its server is cold: it
// was placed before the server became cold and is not counted, or it was placed too long
// ago. While a server restarts, requests of all entries wait for a connection, and without
// this check they would all arrive as soon as it accepts one.
func (a *Assignment) missesQuota(now time.Time) bool {
	st := a.balancer.servers[a.Server.ID]
	if st == nil || !st.isCold(now) {
		return false
	}
	return !a.countedCold || now.Sub(a.placed) > maxColdDelay
}
