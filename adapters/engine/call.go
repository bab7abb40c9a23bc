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

// PathGenerate is the one Call.Path of an engine besides "". Others are not
// passed on, so that no caller can reach the engine's orders.
const PathGenerate = "generate"

// Do implements serving.Backend. Each piece is one line of the answer with
// its line end. A failure's outcome is failure.NotRun if the engine was not
// reached or says that it did not run the call, else failure.Unknown. An
// answer to another request, from two versions or with a gap is
// failure.Corrupt and cut; its last line is never handed over.
func (c *Client) Do(ctx context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error) {
	if call.Path != "" && call.Path != PathGenerate {
		refused := failure.Invalid.New("a model engine has no path %q", call.Path)
		return serving.Response{}, failure.WithOutcome(refused, failure.NotRun)
	}
	header := attempt.CallHeader(call)
	header.Set("Content-Type", "application/json")
	a, err := c.attempt.Send(ctx, attempt.Request{
		Method: http.MethodPost,
		Path:   "/v1/" + PathGenerate,
		Header: header,
		Body:   call.Body,
		First:  c.options.FirstLineTimeout,
		Stall:  c.options.StallTimeout,
	})
	if err != nil {
		return serving.Response{}, err
	}
	defer a.Close()
	answer := serving.Response{ID: a.ID(), Status: a.Status}
	if a.Status != http.StatusOK {
		return answer, a.Declined(attempt.Kind(a.Status))
	}
	lines := newAnswerReader(a, call.ID)
	err = c.relay(lines, emit)
	if lines.begun {
		answer.ID = call.ID
		answer.Version = lines.version
	}
	return answer, err
}

// relay hands the lines over until the last.
func (c *Client) relay(lines *answerReader, emit func(serving.Piece) error) error {
	for {
		begun := lines.begun
		raw, err := lines.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return unknown(err)
		}
		if !begun && c.options.CheckVersion != nil {
			if err := c.options.CheckVersion(lines.version); err != nil {
				return unknown(err)
			}
		}
		if err := emit(serving.Piece{Data: raw}); err != nil {
			return unknown(attempt.Canceled.Wrap(err, "the receiver of the answer failed"))
		}
	}
}

// unknown returns err with the outcome Unknown, whatever it carried: the
// engine ran the call.
func unknown(err error) error {
	typed := errorx.Cast(err)
	if typed == nil {
		typed = failure.Internal.Wrap(err, "check of the answer's version")
	}
	return failure.WithOutcome(typed, failure.Unknown)
}
