package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/delivery"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/memlimit"
	"chivespindle.example/core/placement"
)

const (
	// maxBufferedBody bounds the response body of a plain service. The body is buffered
	// before it is forwarded, so that the call can be retried if it breaks off.
	maxBufferedBody = 512 << 10
	// minAttemptTime is the time that must be left for another attempt.
	minAttemptTime = 60 * time.Millisecond

	reasonTimeout = "timeout"
)

// handleSendError handles an error of Send and reports whether to make another attempt.
func (j *job) handleSendError(ctx context.Context, assignment *placement.Assignment, err error) bool {
	now := time.Now()
	notRun := failure.OutcomeOf(err) == failure.NotRun
	j.endFailedAttempt(ctx, now, assignment, err)
	if notRun {
		j.checkUnreached(ctx, now, assignment.Server)
		j.unsent++
		if j.isRefusedInTime(now, assignment, err) {
			j.refusedInTime++
		}
		if ctx.Err() == nil && j.unsent-j.refusedInTime < maxUnsentAttempts {
			return true
		}
		return j.endCall(ctx, now, "unreachable")
	}
	j.attempts++
	j.mayHaveRun = true
	if j.shouldRetry(ctx, now) {
		return true
	}
	return j.endCall(ctx, now, "no_answer")
}

// isRefusedInTime reports whether the server of an attempt refused the connection while the
// call may still try others without limit. Each refusal takes one round trip and excludes its
// server, so the others that live are reached in time after the loss of many servers at once.
// Servers that had refused before are tried only if no other is left, and count as unsent:
// otherwise each call would try all servers of a service that is down.
func (j *job) isRefusedInTime(now time.Time, assignment *placement.Assignment, err error) bool {
	until := j.deadline.Add(-minAttemptTime)
	if j.route.TargetLatency > 0 && !j.refusedBefore && !j.hasStarted() {
		until = earlier(until, j.call.Arrived.Add(j.route.TargetLatency))
	}
	return errorx.IsOfType(err, exchange.Refused) && !assignment.Refused && now.Before(until)
}

// endFailedAttempt ends an attempt without a complete response and excludes its server
// from further attempts of the call.
func (j *job) endFailedAttempt(ctx context.Context, now time.Time, assignment *placement.Assignment, err error) {
	j.exclude = placement.Exclude(j.exclude, assignment.Server.ID)
	var broken *brokenAttempt
	switch {
	case hasDisconnected(ctx):
		assignment.End(now, placement.Abandoned)
		j.recordDisconnect(now, assignment.Server)
	case j.isCallOver(ctx, now) && !j.isSilent(now):
		assignment.End(now, placement.Abandoned)
	case j.isCallOver(ctx, now):
		assignment.End(now, placement.TimedOut)
	case j.isServerDeadlineOver(now), !j.hasStarted() && errorx.IsOfType(err, failure.Timeout) && j.isVersionExpired(now, assignment.Server):
		assignment.End(now, placement.Abandoned)
	case errorx.IsOfType(err, exchange.Revoked), errorx.IsOfType(err, memlimit.Exceeded):
		assignment.End(now, placement.Abandoned)
	case errorx.IsOfType(err, failure.Timeout):
		assignment.End(now, placement.TimedOut)
	case errorx.IsOfType(err, delivery.OutOfOrder):
		assignment.End(now, placement.Failed)
	case errorx.IsOfType(err, exchange.Refused):
		assignment.End(now, placement.Refused)
	case errorx.IsOfType(err, exchange.LargeHead), errorx.IsOfType(err, exchange.UploadRejected):
		broken = j.recordBrokenAttempt(ctx, assignment.Server, err)
		assignment.End(now, resultOfRejectedRequest(broken))
	default:
		assignment.End(now, placement.Broken)
		broken = j.recordBrokenAttempt(ctx, assignment.Server, err)
	}
	j.g.log.attemptFailed(j, assignment, err, j.withdrawn(ctx, now, assignment, err), broken)
}

// isCallOver reports whether the caller has disconnected or the deadline has passed. A read
// that times out at the deadline fails a moment before ctx does.
func (j *job) isCallOver(ctx context.Context, now time.Time) bool {
	return ctx.Err() != nil || !now.Before(j.deadline)
}

// isServerDeadlineOver reports whether the server had a deadline before the caller's and
// that has passed. That it stopped is then not its failure.
func (j *job) isServerDeadlineOver(now time.Time) bool {
	return j.serverDeadline.Before(j.deadline) && !now.Before(j.serverDeadline)
}

