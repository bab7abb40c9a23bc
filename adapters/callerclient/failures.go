package callerclient

import (
	"errors"
	"net"
	"net/http"
	"time"

	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
)

// NotConnected means that no connection to the entry could be established, so
// nothing was sent.
var NotConnected = failure.Unavailable.NewSubtype("not_connected")

// Refused means that the entry sent an error response; see failure.OutcomeOf.
var Refused = failure.Refused.NewSubtype("by_entry")

// sendError distinguishes a failed connection attempt, after which the request
// certainly did not run, from all other errors.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.WithOutcome(NotConnected.Wrap(err, "connect to an entry"), failure.NotRun)
	}
	return failure.WithOutcome(calls.Interrupted.Wrap(err, "send the request"), failure.Unknown)
}

// decodeError converts an error response to an error with its outcome and retry
// delay.
func decodeError(resp *http.Response) error {
	var response callerhttp.ErrorResponse
	if err := decodeJSON(resp.Body, &response); err != nil {
		err := failure.Corrupt.Wrap(err, "answer with status %d", resp.StatusCode)
		return failure.WithOutcome(err, failure.Unknown)
	}
	err := Refused.New("status %d: %s: %s", resp.StatusCode, response.Error, response.Reason)
	retryAfter := time.Duration(response.RetryAfterMS) * time.Millisecond
	return failure.WithRetryAfter(failure.WithOutcome(err, outcomeOf(response.Outcome)), retryAfter)
}

func outcomeOf(text string) failure.Outcome {
	for _, o := range []failure.Outcome{failure.NotRun, failure.Ran} {
		if o.String() == text {
			return o
		}
	}
	return failure.Unknown
}
