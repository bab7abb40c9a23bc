// Package once keeps the record by which a request that is not idempotent
// runs at most once.
//
// Every key has one home, the agent beside one backend server; only the home
// passes the request on, and it remembers that it did. The record lives in
// the home's memory. A key made by the system names its home and the life of
// the home's process, so that no other process ever runs it, whatever is
// partitioned, paused or restarted. The home of a key of the caller's own
// follows from the platform's list of servers, and the promise for it holds
// only as far as lists agree. docs/design/at-most-once.md weighs the ways and
// says what is not promised.
//
// A Register is safe for concurrent use.
package once

import (
	"container/list"
	"sync"
	"time"

	"chivespindle.example/core/defaults"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Options make a Register. Zero fields take the default.
type Options struct {
	// Self is the agent's id; required.
	Self fleet.InstanceID
	// Incarnation identifies a run of the agent's process; it must differ after
	// each start; required.
	Incarnation Incarnation
	// MaxKeys bounds the number of records; 16384.
	MaxKeys int
	// Keep is how long a record stays after the last ask with its key, and
	// so how late a client may retry; 15 min.
	Keep time.Duration
	// MaxBody is the largest answer that is kept, and MaxBytes bounds the sum
	// of those kept; 16 KiB and 8 MiB.
	MaxBody  int
	MaxBytes int
	// MaxListAge is the age of the list of servers beyond which the agent is
	// not the home of keys that clients made; 2 min.
	MaxListAge time.Duration
	// ListLag is how long after a change the platform may still return the
	// older list; 2 min.
	ListLag time.Duration
	// ClockSkew is how far the wall clocks of agents may differ, and how far
	// ahead of the agent's a key may be dated; 5 s.
	ClockSkew time.Duration
}

func (o Options) withDefaults() Options {
	const (
		defaultMaxKeys    = 16384
		defaultKeep       = 15 * time.Minute
		defaultMaxBody    = 16 << 10
		defaultMaxBytes   = 8 << 20
		defaultMaxListAge = 2 * time.Minute
		defaultListLag    = 2 * time.Minute
		defaultClockSkew  = 5 * time.Second
	)
	defaults.Set(&o.MaxKeys, defaultMaxKeys)
	defaults.Set(&o.Keep, defaultKeep)
	defaults.Set(&o.MaxBody, defaultMaxBody)
	defaults.Set(&o.MaxBytes, defaultMaxBytes)
	defaults.Set(&o.MaxListAge, defaultMaxListAge)
	defaults.Set(&o.ListLag, defaultListLag)
	defaults.Set(&o.ClockSkew, defaultClockSkew)
	return o
}

// settleTime is how long after a change of the list a key must have been made
// for no earlier home to act on it any more.
func (o Options) settleTime() time.Duration {
	return o.ListLag + o.MaxListAge + 2*o.ClockSkew
}

// Register is the record of one home.
type Register struct {
	options Options

	mu      sync.Mutex // guards all below
	view    view
	records map[string]*record
	byTouch *list.List // of *record, the one asked longest ago first
	bodies  *list.List // of *record with a kept body, the oldest first
	bytes   int        // sum of the kept bodies
	// forgotten is the latest date of a dropped key that had been passed on.
	forgotten time.Time
	// closed is the latest time at which a key was answered as not run
	// without a record that still says so.
	closed time.Time
}

type phase uint8

const (
	started phase = iota // may be passed on by the ask that started it
	passed               // passed on
	done                 // ran, answer seen
	lost                 // passed on, end not seen
	closed               // answered as not run
)

// record is what the home remembers of one key.
type record struct {
	key      Key
	digest   fleet.Digest
	phase    phase
	result   Result
	closedAt time.Time
	touched  time.Time
	inTouch  *list.Element
	inBodies *list.Element // nil if no body is kept
}

// New returns an empty register.
func New(o Options) *Register {
	o = o.withDefaults()
	return &Register{
		options: o,
		view:    newView(o.Self, o.Keep+o.settleTime()),
		records: map[string]*record{},
		byTouch: list.New(),
		bodies:  list.New(),
	}
}

// SetMembers takes in the platform's list of the service's servers that are
// not leaving, each time that it was read, changed or not.
func (r *Register) SetMembers(now time.Time, members []fleet.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.update(now, members)
}

// Len returns the number of records.
func (r *Register) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// Begin decides on an ask. digest is that of the whole request body.
func (r *Register) Begin(now time.Time, key Key, digest fleet.Digest, facts Facts) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOld(now)
	if rec := r.records[key.id()]; rec != nil {
		r.touch(now, rec)
		return rec.again(now, digest, facts)
	}
	if key.Kind != Plain && !key.Made.After(r.forgotten) {
		return refused(failure.Unknown, Forgotten)
	}
	if reason := r.objection(now, key); reason != "" {
		return refused(failure.Unknown, reason)
	}
	if len(r.records) >= r.options.MaxKeys {
		r.closed = now
		return refused(failure.NotRun, Busy)
	}
	rec := r.add(now, key, digest)
	switch {
	case r.closedBefore(facts):
		return rec.close(now, Closed)
	case r.premature(now, key):
		return rec.close(now, Premature)
	default:
		return Verdict{Action: Run}
	}
}

