package admission

import (
	"sync"
	"time"
)

// Reading is a process's own monotonic clock. Only readings of one life of
// one process can be compared.
type Reading struct {
	Life    uint64        `cbor:"1,keyasint"` // another one after each start of the process
	Elapsed time.Duration `cbor:"2,keyasint"` // since that start
}

// IsZero reports whether r is no reading.
func (r Reading) IsZero() bool { return r == Reading{} }

// Deadline is the time limit of a request as it travels from an entry to an
// agent. It is told in the agent's clock alone: the agent's reports carry its
// Reading, and the entry sends back the latest one plus the time since.
type Deadline struct {
	// Sent is what the agent's clock showed, rather too little than too
	// much, when the entry sent the request.
	Sent Reading `cbor:"1,keyasint"`
	// Waited is how long the request had been at the entry by then.
	Waited time.Duration `cbor:"2,keyasint"`
	// Remaining is how long the caller still waited then.
	Remaining time.Duration `cbor:"3,keyasint"`
}

// Lateness returns how long the deadline has passed by the agent's clock;
// negative if it has not. False if the deadline names another life of the
// agent, so that its age cannot be told.
//
// An entry that was paused, or a link that stalled, may hand over a request
// long after its caller has been answered otherwise. Since Sent is a lower
// bound, a late request is never taken for a timely one, whatever the clocks
// of the machines show; a timely one may be refused if the report that the
// entry reckoned from was itself under way for long.
func (d Deadline) Lateness(here Reading) (time.Duration, bool) {
	if d.Sent.IsZero() || d.Sent.Life != here.Life {
		return 0, false
	}
	age := here.Elapsed - d.Sent.Elapsed
	return age - d.Remaining, true
}

// Expired reports whether an agent must refuse the request as not run: its
// deadline has passed or cannot be told.
func (d Deadline) Expired(here Reading) bool {
	late, ok := d.Lateness(here)
	return !ok || late >= 0
}

// Asked returns when the request reached the entry, by the clock of the agent
// that started at started, and rather too early than too late. Zero if the
// deadline names another life of the agent.
func (d Deadline) Asked(started time.Time, here Reading) time.Time {
	if d.Sent.IsZero() || d.Sent.Life != here.Life {
		return time.Time{}
	}
	return started.Add(d.Sent.Elapsed - d.Waited)
}

const (
	// driftShare is the most by which two monotonic clocks run differently.
	driftShare = 0.0005
	// clockWindow is how long the best reading is reckoned from.
	clockWindow = time.Minute
)

// Echo reckons what an agent's clock shows now from the readings in its
// reports. The zero Echo has heard nothing.
//
// Of the readings of the last minutes it takes the one that was under way
// for the shortest time: that loses the least.
type Echo struct {
	mu       sync.Mutex
	current  sample
	previous sample
	since    time.Time // when current was begun
}

type sample struct {
	reading  Reading
	received time.Time
}

// Observe takes in a reading received at received.
func (e *Echo) Observe(reading Reading, received time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reading.Life != e.current.reading.Life {
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

// At returns a lower bound of what the agent's clock shows now; false if no
// reading has come.
func (e *Echo) At(now time.Time) (Reading, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current.reading.IsZero() {
		return Reading{}, false
	}
	best := e.current.at(now)
	if e.previous.reading.Life == e.current.reading.Life {
		best = max(best, e.previous.at(now))
	}
	return Reading{Life: e.current.reading.Life, Elapsed: best}, true
}

// at adds the time since the reading came, less what the clocks may drift.
func (s sample) at(now time.Time) time.Duration {
	since := now.Sub(s.received)
	drift := time.Duration(driftShare * float64(since.Abs()))
	return s.reading.Elapsed + since - drift
}

// Deadline returns the deadline of a request that reached the entry at asked
// and is sent now; false if no reading of the agent has come.
func (e *Echo) Deadline(now, asked, deadline time.Time) (Deadline, bool) {
	sent, ok := e.At(now)
	if !ok {
		return Deadline{}, false
	}
	return Deadline{Sent: sent, Waited: now.Sub(asked), Remaining: deadline.Sub(now)}, true
}
