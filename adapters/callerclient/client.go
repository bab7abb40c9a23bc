// Package callerclient implements a caller according to docs/CALLERS.md: it
// requests the addresses of entries, caches them for their time to live, and sends
// requests.
package callerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

const (
	// maxBodyBytes bounds the body of a response, which is returned whole.
	maxBodyBytes = 32 << 20
	// maxJSONBytes bounds what an entry itself answers; 4,000 addresses have 0.1 MB.
	maxJSONBytes = 1 << 20
)

// Options configures a Client.
type Options struct {
	// Seeds are the entry addresses to try first; at least one.
	Seeds []netip.AddrPort
	// Place is the location of the caller; may be empty.
	Place fleet.Place
	// Timeout limits a request for addresses; default 2 s.
	Timeout time.Duration
}

// Client is a caller. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client

	mu        sync.Mutex
	addresses []netip.AddrPort
	expires   time.Time
}

// New returns a client that has not sent any request yet.
func New(opts Options) *Client {
	const defaultTimeout = 2 * time.Second
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	transport := exchange.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second})
	return &Client{opts: opts, http: &http.Client{Transport: transport}}
}

// Request is one request of a caller. Zero fields are not sent.
type Request struct {
	Service        fleet.ServiceName
	Path           string // below the service, unescaped
	Workspace      fleet.Workspace
	IdempotencyKey string
	NonIdempotent  bool
	// FirstAttempt indicates that no request with the key was sent before.
	FirstAttempt bool
	Priority     string // such as "u=1"
	Prefix       string
	Traceparent  string
	Deadline     time.Duration
	Body         []byte
}

// Response is a complete response.
type Response struct {
	Status  int
	Version string // "name@digest"; empty from a plain service
	Body    []byte
	Entry   netip.AddrPort // entry that sent the response
	// TimeToHeader is the time from sending the request to the response header.
	TimeToHeader time.Duration
}

// Addresses returns the entry addresses to use, best first.
func (c *Client) Addresses(ctx context.Context) ([]netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.addresses, nil
	}
	candidates := append(append([]netip.AddrPort(nil), c.addresses...), c.opts.Seeds...)
	var lastErr error
	for _, addr := range candidates {
		response, err := c.fetchAddresses(ctx, addr)
		if err == nil && len(response.Addresses) > 0 {
			c.addresses = response.Addresses
			c.expires = time.Now().Add(time.Duration(response.TTLSeconds) * time.Second)
			return c.addresses, nil
		}
		lastErr = err
	}
	return nil, failure.WithOutcome(failure.Unavailable.Wrap(lastErr, "no entry answers"), failure.NotRun)
}

// expireAddresses discards the cached addresses after a connection has failed.
func (c *Client) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *Client) fetchAddresses(ctx context.Context, addr netip.AddrPort) (callerhttp.AddressResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	query := url.Values{"zone": {string(c.opts.Place.Zone)}, "region": {string(c.opts.Place.Region)}}
	var response callerhttp.AddressResponse
	err := c.doJSON(ctx, http.MethodGet, "http://"+addr.String()+"/v1/addresses?"+query.Encode(), &response)
	return response, err
}

// IssueKey requests an idempotency key from an entry.
func (c *Client) IssueKey(ctx context.Context, service fleet.ServiceName) (string, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return "", err
	}
	var response callerhttp.KeyResponse
	path := "/v1/keys/" + url.PathEscape(string(service))
	for _, addr := range addresses {
		if err = c.doJSON(ctx, http.MethodPost, "http://"+addr.String()+path, &response); err == nil {
			return response.Key, nil
		}
	}
	return "", err
}

func (c *Client) doJSON(ctx context.Context, method, target string, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return failure.Invalid.Wrap(err, "request to %s", target)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return failure.Unavailable.Wrap(err, "ask %s", target)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return decodeError(resp)
	}
	if err := decodeJSON(resp.Body, into); err != nil {
		return failure.Corrupt.Wrap(err, "answer of %s", target)
	}
	return nil
}

func decodeJSON(body io.Reader, into any) error {
	return json.NewDecoder(exchange.NewBoundedReader(body, maxJSONBytes, "the body")).Decode(into)
}

// Do sends a request to the best entry that accepts a connection. It tries the next
// entry only if nothing was sent. failure.OutcomeOf the error tells whether the
// request ran.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return Response{}, err
	}
	for _, addr := range addresses {
		var response Response
		response, err = c.DoAt(ctx, addr, r)
		if err == nil || !errorx.IsOfType(err, NotConnected) {
			return response, err
		}
		c.expireAddresses()
	}
	return Response{}, err
}

// DoAt sends a request to the given entry.
func (c *Client) DoAt(ctx context.Context, entry netip.AddrPort, r Request) (Response, error) {
	req, err := newHTTPRequest(ctx, entry, r)
	if err != nil {
		return Response{}, err
	}
	startTime := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, sendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	outcome := resp.Header.Get(callerhttp.HeaderOutcome)
	if outcome != "" && !callerhttp.Bodyless(resp.StatusCode) {
		return Response{}, decodeError(resp)
	}
	response := Response{Status: resp.StatusCode, Version: resp.Header.Get(callerhttp.HeaderVersion), Entry: entry}
	response.TimeToHeader = time.Since(startTime)
	response.Body, err = exchange.ReadAll(resp.Body, maxBodyBytes, "the body")
	if errorx.IsOfType(err, exchange.TooLong) {
		return response, failure.WithOutcome(exchange.TooLong.Wrap(err, "answer of %s", entry), failure.Unknown)
	}
	if outcome == "" {
		outcome = resp.Trailer.Get(callerhttp.HeaderOutcome)
	}
	if err != nil || outcome != failure.Ran.String() {
		return response, failure.WithOutcome(calls.Interrupted.New("the answer was cut after %d bytes", len(response.Body)), failure.Unknown)
	}
	return response, nil
}

func newHTTPRequest(ctx context.Context, entry netip.AddrPort, r Request) (*http.Request, error) {
	target := "http://" + entry.String() + "/v1/services/" + url.PathEscape(string(r.Service))
	if r.Path != "" {
		target += "/" + (&url.URL{Path: r.Path}).EscapedPath()
	}
	// NopCloser hides the type of the body: net/http would otherwise resend a
	// request that has a key by itself when a reused connection breaks, unnoticed
	// by the caller.
	body := io.NopCloser(bytes.NewReader(r.Body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, body)
	if err != nil {
		return nil, failure.WithOutcome(failure.Invalid.Wrap(err, "request to %s", target), failure.NotRun)
	}
	req.ContentLength = int64(len(r.Body))
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set(callerhttp.HeaderWorkspace, string(r.Workspace))
	set(callerhttp.HeaderKey, r.IdempotencyKey)
	set(callerhttp.HeaderPriority, r.Priority)
	set(callerhttp.HeaderPrefix, r.Prefix)
	set("Traceparent", r.Traceparent)
	if r.NonIdempotent {
		set(callerhttp.HeaderNonIdempotent, "?1")
	}
	if r.FirstAttempt {
		set(callerhttp.HeaderFirstAttempt, "?1")
	}
	if r.Deadline > 0 {
		set(callerhttp.HeaderDeadline, r.Deadline.String())
	}
	return req, nil
}
