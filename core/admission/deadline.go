package admission

import (
	"sync"
	"time"
)

// ClockReading is a reading of a process's monotonic clock. Only readings of the same
// incarnation of a process can be compared.
type ClockReading struct {
	Incarnation uint64        `cbor:"1,keyasint"` // changes with each start of the process
	Elapsed     time.Duration `cbor:"2,keyasint"` // since the start of the process
}

// IsZero reports whether r is the zero value, which is not a reading.
func (r ClockReading) IsZero() bool { return r == ClockReading{} }

// Deadline is the deadline of a request that is sent from an entry to an agent. It is
// expressed in the agent's clock alone: the agent's reports contain a ClockReading, and
// the entry sends back such a reading advanced by the time elapsed since.
type Deadline struct {
	// Sent is a lower bound of the agent's clock at the time when the entry sent the
	// request.
	Sent ClockReading `cbor:"1,keyasint"`
	// Waited is how long the request had been at the entry at that time.
	Waited time.Duration `cbor:"2,keyasint"`
	// Remaining is the time left to the client's deadline at that time.
	Remaining time.Duration `cbor:"3,keyasint"`
}

// Lateness returns how long ago the deadline passed by the agent's clock; negative if it
// has not passed. It returns false if the deadline refers to another incarnation of the
// agent, so that its age is unknown.
//
// A paused entry or a stalled link may deliver a request long after the client has
// received a response in another way. Since Sent is a lower bound, a late request is
// never treated as timely, whatever the clocks of the machines show. A timely one may be
// refused if the report that the entry's estimate is based on was delayed.
func (d Deadline) Lateness(here ClockReading) (time.Duration, bool) {
	if d.Sent.IsZero() || d.Sent.Incarnation != here.Incarnation {
		return 0, false
	}
	age := here.Elapsed - d.Sent.Elapsed
	return age - d.Remaining, true
}

// Expired reports whether an agent must refuse the request as not run because its
// deadline has passed or is unknown.
func (d Deadline) Expired(here ClockReading) bool {
	late, ok := d.Lateness(here)
	return !ok || late >= 0
}

// ReceivedAt returns a lower bound of the time at which the entry received the request,
// by the clock of the agent that started at started. It is zero if the deadline refers to
// another incarnation of the agent.
func (d Deadline) ReceivedAt(started time.Time, here ClockReading) time.Time {
	if d.Sent.IsZero() || d.Sent.Incarnation != here.Incarnation {
		return time.Time{}
	}
	return started.Add(d.Sent.Elapsed - d.Waited)
}

const (
	// maxDrift is the maximum relative drift between two monotonic clocks.
	maxDrift = 0.0005
	// clockWindow is how long the best reading is used before a new window starts.
	clockWindow = time.Minute
)

// RemoteClock estimates the current reading of an agent's clock from the readings in the
// agent's reports. The zero RemoteClock has no reading.
//
// Of the readings of the last two windows it uses the one that was in transit for the
// shortest time, which gives the tightest lower bound.
type RemoteClock struct {
	mu       sync.Mutex
	current  sample
	previous sample
	since    time.Time // start of the window of current
}

type sample struct {
	reading  ClockReading
	received time.Time
}

// Observe records a reading received at received.
func (e *RemoteClock) Observe(reading ClockReading, received time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reading.Incarnation != e.current.reading.Incarnation {
		e.current, e.previous = sample{reading, received}, sample{}
		e.since = received
		return
	}
	if received.Sub(e.since) > clockWindow {
		e.previous, e.current = e.current, sample{reading, received}
		e.since = received
		return
	}
	if reading.Elapsed >= e.current.at(received) {
		e.current = sample{reading, received}
	}
}

// At returns a lower bound of the agent's clock at now; false if no reading has been
// received.
func (e *RemoteClock) At(now time.Time) (ClockReading, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current.reading.IsZero() {
		return ClockReading{}, false
	}
	best := e.current.at(now)
	if e.previous.reading.Incarnation == e.current.reading.Incarnation {
		best = max(best, e.previous.at(now))
	}
	return ClockReading{Incarnation: e.current.reading.Incarnation, Elapsed: best}, true
}

// at returns the reading plus the time since it was received, less the maximum drift.
func (s sample) at(now time.Time) time.Duration {
	since := now.Sub(s.received)
	drift := time.Duration(maxDrift * float64(since.Abs()))
	return s.reading.Elapsed + since - drift
}

// Deadline returns the deadline to send with a request that was received at receivedAt
// and is sent now; false if no reading of the agent has been received.
func (e *RemoteClock) Deadline(now, receivedAt, deadline time.Time) (Deadline, bool) {
	sent, ok := e.At(now)
	if !ok {
		return Deadline{}, false
	}
	return Deadline{Sent: sent, Waited: now.Sub(receivedAt), Remaining: deadline.Sub(now)}, true
}
