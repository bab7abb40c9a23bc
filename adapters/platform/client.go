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

	"chivespindle.example/core/failure"
)

// Canceled is the failure of a call whose caller gave it up. It says nothing
// of the platform.
var Canceled = failure.Namespace.NewType("canceled")

const (
	// DefaultTimeout bounds a short call. The platform answers in
	// milliseconds, so that a longer silence is a fault.
	DefaultTimeout = 5 * time.Second
	// defaultPause is asked for when a refusal names no pause that can be
	// read; without one the caller might come back at once.
	defaultPause = time.Second
	// maxPause bounds the pause that a refusal can ask for, so that a garbled
	// header does not silence a process for days.
	maxPause = time.Hour
	// idleTimeout closes a connection that has not been used.
	idleTimeout = 90 * time.Second
	// maxDrainBytes is read of the body of a refusal.
	maxDrainBytes = 4 << 10
)

// client sends GET requests to one service.
type client struct {
	base string
	http *http.Client
}

// newClient checks the base URL, whose host must be an IP number since the
// system resolves no names. A nil httpClient gets a transport of its own.
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

// withoutRedirects returns a copy that follows no redirect. The protocol has
// none, and following one would let a wrong answer choose another host.
func withoutRedirects(given *http.Client) *http.Client {
	own := http.Client{}
	if given != nil {
		own = *given
	} else {
		own.Transport = newTransport()
	}
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &own
}

// newTransport returns a transport that ignores proxy settings of the
// environment and asks for no compression, so that bodies come as stored.
func newTransport() *http.Transport {
	dialer := net.Dialer{Timeout: DefaultTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: DefaultTimeout,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close closes the connections that are not in use.
func (c *client) Close() { c.http.CloseIdleConnections() }

// call is one GET request.
type call struct {
	path string
	// conditional is true if "304 Not Modified" is an answer to it.
	conditional bool
	// etag is sent as If-None-Match; "" for none.
	etag string
}

// get sends one request. The caller closes the body of the response, whose
// status is 200, or 304 for a conditional call.
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
	// Reading a short answer to its end keeps the connection; it does not
	// matter whether that works.
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
	return nil, statusFailure(response, call.path)
}

// statusFailure classifies an answer that carries nothing of use.
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
		return failure.WithRetryAfter(err, parsePause(header, time.Now()))
	}
	return err
}

// parsePause reads a Retry-After header: whole seconds or an HTTP date.
func parsePause(header string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseUint(header, 10, 32); err == nil {
		return min(time.Duration(seconds)*time.Second, maxPause)
	}
	if date, err := http.ParseTime(header); err == nil {
		return min(max(date.Sub(now), 0), maxPause)
	}
	return defaultPause
}

// transferFailure classifies the end of a call without a whole answer. The
// reason why ctx ended goes first, since the error of the connection then
// only follows from it.
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

// readBody reads a whole body of at most limit bytes. failure.Corrupt if it
// is longer, failure.Unavailable if the connection ends within it.
func readBody(ctx context.Context, response *http.Response, limit int64, path string) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, transferFailure(ctx, err, path)
	}
	if int64(len(body)) > limit {
		return nil, failure.Corrupt.New("%s answered more than %d bytes", path, limit)
	}
	return body, nil
}
