// Package failure holds the error types of the whole system.
//
// Every error that crosses a package boundary is an errorx type made from
// Namespace, so that a reader of a log line or an exit code finds the kind
// of failure by name. An error that can reach a caller also carries an
// Outcome, which tells what the caller may do next.
package failure

import (
	"time"

	"github.com/joomcode/errorx"
)

// Outcome says what is known of a request after a failure.
//
// The zero value is Unknown, so an error that nobody classified never claims
// that a request was not run.
type Outcome uint8

const (
	// Unknown means the request may have run. Only an idempotent request may
	// be sent again.
	Unknown Outcome = iota
	// NotRun means the request certainly was not passed to a backend server.
	// Any request may be sent again.
	NotRun
	// Ran means the backend server ran the request, and its answer is given
	// or was given before.
	Ran
)

// String returns the word used on the wire and in logs: "unknown", "not_run"
// or "ran".
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Namespace is the parent of every error type of the system.
var Namespace = errorx.NewNamespace("chivespindle")

// Traits that callers test with errorx.HasTrait.
var (
	// Temporary marks a failure that the same call may not meet again.
	Temporary = errorx.RegisterTrait("temporary")
	// Input marks a failure that the person at the keyboard can mend.
	Input = errorx.RegisterTrait("input")
)

// Types shared by several packages. A package with failures of its own
// declares them beside the code with Namespace.NewType.
var (
	// Unavailable: the other side cannot be reached or is down.
	Unavailable = Namespace.NewType("unavailable", Temporary)
	// RateLimited: the other side asked for a pause; see RetryAfter.
	RateLimited = Namespace.NewType("rate_limited", Temporary)
	// Corrupt: bytes do not match their digest or cannot be decoded.
	Corrupt = Namespace.NewType("corrupt")
	// NotFound: the other side does not hold what was asked for.
	NotFound = Namespace.NewType("not_found")
	// Refused: the other side understood and declined.
	Refused = Namespace.NewType("refused")
	// Invalid: the input breaks a documented rule.
	Invalid = Namespace.NewType("invalid", Input)
	// Timeout: a deadline of ours passed.
	Timeout = Namespace.NewType("timeout", Temporary)
	// Internal: a rule of the program itself was broken.
	Internal = Namespace.NewType("internal")
)

var (
	outcomeProperty    = errorx.RegisterProperty("outcome")
	retryAfterProperty = errorx.RegisterProperty("retry_after")
)

// WithOutcome returns err with what is known of the request.
func WithOutcome(err *errorx.Error, o Outcome) *errorx.Error {
	return err.WithProperty(outcomeProperty, o)
}

// OutcomeOf returns the outcome that err carries, Unknown if none.
func OutcomeOf(err error) Outcome {
	value, ok := errorx.ExtractProperty(err, outcomeProperty)
	if !ok {
		return Unknown
	}
	outcome, ok := value.(Outcome)
	if !ok {
		return Unknown
	}
	return outcome
}

// WithRetryAfter returns err with the pause that the other side asked for.
func WithRetryAfter(err *errorx.Error, pause time.Duration) *errorx.Error {
	return err.WithProperty(retryAfterProperty, pause)
}

// RetryAfter returns the pause that err carries, 0 if none.
func RetryAfter(err error) time.Duration {
	value, ok := errorx.ExtractProperty(err, retryAfterProperty)
	if !ok {
		return 0
	}
	pause, ok := value.(time.Duration)
	if !ok {
		return 0
	}
	return pause
}
