// Package plainservice passes calls to a plain service by the protocol of
// docs/PLATFORM-ENGINE.md.
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

// Defaults of Options.
const (
	DefaultStatusTimeout = 5 * time.Second
	DefaultFirstTimeout  = 30 * time.Second
	DefaultStallTimeout  = 5 * time.Second
)

const (
	callPath   = "/v1/call/"
	statusPath = "/v1/status"
	// pieceBytes is the most that one piece holds.
	pieceBytes = 32 << 10
	// maxStatus bounds a status in bytes.
	maxStatus = 64 << 10
)

// Options configure a Client. A zero duration means its default.
type Options struct {
	Addr          netip.AddrPort // the service's HTTP address
	StatusTimeout time.Duration  // longest wait for a status
	FirstTimeout  time.Duration  // longest wait for the first byte of an answer
	StallTimeout  time.Duration  // longest time without a byte after that
}

// Client speaks to one plain service. Its methods may be called at once.
type Client struct {
	options Options
	attempt *attempt.Client
}

var _ serving.Backend = (*Client)(nil)

// New returns a client; it does not connect before it is used.
func New(options Options) *Client {
	setDefault(&options.StatusTimeout, DefaultStatusTimeout)
	setDefault(&options.FirstTimeout, DefaultFirstTimeout)
	setDefault(&options.StallTimeout, DefaultStallTimeout)
	return &Client{options: options, attempt: attempt.New(options.Addr)}
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// Status returns the service's own report of its work; Waiting and KVUsed are
// zero.
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
	raw, err := a.ReadAll(maxStatus)
	if err != nil {
		return serving.Load{}, err
	}
	var load serving.Load
	if err := json.Unmarshal(raw, &load); err != nil {
		return serving.Load{}, failure.Corrupt.Wrap(err, "decode the service's status")
	}
	return load, nil
}

// Do implements serving.Backend. Pieces are cut as the bytes come. An answer
// of any status is an answer, since the service ran the call, unless it says
// that it did not: that is a failure by its status with failure.NotRun. An
// answer that names another request is failure.Corrupt; no piece of it is
// handed over. Other failures are as for any attempt.
func (c *Client) Do(ctx context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Answer, error) {
	path, err := pathOf(call)
	if err != nil {
		return serving.Answer{}, err
	}
	a, err := c.attempt.Send(ctx, attempt.Request{
		Method:           http.MethodPost,
		Path:             path,
		Header:           attempt.CallHeader(call),
		Body:             call.Body,
		FirstByteTimeout: c.options.FirstTimeout,
		StallTimeout:     c.options.StallTimeout,
	})
	if err != nil {
		return serving.Answer{}, err
	}
	defer a.Close()
	answer := serving.Answer{ID: a.ID(), Status: a.Status}
	if a.NotRun() {
		return answer, a.StatusError(attempt.Kind(a.Status))
	}
	if answer.ID != call.ID {
		mixed := failure.Corrupt.New("the answer names request %q, want %q", answer.ID, call.ID)
		return answer, failure.WithOutcome(mixed, failure.Unknown)
	}
	return answer, relay(a, emit)
}

// pathOf returns the path of a call on the service. Segments that a server
// would resolve are refused: "../status" must not leave the calls.
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

// checkEnd follows the end of the body.
func checkEnd(a *attempt.Attempt) error {
	if a.EndIsFramed() {
		return nil
	}
	unmarked := failure.Unavailable.New("the answer ended with its connection, without a length or chunks")
	return failure.WithOutcome(unmarked, failure.Unknown)
}
