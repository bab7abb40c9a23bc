// Package attempt sends one HTTP request to a backend server at most once and
// tells what is known of it when it fails. The adapters of model engines and
// plain services share it.
package attempt

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/serving"
)

// Headers of the protocol (docs/PLATFORM-ENGINE.md).
const (
	headerRequestID      = "Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "Priority"
	headerTraceparent    = "Traceparent"
	headerOutcome        = "Request-Outcome"
	headerRetryAfter     = "Retry-After"
)

// Canceled means that our caller gave the attempt up.
var Canceled = failure.Namespace.NewType("canceled")

// errStalled is the cause of a context that the progress deadline ended.
var errStalled = failure.Timeout.New("no progress")

// Client sends requests to one backend server.
type Client struct {
	server string
	http   *http.Client
}

// New returns a client of the server at addr.
//
// Each attempt has a TCP connection of its own. A kept connection has three
// faults here: net/http sends a request with an Idempotency-Key a second time
// when the kept connection dies under it, so that a parts order runs twice;
// the rest of a cancelled answer may still lie in it; and a server that
// closes an idle connection as the request arrives leaves the outcome
// unknown. A connection that was never used before and never is again has
// none of them. What it costs is in docs/PLATFORM-ENGINE.md.
func New(addr netip.AddrPort) *Client {
	transport := newTransport()
	transport.DisableKeepAlives = true
	return newClient(addr, transport)
}

// NewReusing returns a client that keeps its connections, for requests that
// may be sent again: reading a status, staging a chunk and reading it back. A
// burst stages and reads thousands of chunks a second, and a connection for
// each costs several times the request itself.
func NewReusing(addr netip.AddrPort) *Client {
	const (
		idleConnections = 16
		idleTimeout     = 5 * time.Second
	)
	transport := newTransport()
	transport.MaxIdleConnsPerHost = idleConnections
	transport.IdleConnTimeout = idleTimeout
	return newClient(addr, transport)
}

func newTransport() *http.Transport {
	const (
		connectTimeout = 2 * time.Second
		maxHeader      = 64 << 10
	)
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:        dialer.DialContext,
		DisableCompression: true, // pieces are handed on as the server sent them

		MaxResponseHeaderBytes: maxHeader,
	}
}

func newClient(addr netip.AddrPort, transport *http.Transport) *Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		server: addr.String(),
		http:   &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

// Request is what to send.
type Request struct {
	Method string
	Path   string // unescaped, from the root
	Header http.Header
	Body   []byte
	// First is the longest time from the end of Body to the first byte of the
	// answer's body, Stall the longest time without progress after that and
	// while Body is sent. Both are needed since a stalled server does not
	// close its connection.
	First time.Duration
	Stall time.Duration
}

// CallHeader returns the headers that carry call to a backend server.
func CallHeader(call serving.Call) http.Header {
	header := http.Header{}
	header.Set(headerRequestID, call.ID)
	header.Set(headerPriority, "u="+strconv.Itoa(call.Priority))
	if call.IdempotencyKey != "" {
		header.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	if call.Traceparent != "" {
		header.Set(headerTraceparent, call.Traceparent)
	}
	return header
}

// Attempt is one request whose answer has begun.
type Attempt struct {
	Status   int
	Header   http.Header
	body     io.ReadCloser
	length   int64 // of body; -1 if the server did not tell
	framed   bool
	deadline *deadline
	stall    time.Duration
}

// Send sends r once. A failure's outcome is failure.NotRun only if no
// connection was made; after that the server may have read the request.
// Close must be called after a nil error.
func (c *Client) Send(ctx context.Context, r Request) (*Attempt, error) {
	d := newDeadline(ctx, r.First)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := url.URL{Scheme: "http", Host: c.server, Path: r.Path}
	body := &progressReader{reader: bytes.NewReader(r.Body), deadline: d, stall: r.Stall, first: r.First}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(d.ctx, trace), r.Method, target.String(), body)
	if err != nil {
		d.end()
		return nil, failure.WithOutcome(failure.Invalid.Wrap(err, "request to %s", c.server), failure.NotRun)
	}
	request.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 {
		request.Body = http.NoBody
	}
	if r.Header != nil {
		request.Header = r.Header
	}
	response, err := c.http.Do(request)
	if err != nil {
		outcome := failure.Unknown
		if !connected.Load() {
			outcome = failure.NotRun
		}
		err = failure.WithOutcome(d.classify(err, c.server), outcome)
		d.end()
		return nil, err
	}
	return &Attempt{
		Status:   response.StatusCode,
		Header:   response.Header,
		body:     response.Body,
		length:   response.ContentLength,
		framed:   exchange.EndIsFramed(response),
		deadline: d,
		stall:    r.Stall,
	}, nil
}

