// Package calls describes a caller's request and its answer, apart from how
// either is transported. It is the port between the caller's interface and
// the part that serves requests.
package calls

import (
	"context"
	"time"

	"chivespindle.example/core/addressing"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Request is what a caller asks of a service.
type Request struct {
	// ID names the request in logs and spans; it is made by the entry.
	ID        string
	Service   fleet.ServiceName
	Path      string // below the service, without a leading slash
	Workspace fleet.Workspace
	// IdempotencyKey is the caller's name for the piece of work; asking again
	// with it is asking for the same work. Empty if none was given.
	IdempotencyKey string
	// NonIdempotent marks work that must run at most once. It needs a key.
	NonIdempotent bool
	// FirstAttempt is the caller's word that it has not asked with this key
	// before. Only then can a non-idempotent request that could not be handed
	// to its home be called not run: an earlier ask may have run there.
	FirstAttempt bool
	// Priority is the RFC 9218 urgency, 0 (highest) to 7; -1: none given, the
	// workspace's default holds.
	Priority int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Body     []byte
	// PrefixKey groups requests that share a prompt prefix; 0: none.
	PrefixKey uint64
}

// ResponseHeader is what is known when the first piece of an answer is there.
type ResponseHeader struct {
	Status  int           // HTTP status of the backend server
	Version fleet.Version // version that answers; zero for a plain service
}

// Completion is how an answer that ran ended.
type Completion struct {
	Version fleet.Version
	Server  fleet.InstanceID
}

// Sink takes an answer as it comes. Begin is called once, before any Piece.
// An error from either ends the request: the caller is gone, or the step was not
// the next one. The answer is complete only if none failed.
type Sink interface {
	Begin(ResponseHeader) error
	Piece([]byte) error
}

// Dispatcher serves requests. When it returns an error, failure.OutcomeOf
// tells whether the request ran and failure.RetryAfter when to come back.
type Dispatcher interface {
	Dispatch(ctx context.Context, r Request, sink Sink) (Completion, error)
}

// AddressBook answers which entry addresses a caller should use.
type AddressBook interface {
	Addresses(near fleet.Place) addressing.Result
}

// KeyIssuer makes idempotency keys that name the process that may run them.
type KeyIssuer interface {
	IssueKey(service fleet.ServiceName) (string, error)
}

// Failures that reach a caller, each with an outcome of its own.
var (
	// UnknownService: the text in force has no such service.
	UnknownService = failure.Namespace.NewType("unknown_service", failure.Input)
	// BadRequest: the request breaks a rule of the callers' page.
	BadRequest = failure.Namespace.NewType("bad_request", failure.Input)
	// NotReady: this entry has no text in force yet.
	NotReady = failure.Namespace.NewType("not_ready", failure.Temporary)
	// Overloaded: the request cannot be served in time.
	Overloaded = failure.Namespace.NewType("overloaded", failure.Temporary)
	// OverLimit: the workspace is over its limit.
	OverLimit = failure.Namespace.NewType("over_limit", failure.Temporary)
	// Interrupted: the answer broke off.
	Interrupted = failure.Namespace.NewType("interrupted")
	// DeadlinePassed: the caller's deadline passed.
	DeadlinePassed = failure.Namespace.NewType("deadline_passed", failure.Temporary)
	// Duplicate: a non-idempotent request with this key was taken before.
	Duplicate = failure.Namespace.NewType("duplicate")
)
