package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/delivery"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/placement"
)

const (
	// heldBytes bounds the body of a plain service's answer that is read whole
	// before it is given on, so that a broken one can be asked for again.
	heldBytes = 512 << 10
	// minimalRest is the least time that another attempt is worth.
	minimalRest = 60 * time.Millisecond
)

// sendFailed follows a Send without an answer.
func (j *job) sendFailed(ctx context.Context, ticket *placement.Ticket, err error) bool {
	now := time.Now()
	notRun := failure.OutcomeOf(err) == failure.NotRun
	j.failed(ctx, now, ticket, err)
	if notRun {
		j.unreached(ctx, now, ticket.Server)
		j.unsent++
		if ctx.Err() == nil && j.unsent < unsentAttempts {
			return true
		}
		return j.ended(ctx, now, "unreachable")
	}
	j.attempts++
	j.mayHaveRun = true
	if j.again(ctx, now) {
		return true
	}
	return j.ended(ctx, now, "no_answer")
}

// failed ends an attempt that brought no whole answer. Its server gets the
// call no more.
func (j *job) failed(ctx context.Context, now time.Time, ticket *placement.Ticket, err error) {
	j.exclude = placement.Exclude(j.exclude, ticket.Server.ID)
	var broken *brokenAttempt
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		ticket.End(now, placement.Abandoned)
		j.leftBehind(now, ticket.Server)
	case j.isOver(ctx, now) && !j.isSilent(now):
		ticket.End(now, placement.Abandoned)
	case j.isOver(ctx, now):
		ticket.End(now, placement.Silent)
	case j.wasToEnd(now), !j.hasStarted() && errorx.IsOfType(err, failure.Timeout) && j.isOutOfTime(now, ticket.Server):
		ticket.End(now, placement.Abandoned)
	case errorx.IsOfType(err, failure.Timeout):
		ticket.End(now, placement.Silent)
	case errorx.IsOfType(err, delivery.OutOfOrder):
		ticket.End(now, placement.Failed)
	default:
		ticket.End(now, placement.Broken)
		broken = j.brokenAt(ctx, ticket.Server, err)
	}
	j.g.log.attempt(j, ticket, err, j.withdrawn(ctx, now, ticket, err), broken)
}

// isOver reports whether the caller has left or its time is up. A read that
// ends at the deadline fails a moment before ctx does.
func (j *job) isOver(ctx context.Context, now time.Time) bool {
	return ctx.Err() != nil || !now.Before(j.deadline)
}

// wasToEnd reports whether the server was to have ended its work by now, before the
// caller's time is up: that it went no further is no failure of its own.
func (j *job) wasToEnd(now time.Time) bool {
	return j.serverUntil.Before(j.deadline) && !now.Before(j.serverUntil)
}

// resultOfFailure is how an attempt ended whose server answered with a failure.
func (j *job) resultOfFailure(now time.Time) placement.Result {
	if j.wasToEnd(now) {
		return placement.Abandoned
	}
	return placement.Failed
}

// isSilent reports whether the server has given nothing for so long that this
// is its failure: a hung server must be found out by requests that may not be
// repeated too, and these wait for it until their time is up.
func (j *job) isSilent(now time.Time) bool {
	allowed := safeSilence * j.route.Aim
	if j.service.Engine != nil {
		allowed = j.predicted + streamSilence
	}
	return now.Sub(j.progressAt) >= allowed
}

// again reports whether the call may be sent once more, now that a server may
// have run it.
func (j *job) again(ctx context.Context, now time.Time) bool {
	return ctx.Err() == nil && !j.g.opts.Off.Repeat && j.mayBeSentAgain() && j.attempts < j.route.MaxAttempts &&
		j.deadline.Sub(now) > minimalRest && j.standing(now).CanRetry()
}

// declined follows a server's word that it did not run the call.
func (j *job) declined(ctx context.Context, server placement.Server) bool {
	j.g.log.declined(j, server)
	j.exclude = placement.Exclude(j.exclude, server.ID)
	j.g.post(func(now time.Time) { j.g.noteDeclined(now, server) })
	now := time.Now()
	if ctx.Err() != nil {
		return j.ended(ctx, now, "declined")
	}
	if j.attempts < j.route.MaxAttempts && j.deadline.Sub(now) > minimalRest {
		return true
	}
	j.giveUp("declined", j.comeBack(now))
	return false
}

func (j *job) comeBack(now time.Time) time.Duration {
	const honoured = 3 // callers wait up to a third of their time
	return max(0, j.deadline.Sub(now)/honoured)
}

// notPlaced follows a refusal of the board.
func (j *job) notPlaced(r placement.Refusal) {
	j.g.log.notPlaced(j, r)
	j.giveUp(string(r.Reason), r.RetryAfter)
}

