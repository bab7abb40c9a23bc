// Package opsclient reads the operators' port of a process: its status, and
// how an entry would choose a backend server. It only reads.
//
// A field that this client does not know is passed over, so that it can read a newer
// process while a fleet is replaced; one that an older process does not send
// stays zero.
package opsclient

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
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/status"
)

// maxAnswerBytes bounds what an answer may take of memory. The status of a
// fleet of 4,000 processes has under 2 MB.
const maxAnswerBytes = 32 << 20

// WrongRole means that the address is that of a process of another role.
var WrongRole = failure.Invalid.NewSubtype("wrong_role")

// Client asks processes by address. It may be used by many goroutines.
type Client struct {
	http *http.Client
}

// New returns a client that has asked nothing yet. The context of each call
// bounds its time.
func New() *Client {
	const (
		idlePerHost = 2
		idleTimeout = 30 * time.Second
	)
	return &Client{http: &http.Client{
		// No proxy of the environment: processes are reached by IP number.
		Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Close frees the connections that are kept for further questions.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status returns the status of the process at addr: *status.Entry or
// *status.Agent.
//
// Failures of all methods: failure.Unavailable if the process cannot be
// reached, failure.Timeout at the end of ctx's time, failure.Corrupt if the
// answer is not what such a process sends.
func (c *Client) Status(ctx context.Context, addr netip.AddrPort) (status.ProcessStatus, error) {
	body, err := c.get(ctx, addr, "/status", nil)
	if err != nil {
		return nil, err
	}
	var head struct {
		Role fleet.Role `json:"role"`
	}
	if err := decode(addr, body, &head); err != nil {
		return nil, err
	}
	var answer status.ProcessStatus
	switch head.Role {
	case fleet.RoleEntry:
		answer = &status.Entry{}
	case fleet.RoleAgent:
		answer = &status.Agent{}
	default:
		return nil, failure.Corrupt.New("%s sends the status of a process of role %q", addr, head.Role)
	}
	if err := decode(addr, body, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// Entry returns the status of the entry at addr. It fails with WrongRole if
// an agent answers.
func (c *Client) Entry(ctx context.Context, addr netip.AddrPort) (*status.Entry, error) {
	answer, err := c.Status(ctx, addr)
	if err != nil {
		return nil, err
	}
	entry, isEntry := answer.(*status.Entry)
	if !isEntry {
		return nil, WrongRole.New("%s is %s %s; the fleet's state is known by entries", addr, fleet.RoleAgent, answer.ProcessID())
	}
	return entry, nil
}

// Question is what Explain asks about.
type Question struct {
	Service fleet.ServiceName
	// Prefix is the name of a prompt prefix, as callers give it; may be empty.
	Prefix string
	// Priority is the RFC 9218 urgency, 0 (highest) to 7; negative: none given.
	Priority int
}

// Explain returns how the entry at addr would choose a backend server now. It
// fails with failure.NotFound if the entry has no such service or the process
// answers no such question.
func (c *Client) Explain(ctx context.Context, addr netip.AddrPort, q Question) (*status.Explanation, error) {
	query := url.Values{"service": {string(q.Service)}}
	if q.Prefix != "" {
		query.Set("prefix", q.Prefix)
	}
	if q.Priority >= 0 {
		query.Set("priority", strconv.Itoa(q.Priority))
	}
	body, err := c.get(ctx, addr, "/explain", query)
	if err != nil {
		return nil, err
	}
	explanation := &status.Explanation{}
	if err := decode(addr, body, explanation); err != nil {
		return nil, err
	}
	return explanation, nil
}

// get returns the body of a good answer.
func (c *Client) get(ctx context.Context, addr netip.AddrPort, path string, query url.Values) ([]byte, error) {
	target := url.URL{Scheme: "http", Host: addr.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "cannot ask %s", addr)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, notAnswered(addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, notAnswered(addr, err)
	}
	if len(body) > maxAnswerBytes {
		return nil, failure.Corrupt.New("answer of %s is larger than %d bytes", addr, maxAnswerBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, declined(addr, resp.StatusCode, body)
	}
	return body, nil
}

// notAnswered tells a timeout from a process that cannot be reached.
func notAnswered(addr netip.AddrPort, err error) error {
	var netError net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netError) && netError.Timeout() {
		return failure.Timeout.New("%s did not answer in time", addr)
	}
	var urlError *url.Error
	if errors.As(err, &urlError) {
		err = urlError.Err // the address stands in the message already
	}
	return failure.Unavailable.Wrap(err, "%s cannot be asked", addr)
}

// decline is the body of an answer that is none to the question.
type decline struct {
	Error  string `json:"error"` // type of the failure
	Reason string `json:"reason"`
}

// declinedAs maps the statuses of answers that are none; all others are a
// failure.Refused.
var declinedAs = map[int]*errorx.Type{
	http.StatusBadRequest:         failure.Invalid,
	http.StatusNotFound:           failure.NotFound,
	http.StatusServiceUnavailable: failure.Unavailable,
}

// declined makes an error of the answer with the reason that it gives. The
// body may come from any program that listens there, so it is shown short and
// quoted.
func declined(addr netip.AddrPort, status int, body []byte) error {
	const shown = 200
	kind, known := declinedAs[status]
	if !known {
		kind = failure.Refused
	}
	var d decline
	if err := json.Unmarshal(body, &d); err == nil && d.Reason != "" {
		return kind.New("%s: %s", addr, d.Reason)
	}
	text := strings.TrimSpace(string(body[:min(len(body), shown)]))
	return kind.New("%s answers with status %d: %q", addr, status, text)
}

func decode(addr netip.AddrPort, body []byte, into any) error {
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(into); err != nil {
		return failure.Corrupt.Wrap(err, "answer of %s", addr)
	}
	return nil
}
