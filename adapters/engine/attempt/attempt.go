// Package attempt sends an HTTP request to a backend server at most once and
// reports what is known about its outcome if it fails. The clients of model engines
// and plain services share it.
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

// Canceled means that the caller of this package canceled the attempt.
var Canceled = failure.Namespace.NewType("canceled")

// errStalled is the cancellation cause of a context whose progress deadline
// expired.
var errStalled = failure.Timeout.New("no progress")

// Client sends requests to one backend server.
type Client struct {
	server string
	http   *http.Client
}

// New returns a client of the server at addr.
//
// Each attempt uses a TCP connection of its own. Reusing connections has three
// problems here: net/http resends a request that has an Idempotency-Key when the
// reused connection breaks, so that an order for parts would run twice; the rest of
// a cancelled response may still be in the connection; and a server that closes an
// idle connection just as the request arrives leaves the outcome unknown.
// docs/PLATFORM-ENGINE.md gives the cost of new connections.
func New(addr netip.AddrPort) *Client {
	transport := newTransport()
	transport.DisableKeepAlives = true
	return newClient(addr, transport)
}

// NewKeepAlive returns a client that reuses connections, for requests that may be
// sent twice: reading a status, staging a chunk and reading it back. A burst of
// transfers stages and reads thousands of chunks per second, and a new connection
// costs several times as much as the request itself.
func NewKeepAlive(addr netip.AddrPort) *Client {
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
	const connectTimeout = 2 * time.Second
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:        dialer.DialContext,
		DisableCompression: true, // pieces are forwarded as the server sent them
	}
}

func newClient(addr netip.AddrPort, transport *http.Transport) *Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		server: addr.String(),
		http:   &http.Client{Transport: exchange.NewTransport(transport), CheckRedirect: noRedirect},
	}
}

// Request is one request to the server.
type Request struct {
	Method string
	Path   string // absolute and unescaped
	Header http.Header
	Body   []byte
	// FirstByteTimeout is the longest time from the end of Body to the first byte
	// of the response body, StallTimeout the longest time without progress after
	// that and while Body is sent. Both are needed because a stalled server does
	// not close its connection.
	FirstByteTimeout time.Duration
	StallTimeout     time.Duration
}

// CallHeader returns the headers of a request that forwards call to a backend
// server.
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

// Attempt is one request whose response header has been received.
type Attempt struct {
	Status       int
	Header       http.Header
	body         io.ReadCloser
	length       int64 // length of body; -1 if unknown
	framed       bool
	deadline     *deadline
	stallTimeout time.Duration
}

// Send sends r once. The outcome of a failure is failure.NotRun only if no
// connection was established; once connected, the server may have read the request.
// After a nil error, Close must be called.
func (c *Client) Send(ctx context.Context, r Request) (*Attempt, error) {
	d := newDeadline(ctx, r.FirstByteTimeout)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := url.URL{Scheme: "http", Host: c.server, Path: r.Path}
	body := &progressReader{reader: bytes.NewReader(r.Body), deadline: d, stallTimeout: r.StallTimeout, firstByteTimeout: r.FirstByteTimeout}
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
		Status:       response.StatusCode,
		Header:       response.Header,
		body:         response.Body,
		length:       response.ContentLength,
		framed:       exchange.EndIsFramed(response),
		deadline:     d,
		stallTimeout: r.StallTimeout,
	}, nil
}

// ID returns the request ID that the server repeated in its header.
func (a *Attempt) ID() string { return a.Header.Get(headerRequestID) }

// NotRun reports whether the server says that it did not run the request.
func (a *Attempt) NotRun() bool {
	return a.Status >= http.StatusBadRequest && a.Header.Get(headerOutcome) == failure.NotRun.String()
}

// Outcome returns the outcome according to the response header: NotRun or Unknown.
func (a *Attempt) Outcome() failure.Outcome {
	if a.NotRun() {
		return failure.NotRun
	}
	return failure.Unknown
}

// RetryAfter returns the delay of the Retry-After header in seconds, 0 if there is
// none.
func (a *Attempt) RetryAfter() time.Duration {
	seconds, err := strconv.Atoi(a.Header.Get(headerRetryAfter))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// EndIsFramed reports whether the server marks the end of the body. If not, io.EOF
// does not distinguish a complete response from one whose server was killed.
func (a *Attempt) EndIsFramed() bool { return a.framed }

// Read implements io.Reader on the response body. An error other than io.EOF has a
// failure type and the outcome Unknown.
func (a *Attempt) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if n > 0 {
		a.deadline.responseProgress(a.stallTimeout)
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, a.classify(err)
}

// classify adds a failure type to an error of the body, unless it already has one.
func (a *Attempt) classify(err error) error {
	if errorx.Cast(err) != nil {
		return err
	}
	return failure.WithOutcome(a.deadline.classify(err, "the answer"), failure.Unknown)
}

// ReadAll returns the complete body. Fails with failure.Corrupt if it is longer
// than limit. If the length is known, no more memory than that is allocated.
func (a *Attempt) ReadAll(limit int64) ([]byte, error) {
	if a.length > limit {
		return nil, failure.Corrupt.New("the answer is longer than %d bytes", limit)
	}
	if a.length >= 0 {
		data := make([]byte, a.length)
		if _, err := io.ReadFull(a, data); err != nil {
			return nil, a.classify(err)
		}
		return data, nil
	}
	data, err := exchange.ReadAll(a, limit, "the answer")
	if err != nil {
		return nil, a.classify(err)
	}
	return data, nil
}

// Kind returns the failure type for an error status.
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

// StatusError returns the error for a response with an error status. Its message
// contains the beginning of the response body.
func (a *Attempt) StatusError(kind *errorx.Type) error {
	const maxShownBytes = 512
	reason, err := io.ReadAll(io.LimitReader(a, maxShownBytes))
	if err != nil {
		reason = []byte("(the reason was cut)")
	}
	statusErr := kind.New("status %d: %q", a.Status, bytes.TrimSpace(reason))
	statusErr = failure.WithOutcome(statusErr, a.Outcome())
	if retryAfter := a.RetryAfter(); retryAfter > 0 {
		statusErr = failure.WithRetryAfter(statusErr, retryAfter)
	}
	return statusErr
}

// Close ends the attempt and closes its connection. A server that is still sending
// the response sees the connection close and may stop.
func (a *Attempt) Close() {
	a.deadline.end()
	_ = a.body.Close()
}

// progressReader reads the body of a request and extends the deadline each time the
// transport takes a part.
type progressReader struct {
	reader           *bytes.Reader
	deadline         *deadline
	stallTimeout     time.Duration
	firstByteTimeout time.Duration
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.reader.Read(b)
	if p.reader.Len() > 0 {
		p.deadline.requestProgress(p.stallTimeout)
	} else {
		p.deadline.requestProgress(p.firstByteTimeout)
	}
	return n, err
}
