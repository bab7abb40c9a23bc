// Package callerclient is a caller's side of docs/CALLERS.md: it asks for
// addresses, keeps the answer for its time to live, and sends requests.
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
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Options of a Client.
type Options struct {
	// Seeds are entry addresses to ask first; at least one.
	Seeds []netip.AddrPort
	// Near is where the caller is; may be empty.
	Near fleet.Place
	// Timeout bounds an address question; default 2 s.
	Timeout time.Duration
}

// Client is a caller. It may be used by many goroutines.
type Client struct {
	opts Options
	http *http.Client

	mu      sync.Mutex
	known   []netip.AddrPort
	expires time.Time
}

// New returns a client that has asked nothing yet.
func New(opts Options) *Client {
	const defaultTimeout = 2 * time.Second
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}
	return &Client{opts: opts, http: &http.Client{Transport: transport}}
}

// Request is one request of a caller. Zero fields are not sent.
type Request struct {
	Service        fleet.ServiceName
	Path           string // below the service, unescaped
	Workspace      fleet.Workspace
	IdempotencyKey string
	NonIdempotent  bool
	// FirstAsk says that the key was not asked with before.
	FirstAsk    bool
	Priority    string // such as "u=1"
	Prefix      string
	Traceparent string
	Deadline    time.Duration
	Body        []byte
}

// Answer is a whole answer.
type Answer struct {
	Status  int
	Version string // "name@digest"; empty from a plain service
	Body    []byte
	Entry   netip.AddrPort // the entry that gave it
	// FirstByte is the time from sending to the first byte of the body.
	FirstByte time.Duration
}

// Addresses returns the entry addresses to use, best first.
func (c *Client) Addresses(ctx context.Context) ([]netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.known, nil
	}
	candidates := append(append([]netip.AddrPort(nil), c.known...), c.opts.Seeds...)
	var last error
	for _, addr := range candidates {
		answer, err := c.ask(ctx, addr)
		if err == nil && len(answer.Addresses) > 0 {
			c.known = answer.Addresses
			c.expires = time.Now().Add(time.Duration(answer.TTLSeconds) * time.Second)
			return c.known, nil
		}
		last = err
	}
	return nil, failure.WithOutcome(failure.Unavailable.Wrap(last, "no entry answers"), failure.NotRun)
}

// forget drops the address answer after a connection has failed.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *Client) ask(ctx context.Context, addr netip.AddrPort) (callerhttp.AddressResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	query := url.Values{"zone": {string(c.opts.Near.Zone)}, "region": {string(c.opts.Near.Region)}}
	var answer callerhttp.AddressResponse
	err := c.getJSON(ctx, http.MethodGet, "http://"+addr.String()+"/v1/addresses?"+query.Encode(), &answer)
	return answer, err
}

// IssueKey asks an entry for an idempotency key.
func (c *Client) IssueKey(ctx context.Context, service fleet.ServiceName) (string, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return "", err
	}
	var answer callerhttp.KeyResponse
	path := "/v1/keys/" + url.PathEscape(string(service))
	for _, addr := range addresses {
		if err = c.getJSON(ctx, http.MethodPost, "http://"+addr.String()+path, &answer); err == nil {
			return answer.Key, nil
		}
	}
	return "", err
}

func (c *Client) getJSON(ctx context.Context, method, target string, into any) error {
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
		return refusalOf(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return failure.Corrupt.Wrap(err, "answer of %s", target)
	}
	return nil
}

// Do sends one request through the best entry that can be connected to. It
// goes to the next one only if nothing was sent. failure.OutcomeOf the error
// says whether the request ran.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return Answer{}, err
	}
	for _, addr := range addresses {
		var answer Answer
		answer, err = c.DoAt(ctx, addr, r)
		if err == nil || !errorx.IsOfType(err, NotConnected) {
			return answer, err
		}
		c.forget()
	}
	return Answer{}, err
}

// DoAt sends one request through a given entry.
func (c *Client) DoAt(ctx context.Context, entry netip.AddrPort, r Request) (Answer, error) {
	req, err := newHTTPRequest(ctx, entry, r)
	if err != nil {
		return Answer{}, err
	}
	started := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, sendFailure(err)
	}
	defer func() { _ = resp.Body.Close() }()
	outcome := resp.Header.Get(callerhttp.HeaderOutcome)
	if outcome != "" && !callerhttp.Bodyless(resp.StatusCode) {
		return Answer{}, refusalOf(resp)
	}
	answer := Answer{Status: resp.StatusCode, Version: resp.Header.Get(callerhttp.HeaderVersion), Entry: entry}
	answer.FirstByte = time.Since(started)
	answer.Body, err = io.ReadAll(resp.Body)
	if outcome == "" {
		outcome = resp.Trailer.Get(callerhttp.HeaderOutcome)
	}
	if err != nil || outcome != failure.Ran.String() {
		return answer, failure.WithOutcome(calls.Interrupted.New("the answer was cut after %d bytes", len(answer.Body)), failure.Unknown)
	}
	return answer, nil
}

func newHTTPRequest(ctx context.Context, entry netip.AddrPort, r Request) (*http.Request, error) {
	target := "http://" + entry.String() + "/v1/services/" + url.PathEscape(string(r.Service))
	if r.Path != "" {
		target += "/" + (&url.URL{Path: r.Path}).EscapedPath()
	}
	// The reader hides the body's type: net/http would send a request with a
	// key again by itself on a connection that broke, unseen by the caller.
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
	if r.FirstAsk {
		set(callerhttp.HeaderFirstAttempt, "?1")
	}
	if r.Deadline > 0 {
		set(callerhttp.HeaderDeadline, r.Deadline.String())
	}
	return req, nil
}
