// Package once keeps the records that make a non-idempotent request run at most once.
//
// Every key has one home, the agent beside one backend server. Only the home forwards
// the request, and it records that it did. The records are kept in the memory of the
// home. A key created by the system names its home and the incarnation of the home's
// process, so that no other process ever runs it, regardless of partitions, pauses and
// restarts. The home of a key chosen by the caller is derived from the platform's list
// of servers, and the guarantee for it holds only as far as the lists of the agents
// agree. docs/design/at-most-once.md compares the alternatives and states what is not
// guaranteed.
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

// Options are the parameters of New. Zero fields take the default.
type Options struct {
	// Self is the ID of the agent's instance; required.
	Self fleet.InstanceID
	// Incarnation identifies this run of the agent's process; it must differ after each
	// start; required.
	Incarnation Incarnation
	// MaxKeys bounds the number of records; 16384.
	MaxKeys int
	// Keep is how long a record is kept after the last request with its key, and so how
	// late a caller may retry; 15 min.
	Keep time.Duration
	// MaxBody is the maximum size of a response body that is kept, and MaxBytes bounds
	// the total size of kept bodies; 16 KiB and 8 MiB.
	MaxBody  int
	MaxBytes int
	// MaxListAge is the age of the list of servers beyond which the agent does not act
	// as the home of keys chosen by callers; 2 min.
	MaxListAge time.Duration
	// ListLag is how long after a change the platform may still return the previous
	// list; 2 min.
	ListLag time.Duration
	// ClockSkew is the maximum difference between the wall clocks of agents, and how
	// far ahead of the agent's clock a key may be dated; 5 s.
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

// settleTime is how long after a change of the list a key must have been created to be
// certain that no earlier home acts on it.
func (o Options) settleTime() time.Duration {
	return o.ListLag + o.MaxListAge + 2*o.ClockSkew
}

// Register holds the records of one home.
type Register struct {
	options Options

	mu            sync.Mutex // guards the fields below
	view          view
	records       map[string]*record
	byLastRequest *list.List // of *record, least recently requested first
	bodies        *list.List // of *record with a kept body, oldest first
	bytes         int        // total size of the kept bodies
	// latestDeleted is the latest date of a deleted key that had been forwarded.
	latestDeleted time.Time
	// lastClosed is the latest time at which a caller was told that a key was not run
	// and no record of that key remains.
	lastClosed time.Time
}

type phase uint8

const (
	started phase = iota // may be forwarded by the request that created the record
	forwarded
	done   // run, response received
	lost   // forwarded, outcome unknown
	closed // caller told that it was not run
)

// record is the state of one key.
type record struct {
	key         Key
	digest      fleet.Digest
	phase       phase
	result      Result
	closedAt    time.Time
	lastRequest time.Time
	requestElem *list.Element
	bodyElem    *list.Element // nil if no body is kept
}

// New returns an empty register.
func New(o Options) *Register {
	o = o.withDefaults()
	return &Register{
		options:       o,
		view:          newView(o.Self, o.Keep+o.settleTime()),
		records:       map[string]*record{},
		byLastRequest: list.New(),
		bodies:        list.New(),
	}
}

// SetMembers applies the platform's list of the service's servers that are not leaving.
// The agent calls it after every read, whether the list changed or not.
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

// Begin decides on a request. digest is the digest of the whole request body.
func (r *Register) Begin(now time.Time, key Key, digest fleet.Digest, info RequestInfo) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deleteExpired(now)
	if rec := r.records[key.id()]; rec != nil {
		r.recordRequest(now, rec)
		return rec.decideRepeated(now, digest, info)
	}
	if key.Kind != Plain && !key.CreatedAt.After(r.latestDeleted) {
		return refused(failure.Unknown, Forgotten)
	}
	if reason := r.objection(now, key); reason != "" {
		return refused(failure.Unknown, reason)
	}
	if len(r.records) >= r.options.MaxKeys {
		r.lastClosed = now
		return refused(failure.NotRun, RecordFull)
	}
	rec := r.addRecord(now, key, digest)
	switch {
	case r.mayBeClosed(info):
		return rec.close(now, Closed)
	case r.isPremature(now, key):
		return rec.close(now, Premature)
	default:
		return Verdict{Action: Run}
	}
}

// MarkForwarded records that the request for which Begin returned Run is now being
// forwarded. It returns true exactly once for each Run; the agent must not forward the
// request if it returns false.
func (r *Register) MarkForwarded(key Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[key.id()]
	if rec == nil || rec.phase != started {
		return false
	}
	rec.phase = forwarded
	return true
}

