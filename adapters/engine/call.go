package engine

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/engine/attempt"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/serving"
)

// PathGenerate is the only Call.Path that an engine accepts besides "". Other paths
// are not forwarded, so that no caller can reach the engine's orders.
const PathGenerate = "generate"

// Do implements serving.Backend. Each piece is one line of the response with its
// line ending. The outcome of a failure is failure.NotRun if the engine was not
// reached or reports that it did not run the call, and failure.Unknown otherwise. A
// response to another request, from two versions or with a gap is aborted as
// failure.Corrupt; its last line is never emitted.
func (c *Client) Do(ctx context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error) {
	if call.Path != "" && call.Path != PathGenerate {
		refused := failure.Invalid.New("a model engine has no path %q", call.Path)
		return serving.Response{}, failure.WithOutcome(refused, failure.NotRun)
	}
	header := attempt.CallHeader(call)
	header.Set("Content-Type", "application/json")
	a, err := c.attempt.Send(ctx, attempt.Request{
		Method:           http.MethodPost,
		Path:             "/v1/" + PathGenerate,
		Header:           header,
		Body:             call.Body,
		FirstByteTimeout: c.options.FirstLineTimeout,
		StallTimeout:     c.options.StallTimeout,
	})
	if err != nil {
		return serving.Response{}, err
	}
	defer a.Close()
	response := serving.Response{ID: a.ID(), Status: a.Status}
	if a.Status != http.StatusOK {
		return response, a.StatusError(attempt.Kind(a.Status))
	}
	lines := newResponseReader(a, call.ID)
	err = c.relay(lines, emit)
	if lines.started {
		response.ID = call.ID
		response.Version = lines.version
	}
	return response, err
}

// relay emits the lines up to and including the last one.
func (c *Client) relay(lines *responseReader, emit func(serving.Piece) error) error {
	for {
		started := lines.started
		raw, err := lines.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return withUnknownOutcome(err)
		}
		if !started && c.options.CheckVersion != nil {
			if err := c.options.CheckVersion(lines.version); err != nil {
				return withUnknownOutcome(err)
			}
		}
		if err := emit(serving.Piece{Data: raw}); err != nil {
			return withUnknownOutcome(attempt.Canceled.Wrap(err, "the receiver of the answer failed"))
		}
	}
}

// withUnknownOutcome returns err with the outcome Unknown, whatever outcome it had:
// the engine ran the call.
func withUnknownOutcome(err error) error {
	typed := errorx.Cast(err)
	if typed == nil {
		typed = failure.Internal.Wrap(err, "check of the answer's version")
	}
	return failure.WithOutcome(typed, failure.Unknown)
}
