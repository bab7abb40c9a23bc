package placement

import (
	"time"

	"chivespindle.example/core/fleet"
)

const (
	// MaxBackoff bounds the backoff that a server can request.
	MaxBackoff = 5 * time.Minute
	// backoffSpread is the upper bound of a random extension of a backoff, as a fraction
	// of it, and maxBackoffSpread in absolute terms. An overloaded server rejects requests
	// of all entries at once, and without the extension they would all return at once.
	backoffSpread    = 0.25
	maxBackoffSpread = time.Second
	// probeInterval is the pause after a probe that the server did not accept and that
	// did not start another backoff.
	probeInterval = 250 * time.Millisecond
	// minRejectionPause is the pause after a rejection that requests no backoff. It
	// doubles with each further one in a row, up to maxRejectionPause.
	minRejectionPause = 50 * time.Millisecond
	maxRejectionPause = 1600 * time.Millisecond
)

// backoff is the state of a server that has rejected a request and gets no others from
// this entry for a while.
//
// A rejected request ends at once, so by its load the server would be the best
// choice for the next one. After a backoff that the server requested, a single request, the
// probe, shows whether it accepts requests again; the others use other servers until then.
// A rejection that requests no backoff is followed by a short pause, in which the server is
// used only if no other one is left.
type backoff struct {
	// isActive is true from the rejection until the server accepts a probe.
	isActive bool
	// until is the end of the requested backoff, probeAt when the next probe may be sent.
	until   time.Time
	probeAt time.Time
	probe   *Assignment
	// rejections counts the pauses since the server last accepted a request.
	rejections  int
	pausedUntil time.Time
}

// excludes reports whether the server gets no request now.
func (f *backoff) excludes(now time.Time) bool {
	return f.isActive && (now.Before(f.probeAt) || f.probe != nil)
}

// pause starts a pause, unless there is one: several requests may be rejected at once.
func (f *backoff) pause(now time.Time) {
	if now.Before(f.pausedUntil) {
		return
	}
	const maxDoublings = 5 // reach maxRejectionPause
	f.pausedUntil = now.Add(min(maxRejectionPause, minRejectionPause<<min(f.rejections, maxDoublings)))
	f.rejections++
}

// extend prolongs the backoff if end is later than its current end.
func (f *backoff) extend(end time.Time, spread time.Duration) {
	if f.isActive && !end.After(f.until) {
		return
	}
	f.isActive = true
	f.until = end
	f.probeAt = end.Add(spread)
}

// placed records that a request was placed at the server. During a backoff it is the probe.
func (f *backoff) placed(a *Assignment) {
	if f.isActive {
		f.probe = a
	}
}

// accepted records that the server accepted a request, and reports whether this ended the
// backoff.
func (f *backoff) accepted(a *Assignment) bool {
	f.rejections = 0
	if f.probe != a {
		return false
	}
	*f = backoff{}
	return true
}

// ended records that a request has ended. If it was the probe and was not accepted, the
// next one is sent later.
func (f *backoff) ended(now time.Time, a *Assignment) {
	if f.probe != a {
		return
	}
	f.probe = nil
	if next := now.Add(probeInterval); next.After(f.probeAt) {
		f.probeAt = next
	}
}

// backsOff reports whether the server gets no request because of a backoff that it requested.
func (st *serverState) backsOff(now time.Time) bool {
	return st.statements != nil && st.statements.backoff.excludes(now)
}

// isPaused reports whether the server has rejected a request a moment ago.
func (st *serverState) isPaused(now time.Time) bool {
	return st.statements != nil && now.Before(st.statements.backoff.pausedUntil)
}

// RecordBackoff records the backoff that a server requested. It returns its end, and
// whether none was in force before.
func (b *Balancer) RecordBackoff(now time.Time, id fleet.InstanceID, requested time.Duration) (until time.Time, started bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := &b.statementsOf(now, id).backoff
	if requested <= 0 {
		return f.until, false
	}
	started = !now.Before(f.until)
	requested = min(requested, MaxBackoff)
	spread := min(maxBackoffSpread, time.Duration(backoffSpread*float64(requested)))
	f.extend(now.Add(requested), time.Duration(b.rand.Float64()*float64(spread)))
	return f.until, started
}

// RecordRejection records that a server rejected a request and requested no backoff.
func (b *Balancer) RecordRejection(now time.Time, id fleet.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statementsOf(now, id).backoff.pause(now)
}

// Accepted records that the server accepted the request, and reports whether this ended a
// backoff. All entries return to the server at about the same time, so it is treated as
// one that has just become available.
func (a *Assignment) Accepted(now time.Time) bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	said := a.state.statements
	if said == nil || !said.backoff.accepted(a) {
		return false
	}
	a.state.availableSince = now
	return true
}

// firstReturn returns when the first of the servers that could otherwise be used gets a
// request again; false if none is in a backoff.
func (g *serverGroup) firstReturn(now time.Time, req Request) (time.Time, bool) {
	var first time.Time
	found := false
	for _, st := range g.states {
		if !req.isAllowed(st) || st.Evacuated || st.Leaving || st.Reloading || st.Unreachable || !st.backsOff(now) {
			continue
		}
		if at := st.statements.backoff.probeAt; !found || at.Before(first) {
			first, found = at, true
		}
	}
	return first, found
}

// retryAfterBackoff is the delay after which a caller may retry if all servers are in a
// backoff until then. Retries are spread over the rest of the time that callers honour.
func (b *Balancer) retryAfterBackoff(until time.Duration, req Request) time.Duration {
	until = max(0, until)
	longest := maxRetryAfter(req.TimeLeft)
	if until >= longest || b.disabled.SpreadReturn {
		return max(until, longest)
	}
	return until + time.Duration(b.rand.Float64()*float64(longest-until))
}