// giveUp answers for a call that nobody takes.
func (j *job) giveUp(reason string, retryAfter time.Duration) {
	switch {
	case j.hasStarted():
		j.cut(reason)
	case j.held != nil:
		j.giveHeld()
	case j.mayHaveRun:
		// It may be running still, so nothing is promised.
		j.refuse(Verdict{Code: Broken, Reason: reason})
	default:
		j.refuse(Verdict{Code: Unavailable, RetryAfter: retryAfter, Reason: reason})
	}
}

// ended follows the end of the time or of the ways to serve the call.
func (j *job) ended(ctx context.Context, now time.Time, reason string) bool {
	isOver := j.isOver(ctx, now)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		j.callerLeft()
	case isOver && j.mayHaveRun && j.held == nil && !j.hasStarted():
		j.refuse(Verdict{Code: TimedOut, Reason: "timeout"})
	case isOver:
		j.giveUp("timeout", 0)
	default:
		j.giveUp(reason, j.comeBack(now))
	}
	return false
}

func (j *job) refuse(v Verdict) {
	j.g.log.refused(j, v)
	j.reply.refuse(v)
}

// callerLeft ends a call whose caller is there no more.
func (j *job) callerLeft() {
	j.g.log.abandoned(j)
	j.reply.cut()
}

// answered follows an answer of a server that has run the call.
func (j *job) answered(ctx context.Context, ticket *placement.Ticket, answer Answer) bool {
	j.mayHaveRun = true
	run, err := j.reply.accept(answer)
	if err != nil {
		return j.notContinued(ctx, ticket, answer, err)
	}
	j.run, j.endFramed = run, answer.EndIsFramed()
	if headOf(answer).IsEventStream() {
		return j.stream(ctx, ticket, answer)
	}
	return j.whole(ctx, ticket, answer)
}

// notContinued follows an answer that cannot go on with what the caller has.
func (j *job) notContinued(ctx context.Context, ticket *placement.Ticket, answer Answer, err error) bool {
	answer.Close(false)
	now := time.Now()
	ticket.End(now, j.resultOf(answer))
	j.exclude = placement.Exclude(j.exclude, ticket.Server.ID)
	if answer.Status() >= http.StatusInternalServerError {
		j.g.log.serverError(j, ticket, answer.Status())
	} else {
		j.g.log.attempt(j, ticket, err, nil, nil)
	}
	if j.again(ctx, now) {
		return true
	}
	return j.ended(ctx, now, "not_continued")
}

// resultOf is how an attempt ended whose answer cannot be passed on.
func (j *job) resultOf(answer Answer) placement.Result {
	if answer.Status() < http.StatusInternalServerError {
		return placement.Declined
	}
	return j.resultOfFailure(time.Now())
}

// whole gives on the answer of a plain service, once it has come whole.
//
// Callers send a call again after a status that promises that it did not run. A server
// that does not say so may have run it, so such an answer is not given where the call may
// run only once.
func (j *job) whole(ctx context.Context, ticket *placement.Ticket, answer Answer) bool {
	answer.SetDeadline(j.deadline)
	body, err := answer.Body(heldBytes)
	if err == nil {
		err = j.checkClose(ctx, ticket.Server, answer)
	}
	now := time.Now()
	if err != nil {
		answer.Close(false)
		return j.bodyFailed(ctx, ticket, err)
	}
	answer.Close(true)
	if answer.PromisesNotRun() && !j.route.Idempotent() {
		ticket.End(now, j.resultOfFailure(now))
		j.g.log.serverError(j, ticket, answer.Status())
		j.giveUp("unproved_refusal", 0)
		return false
	}
	if answer.Status() < http.StatusInternalServerError {
		ticket.End(now, placement.Succeeded)
		j.clearOfCrashes(now)
		j.give(answer, body)
		return false
	}
	ticket.End(now, j.resultOfFailure(now))
	j.g.log.serverError(j, ticket, answer.Status())
	j.held = &heldAnswer{answer: answer, body: body}
	j.exclude = placement.Exclude(j.exclude, ticket.Server.ID)
	if j.again(ctx, now) {
		return true
	}
	j.giveHeld()
	return false
}

func (j *job) bodyFailed(ctx context.Context, ticket *placement.Ticket, err error) bool {
	now := time.Now()
	j.failed(ctx, now, ticket, err)
	if j.again(ctx, now) {
		return true
	}
	return j.ended(ctx, now, "answer_broken")
}

func (j *job) give(answer Answer, body []byte) {
	if err := j.reply.whole(answer, body); err != nil {
		j.callerLeft()
		return
	}
	j.g.log.served(j, answer.Status())
}

