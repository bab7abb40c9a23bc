package once

import (
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Action is what the agent does with a request.
type Action uint8

const (
	// Refuse: the request is not forwarded; Verdict.Reason gives the cause. The zero
	// value.
	Refuse Action = iota
	// Run: this request, and no other with the key, may be forwarded. The agent calls
	// MarkForwarded just before it sends the first byte, and then Finish; otherwise
	// Abandon.
	Run
	// Running: an earlier request with the key is running; its outcome is not known
	// yet. The caller retries later.
	Running
	// Done: the request has run; Verdict.Result holds its result.
	Done
)

// Reason is the cause of a refusal.
type Reason string

const (
	// WrongHome: the key names another instance.
	WrongHome Reason = "wrong_home"
	// EarlierIncarnation: the key names an earlier incarnation of this process, whose
	// records are lost.
	EarlierIncarnation Reason = "earlier_life"
	// NotHome: according to this instance's list, another instance is the home of the
	// key.
	NotHome Reason = "not_home"
	// HomeMoved: this instance became the home of the key after another one may have
	// received it.
	HomeMoved Reason = "home_moved"
	// StaleList: this instance's list of servers is too old to determine whether it is
	// still the home of the key.
	StaleList Reason = "stale_list"
	// Forgotten: the key is no newer than keys whose records have been deleted, or
	// older than Keep.
	Forgotten Reason = "forgotten"
	// Premature: the creation time of the key is in the future.
	Premature Reason = "premature"
	// OtherBody: the key was used with another request body.
	OtherBody Reason = "other_body"
	// Closed: the caller was told that the key was not run after this request had
	// reached an entry. The caller may retry.
	Closed Reason = "closed"
	// RecordFull: the register is full.
	RecordFull Reason = "record_full"
	// OutcomeLost: the request was forwarded and its outcome is unknown.
	OutcomeLost Reason = "lost"
)

// Verdict is the decision on a request.
type Verdict struct {
	Action Action
	// Outcome is what the caller may be told about the key, not only about this
	// request: failure.NotRun means that no request with the key that has reached an
	// entry by now has run or will ever run. Whatever it is, a refused request itself
	// was not forwarded, so an entry may try the next home that it learns of.
	Outcome failure.Outcome
	Reason  Reason
	Result  Result // only if Action is Done
}

// Result is the outcome of a forwarded request.
type Result struct {
	// Outcome is failure.Ran if the complete response was received, failure.NotRun if
	// the backend server certainly did not run the request, otherwise failure.Unknown.
	Outcome failure.Outcome
	Status  int // HTTP status of the backend server
	Version fleet.Version
	// Body is the complete response body if HasBody is true; it may be empty. A
	// register keeps small bodies that Finish receives with HasBody set.
	Body    []byte
	HasBody bool
}

// RequestInfo is what the agent knows about a request besides key and body.
type RequestInfo struct {
	// ReceivedAt is when the caller's request reached an entry, by this instance's
	// clock. The estimate errs towards too early; see admission.RemoteClock. Zero if
	// unknown, which counts as long ago. Retries by the entry keep it.
	ReceivedAt time.Time
}

func refused(outcome failure.Outcome, reason Reason) Verdict {
	return Verdict{Action: Refuse, Outcome: outcome, Reason: reason}
}
