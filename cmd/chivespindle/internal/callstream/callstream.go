// Package callstream sends one request of docs/CALLERS.md and streams the
// response. It takes the addresses from adapters/callerclient, which returns
// only complete responses: a user at a terminal wants to see the first token as
// soon as it arrives.
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
	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
)

// Response describes a response without its body. After a failure it holds what
// had been received by then.
type Response struct {
	Entry     netip.AddrPort // tried last; zero if there was none
	RequestID string         // of the request in the entry's log
	Status    int            // of the backend server; 0 for a refusal
	Version   string         // "name@digest"; empty from a plain service
	Bytes     int64          // of the body written to out
}

// Client sends requests.
type Client struct {
	http *http.Client
}

// New returns a client without open connections.
func New() *Client {
	return &Client{http: &http.Client{
		// Each request uses its own connection. When a reused connection
		// breaks, net/http itself resends a request that has an
		// Idempotency-Key: the work might run twice, and only the outcome of
		// the second request would be reported.
		Transport: exchange.NewTransport(&http.Transport{DisableKeepAlives: true}),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Send sends the request to the first of the entries that accepts a connection
// and copies the response body to out. It tries the next entry only if nothing
// was sent. failure.OutcomeOf the error says whether the request ran. When ctx
// ends, the connection is closed, which cancels the request.
func (c *Client) Send(ctx context.Context, entries []netip.AddrPort, r callerclient.Request, out io.Writer) (Response, error) {
	var result Response
	err := failure.WithOutcome(failure.Unavailable.New("no entry address is known"), failure.NotRun)
	for _, entry := range entries {
		result, err = c.sendTo(ctx, entry, r, out)
		if err == nil || !errorx.IsOfType(err, callerclient.NotConnected) || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		return result, err
	}
	return result, nil
}

func (c *Client) sendTo(ctx context.Context, entry netip.AddrPort, r callerclient.Request, out io.Writer) (Response, *errorx.Error) {
	result := Response{Entry: entry}
	req, err := newRequest(ctx, entry, r)
	if err != nil {
		return result, failure.WithOutcome(failure.Invalid.Wrap(err, "request to %s", entry), failure.NotRun)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return result, sendError(entry, err)
	}
	defer func() { _ = resp.Body.Close() }()
	result.RequestID = resp.Header.Get(callerhttp.HeaderRequestID)
	if outcome := resp.Header.Get(callerhttp.HeaderOutcome); outcome != "" && !callerhttp.Bodyless(resp.StatusCode) {
		return result, refusalError(resp, outcome)
	}
	result.Status = resp.StatusCode
	result.Version = resp.Header.Get(callerhttp.HeaderVersion)
	return result, copyBody(ctx, resp, out, &result)
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

// sendError distinguishes a failure to connect, after which the request has
// certainly not run, from any other failure.
func sendError(entry netip.AddrPort, err error) *errorx.Error {
	var urlError *url.Error
	if errors.As(err, &urlError) {
		err = urlError.Err // the message already has the address
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.WithOutcome(callerclient.NotConnected.Wrap(err, "cannot connect to %s", entry), failure.NotRun)
	}
	return failure.WithOutcome(calls.Interrupted.Wrap(err, "no answer from %s", entry), failure.Unknown)
}

// refusalError returns the error for an entry's own error response. The outcome
// is taken from the header alone, because the body may be truncated.
func refusalError(resp *http.Response, outcome string) *errorx.Error {
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

// copyBody copies the body to out. Only the trailer proves that it is complete,
// or the header if its status has no body.
func copyBody(ctx context.Context, resp *http.Response, out io.Writer, result *Response) *errorx.Error {
	counter := &countingWriter{out: out}
	_, err := io.Copy(counter, resp.Body)
	result.Bytes = counter.written
	switch {
	case counter.err != nil:
		return withUnknownOutcome(failure.Unavailable.Wrap(counter.err, "the response cannot be written"))
	case ctx.Err() != nil:
		return withUnknownOutcome(calls.Interrupted.Wrap(ctx.Err(), "canceled after %d bytes of the response", result.Bytes))
	case err != nil:
		return withUnknownOutcome(calls.Interrupted.Wrap(err, "the answer was cut after %d bytes", result.Bytes))
	case callerhttp.Bodyless(resp.StatusCode) && resp.Header.Get(callerhttp.HeaderOutcome) == failure.Ran.String():
		return nil
	case !declaresOutcomeTrailer(resp):
		return withUnknownOutcome(calls.Interrupted.New("status %d from a server that is no entry", resp.StatusCode))
	case resp.Trailer.Get(callerhttp.HeaderOutcome) != failure.Ran.String():
		return withUnknownOutcome(calls.Interrupted.New("the answer was cut after %d bytes", result.Bytes))
	}
	return nil
}

// declaresOutcomeTrailer reports whether the response header declared the
// outcome trailer, as an entry's does.
func declaresOutcomeTrailer(resp *http.Response) bool {
	_, found := resp.Trailer[callerhttp.HeaderOutcome]
	return found
}

func withUnknownOutcome(err *errorx.Error) *errorx.Error {
	return failure.WithOutcome(err, failure.Unknown)
}

// countingWriter counts the bytes written and records its own errors separately
// from those of the connection.
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
