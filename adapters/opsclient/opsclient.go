// Package opsclient is a read-only client of the operators' port of a process. It
// reads the status, and how an entry would choose a backend server.
//
// Unknown fields are ignored, so that the client can read newer processes during an
// upgrade of the fleet. Fields that an older process does not send are zero.
package opsclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/status"
)

// maxResponseBytes limits the memory for a response. The status of a fleet of 4,000
// processes is smaller than 2 MB.
const maxResponseBytes = 32 << 20

// WrongRole means that the address belongs to a process of another role.
var WrongRole = failure.Invalid.NewSubtype("wrong_role")

// Client sends requests to processes by address. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client. It connects on first use. The context of each call limits
// its duration.
func New() *Client {
	const (
		idlePerHost = 2
		idleTimeout = 30 * time.Second
	)
	return &Client{http: &http.Client{
		// No proxy settings of the environment: processes are reached by IP
		// address.
		Transport: exchange.NewTransport(&http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout}),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status returns the status of the process at addr: *status.Entry or *status.Agent.
//
// All methods fail with failure.Unavailable if the process cannot be reached, with
// failure.Timeout when ctx expires, and with failure.Corrupt if the response is not
// one of such a process.
func (c *Client) Status(ctx context.Context, addr netip.AddrPort) (status.ProcessStatus, error) {
	body, err := c.get(ctx, addr, "/status", nil)
	if err != nil {
		return nil, err
	}
	var header struct {
		Role fleet.Role `json:"role"`
	}
	if err := decode(addr, body, &header); err != nil {
		return nil, err
	}
	var result status.ProcessStatus
	switch header.Role {
	case fleet.RoleEntry:
		result = &status.Entry{}
	case fleet.RoleAgent:
		result = &status.Agent{}
	default:
		return nil, failure.Corrupt.New("%s sends the status of a process of role %q", addr, header.Role)
	}
	if err := decode(addr, body, result); err != nil {
		return nil, err
	}
	return result, nil
}

// Entry returns the status of the entry at addr. It fails with WrongRole if the
// process is an agent.
func (c *Client) Entry(ctx context.Context, addr netip.AddrPort) (*status.Entry, error) {
	result, err := c.Status(ctx, addr)
	if err != nil {
		return nil, err
	}
	entry, isEntry := result.(*status.Entry)
	if !isEntry {
		return nil, WrongRole.New("%s is %s %s; the fleet's state is known by entries", addr, fleet.RoleAgent, result.ProcessID())
	}
	return entry, nil
}

// ExplainRequest contains the parameters of Explain.
type ExplainRequest struct {
	Service fleet.ServiceName
	// Prefix is the name of a prompt prefix as in a caller's request; may be empty.
	Prefix string
	// Priority is the RFC 9218 urgency, 0 (highest) to 7; negative if none.
	Priority int
}

// Explain returns how the entry at addr would choose a backend server at present.
// It fails with failure.NotFound if the entry does not have the service or the
// process does not explain choices.
func (c *Client) Explain(ctx context.Context, addr netip.AddrPort, q ExplainRequest) (*status.Explanation, error) {
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

// get returns the body of a response with status 200.
func (c *Client) get(ctx context.Context, addr netip.AddrPort, path string, query url.Values) ([]byte, error) {
	target := url.URL{Scheme: "http", Host: addr.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "cannot ask %s", addr)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := exchange.ReadAll(resp.Body, maxResponseBytes, "the body")
	if errorx.IsOfType(err, exchange.TooLong) {
		return nil, failure.Corrupt.New("answer of %s is larger than %d bytes", addr, maxResponseBytes)
	}
	if err != nil {
		return nil, transportError(addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(addr, resp.StatusCode, body)
	}
	return body, nil
}

// transportError distinguishes a timeout from a process that cannot be reached.
func transportError(addr netip.AddrPort, err error) error {
	var netError net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netError) && netError.Timeout() {
		return failure.Timeout.New("%s did not answer in time", addr)
	}
	var urlError *url.Error
	if errors.As(err, &urlError) {
		err = urlError.Err // the message already has the address
	}
	return failure.Unavailable.Wrap(err, "%s cannot be asked", addr)
}

// errorBody is the body of an error response.
type errorBody struct {
	Error  string `json:"error"` // failure type
	Reason string `json:"reason"`
}

// typeByStatus maps error statuses to failure types; all others are
// failure.Refused.
var typeByStatus = map[int]*errorx.Type{
	http.StatusBadRequest:         failure.Invalid,
	http.StatusNotFound:           failure.NotFound,
	http.StatusServiceUnavailable: failure.Unavailable,
}

// statusError returns the error for an error response, with the reason that the
// response gives. The body may come from any program that listens at the address,
// so without a reason only its quoted beginning is included.
func statusError(addr netip.AddrPort, status int, body []byte) error {
	const maxShownBytes = 200
	kind, known := typeByStatus[status]
	if !known {
		kind = failure.Refused
	}
	var response errorBody
	if err := json.Unmarshal(body, &response); err == nil && response.Reason != "" {
		return kind.New("%s: %s", addr, response.Reason)
	}
	text := strings.TrimSpace(string(body[:min(len(body), maxShownBytes)]))
	return kind.New("%s answers with status %d: %q", addr, status, text)
}

func decode(addr netip.AddrPort, body []byte, into any) error {
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(into); err != nil {
		return failure.Corrupt.Wrap(err, "answer of %s", addr)
	}
	return nil
}
