package gateway

import (
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/delivery"
)

// reply is the answer that a caller gets. Nothing else writes to the caller.
type reply struct {
	caller   Caller
	progress *delivery.Progress
	log      *requestLog
	id       string
}

func newReply(g *Gateway, call *Call, caller Caller) *reply {
	return &reply{caller: caller, progress: delivery.New(call.LastEvent), log: g.log, id: call.ID}
}

// passAll has the caller get the events too that it says it has.
func (r *reply) passAll() { r.progress = delivery.New(delivery.NoEvent) }

// accept starts a server's run, and fails if its answer cannot follow what the caller
// has.
func (r *reply) accept(answer Answer) (*delivery.Attempt, error) {
	run, err := r.progress.Accept(headOf(answer))
	return run, r.checked(err)
}

func headOf(answer Answer) delivery.Head {
	return delivery.Head{Status: answer.Status(), IsStream: answer.Streams(), Version: uint64(answer.Version())}
}

// event passes an event on, with the head before the first one, unless the caller has
// it. It fails with delivery.OutOfOrder if it does not follow, else if the caller has
// left; the answer is cut then.
func (r *reply) event(answer Answer, run *delivery.Attempt, event eventstream.Event) (passed bool, err error) {
	if isComment(event) {
		return r.comment(event)
	}
	isFirst := !r.progress.HasStarted()
	passed, err = r.progress.Event(run, event.ID)
	if err != nil || !passed {
		return false, r.checked(err)
	}
	if isFirst {
		err = r.caller.Begin(answer)
	}
	if err == nil {
		err = r.caller.Write(event.Raw)
	}
	return r.written(err)
}

// isComment reports whether an event has no place in the order of events.
func isComment(event eventstream.Event) bool { return event.ID < 0 && !event.HasData() }

// comment passes a comment on, if the answer has started.
func (r *reply) comment(event eventstream.Event) (passed bool, err error) {
	if r.progress.Stage() != delivery.Partial {
		return false, nil
	}
	return r.written(r.caller.Write(event.Raw))
}

// written follows a write to the caller: an answer that was not written is cut.
func (r *reply) written(err error) (passed bool, _ error) {
	if err != nil {
		r.cut()
	}
	return err == nil, err
}

// complete ends a stream after its last event.
func (r *reply) complete(answer Answer, run *delivery.Attempt) error {
	isFirst := !r.progress.HasStarted()
	if err := r.checked(r.progress.Finish(run)); err != nil {
		return err
	}
	if isFirst {
		if err := r.caller.Begin(answer); err != nil {
			return err
		}
	}
	return r.caller.Complete()
}

// whole sends an answer whose body is known.
func (r *reply) whole(answer Answer, body []byte) error {
	if err := r.checked(r.progress.FinishUnstreamed()); err != nil {
		return err
	}
	return r.caller.Whole(answer, body)
}

// refuse sends an answer of our own.
func (r *reply) refuse(v Verdict) {
	if r.checked(r.progress.FinishUnstreamed()) == nil {
		r.caller.Refuse(v)
	}
}

// cut leaves the answer without a regular end.
func (r *reply) cut() { r.progress.Abort() }

// isCut reports whether nothing more can be passed on.
func (r *reply) isCut() bool { return r.progress.Stage() == delivery.Aborted }

// checked reports a step that the stage of the answer does not allow. The answer is cut.
func (r *reply) checked(err error) error {
	if err != nil && errorx.IsOfType(err, delivery.IllegalTransition) {
		r.log.illegalStep(r.id, err)
		r.cut()
	}
	return err
}

func (l *requestLog) illegalStep(request string, err error) {
	l.metrics.Counter("illegal_deliveries").Inc(1)
	l.logger.Error("illegal_delivery", zap.String("request", request), zap.Error(err))
}
