package callerhttp

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/boundedhttp"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/memlimit"
)

const (
	// firstBodyBytes is the first size of the buffer of a body, which doubles while bytes
	// arrive: a client may send less than it states.
	firstBodyBytes = 8 << 10
	// overloadRetryAfter is the retry delay while requests or their bodies use all places or
	// all memory. A body is evicted after memlimit.ReceiptTime.
	overloadRetryAfter = time.Second
)

// receiveBody reads the body of a request, and records that the request has been received.
func (s *Server) receiveBody(w http.ResponseWriter, r *http.Request, req calls.Request, hold *memlimit.Hold) ([]byte, error) {
	body, err := s.readBody(w, r, hold)
	var tooLarge *http.MaxBytesError
	switch {
	case errorx.IsOfType(err, memlimit.Exceeded):
		return nil, overloaded(req, "the bodies of other requests use all memory")
	case errors.As(err, &tooLarge):
		return nil, badRequest("body is larger than %d bytes", s.opts.MaxBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, badRequest("body was not received within %s", s.opts.BodyTimeout)
	case err != nil:
		return nil, badRequest("body could not be read: %v", err)
	case s.isStopping.Load():
		w.Header().Set("Connection", "close")
		return nil, overloaded(req, "this entry is stopping")
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

// readBody reads the body of a request. Its buffer is counted in hold before it is allocated. It
// returns memlimit.Exceeded if the hold may not grow or was evicted for others.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, hold *memlimit.Hold) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	in := http.MaxBytesReader(w, r.Body, s.opts.MaxBody)
	if r.ContentLength > s.opts.MaxBody {
		return nil, &http.MaxBytesError{Limit: s.opts.MaxBody}
	}
	interrupt := func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // fails only on a closed connection
	}
	if !hold.BeginReceipt(time.Now(), r.ContentLength, interrupt) {
		return nil, memlimit.Exceeded.New("a body of %d bytes", r.ContentLength)
	}
	body, err := readHeld(in, r.ContentLength, hold)
	if !hold.EndReceipt() {
		// The interrupt may have come after the end of the body. net/http would take it for
		// the end of the connection while the next request is on its way.
		w.Header().Set("Connection", "close")
		return nil, memlimit.Exceeded.New("a body of %d bytes", r.ContentLength)
	}
	return body, err
}

// readHeld reads to the end. size is the number of bytes, negative if unknown.
func readHeld(in io.Reader, size int64, hold *memlimit.Hold) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := max(firstBodyBytes, 2*int64(cap(body)))
			if size >= 0 {
				grown = min(grown, size+1) // one more for the read that returns io.EOF
			}
			if !hold.Grow(time.Now(), grown-int64(cap(body))) {
				return nil, memlimit.Exceeded.New("a body of %d bytes, of which %d have arrived", size, len(body))
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