// ID returns the request id that the server repeated in its header.
func (a *Attempt) ID() string { return a.Header.Get(headerRequestID) }

// NotRun reports whether the server says that it did not run the request.
func (a *Attempt) NotRun() bool {
	return a.Status >= http.StatusBadRequest && a.Header.Get(headerOutcome) == failure.NotRun.String()
}

// Outcome returns what the server's header says: NotRun, or Unknown.
func (a *Attempt) Outcome() failure.Outcome {
	if a.NotRun() {
		return failure.NotRun
	}
	return failure.Unknown
}

// RetryAfter returns the pause that the server asks for in seconds, 0 if none.
func (a *Attempt) RetryAfter() time.Duration {
	seconds, err := strconv.Atoi(a.Header.Get(headerRetryAfter))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// EndIsFramed reports whether the server marks the end of the body. If not, io.EOF
// does not tell a complete answer from one whose server was killed.
func (a *Attempt) EndIsFramed() bool { return a.framed }

// Read implements io.Reader on the answer's body. A failure other than io.EOF
// is typed, and its outcome is Unknown.
func (a *Attempt) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if n > 0 {
		a.deadline.received(a.stall)
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, a.typed(err)
}

// typed gives a failure of the body its type, if it has none yet.
func (a *Attempt) typed(err error) error {
	if errorx.Cast(err) != nil {
		return err
	}
	return failure.WithOutcome(a.deadline.classify(err, "the answer"), failure.Unknown)
}

// ReadAll returns the whole body, failure.Corrupt if it is longer than limit.
// A body of a length that the server told takes no more memory than that.
func (a *Attempt) ReadAll(limit int64) ([]byte, error) {
	if a.length > limit {
		return nil, failure.Corrupt.New("the answer is longer than %d bytes", limit)
	}
	if a.length >= 0 {
		data := make([]byte, a.length)
		if _, err := io.ReadFull(a, data); err != nil {
			return nil, a.typed(err)
		}
		return data, nil
	}
	data, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, a.typed(err)
	}
	if int64(len(data)) > limit {
		return nil, failure.Corrupt.New("the answer is longer than %d bytes", limit)
	}
	return data, nil
}

// Kind returns the type of failure for an error status.
func Kind(status int) *errorx.Type {
	switch status {
	case http.StatusNotFound:
		return failure.NotFound
	case http.StatusConflict:
		return failure.Refused
	case http.StatusTooManyRequests:
		return failure.RateLimited
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return failure.Invalid
	default:
		return failure.Unavailable
	}
}

// Declined returns the failure for an answer with an error status; its text
// holds the start of the server's own reason.
func (a *Attempt) Declined(kind *errorx.Type) error {
	const shownBytes = 512
	reason, err := io.ReadAll(io.LimitReader(a, shownBytes))
	if err != nil {
		reason = []byte("(the reason was cut)")
	}
	declined := kind.New("status %d: %q", a.Status, bytes.TrimSpace(reason))
	declined = failure.WithOutcome(declined, a.Outcome())
	if pause := a.RetryAfter(); pause > 0 {
		declined = failure.WithRetryAfter(declined, pause)
	}
	return declined
}

// Close ends the attempt and its connection; a server that still answers sees
// the connection close and may stop.
func (a *Attempt) Close() {
	a.deadline.end()
	_ = a.body.Close()
}

// progressReader gives the body of a request and moves the deadline on at
// each part that the transport takes.
type progressReader struct {
	reader   *bytes.Reader
	deadline *deadline
	stall    time.Duration
	first    time.Duration
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.reader.Read(b)
	if p.reader.Len() > 0 {
		p.deadline.sent(p.stall)
	} else {
		p.deadline.sent(p.first)
	}
	return n, err
}
