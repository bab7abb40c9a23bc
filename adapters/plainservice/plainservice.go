// Package plainservice is the client of a plain service; docs/PLATFORM-ENGINE.md
// describes the protocol.
package plainservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"chivespindle.example/adapters/engine/attempt"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/serving"
)

// Defaults for Options.
const (
	DefaultStatusTimeout    = 5 * time.Second
	DefaultFirstByteTimeout = 30 * time.Second
	DefaultStallTimeout     = 5 * time.Second
)

const (
	callPath   = "/v1/call/"
	statusPath = "/v1/status"
	// pieceBytes is the maximum size of a piece.
	pieceBytes = 32 << 10
	// maxStatusBytes limits a status.
	maxStatusBytes = 64 << 10
)

// Options configures a Client. A zero duration selects the default.
type Options struct {
	Addr             netip.AddrPort // the service's HTTP address
	StatusTimeout    time.Duration  // longest wait for a status
	FirstByteTimeout time.Duration  // longest wait for the first byte of a response
	StallTimeout     time.Duration  // longest time without a byte after that
}

// Client communicates with one plain service. It is safe for concurrent use.
type Client struct {
	options Options
	attempt *attempt.Client
}

var _ serving.Backend = (*Client)(nil)

// New returns a client. It connects on first use.
func New(options Options) *Client {
	setDefault(&options.StatusTimeout, DefaultStatusTimeout)
	setDefault(&options.FirstByteTimeout, DefaultFirstByteTimeout)
	setDefault(&options.StallTimeout, DefaultStallTimeout)
	return &Client{options: options, attempt: attempt.New(options.Addr)}
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// Status returns the load that the service reports; Waiting and KVUsed are zero.
func (c *Client) Status(ctx context.Context) (serving.Load, error) {
	a, err := c.attempt.Send(ctx, attempt.Request{
		Method:           http.MethodGet,
		Path:             statusPath,
		FirstByteTimeout: c.options.StatusTimeout,
		StallTimeout:     c.options.StallTimeout,
	})
	if err != nil {
		return serving.Load{}, err
	}
	defer a.Close()
	if a.Status != http.StatusOK {
		return serving.Load{}, a.StatusError(attempt.Kind(a.Status))
	}
	raw, err := a.ReadAll(maxStatusBytes)
	if err != nil {
		return serving.Load{}, err
	}
	var load serving.Load
	if err := json.Unmarshal(raw, &load); err != nil {
		return serving.Load{}, failure.Corrupt.Wrap(err, "decode the service's status")
	}
	return load, nil
}

// Do implements serving.Backend. A piece is whatever one read returns. A response
// with any status is a response of the service, since the service ran the call,
// unless it says that it did not: then Do fails according to the status, with
// failure.NotRun. A response that names another request is failure.Corrupt, and no
// piece of it is emitted. Other failures are those of attempt.Client.Send.
func (c *Client) Do(ctx context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error) {
	path, err := pathOf(call)
	if err != nil {
		return serving.Response{}, err
	}
	a, err := c.attempt.Send(ctx, attempt.Request{
		Method:           http.MethodPost,
		Path:             path,
		Header:           attempt.CallHeader(call),
		Body:             call.Body,
		FirstByteTimeout: c.options.FirstByteTimeout,
		StallTimeout:     c.options.StallTimeout,
	})
	if err != nil {
		return serving.Response{}, err
	}
	defer a.Close()
	response := serving.Response{ID: a.ID(), Status: a.Status}
	if a.NotRun() {
		return response, a.StatusError(attempt.Kind(a.Status))
	}
	if response.ID != call.ID {
		mixed := failure.Corrupt.New("the answer names request %q, want %q", response.ID, call.ID)
		return response, failure.WithOutcome(mixed, failure.Unknown)
	}
	return response, relay(a, emit)
}

// pathOf returns the path of a call at the service. Segments that a server would
// resolve are rejected: "../status" must not escape from the path of calls.
func pathOf(call serving.Call) (string, error) {
	segments := strings.Split(call.Path, "/")
	if call.Path != "" && (slices.Contains(segments, "") || slices.Contains(segments, ".") || slices.Contains(segments, "..")) {
		refused := failure.Invalid.New("path %q has an empty or relative segment", call.Path)
		return "", failure.WithOutcome(refused, failure.NotRun)
	}
	return callPath + call.Path, nil
}

func relay(a *attempt.Attempt, emit func(serving.Piece) error) error {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := a.Read(buffer)
		if n > 0 {
			if err := emit(serving.Piece{Status: a.Status, Data: bytes.Clone(buffer[:n])}); err != nil {
				failed := attempt.Canceled.Wrap(err, "the receiver of the answer failed")
				return failure.WithOutcome(failed, failure.Unknown)
			}
		}
		if errors.Is(err, io.EOF) {
			return checkEnd(a)
		}
		if err != nil {
			return err
		}
	}
}

// checkEnd checks, at the end of the body, that the end was marked.
func checkEnd(a *attempt.Attempt) error {
	if a.EndIsFramed() {
		return nil
	}
	unmarked := failure.Unavailable.New("the answer ended with its connection, without a length or chunks")
	return failure.WithOutcome(unmarked, failure.Unknown)
}
