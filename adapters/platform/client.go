package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/failure"
)

// Canceled is the failure of a call that was canceled by its caller. It implies
// nothing about the platform.
var Canceled = failure.Namespace.NewType("canceled")

const (
	// DefaultTimeout limits a short call. The platform responds within
	// milliseconds, so a longer silence indicates a fault.
	DefaultTimeout = 5 * time.Second
	// defaultRetryAfter is used if an error response has no valid Retry-After;
	// without a delay the caller might retry immediately.
	defaultRetryAfter = time.Second
	// maxRetryAfter limits the delay that an error response can request, so that a
	// corrupt header cannot silence a process for days.
	maxRetryAfter = time.Hour
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 90 * time.Second
	// maxDrainBytes is how much of the body of an error response is read.
	maxDrainBytes = 4 << 10
)

// client sends GET requests to one service.
type client struct {
	base string
	http *http.Client
}

// newClient checks the base URL, whose host must be an IP address because the
// system does not resolve names. If httpClient is nil, a client with its own
// transport is used.
func newClient(base string, httpClient *http.Client) (*client, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "base URL %q", base)
	}
	if parsed.Scheme != "http" && parsed.Scheme != "https" {
		return nil, failure.Invalid.New("base URL %q must start with http:// or https://", base)
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		return nil, failure.Invalid.New("base URL %q must name its host by IP number", base)
	}
	if parsed.RawQuery != "" || parsed.Fragment != "" {
		return nil, failure.Invalid.New("base URL %q must have no query and no fragment", base)
	}
	return &client{base: strings.TrimSuffix(base, "/"), http: withoutRedirects(httpClient)}, nil
}

// withoutRedirects returns a copy that follows no redirects. The protocol has none,
// and a redirect in an invalid response could select another host.
func withoutRedirects(httpClient *http.Client) *http.Client {
	result := http.Client{}
	if httpClient != nil {
		result = *httpClient
	} else {
		result.Transport = newTransport()
	}
	result.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &result
}

// newTransport returns a transport that ignores the proxy settings of the
// environment and does not request compression, so that bodies arrive as stored.
func newTransport() http.RoundTripper {
	dialer := net.Dialer{Timeout: DefaultTimeout}
	return exchange.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: DefaultTimeout,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
}

// Close closes idle connections.
func (c *client) Close() { c.http.CloseIdleConnections() }

// call is one GET request.
type call struct {
	path string
	// conditional allows the response "304 Not Modified".
	conditional bool
	// etag is sent as If-None-Match; "" for none.
	etag string
}

// get sends one request. The caller closes the body of the response, whose status
// is 200, or 304 for a conditional call.
func (c *client) get(ctx context.Context, call call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+call.path, nil)
	if err != nil {
		return nil, failure.Internal.Wrap(err, "build request for %s", call.path)
	}
	if call.etag != "" {
		request.Header.Set("If-None-Match", call.etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, transferFailure(ctx, err, call.path)
	}
	unchanged := call.conditional && response.StatusCode == http.StatusNotModified
	if response.StatusCode == http.StatusOK || unchanged {
		return response, nil
	}
	defer response.Body.Close()
	// Reading a short body to its end allows the connection to be reused. Errors do
	// not matter.
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
	return nil, statusFailure(response, call.path)
}

// statusFailure returns the failure for a response with an unexpected status.
func statusFailure(response *http.Response, path string) error {
	kind := failure.Refused
	switch status := response.StatusCode; {
	case status == http.StatusTooManyRequests:
		kind = failure.RateLimited
	case status == http.StatusNotFound:
		kind = failure.NotFound
	case status >= http.StatusInternalServerError:
		kind = failure.Unavailable
	}
	err := kind.New("%s answered %s", path, response.Status)
	header := response.Header.Get("Retry-After")
	if kind == failure.RateLimited || header != "" {
		return failure.WithRetryAfter(err, parseRetryAfter(header, time.Now()))
	}
	return err
}

// parseRetryAfter parses a Retry-After header: seconds or an HTTP date.
func parseRetryAfter(header string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseUint(header, 10, 32); err == nil {
		return min(time.Duration(seconds)*time.Second, maxRetryAfter)
	}
	if date, err := http.ParseTime(header); err == nil {
		return min(max(date.Sub(now), 0), maxRetryAfter)
	}
	return defaultRetryAfter
}

// transferFailure returns the failure of a call without a complete response. If ctx
// has ended, its cause takes precedence, since the error of the connection is only
// a consequence.
func transferFailure(ctx context.Context, err error, path string) error {
	if ctx.Err() == nil {
		return failure.Unavailable.Wrap(err, "%s", path)
	}
	cause := context.Cause(ctx)
	if errorx.IsOfType(cause, failure.Timeout) {
		return cause
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return failure.Timeout.Wrap(err, "%s", path)
	}
	return Canceled.Wrap(err, "%s", path)
}

// readBody reads a complete body of at most limit bytes. Fails with failure.Corrupt
// if it is longer, failure.Unavailable if the connection ends early.
func readBody(ctx context.Context, response *http.Response, limit int64, path string) ([]byte, error) {
	body, err := exchange.ReadAll(response.Body, limit, "the body")
	if errorx.IsOfType(err, exchange.TooLong) {
		return nil, failure.Corrupt.Wrap(err, "%s answered more than %d bytes", path, limit)
	}
	if err != nil {
		return nil, transferFailure(ctx, err, path)
	}
	return body, nil
}
