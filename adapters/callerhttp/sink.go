package callerhttp

import (
	"net/http"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// OutOfOrder means that a dispatcher called the methods of a sink in the wrong
// order.
var OutOfOrder = failure.Internal.NewSubtype("answer_out_of_order")

// maxStatus is the largest status that net/http accepts.
const maxStatus = 999

// stage is what the caller has received so far.
type stage int

const (
	notStarted stage = iota
	started          // a status and possibly pieces
	complete
	refused
	aborted
)

// String returns the name of the stage for logs.
func (s stage) String() string {
	return [...]string{"nothing", "begun", "complete", "refused", "cut"}[s]
}

// sink is the only writer of the response to a request. A response is complete once
// finish has marked it: in the trailer, or in the header if its status has no body.
// After a call that fails or is out of order the response cannot be completed,
// whatever calls follow: an error response is sent if the caller has received
// nothing, otherwise the response is aborted.
type sink struct {
	w      http.ResponseWriter
	stage  stage
	status int
	err    error // error of the first call that failed
}

// Begin implements calls.Sink.
func (k *sink) Begin(b calls.ResponseHeader) error {
	if err := k.checkStage(notStarted, "begins"); err != nil {
		return err
	}
	if b.Status < http.StatusOK || b.Status > maxStatus {
		return k.fail(failure.Corrupt.New("the answer has status %d", b.Status))
	}
	k.stage, k.status = started, b.Status
	h := k.w.Header()
	if !b.Version.IsZero() {
		h.Set(HeaderVersion, versionText(b.Version))
		h.Set("Content-Type", "application/x-ndjson")
	}
	if !Bodyless(b.Status) {
		h.Set("Trailer", HeaderOutcome)
		k.w.WriteHeader(b.Status)
	}
	return nil
}

// Piece implements calls.Sink.
func (k *sink) Piece(p []byte) error {
	if err := k.checkStage(started, "goes on"); err != nil {
		return err
	}
	if len(p) == 0 {
		return nil
	}
	if Bodyless(k.status) {
		return k.fail(failure.Corrupt.New("the answer has status %d and a body", k.status))
	}
	if _, err := k.w.Write(p); err != nil {
		return k.fail(calls.Interrupted.Wrap(err, "caller disconnected"))
	}
	if err := http.NewResponseController(k.w).Flush(); err != nil {
		return k.fail(calls.Interrupted.Wrap(err, "caller disconnected"))
	}
	return nil
}

// finish marks the response as complete.
func (k *sink) finish() error {
	if err := k.checkStage(started, "ends"); err != nil {
		return err
	}
	k.stage = complete
	k.w.Header().Set(HeaderOutcome, failure.Ran.String())
	if Bodyless(k.status) {
		k.w.WriteHeader(k.status)
	}
	return nil
}

// abort ends an incomplete response: it is replaced by an error response if the
// caller has received nothing, and aborted otherwise.
func (k *sink) abort() {
	if k.stage == notStarted {
		k.stage = refused
		return
	}
	k.stage = aborted
}

func (k *sink) checkStage(want stage, action string) error {
	if k.err != nil {
		return k.err
	}
	if k.stage != want {
		return k.fail(OutOfOrder.New("the answer %s when the caller has: %s", action, k.stage))
	}
	return nil
}

func (k *sink) fail(err *errorx.Error) error {
	k.err = failure.WithOutcome(err, failure.Unknown)
	return k.err
}

// Bodyless reports whether responses with the status have no body and therefore no
// trailer; their outcome is sent in the header.
func Bodyless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

func versionText(v fleet.Version) string {
	return v.Name + "@" + v.Manifest.String()
}
