// Package failure defines the error types that are shared by the whole system.
//
// Every error that crosses a package boundary has an errorx type in Namespace, so that
// a log line or an exit code identifies the kind of failure by name. An error that can
// reach a caller also carries an Outcome, which determines whether the caller may retry.
package failure

import (
	"time"

	"github.com/joomcode/errorx"
)

// Outcome is what is known about the execution of a request after a failure.
//
// The zero value is Unknown, so an unclassified error never claims that a request was
// not run.
type Outcome uint8

const (
	// Unknown means the request may have run. Only an idempotent request may be retried.
	Unknown Outcome = iota
	// NotRun means the request was definitely not passed to a backend server. Any
	// request may be retried.
	NotRun
	// Ran means the backend server ran the request, and its response is being delivered
	// or was delivered before.
	Ran
)

// String returns the name used on the wire and in logs: "unknown", "not_run" or "ran".
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
	// Temporary marks an error that may not recur if the call is repeated.
	Temporary = errorx.RegisterTrait("temporary")
	// Input marks an error in user input.
	Input = errorx.RegisterTrait("input")
)

// Types shared by several packages. Package-specific types are declared in their package
// with Namespace.NewType.
var (
	// Unavailable: the other side cannot be reached or is down.
	Unavailable = Namespace.NewType("unavailable", Temporary)
	// RateLimited: the other side requested a pause; see RetryAfter.
	RateLimited = Namespace.NewType("rate_limited", Temporary)
	// Corrupt: bytes do not match their digest or cannot be decoded.
	Corrupt = Namespace.NewType("corrupt")
	// NotFound: the other side does not have the requested item.
	NotFound = Namespace.NewType("not_found")
	// Refused: the other side understood the request and declined it.
	Refused = Namespace.NewType("refused")
	// Invalid: the input breaks a documented rule.
	Invalid = Namespace.NewType("invalid", Input)
	// Timeout: a local deadline passed.
	Timeout = Namespace.NewType("timeout", Temporary)
	// Internal: an internal invariant was violated.
	Internal = Namespace.NewType("internal")
)

var (
	outcomeProperty    = errorx.RegisterProperty("outcome")
	retryAfterProperty = errorx.RegisterProperty("retry_after")
)

// WithOutcome returns err with the outcome of the request attached.
func WithOutcome(err *errorx.Error, o Outcome) *errorx.Error {
	return err.WithProperty(outcomeProperty, o)
}

// OutcomeOf returns the outcome attached to err, Unknown if there is none.
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

// WithRetryAfter returns err with the pause attached that the other side requested.
func WithRetryAfter(err *errorx.Error, pause time.Duration) *errorx.Error {
	return err.WithProperty(retryAfterProperty, pause)
}

// RetryAfter returns the pause attached to err, 0 if there is none.
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