// Passed marks that the ask that Begin let run is passed on now. It returns
// true exactly once for each Run; the agent must not pass the ask on after
// false.
func (r *Register) Passed(key Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[key.id()]
	if rec == nil || rec.phase != started {
		return false
	}
	rec.phase = passed
	return true
}

// Finish records the end of work that was passed on.
func (r *Register) Finish(now time.Time, key Key, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[key.id()]
	if rec == nil || rec.phase != passed {
		return
	}
	switch result.Outcome {
	case failure.Ran:
		rec.phase = done
		r.keepResult(rec, result)
	case failure.NotRun:
		rec.close(now, Closed)
	default:
		rec.phase = lost
	}
	r.touch(now, rec)
}

// Abandon closes a key whose ask may run but was not passed on. The client
// may then be informed that it was not run; asks that had reached an entry before
// are refused from now on, so that this stays true if one of them is delayed.
func (r *Register) Abandon(now time.Time, key Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[key.id()]
	if rec == nil || rec.phase != started {
		return
	}
	rec.close(now, Closed)
	r.touch(now, rec)
}

// Close is Begin and, if that lets the ask run, Abandon: it answers what is
// known of the key and lets nothing run. An entry or agent that must refuse
// an ask for lack of capacity or time learns by it whether it may report to the
// client that nothing was run.
func (r *Register) Close(now time.Time, key Key, digest fleet.Digest, facts Facts) Verdict {
	verdict := r.Begin(now, key, digest, facts)
	if verdict.Action != Run {
		return verdict
	}
	r.Abandon(now, key)
	return refused(failure.NotRun, Closed)
}

// again decides on an ask with a key on record. A record is started only by the
// one home that could run the key then, and no later home runs a key made
// before its time; so a closed key may run here even after a change of homes.
func (rec *record) again(now time.Time, digest fleet.Digest, facts Facts) Verdict {
	if rec.digest != digest {
		return rec.otherBody(now)
	}
	switch rec.phase {
	case started, passed:
		return Verdict{Action: Running}
	case done:
		return Verdict{Action: Done, Outcome: failure.Ran, Result: rec.result}
	case lost:
		return refused(failure.Unknown, Lost)
	}
	// If an ask from before the response were let through, a client that received
	// "not run" and sent the request elsewhere would have it run twice.
	if !facts.Asked.After(rec.closedAt) {
		return rec.close(now, Closed)
	}
	rec.phase = started
	return Verdict{Action: Run}
}

// otherBody refuses a second body under one key. Only of an issued key is it
// certain that no earlier home ran that body.
func (rec *record) otherBody(now time.Time) Verdict {
	if rec.key.Kind != Issued {
		return refused(failure.Unknown, OtherBody)
	}
	if rec.phase == closed {
		return rec.close(now, OtherBody)
	}
	return refused(failure.NotRun, OtherBody)
}

// close answers an ask as not run. Every such answer moves the time of the
// close up, since it holds for all asks that have reached an entry by then.
func (rec *record) close(now time.Time, reason Reason) Verdict {
	rec.phase = closed
	rec.closedAt = now
	return refused(failure.NotRun, reason)
}

// objection returns why another process may have run the key, "" if none can.
func (r *Register) objection(now time.Time, key Key) Reason {
	if key.Kind == Issued {
		return r.issuedObjection(key)
	}
	return r.chosenObjection(now, key)
}

func (r *Register) issuedObjection(key Key) Reason {
	switch {
	case key.Home != r.options.Self:
		return WrongHome
	case key.Incarnation != r.options.Incarnation:
		return EarlierLife
	default:
		return ""
	}
}

// premature reports whether a key is dated ahead of the clock. Were it run, its
// date would say that it was made after a change of homes which it was not,
// or, once forgotten, that every key made until then may have run.
func (r *Register) premature(now time.Time, key Key) bool {
	return key.Made.After(now.Add(r.options.ClockSkew))
}

// chosenObjection decides on a key of the caller's own.
//
// The danger is the home before this one: it ran the key, the answer was
// lost, the list changed, and the caller asks here. The earlier home stops at
// the latest ListLag and MaxListAge after the change. A key dated after that
// was never asked there: the home that runs a key checks that its date is not
// ahead of the clock. A key without a date may be as old as Keep.
func (r *Register) chosenObjection(now time.Time, key Key) Reason {
	if r.view.read.IsZero() || now.Sub(r.view.read) > r.options.MaxListAge {
		return StaleList
	}
	if !r.view.isHome(key) {
		return NotHome
	}
	settled := r.view.homeSince(key).Add(r.options.settleTime())
	switch {
	case key.Kind == Plain && !now.After(settled.Add(r.options.Keep)):
		return Moved
	case key.Kind == Dated && now.Sub(key.Made) > r.options.Keep:
		return Forgotten
	case key.Kind == Dated && !key.Made.After(settled):
		return Moved
	case key.Kind == Dated && r.premature(now, key):
		return Premature
	default:
		return ""
	}
}