// resultOfFailure returns the result of an attempt whose server answered with an error.
func (j *job) resultOfFailure(now time.Time) placement.Result {
	if j.isServerDeadlineOver(now) {
		return placement.Abandoned
	}
	return placement.Failed
}

// isSilent reports whether the server has made no progress for so long that this counts
// as its failure. Calls that may not be retried wait until their deadline, and a hung
// server must be detected by these too.
func (j *job) isSilent(now time.Time) bool {
	allowed := plainStallFactor * j.route.TargetLatency
	if j.service.Engine != nil {
		allowed = j.predicted + streamStallTimeout
	}
	return now.Sub(j.progressAt) >= allowed
}

// shouldRetry reports whether to retry the call after an attempt that a server may have run.
func (j *job) shouldRetry(ctx context.Context, now time.Time) bool {
	return ctx.Err() == nil && !j.g.opts.Disabled.Repeat && j.isRetryable() && j.attempts < j.route.MaxAttempts &&
		j.deadline.Sub(now) > minAttemptTime && j.quarantineStatus(now).CanRetry()
}

// handleDeclined handles a response which says that the server did not run the call, or
// that came from another server or version than required. It reports whether to make
// another attempt.
func (j *job) handleDeclined(ctx context.Context, server placement.Server, response Response) bool {
	j.g.log.declined(j, server, response)
	j.exclude = placement.Exclude(j.exclude, server.ID)
	j.g.post(func(now time.Time) { j.g.handleDeclined(now, server) })
	now := time.Now()
	if ctx.Err() != nil {
		return j.endCall(ctx, now, "declined")
	}
	if j.attempts < j.route.MaxAttempts && j.deadline.Sub(now) > minAttemptTime {
		return true
	}
	j.giveUp("declined", j.retryAfter(now))
	return false
}

func (j *job) retryAfter(now time.Time) time.Duration {
	const maxWaitDivisor = 3 // callers wait for up to a third of their remaining time
	return max(0, j.deadline.Sub(now)/maxWaitDivisor)
}

// handleNotPlaced refuses a call for which the balancer has no server.
func (j *job) handleNotPlaced(r placement.Refusal) {
	r.Reason = j.refusalReason(r)
	j.g.log.notPlaced(j, r)
	j.giveUp(string(r.Reason), r.RetryAfter)
}

// giveUp ends a call that no further server is tried for, with the best response
// that is left: the held one, or an error response. A started stream is aborted.
func (j *job) giveUp(reason string, retryAfter time.Duration) {
	j.endLevel()
	switch {
	case j.hasStarted():
		j.abort(reason)
	case j.heldResponse != nil:
		j.forwardHeld()
	case j.mayHaveRun:
		// The call may still be running, so the response must not say that it is not.
		j.refuse(ErrorResponse{Code: ServerFailed, Reason: reason})
	default:
		j.refuse(ErrorResponse{Code: Unavailable, RetryAfter: retryAfter, Reason: reason})
	}
}

// endCall ends a call for which no attempt is left or no time. It returns false.
func (j *job) endCall(ctx context.Context, now time.Time, reason string) bool {
	j.endLevel()
	isOver := j.isCallOver(ctx, now)
	overReason := reasonTimeout
	if isShutDown(ctx) {
		overReason = reasonShutdown
	}
	switch {
	case hasDisconnected(ctx):
		j.endAbandonedCall()
	case isOver && j.mayHaveRun && j.heldResponse == nil && !j.hasStarted():
		j.refuse(ErrorResponse{Code: TimedOut, Reason: overReason})
	case isOver:
		j.giveUp(overReason, 0)
	default:
		j.giveUp(reason, j.retryAfter(now))
	}
	return false
}

func (j *job) refuse(v ErrorResponse) {
	j.g.log.refused(j, v)
	j.reply.refuse(v)
}

// endAbandonedCall ends a call whose caller has disconnected.
func (j *job) endAbandonedCall() {
	j.g.log.abandoned(j)
	j.reply.abort()
}

// handleResponse handles the response of a server that has run the call.
func (j *job) handleResponse(ctx context.Context, assignment *placement.Assignment, response Response) bool {
	j.mayHaveRun = true
	attempt, err := j.reply.accept(response)
	if err != nil {
		return j.handleMismatch(ctx, assignment, response, err)
	}
	j.lastAttempt, j.endFramed, j.respondedBy = attempt, response.EndIsFramed(), assignment.Server.ID
	if headerOf(response).IsEventStream() {
		return j.forwardStream(ctx, assignment, response)
	}
	return j.forwardWhole(ctx, assignment, response)
}

