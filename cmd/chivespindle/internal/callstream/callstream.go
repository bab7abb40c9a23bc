// Package callstream sends one request of docs/CALLERS.md and passes the
// answer on as it comes. adapters/callerclient, which it takes the addresses
// from, returns answers whole; a person at a terminal waits for the first
// token, not for the last.
package callstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
)

// Answer is what is known of an answer besides its body. After a failure it
// holds what had come until then.
type Answer struct {
	Entry     netip.AddrPort // that was asked last; zero if none could be
	RequestID string         // by which the entry's log names the request
	Status    int            // of the backend server; 0 for a refusal
	Version   string         // "name@digest"; empty from a plain service
	Bytes     int64          // of the body that were passed on
}

// Client sends requests.
type Client struct {
	http *http.Client
}

// New returns a client without connections.
func New() *Client {
	return &Client{http: &http.Client{
		// Each request has a connection of its own. net/http sends a request
		// with an Idempotency-Key again by itself when a connection that was
		// used before breaks; the work might run twice, and the outcome would
		// be told of the second request only.
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Send sends the request to the first of the entries that can be connected to
// and copies the answer's body to out. It goes to the next one only if nothing
// was sent. failure.OutcomeOf the error says whether the request ran. When ctx
// ends, the connection is closed, which cancels the request.
func (c *Client) Send(ctx context.Context, entries []netip.AddrPort, r callerclient.Request, out io.Writer) (Answer, error) {
	var answer Answer
	err := failure.WithOutcome(failure.Unavailable.New("there is no entry to ask"), failure.NotRun)
	for _, entry := range entries {
		answer, err = c.sendTo(ctx, entry, r, out)
		if err == nil || !errorx.IsOfType(err, callerclient.NotConnected) || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		return answer, err
	}
	return answer, nil
}

func (c *Client) sendTo(ctx context.Context, entry netip.AddrPort, r callerclient.Request, out io.Writer) (Answer, *errorx.Error) {
	answer := Answer{Entry: entry}
	req, err := newRequest(ctx, entry, r)
	if err != nil {
		return answer, failure.WithOutcome(failure.Invalid.Wrap(err, "request to %s", entry), failure.NotRun)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, notSent(entry, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer.RequestID = resp.Header.Get(callerhttp.HeaderRequestID)
	if outcome := resp.Header.Get(callerhttp.HeaderOutcome); outcome != "" && !callerhttp.Bodyless(resp.StatusCode) {
		return answer, refusal(resp, outcome)
	}
	answer.Status = resp.StatusCode
	answer.Version = resp.Header.Get(callerhttp.HeaderVersion)
	return answer, receive(ctx, resp, out, &answer)
}

// newRequest returns the request with the headers of docs/CALLERS.md.
func newRequest(ctx context.Context, entry netip.AddrPort, r callerclient.Request) (*http.Request, error) {
	target := "http://" + entry.String() + "/v1/services/" + url.PathEscape(string(r.Service))
	if r.Path != "" {
		target += "/" + r.Path
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	headers := []struct{ name, value string }{
		{callerhttp.HeaderWorkspace, string(r.Workspace)},
		{callerhttp.HeaderKey, r.IdempotencyKey},
		{callerhttp.HeaderPriority, r.Priority},
		{callerhttp.HeaderPrefix, r.Prefix},
	}
	for _, h := range headers {
		if h.value != "" {
			req.Header.Set(h.name, h.value)
		}
	}
	if r.NonIdempotent {
		req.Header.Set(callerhttp.HeaderNonIdempotent, "?1")
	}
	if r.Deadline > 0 {
		req.Header.Set(callerhttp.HeaderDeadline, r.Deadline.String())
	}
	return req, nil
}

// notSent tells a failure to connect, after which the request was certainly
// not run, from any other.
func notSent(entry netip.AddrPort, err error) *errorx.Error {
	var urlError *url.Error
	if errors.As(err, &urlError) {
		err = urlError.Err // the address stands in the message already
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.WithOutcome(callerclient.NotConnected.Wrap(err, "cannot connect to %s", entry), failure.NotRun)
	}
	return failure.WithOutcome(calls.Interrupted.Wrap(err, "no answer from %s", entry), failure.Unknown)
}

// refusal makes an error of an entry's own answer. The header alone decides on
// the outcome, since the body may be cut.
func refusal(resp *http.Response, outcome string) *errorx.Error {
	const maxRefusal = 64 << 10
	var r callerhttp.ErrorResponse
	err := callerclient.Refused.New("status %d without a reason", resp.StatusCode)
	if json.NewDecoder(io.LimitReader(resp.Body, maxRefusal)).Decode(&r) == nil {
		err = callerclient.Refused.New("status %d: %s", resp.StatusCode, r.Reason)
	}
	known := failure.Unknown
	for _, o := range []failure.Outcome{failure.NotRun, failure.Ran} {
		if o.String() == outcome {
			known = o
		}
	}
	pause := time.Duration(r.RetryAfterMS) * time.Millisecond
	return failure.WithRetryAfter(failure.WithOutcome(err, known), pause)
}

// receive passes the body on. Only the trailer proves that it is whole, or the header
// if its status has no body.
func receive(ctx context.Context, resp *http.Response, out io.Writer, answer *Answer) *errorx.Error {
	sink := &countingWriter{out: out}
	_, err := io.Copy(sink, resp.Body)
	answer.Bytes = sink.written
	switch {
	case sink.err != nil:
		return unknown(failure.Unavailable.Wrap(sink.err, "the answer cannot be written"))
	case ctx.Err() != nil:
		return unknown(calls.Interrupted.Wrap(ctx.Err(), "given up after %d bytes of the answer", answer.Bytes))
	case err != nil:
		return unknown(calls.Interrupted.Wrap(err, "the answer was cut after %d bytes", answer.Bytes))
	case callerhttp.Bodyless(resp.StatusCode) && resp.Header.Get(callerhttp.HeaderOutcome) == failure.Ran.String():
		return nil
	case !announced(resp):
		return unknown(calls.Interrupted.New("status %d from a server that is no entry", resp.StatusCode))
	case resp.Trailer.Get(callerhttp.HeaderOutcome) != failure.Ran.String():
		return unknown(calls.Interrupted.New("the answer was cut after %d bytes", answer.Bytes))
	}
	return nil
}

// announced reports whether the answer's head named the trailer, as an entry's
// does.
func announced(resp *http.Response) bool {
	_, found := resp.Trailer[callerhttp.HeaderOutcome]
	return found
}

func unknown(err *errorx.Error) *errorx.Error { return failure.WithOutcome(err, failure.Unknown) }

// countingWriter keeps its own failures apart from those of the connection.
type countingWriter struct {
	out     io.Writer
	written int64
	err     error
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.out.Write(p)
	w.written += int64(n)
	w.err = err
	return n, err
}
