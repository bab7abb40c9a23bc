package gateway

import (
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/delivery"
)

// reply writes the response to a caller and tracks how much of it was sent. Nothing else
// writes to the caller.
type reply struct {
	caller   Caller
	progress *delivery.Progress
	log      *requestLog
	id       string
	// writeBy is when a response that has begun must have been written.
	writeBy time.Time
}

func newReply(g *Gateway, call *Call, caller Caller) *reply {
	return &reply{caller: caller, progress: delivery.New(call.LastEvent), log: g.log, id: call.ID}
}

// ignoreLastEvent drops the last event that the caller says it has, so that all events
// are sent.
func (r *reply) ignoreLastEvent() { r.progress = delivery.New(delivery.NoEvent) }

// accept starts the attempt of a server. It fails if the server's response cannot
// continue what the caller has received.
func (r *reply) accept(response Response) (*delivery.Attempt, error) {
	attempt, err := r.progress.Accept(headerOf(response))
	return attempt, r.checkStep(err)
}

func headerOf(response Response) delivery.Head {
	return delivery.Head{Status: response.Status(), IsStream: response.IsEventStream(), Version: uint64(response.Version())}
}

// event forwards an event unless the caller has it already, with the header before the
// first one. It fails with delivery.OutOfOrder if the event is out of order, and with the
// write error if the caller has disconnected; the response is aborted in that case.
func (r *reply) event(response Response, attempt *delivery.Attempt, event eventstream.Event) (passed bool, err error) {
	if isComment(event) {
		return r.comment(event)
	}
	isFirst := !r.progress.HasStarted()
	passed, err = r.progress.Event(attempt, event.ID)
	if err != nil || !passed {
		return false, r.checkStep(err)
	}
	if isFirst {
		err = r.beginBody(response)
	}
	if err == nil {
		err = r.caller.Write(event.Raw)
	}
	return r.checkWrite(err)
}

// isComment reports whether an event carries neither an id nor data, like an SSE
// comment. Such an event is not part of the sequence.
func isComment(event eventstream.Event) bool { return event.ID < 0 && !event.HasData() }

// comment forwards a comment if the response has started.
func (r *reply) comment(event eventstream.Event) (passed bool, err error) {
	if r.progress.Stage() != delivery.Partial {
		return false, nil
	}
	return r.checkWrite(r.caller.Write(event.Raw))
}

// checkWrite handles the result of a write to the caller. A failed write aborts the response.
func (r *reply) checkWrite(err error) (passed bool, _ error) {
	if err != nil {
		r.abort()
	}
	return err == nil, err
}

// complete ends a stream after its last event.
func (r *reply) complete(response Response, attempt *delivery.Attempt) error {
	isFirst := !r.progress.HasStarted()
	if err := r.checkStep(r.progress.Finish(attempt)); err != nil {
		return err
	}
	if isFirst {
		if err := r.beginBody(response); err != nil {
			return err
		}
	}
	return r.caller.Complete()
}

// whole sends a response with its complete body.
func (r *reply) whole(response Response, body []byte) error {
	if err := r.checkStep(r.progress.FinishUnstreamed()); err != nil {
		return err
	}
	return r.caller.WriteResponse(response, body)
}

// begin sends the header of a response that is no stream. The body follows in parts.
func (r *reply) begin(response Response) error {
	if err := r.checkStep(r.progress.BeginUnstreamed()); err != nil {
		return err
	}
	return r.beginBody(response)
}

// beginBody sends the header of a response whose body follows in parts.
func (r *reply) beginBody(response Response) error {
	r.caller.SetWriteDeadline(r.writeBy)
	return r.caller.Begin(response)
}

// part sends a part of the body of a response that begin started.
func (r *reply) part(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	return r.caller.Write(p)
}

// end ends a response that begin started.
func (r *reply) end() error {
	if err := r.checkStep(r.progress.EndUnstreamed()); err != nil {
		return err
	}
	return r.caller.Complete()
}

// refuse sends an error response of this entry.
func (r *reply) refuse(v ErrorResponse) {
	if r.checkStep(r.progress.FinishUnstreamed()) == nil {
		r.caller.Refuse(v)
	}
}

// abort ends the response so that the caller sees it as truncated.
func (r *reply) abort() { r.progress.Abort() }

// isAborted reports whether the response was aborted, so that nothing more can be sent.
func (r *reply) isAborted() bool { return r.progress.Stage() == delivery.Aborted }

// checkStep logs a step that the stage of the response does not allow and aborts the
// response. It returns err.
func (r *reply) checkStep(err error) error {
	if err != nil && errorx.IsOfType(err, delivery.IllegalTransition) {
		r.log.illegalStep(r.id, err)
		r.abort()
	}
	return err
}

func (l *requestLog) illegalStep(request string, err error) {
	l.metrics.Counter("illegal_deliveries").Inc(1)
	l.logger.Error("illegal_delivery", requestField(request), zap.Error(err))
}