func (j *job) giveHeld() { j.give(j.held.answer, j.held.body) }

// stream gives on the events of an engine's answer.
//
// The header goes out with the first event, so that until then another server
// can take over without the caller noticing. After that it can where the route
// allows: the next server goes on after the last event that was given whole.
func (j *job) stream(ctx context.Context, ticket *placement.Ticket, answer Answer) bool {
	for {
		answer.SetDeadline(j.eventBy(time.Now(), ticket.Server))
		event, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return j.streamEnded(ctx, ticket, answer)
		}
		if err != nil {
			return j.streamBroke(ctx, ticket, answer, err)
		}
		err = j.takeEvent(ticket, answer, j.run, event)
		if errorx.IsOfType(err, delivery.OutOfOrder) {
			return j.streamBroke(ctx, ticket, answer, err)
		}
		if err != nil {
			return j.streamLeft(ticket, answer)
		}
		next := j.handOver(ctx, ticket)
		if j.reply.isCut() {
			return j.streamLeft(ticket, answer)
		}
		if next != nil {
			answer.Close(false)
			ticket.End(time.Now(), placement.Abandoned)
			ticket, answer, j.serverUntil = next.ticket, next.answer, next.until
			j.run, j.endFramed = next.run, answer.EndIsFramed()
		}
	}
}

// streamLeft ends a stream whose caller is there no more.
func (j *job) streamLeft(ticket *placement.Ticket, answer Answer) bool {
	answer.Close(false)
	ticket.End(time.Now(), placement.Abandoned)
	j.leftBehind(time.Now(), ticket.Server)
	j.callerLeft()
	return false
}

// takeEvent passes on an event of a server, unless the caller has it already. It fails
// if the event does not follow or the caller has left.
func (j *job) takeEvent(ticket *placement.Ticket, answer Answer, run *delivery.Attempt, event eventstream.Event) error {
	j.progressAt = time.Now()
	ticket.Wrote(j.tokensOfEvent())
	passed, err := j.reply.event(answer, run, event)
	if err != nil || !passed {
		return err
	}
	if j.firstAt.IsZero() {
		j.firstAt = time.Now()
		j.eventAt = j.firstAt
	}
	j.longestPause = max(j.longestPause, j.progressAt.Sub(j.eventAt))
	j.eventAt = j.progressAt
	return nil
}

func (j *job) tokensOfEvent() int {
	if j.service.Engine == nil {
		return 1
	}
	return max(1, j.service.Engine.Stride)
}

// eventBy is when the next event must be there.
func (j *job) eventBy(now time.Time, server placement.Server) time.Time {
	by := j.latestResponseTime(j.serverUntil)
	if !j.hasStarted() {
		by = j.beginBy(now, server, j.serverUntil)
	}
	if !j.mayBeSentAgain() || j.attempts >= j.route.MaxAttempts {
		return by
	}
	allowed := streamSilence
	if !j.hasStarted() {
		allowed += j.predicted
	}
	return earlier(by, now.Add(allowed))
}

// streamEnded follows the end of a stream between two events.
func (j *job) streamEnded(ctx context.Context, ticket *placement.Ticket, answer Answer) bool {
	err := j.reply.progress.CheckEnd(j.run)
	if err == nil {
		err = j.checkClose(ctx, ticket.Server, answer)
	}
	if err != nil {
		return j.streamBroke(ctx, ticket, answer, err)
	}
	answer.Close(true)
	now := time.Now()
	ticket.End(now, placement.Succeeded)
	j.clearOfCrashes(now)
	if err := j.reply.complete(answer, j.run); err != nil {
		j.callerLeft()
		return false
	}
	j.g.log.served(j, answer.Status())
	return false
}

// checkClose fails if the close of a connection was to mark the end of an answer and its
// server does not run any more: the connections of a killed process are closed too.
func (j *job) checkClose(ctx context.Context, server placement.Server, answer Answer) error {
	if answer.EndIsFramed() || j.g.opts.Backend.Check(ctx, server.Addr) != Down {
		return nil
	}
	return failure.WithOutcome(failure.Unavailable.New("the server ended with its connection"), failure.Unknown)
}

func (j *job) streamBroke(ctx context.Context, ticket *placement.Ticket, answer Answer, err error) bool {
	answer.Close(false)
	now := time.Now()
	j.failed(ctx, now, ticket, err)
	if j.again(ctx, now) {
		return true
	}
	return j.ended(ctx, now, "stream_broken")
}

// cut ends a stream that cannot be finished.
func (j *job) cut(reason string) {
	j.g.log.refused(j, Verdict{Code: Broken, Reason: reason})
	j.reply.cut()
}
