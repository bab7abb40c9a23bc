package callerhttp

import (
	"net/http"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// OutOfOrder means that a dispatcher took a step of an answer that is not the next one.
var OutOfOrder = failure.Internal.NewSubtype("answer_out_of_order")

// maxStatus is the largest status that net/http writes.
const maxStatus = 999

// stage is what the caller has got.
type stage int

const (
	nothing stage = iota
	begun         // a status and maybe pieces
	complete
	refused
	cut
)

// String returns the stage as logs show it.
func (s stage) String() string {
	return [...]string{"nothing", "begun", "complete", "refused", "cut"}[s]
}

// sink is the only writer to the caller of a request. An answer is complete once
// finish has marked it: by the trailer, or by the header if its status has no body. A
// step that fails or is out of order ends the answer, whatever steps follow, so that
// it is refused if the caller has nothing and else cut.
type sink struct {
	w      http.ResponseWriter
	stage  stage
	status int
	failed error // of the first step that failed
}

// Begin implements calls.Sink.
func (k *sink) Begin(b calls.ResponseHeader) error {
	if err := k.expect(nothing, "begins"); err != nil {
		return err
	}
	if b.Status < http.StatusOK || b.Status > maxStatus {
		return k.fail(failure.Corrupt.New("the answer has status %d", b.Status))
	}
	k.stage, k.status = begun, b.Status
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
	if err := k.expect(begun, "goes on"); err != nil {
		return err
	}
	if len(p) == 0 {
		return nil
	}
	if Bodyless(k.status) {
		return k.fail(failure.Corrupt.New("the answer has status %d and a body", k.status))
	}
	if _, err := k.w.Write(p); err != nil {
		return k.fail(calls.Interrupted.Wrap(err, "caller is gone"))
	}
	if err := http.NewResponseController(k.w).Flush(); err != nil {
		return k.fail(calls.Interrupted.Wrap(err, "caller is gone"))
	}
	return nil
}

// finish marks the answer as complete.
func (k *sink) finish() error {
	if err := k.expect(begun, "ends"); err != nil {
		return err
	}
	k.stage = complete
	k.w.Header().Set(HeaderOutcome, failure.Ran.String())
	if Bodyless(k.status) {
		k.w.WriteHeader(k.status)
	}
	return nil
}

// giveUp ends an answer that is not complete: it is to be refused if the caller has
// nothing, and else cut.
func (k *sink) giveUp() {
	if k.stage == nothing {
		k.stage = refused
		return
	}
	k.stage = cut
}

func (k *sink) expect(want stage, doing string) error {
	if k.failed != nil {
		return k.failed
	}
	if k.stage != want {
		return k.fail(OutOfOrder.New("the answer %s when the caller has: %s", doing, k.stage))
	}
	return nil
}

func (k *sink) fail(err *errorx.Error) error {
	k.failed = failure.WithOutcome(err, failure.Unknown)
	return k.failed
}

// Bodyless reports whether answers of a status have no body and so no
// trailer; their outcome is a header.
func Bodyless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

func versionText(v fleet.Version) string {
	return v.Name + "@" + v.Manifest.String()
}
