package gateway

import (
	"time"

	"chivespindle.example/core/policy"
	"chivespindle.example/daemon/wire"
)

const (
	// sureFor is how long after the last word of the platform or of a peer an
	// entry says of itself that a route or a key does not exist.
	sureFor = 2500 * time.Millisecond
	// lapseTime is how long after the platform's return a server stays in use
	// whose registration ended meanwhile: those that live are registered again
	// within two seconds.
	lapseTime = 2200 * time.Millisecond
	// longOutage is the time without an answer from which on the platform counts
	// as having been away: the time in which a watch on a silent connection is found
	// out, and backWithin more, which shows whether others are answered.
	longOutage = 4500 * time.Millisecond
	// backWithin is the time in which all entries are answered again once one of
	// them is: the longest pause between two calls, and the word on its way.
	backWithin = 1300 * time.Millisecond
)

// contact is what an entry knows of its contact with the platform. It belongs
// to the control loop.
type contact struct {
	off   policy.Disabled
	heard time.Time // last answer of the platform
	// failing is true from a failed call until the next one that succeeds.
	failing bool
	// othersAt is when another entry first told that the platform answers it
	// while it fails here; zero if none did.
	othersAt time.Time
	// regained is when the platform answered again after the last outage, and
	// silent for how long it had not answered; zero if there was none.
	regained time.Time
	silent   time.Duration
	// answers is the number of answers since the start, up to 2.
	answers int
}

// fail notes a failed call and reports whether it is the first.
func (c *contact) fail(now time.Time) bool {
	if c.failing {
		return false
	}
	c.failing = true
	c.othersAt = time.Time{}
	return true
}

// succeed notes an answer and reports whether it is the first after a failure.
func (c *contact) succeed(now time.Time) bool {
	again := c.failing
	if again && !c.alone(now) {
		c.recordOutage(now, now.Sub(c.heard))
	}
	c.failing = false
	c.heard = now
	c.answers = min(2, c.answers+1)
	return again
}

// told returns the state for entries that do not read the platform.
func (c *contact) told(now time.Time) wire.PlatformState {
	t := wire.PlatformState{LastResponseAgoMS: now.Sub(c.heard).Milliseconds(), Failing: c.failing}
	if c.silent > 0 {
		t.RegainedAgoMS, t.SilentMS = now.Sub(c.regained).Milliseconds(), c.silent.Milliseconds()
	}
	return t
}

// follow takes over the state of an entry that reads the platform, of several
// that of the one that was answered last.
func (c *contact) follow(now time.Time, t wire.PlatformState) {
	heard := now.Add(-time.Duration(t.LastResponseAgoMS) * time.Millisecond)
	if heard.Before(c.heard) {
		return
	}
	if t.Failing {
		c.fail(now)
	} else {
		c.failing = false
		c.answers = min(2, c.answers+1)
	}
	c.heard = heard
	c.recordOutage(now.Add(-time.Duration(t.RegainedAgoMS)*time.Millisecond), time.Duration(t.SilentMS)*time.Millisecond)
}

// recordOutage notes the platform's return after it had not answered for so long. A
// failed call is no outage, and does not end what is known of the last one.
func (c *contact) recordOutage(regained time.Time, silent time.Duration) {
	if silent >= longOutage {
		c.regained, c.silent = regained, silent
	}
}

// outage returns when the last outage ended, now while one lasts; false if there
// was none. An entry that was cut off from a platform that others reached has
// seen none.
func (c *contact) outage(now time.Time) (time.Time, bool) {
	switch {
	case c.alone(now):
		return time.Time{}, false
	case c.failing && now.Sub(c.heard) >= longOutage:
		return now, true
	default:
		return c.regained, c.silent > 0
	}
}

// othersReach notes that the platform answers another entry.
func (c *contact) othersReach(now time.Time) {
	if c.failing && c.othersAt.IsZero() {
		c.othersAt = now
	}
}

// alone reports whether the platform fails here only. At the end of an outage
// others may be answered a moment earlier.
func (c *contact) alone(now time.Time) bool {
	return c.failing && !c.othersAt.IsZero() && now.Sub(c.othersAt) >= backWithin
}

// woke follows a pause of the process: nothing has been heard since.
func (c *contact) woke(now time.Time) {
	c.fail(now)
	c.heard = now.Add(-sureFor)
}

// reaches reports whether the platform answers this entry.
func (c *contact) reaches(now time.Time) bool { return !c.failing && c.recent(now) }

// recent reports whether the last answer is recent enough to say that a route
// or a key does not exist.
func (c *contact) recent(now time.Time) bool { return now.Sub(c.heard) < sureFor }

// mayHaveLapsed reports whether a registration that ends now, or has ended a moment
// ago, may only have lapsed: servers that live are not all registered again.
func (c *contact) mayHaveLapsed(now time.Time) bool {
	end, seen := c.outage(now)
	return seen && now.Sub(end) < lapseTime && !c.off.KeepLapsed
}

// knowsChanges reports whether what an answer tells beyond the catalog in hand
// is new. In the first answer after a start it is not: that catalog may have
// come from a peer, from before an outage whose length this process cannot tell.
func (c *contact) knowsChanges() bool { return c.answers > 1 }

// newSince returns since when a version of weights counts as named that is
// heard of now. soundTime is how long the platform must have answered to count
// as sound.
//
// What was named during an outage reaches all processes at its end, when
// callers come back too. The operator's time for a version runs while the
// platform is sound, so the change need not begin at once: engines that change
// in turns over the longer time leave more of them to serve. The return may have
// been noticed late, which is taken off.
func (c *contact) newSince(now time.Time, soundTime time.Duration) time.Time {
	end, seen := c.outage(now)
	if !seen || c.off.ShiftNaming {
		return now
	}
	sound := end.Add(soundTime - noticedWithin)
	if sound.Before(now) {
		return now
	}
	return sound
}