// Finish records the result of a forwarded request.
func (r *Register) Finish(now time.Time, key Key, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[key.id()]
	if rec == nil || rec.phase != forwarded {
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
	r.recordRequest(now, rec)
}

// Abandon closes a key whose request may run but was not forwarded. The caller may then
// be told that it was not run; requests that reached an entry before are refused from
// now on, so that this stays true if one of them is delayed.
func (r *Register) Abandon(now time.Time, key Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[key.id()]
	if rec == nil || rec.phase != started {
		return
	}
	rec.close(now, Closed)
	r.recordRequest(now, rec)
}

// Close is Begin followed by Abandon if Begin lets the request run: it returns the
// state of the key and lets nothing run. An entry or agent that must refuse a request
// for lack of capacity or time calls it to learn whether it may tell the caller that
// nothing was run.
func (r *Register) Close(now time.Time, key Key, digest fleet.Digest, info RequestInfo) Verdict {
	verdict := r.Begin(now, key, digest, info)
	if verdict.Action != Run {
		return verdict
	}
	r.Abandon(now, key)
	return refused(failure.NotRun, Closed)
}

// decideRepeated decides on a request whose key has a record. Only the one home that
// could run the key at the time creates a record, and no later home runs a key created
// before it became the home; so a closed key may run here even after a change of homes.
func (rec *record) decideRepeated(now time.Time, digest fleet.Digest, info RequestInfo) Verdict {
	if rec.digest != digest {
		return rec.refuseOtherBody(now)
	}
	switch rec.phase {
	case started, forwarded:
		return Verdict{Action: Running}
	case done:
		return Verdict{Action: Done, Outcome: failure.Ran, Result: rec.result}
	case lost:
		return refused(failure.Unknown, OutcomeLost)
	}
	// If a request received before the response were let through, a caller that was
	// told "not run" and sent the request elsewhere would have it run twice.
	if !info.ReceivedAt.After(rec.closedAt) {
		return rec.close(now, Closed)
	}
	rec.phase = started
	return Verdict{Action: Run}
}

// refuseOtherBody refuses a second body for the same key. Only for an issued key is it
// certain that no earlier home ran that body.
func (rec *record) refuseOtherBody(now time.Time) Verdict {
	if rec.key.Kind != Issued {
		return refused(failure.Unknown, OtherBody)
	}
	if rec.phase == closed {
		return rec.close(now, OtherBody)
	}
	return refused(failure.NotRun, OtherBody)
}

// close records that the caller is told that the key was not run. Each call advances
// closedAt, since the statement covers all requests that have reached an entry by then.
func (rec *record) close(now time.Time, reason Reason) Verdict {
	rec.phase = closed
	rec.closedAt = now
	return refused(failure.NotRun, reason)
}

// objection returns why another process may have run the key, "" if none can have.
func (r *Register) objection(now time.Time, key Key) Reason {
	if key.Kind == Issued {
		return r.issuedObjection(key)
	}
	return r.callerKeyObjection(now, key)
}

func (r *Register) issuedObjection(key Key) Reason {
	switch {
	case key.Home != r.options.Self:
		return WrongHome
	case key.Incarnation != r.options.Incarnation:
		return EarlierIncarnation
	default:
		return ""
	}
}

// isPremature reports whether a key is dated ahead of the clock. If such a key ran, its
// date would wrongly indicate that it was created after a change of homes or, once its
// record is deleted, that every key created until that date may have run.
func (r *Register) isPremature(now time.Time, key Key) bool {
	return key.CreatedAt.After(now.Add(r.options.ClockSkew))
}

// callerKeyObjection returns the objection to a key chosen by the caller.
//
// The risk is the previous home: it ran the key, the response was lost, the list
// changed, and the caller retries here. The previous home stops at the latest ListLag
// and MaxListAge after the change. A key dated after that was never sent there, since a
// home runs a key only if its date is not ahead of the clock. A key without a date may
// be as old as Keep.
func (r *Register) callerKeyObjection(now time.Time, key Key) Reason {
	if r.view.readAt.IsZero() || now.Sub(r.view.readAt) > r.options.MaxListAge {
		return StaleList
	}
	if !r.view.isHome(key) {
		return NotHome
	}
	settled := r.view.homeSince(key).Add(r.options.settleTime())
	switch {
	case key.Kind == Plain && !now.After(settled.Add(r.options.Keep)):
		return HomeMoved
	case key.Kind == Dated && now.Sub(key.CreatedAt) > r.options.Keep:
		return Forgotten
	case key.Kind == Dated && !key.CreatedAt.After(settled):
		return HomeMoved
	case key.Kind == Dated && r.isPremature(now, key):
		return Premature
	default:
		return ""
	}
}
