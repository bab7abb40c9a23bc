// Package calls defines a caller's request and its response, independent of the
// transport. It is the port between the callers' interface and the code that
// serves requests.
package calls

import (
	"context"
	"time"

	"chivespindle.example/core/addressing"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Request is a caller's request to a service.
type Request struct {
	// ID identifies the request in logs and spans; it is assigned by the entry.
	ID        string
	Service   fleet.ServiceName
	Path      string // below the service, without a leading slash
	Workspace fleet.Workspace
	// IdempotencyKey is the caller's identifier for the work; a retry with the
	// same key requests the same work. Empty if none was given.
	IdempotencyKey string
	// NonIdempotent marks work that must run at most once. It requires a key.
	NonIdempotent bool
	// FirstAttempt is the caller's assertion that it has not sent this key
	// before. Only then can a non-idempotent request that could not be
	// forwarded to its home be reported as not run: an earlier attempt may have
	// run there.
	FirstAttempt bool
	// Priority is the RFC 9218 urgency, 0 (highest) to 7; -1 if none was given,
	// in which case the workspace's default applies.
	Priority int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Body     []byte
	// PrefixKey groups requests that share a prompt prefix; 0: none.
	PrefixKey uint64
}

// MayBeNotRun reports whether an entry that could not forward the request may say by itself
// that it was not run. Otherwise only the home of its key may: it may have run an earlier one
// with the same key.
func (r Request) MayBeNotRun() bool { return !r.NonIdempotent || r.FirstAttempt }

// ResponseHeader is what is known when a response starts.
type ResponseHeader struct {
	Status  int           // HTTP status of the backend server
	Version fleet.Version // version that serves the request; zero for a plain service
}

// Completion describes the end of a response whose request ran.
type Completion struct {
	Version fleet.Version
	Server  fleet.InstanceID
}

// Sink receives a response as it arrives. Begin is called once, before any
// Piece. An error from either ends the request: the caller has disconnected, or
// the call was out of order. The response is complete only if none failed.
type Sink interface {
	Begin(ResponseHeader) error
	Piece([]byte) error
}

// Dispatcher serves requests. For an error that it returns, failure.OutcomeOf
// tells whether the request ran and failure.RetryAfter when to retry.
type Dispatcher interface {
	Dispatch(ctx context.Context, r Request, sink Sink) (Completion, error)
}

// AddressBook returns the entry addresses that a caller should use.
type AddressBook interface {
	Addresses(near fleet.Place) addressing.Result
}

// KeyIssuer creates idempotency keys that name the process that may run them.
type KeyIssuer interface {
	IssueKey(service fleet.ServiceName) (string, error)
}

// Failures reported to a caller, each with its own outcome.
var (
	// UnknownService: the active configuration has no such service.
	UnknownService = failure.Namespace.NewType("unknown_service", failure.Input)
	// BadRequest: the request violates the callers' interface.
	BadRequest = failure.Namespace.NewType("bad_request", failure.Input)
	// NotReady: this entry has no active configuration yet.
	NotReady = failure.Namespace.NewType("not_ready", failure.Temporary)
	// Overloaded: the request cannot be served in time.
	Overloaded = failure.Namespace.NewType("overloaded", failure.Temporary)
	// OverLimit: the workspace is over its limit.
	OverLimit = failure.Namespace.NewType("over_limit", failure.Temporary)
	// Interrupted: the response ended before it was complete.
	Interrupted = failure.Namespace.NewType("interrupted")
	// DeadlinePassed: the caller's deadline passed.
	DeadlinePassed = failure.Namespace.NewType("deadline_passed", failure.Temporary)
	// Duplicate: a non-idempotent request with this key was accepted before.
	Duplicate = failure.Namespace.NewType("duplicate")
)
