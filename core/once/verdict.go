package once

import (
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Action is what the agent does with an ask.
type Action uint8

const (
	// Refuse: the ask is not passed on. See Verdict.Reason. The zero value.
	Refuse Action = iota
	// Run: this ask, and no other, may be passed on. The agent calls Passed
	// just before its first byte, and then Finish, or else Abandon.
	Run
	// Running: an earlier ask with the key runs now; whether it will end in
	// an answer is not known. The caller asks again later.
	Running
	// Done: the work has run; Verdict.Result tells how it ended.
	Done
)

// Reason says why an ask was refused.
type Reason string

const (
	// WrongHome: the key names another instance.
	WrongHome Reason = "wrong_home"
	// EarlierLife: the key names an earlier life of this process, whose
	// record is gone.
	EarlierLife Reason = "earlier_life"
	// NotHome: in this instance's list another one is the key's home.
	NotHome Reason = "not_home"
	// Moved: this instance became the key's home after the key may have been
	// asked elsewhere.
	Moved Reason = "home_moved"
	// StaleList: this instance's list of servers is too old to tell whether
	// it is still the key's home.
	StaleList Reason = "stale_list"
	// Forgotten: the key is as old as keys whose record has been dropped.
	Forgotten Reason = "forgotten"
	// Premature: the key claims to have been made in the future.
	Premature Reason = "premature"
	// OtherBody: the key was used for another request.
	OtherBody Reason = "other_body"
	// Closed: the key was answered as not run after this ask had come to an
	// entry. The caller may ask again.
	Closed Reason = "closed"
	// Busy: the record is full.
	Busy Reason = "record_full"
	// Lost: the work was passed on and its end was not seen.
	Lost Reason = "lost"
)

// Verdict is the answer to an ask.
type Verdict struct {
	Action Action
	// Outcome is what the caller may be told about the key, not only about
	// this ask: failure.NotRun means that no ask that has reached an entry by
	// now has run or ever will. Whatever it is, a refused ask itself was not
	// passed on, so that an entry may try the home that it learns of next.
	Outcome failure.Outcome
	Reason  Reason
	Result  Result // of a Done key
}

// Result is how work ended.
type Result struct {
	// Outcome is failure.Ran if the whole answer came, failure.NotRun if the
	// backend server certainly did not run the work, else failure.Unknown.
	Outcome failure.Outcome
	Status  int // HTTP status of the backend server
	Version fleet.Version
	// Body is the whole answer if BodyKept is true; it may be empty. A register
	// keeps small ones that are handed in so.
	Body     []byte
	BodyKept bool
}

// Facts are what the agent knows of an ask beside key and body.
type Facts struct {
	// Asked is when the caller's ask reached an entry, by this instance's
	// clock and rather too early than too late; see admission.Echo. Zero if
	// not known, which counts as long ago. A retry by the entry keeps it.
	Asked time.Time
}

func refused(outcome failure.Outcome, reason Reason) Verdict {
	return Verdict{Action: Refuse, Outcome: outcome, Reason: reason}
}
