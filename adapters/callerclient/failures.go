package callerclient

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
)

// NotConnected means that the entry could not be connected to, so nothing was sent.
var NotConnected = failure.Unavailable.NewSubtype("not_connected")

// Refused means that an entry answered with a refusal; see failure.OutcomeOf.
var Refused = failure.Refused.NewSubtype("by_entry")

// sendFailure tells a failure to connect, after which the request was
// certainly not run, from any other.
func sendFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.WithOutcome(NotConnected.Wrap(err, "connect to an entry"), failure.NotRun)
	}
	return failure.WithOutcome(calls.Interrupted.Wrap(err, "send the request"), failure.Unknown)
}

// refusalOf turns a JSON refusal into an error with its outcome and pause.
func refusalOf(resp *http.Response) error {
	var r callerhttp.ErrorResponse
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		err := failure.Corrupt.Wrap(err, "answer with status %d", resp.StatusCode)
		return failure.WithOutcome(err, failure.Unknown)
	}
	err := Refused.New("status %d: %s: %s", resp.StatusCode, r.Error, r.Reason)
	pause := time.Duration(r.RetryAfterMS) * time.Millisecond
	return failure.WithRetryAfter(failure.WithOutcome(err, outcomeOf(r.Outcome)), pause)
}

func outcomeOf(text string) failure.Outcome {
	for _, o := range []failure.Outcome{failure.NotRun, failure.Ran} {
		if o.String() == text {
			return o
		}
	}
	return failure.Unknown
}