// handleMismatch handles a response that cannot continue what the caller has received.
func (j *job) handleMismatch(ctx context.Context, assignment *placement.Assignment, response Response, err error) bool {
	response.Close(false)
	now := time.Now()
	assignment.End(now, j.resultOf(response))
	j.exclude = placement.Exclude(j.exclude, assignment.Server.ID)
	if response.Status() >= http.StatusInternalServerError {
		j.g.log.serverError(j, assignment, response.Status())
	} else {
		j.g.log.attemptFailed(j, assignment, err, nil, nil)
	}
	if j.shouldRetry(ctx, now) {
		return true
	}
	return j.endCall(ctx, now, "not_continued")
}

// resultOf returns the result of an attempt whose response cannot be forwarded.
func (j *job) resultOf(response Response) placement.Result {
	if response.Status() < http.StatusInternalServerError {
		return placement.Declined
	}
	return j.resultOfFailure(time.Now())
}

// forwardWhole forwards the response of a plain service once its body is complete.
//
// Callers retry after a status which implies that the call did not run. A server that
// does not also say so explicitly may have run it, so such a response is not forwarded
// if the call must not run twice.
func (j *job) forwardWhole(ctx context.Context, assignment *placement.Assignment, response Response) bool {
	response.SetDeadline(j.deadline)
	body, err := response.Body(maxBufferedBody, &j.responseHold)
	if errorx.IsOfType(err, memlimit.Exceeded) {
		return j.forwardUnbuffered(ctx, assignment, response, body)
	}
	if err == nil {
		err = j.checkServerAlive(ctx, assignment.Server, response)
	}
	now := time.Now()
	if err != nil {
		response.Close(false)
		j.releaseDropped()
		return j.handleBodyError(ctx, assignment, err)
	}
	response.Close(true)
	if response.ImpliesNotRun() && !j.route.Idempotent() {
		assignment.End(now, j.resultOfFailure(now))
		j.g.log.serverError(j, assignment, response.Status())
		j.giveUp("unproved_refusal", 0)
		return false
	}
	if response.Status() < http.StatusInternalServerError {
		assignment.End(now, placement.Succeeded)
		j.recordSuccess(now)
		if response.Status()/100 == 2 {
			j.recordResponding(now, true)
		}
		j.forward(response, body)
		return false
	}
	assignment.End(now, j.resultOfFailure(now))
	j.g.log.serverError(j, assignment, response.Status())
	j.heldResponse = &heldResponse{response: response, body: body, server: assignment.Server.ID}
	j.exclude = placement.Exclude(j.exclude, assignment.Server.ID)
	if j.shouldRetry(ctx, now) {
		return true
	}
	j.forwardHeld()
	return false
}

func (j *job) handleBodyError(ctx context.Context, assignment *placement.Assignment, err error) bool {
	now := time.Now()
	j.endFailedAttempt(ctx, now, assignment, err)
	if j.shouldRetry(ctx, now) {
		return true
	}
	return j.endCall(ctx, now, "answer_broken")
}

func (j *job) forward(response Response, body []byte) {
	err := j.reply.whole(response, body)
	j.responseHold.Release()
	if err != nil {
		j.endAbandonedCall()
		return
	}
	j.g.log.served(j, response.Status())
}

func (j *job) forwardHeld() {
	j.respondedBy = j.heldResponse.server
	j.forward(j.heldResponse.response, j.heldResponse.body)
}

// forwardStream forwards the events of an engine's response.
//
// The header is sent with the first event, so that until then another server can
// take over without the caller noticing. After that it can if the route allows
// resumption: the next server continues after the last complete event.
func (j *job) forwardStream(ctx context.Context, assignment *placement.Assignment, response Response) bool {
	for {
		response.SetDeadline(j.await(assignment, j.nextEventBounds(time.Now(), assignment.Server)))
		event, err := response.Next()
		j.awaited = nil
		if errors.Is(err, io.EOF) {
			return j.handleStreamEnd(ctx, assignment, response)
		}
		if err != nil && j.reply.isAborted() {
			return j.endAbandonedStream(assignment, response)
		}
		if next := j.takeSuccessor(); next != nil {
			response.Close(false)
			j.endFailedAttempt(ctx, time.Now(), assignment, err)
			assignment, response = j.continueOn(next)
			continue
		}
		if err != nil {
			return j.handleStreamError(ctx, assignment, response, err)
		}
		if !isComment(event) {
			if j.responseStartedAt.IsZero() {
				j.checkLateStart(time.Now(), assignment.Server)
			}
			j.recordResponding(time.Now(), false)
		}
		err = j.forwardEvent(assignment, response, j.lastAttempt, event)
		if errorx.IsOfType(err, delivery.OutOfOrder) {
			return j.handleStreamError(ctx, assignment, response, err)
		}
		if err != nil {
			return j.endAbandonedStream(assignment, response)
		}
		next := j.handOver(ctx, assignment)
		if j.reply.isAborted() {
			return j.endAbandonedStream(assignment, response)
		}
		if next != nil {
			response.Close(false)
			assignment.End(time.Now(), placement.Abandoned)
			assignment, response = j.continueOn(next)
		}
	}
}

