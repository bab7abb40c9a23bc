package gateway

import (
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/policy"
	"chivespindle.example/daemon/wire"
)

const (
	// maxContactAge is how long after the platform's last response an entry states that a
	// route or a key does not exist. The response may have been one to a peer that reads
	// the platform for this entry.
	maxContactAge = 2500 * time.Millisecond
	// lapsedRetention is how long after the platform's return a server stays in use whose
	// registration ended during the outage. Live servers are registered again within two
	// seconds.
	lapsedRetention = 2200 * time.Millisecond
	// minOutage is the time without a response after which the platform counts as having
	// been unavailable: the time in which a watch on a dead connection is detected, plus
	// recoverySpread, which shows whether other entries get responses.
	minOutage = 4500 * time.Millisecond
	// recoverySpread is the time within which all entries get responses again once one of
	// them does: the longest pause between two calls, plus the transit time of the
	// report.
	recoverySpread = 1300 * time.Millisecond
)

// contact records whether the platform responds to this entry. It belongs to the control
// loop.
type contact struct {
	disabled     policy.Disabled
	lastResponse time.Time // of the platform
	// failing is true from a failed call until the next one that succeeds.
	failing bool
	// othersAnsweredAt is when another entry first reported that the platform responds to
	// it while it fails here. It is zero if none has.
	othersAnsweredAt time.Time
	// outageEnd is when the last outage ended, and outageDuration how long the platform
	// had not responded by then. They are zero if there was none.
	outageEnd      time.Time
	outageDuration time.Duration
	// restoredAt is when the platform was last seen to have returned from an older copy,
	// zero if it has not.
	restoredAt time.Time
	// responses is the number of responses since the start, up to 2.
	responses int
}

// recordFailure records a failed call and reports whether it is the first since the last
// response.
func (c *contact) recordFailure(now time.Time) bool {
	if c.failing {
		return false
	}
	c.failing = true
	c.othersAnsweredAt = time.Time{}
	return true
}

// recordResponse records a response and reports whether it is the first after a failure.
func (c *contact) recordResponse(now time.Time) bool {
	recovered := c.failing
	if recovered && !c.isCutOff(now) {
		c.recordOutage(now, now.Sub(c.lastResponse))
	}
	c.failing = false
	c.lastResponse = now
	c.responses = min(2, c.responses+1)
	return recovered
}

// state returns the state that is reported to entries that do not read the platform.
func (c *contact) state(now time.Time) wire.PlatformState {
	state := wire.PlatformState{LastResponseAgoMS: now.Sub(c.lastResponse).Milliseconds(), Failing: c.failing}
	if c.outageDuration > 0 {
		state.RegainedAgoMS, state.SilentMS = now.Sub(c.outageEnd).Milliseconds(), c.outageDuration.Milliseconds()
	}
	return state
}

// adoptState adopts the state that an entry which reads the platform reports. Of several
// such entries, the one with the latest response decides.
func (c *contact) adoptState(now time.Time, state wire.PlatformState) {
	lastResponse := fleet.Ago(now, state.LastResponseAgoMS)
	if lastResponse.Before(c.lastResponse) {
		return
	}
	if state.Failing {
		c.recordFailure(now)
	} else {
		c.failing = false
		c.responses = min(2, c.responses+1)
	}
	c.lastResponse = lastResponse
	c.recordOutage(fleet.Ago(now, state.RegainedAgoMS), fleet.Span(state.SilentMS))
}

// recordOutage records the platform's return after a time without a response. A time
// shorter than minOutage, such as that of a failed call, is no outage and does not
// replace the record of the last one.
func (c *contact) recordOutage(end time.Time, duration time.Duration) {
	if duration >= minOutage {
		c.outageEnd, c.outageDuration = end, duration
	}
}

// lastOutage returns when the last outage ended, or now while one lasts. It returns false
// if there was none. An entry that was cut off from a platform that others reached has
// seen none.
func (c *contact) lastOutage(now time.Time) (time.Time, bool) {
	switch {
	case c.isCutOff(now):
		return time.Time{}, false
	case c.failing && now.Sub(c.lastResponse) >= minOutage:
		return now, true
	default:
		return c.outageEnd, c.outageDuration > 0
	}
}

// recordOthersAnswered records that the platform responds to another entry.
func (c *contact) recordOthersAnswered(now time.Time) {
	if c.failing && c.othersAnsweredAt.IsZero() {
		c.othersAnsweredAt = now
	}
}

// isCutOff reports whether the platform fails for this entry only. At the end of an
// outage, other entries may get responses a moment earlier.
func (c *contact) isCutOff(now time.Time) bool {
	return c.failing && !c.othersAnsweredAt.IsZero() && now.Sub(c.othersAnsweredAt) >= recoverySpread
}

// resetAfterPause handles a pause of the process, during which no response was received.
func (c *contact) resetAfterPause(now time.Time) {
	c.recordFailure(now)
	c.lastResponse = now.Add(-maxContactAge)
}

// isReachable reports whether the platform responds to this entry.
func (c *contact) isReachable(now time.Time) bool { return !c.failing && c.isRecent(now) }

// isRecent reports whether the last response is recent enough to state that a route or a
// key does not exist.
func (c *contact) isRecent(now time.Time) bool { return now.Sub(c.lastResponse) < maxContactAge }

// recordRestore records that the platform has returned from an older copy.
func (c *contact) recordRestore(now time.Time) { c.restoredAt = now }

// mayHaveLapsed reports whether a registration that ends now, or ended a moment ago, may
// only have lapsed or been lost, since not all live servers may be registered again after
// an outage or a return from an older copy.
func (c *contact) mayHaveLapsed(now time.Time) bool {
	end, seen := c.lastOutage(now)
	isAfterOutage := seen && now.Sub(end) < lapsedRetention
	isAfterRestore := now.Sub(c.restoredAt) < lapsedRetention
	return (isAfterOutage || isAfterRestore) && !c.disabled.KeepLapsed
}

// canDateChanges reports whether the differences between a response and the known catalog
// are recent changes. In the first response after the start they may not be: the known
// catalog may have come from a peer and date from before an outage whose length this
// process does not know.
func (c *contact) canDateChanges() bool { return c.responses > 1 }

// namedSince returns since when a version of weights counts as named that is first
// reported now. soundTime is how long the platform must have responded to count as
// healthy.
//
// What was named during an outage reaches all processes at its end, when callers return
// as well. The operator's time for a version runs only while the platform is healthy, so
// engines need not start to change versions immediately: if they change in turn over the
// longer time, more of them keep serving. The end of the outage may have been detected
// late, so maxRecoveryDelay is subtracted.
func (c *contact) namedSince(now time.Time, soundTime time.Duration) time.Time {
	end, seen := c.lastOutage(now)
	if !seen || c.disabled.ShiftNaming {
		return now
	}
	healthyAt := end.Add(soundTime - maxRecoveryDelay)
	if healthyAt.Before(now) {
		return now
	}
	return healthyAt
}
