package callerhttp

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"chivespindle.example/adapters/boundedhttp"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
)

// overloadRetryAfter is the retry delay while requests take all places.
const overloadRetryAfter = time.Second

// receiveBody reads the body of a request, and records that the request has been received.
func (s *Server) receiveBody(w http.ResponseWriter, r *http.Request, req calls.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opts.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, badRequest("body is larger than %d bytes", s.opts.MaxBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, badRequest("body was not received within %s", s.opts.BodyTimeout)
	case err != nil:
		return nil, badRequest("body could not be read: %v", err)
	case !boundedhttp.Accept(r):
		return nil, overloaded(req, "too many requests run on this entry")
	}
	return body, nil
}

func overloaded(req calls.Request, reason string) error {
	outcome := failure.NotRun
	if !req.MayBeNotRun() {
		outcome = failure.Unknown
	}
	return failure.WithRetryAfter(failure.WithOutcome(calls.Overloaded.New("%s", reason), outcome), overloadRetryAfter)
}