// endAbandonedStream ends a stream whose caller has disconnected.
func (j *job) endAbandonedStream(assignment *placement.Assignment, response Response) bool {
	response.Close(false)
	assignment.End(time.Now(), placement.Abandoned)
	j.recordDisconnect(time.Now(), assignment.Server)
	j.endAbandonedCall()
	return false
}

// forwardEvent forwards an event of a server, unless the caller has it already. It fails
// if the event is out of order or the caller has disconnected.
func (j *job) forwardEvent(assignment *placement.Assignment, response Response, attempt *delivery.Attempt, event eventstream.Event) error {
	j.progressAt = time.Now()
	assignment.AddTokens(j.tokensPerEvent())
	passed, err := j.reply.event(response, attempt, event)
	if err != nil || !passed {
		return err
	}
	if j.firstEventAt.IsZero() {
		j.firstEventAt = time.Now()
		j.lastEventAt = j.firstEventAt
	}
	j.longestPause = max(j.longestPause, j.progressAt.Sub(j.lastEventAt))
	j.lastEventAt = j.progressAt
	j.progressAt = time.Now() // while the caller does not read, nothing is read from the server
	return nil
}

func (j *job) tokensPerEvent() int {
	if j.service.Engine == nil {
		return 1
	}
	return max(1, j.service.Engine.StepsPerPass)
}

// nextEventBounds returns the bounds of the wait for the next event.
func (j *job) nextEventBounds(now time.Time, server placement.Server) readBounds {
	by := j.latestEventTime(j.serverDeadline)
	if !j.hasStarted() {
		by = j.startDeadline(now, server, j.serverDeadline)
	}
	if !j.isRetryable() || j.attempts >= j.route.MaxAttempts {
		return readBounds{search: by, giveUp: by}
	}
	allowed := streamStallTimeout
	if !j.hasStarted() {
		allowed += j.predicted
	}
	search := earlier(j.usualResponseTime(j.serverDeadline), now.Add(allowed))
	return readBounds{search: earlier(by, search), giveUp: by}
}

// handleStreamEnd handles the end of a server's stream after a complete event.
func (j *job) handleStreamEnd(ctx context.Context, assignment *placement.Assignment, response Response) bool {
	err := j.reply.progress.CheckEnd(j.lastAttempt)
	if err == nil {
		err = j.checkServerAlive(ctx, assignment.Server, response)
	}
	if err != nil {
		return j.handleStreamError(ctx, assignment, response, err)
	}
	response.Close(true)
	now := time.Now()
	assignment.End(now, placement.Succeeded)
	j.recordSuccess(now)
	if j.lastAttempt.Events() > 0 {
		j.recordResponding(now, true)
	}
	if err := j.reply.complete(response, j.lastAttempt); err != nil {
		j.endAbandonedCall()
		return false
	}
	j.g.log.served(j, response.Status())
	return false
}

// livenessChecks is how often a server is checked whose check gets no answer.
const livenessChecks = 2

// checkServerAlive fails unless the end of the response is marked or the server is known to
// be alive: the connections of a killed process are closed too, so a response that ends with
// its connection may be truncated.
func (j *job) checkServerAlive(ctx context.Context, server placement.Server, response Response) error {
	if response.EndIsFramed() {
		return nil
	}
	state := LivenessUnknown
	for range livenessChecks {
		if state = j.g.opts.Backend.CheckLiveness(ctx, server.Addr); state != LivenessUnknown {
			break
		}
	}
	if state == Alive {
		return nil
	}
	return failure.WithOutcome(failure.Unavailable.New("connection closed and server %s: response may be truncated", state), failure.Unknown)
}

func (j *job) handleStreamError(ctx context.Context, assignment *placement.Assignment, response Response, err error) bool {
	response.Close(false)
	now := time.Now()
	j.endFailedAttempt(ctx, now, assignment, err)
	if j.shouldRetry(ctx, now) {
		return true
	}
	return j.endCall(ctx, now, "stream_broken")
}

// abort aborts a stream that cannot be completed.
func (j *job) abort(reason string) {
	j.g.log.refused(j, ErrorResponse{Code: ServerFailed, Reason: reason})
	j.reply.abort()
}
