package gateway

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/delivery"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/placement"
)

const (
	// predictedPauseShare is the part of the longest acceptable pause within which the next
	// server must be predicted to continue. The rest is for the network and for the
	// error of the prediction.
	predictedPauseShare = 0.7
	// minRemainingTime is the least remaining time of a stream that is handed over. A
	// shorter one hardly delays the load, and reading its prompt again is not worth it.
	minRemainingTime = 400 * time.Millisecond
	// overrunShare is the least estimate of the remaining tokens of a stream, as a part
	// of those written. It applies to streams that are longer than their caller expected.
	overrunShare = 0.3
)

// successor is the server on which a stream continues.
type successor struct {
	assignment *placement.Assignment
	response   Response
	attempt    *delivery.Attempt
	deadline   time.Time // the server's own deadline for the call
}

// handOver resumes a stream on another server. It returns nil if the stream stays.
//
// An engine that was ordered to load weights accepts no calls until all its streams
// have ended, which takes several times as long as the load. Its streams can be
// resumed after the last event on engines that still have the same version, and the
// caller sees a pause within the route's limit.
//
// The connection to the old server is kept until the next one returns an event:
// otherwise the stream would be aborted if the next one declined it. Events of the old
// server are buffered by its connection meanwhile.
func (j *job) handOver(ctx context.Context, assignment *placement.Assignment) *successor {
	if j.g.opts.Disabled.HandOver || !assignment.IsServerReloading() || !j.mayHandOver(assignment) {
		return nil
	}
	now := time.Now()
	next, _ := j.g.balancer.Choose(now, j.resumeRequest(now, assignment))
	if next == nil {
		return nil
	}
	j.handoverTried = true
	if !j.g.allowRetry(now, j.service.Name) {
		next.End(now, placement.Abandoned)
		return nil
	}
	resumed, err := j.resumeOn(ctx, now, next, now.Add(j.targetPause()))
	if err != nil {
		j.g.log.handedOver(j, assignment, next, err, j.withdrawn(ctx, time.Now(), next, err))
		return nil
	}
	j.g.log.handedOver(j, assignment, next, nil, nil)
	return resumed
}

// resumeOn sends the call to another server, chosen at now, and returns that server once it
// has resumed the stream. It fails if the server has not done so by the given time.
func (j *job) resumeOn(ctx context.Context, now time.Time, next *placement.Assignment, by time.Time) (*successor, error) {
	opts := j.sendOptions(now, next)
	opts.StartDeadline = earlier(j.usualResponseTime(opts.Deadline), by)
	response, err := j.send(ctx, now, next, opts)
	if failure.OutcomeOf(err) != failure.NotRun {
		j.attempts++
		j.sentAt = now
	}
	if err != nil {
		next.End(time.Now(), j.resultOfResumption(ctx, next, err))
		return nil, err
	}
	if response.NotRun() || response.Misdirected() {
		response.Close(response.NotRun())
		next.End(time.Now(), placement.Declined)
		return nil, failure.Unavailable.New("declined with status %d", response.Status())
	}
	attempt, err := j.reply.accept(response)
	if err != nil {
		response.Close(false)
		next.End(time.Now(), j.resultOf(response))
		return nil, err
	}
	response.SetDeadline(opts.StartDeadline)
	event, err := response.Next()
	if err == nil {
		j.checkLateStart(time.Now(), next.Server)
		err = j.forwardEvent(next, response, attempt, event)
	}
	if err != nil {
		response.Close(false)
		next.End(time.Now(), j.resultOfResumption(ctx, next, err))
		return nil, err
	}
	return &successor{assignment: next, response: response, attempt: attempt, deadline: opts.Deadline}, nil
}

// resultOfResumption returns the result of a server that did not resume a stream, and
// records whether the server crashed.
func (j *job) resultOfResumption(ctx context.Context, next *placement.Assignment, err error) placement.Result {
	now := time.Now()
	waited, waits := next.Elapsed(now)
	switch {
	case ctx.Err() != nil || j.reply.isAborted():
		return placement.Abandoned
	case failure.OutcomeOf(err) == failure.NotRun:
		j.checkUnreached(ctx, now, next.Server)
	case errorx.IsOfType(err, failure.Unavailable), errorx.IsOfType(err, exchange.TooLong), errorx.IsOfType(err, exchange.Malformed):
		j.recordBrokenAttempt(ctx, next.Server, err)
		return placement.Broken
	}
	switch {
	case errorx.IsOfType(err, exchange.Refused):
		return placement.Refused
	case errorx.IsOfType(err, failure.Timeout) && waits && waited >= next.Predicted+streamStallTimeout:
		return placement.TimedOut
	default:
		return placement.Abandoned
	}
}

// continueOn makes a server the one that the stream continues on.
func (j *job) continueOn(next *successor) (*placement.Assignment, Response) {
	j.serverDeadline, j.lastAttempt = next.deadline, next.attempt
	j.endFramed, j.respondedBy = next.response.EndIsFramed(), next.assignment.Server.ID
	j.startAttempt(j.progressAt)
	return next.assignment, next.response
}

func (j *job) targetPause() time.Duration {
	if j.route.TargetPause > 0 {
		return j.route.TargetPause
	}
	return j.route.TargetLatency
}

// mayHandOver reports whether the stream can be resumed on another server and has enough
// left to be worth it.
func (j *job) mayHandOver(assignment *placement.Assignment) bool {
	if j.quarantineStatus(time.Now()).IsQuarantined() {
		return false
	}
	if j.handoverTried || j.service.Engine == nil || !j.hasStarted() || !j.isRetryable() || j.attempts >= j.route.MaxAttempts {
		return false
	}
	return j.service.Engine.DecodeTime(assignment.Work(), j.remainingTokens(assignment)) >= minRemainingTime
}

// remainingTokens estimates how many tokens the stream has left.
func (j *job) remainingTokens(assignment *placement.Assignment) int {
	expected := j.call.ExpectedTokens
	if expected == 0 {
		expected = j.service.Engine.MeanOutputTokens
	}
	written := assignment.ReceivedTokens()
	return max(expected-written, int(overrunShare*float64(written)))
}

// resumeRequest returns the placement request for the rest of a stream. The tokens written
// so far count as prompt, since the next engine has to read them.
func (j *job) resumeRequest(now time.Time, assignment *placement.Assignment) placement.Request {
	a := j.placementRequest(now)
	written := assignment.ReceivedTokens()
	a.PromptTokens += written
	a.OutputTokens = max(0, a.OutputTokens-written)
	a.ExpectedTokens = j.remainingTokens(assignment)
	a.Late = false
	a.Exclude = placement.Exclude(j.exclude, assignment.Server.ID)
	a.MaxPause = time.Duration(predictedPauseShare * float64(j.targetPause()))
	return a
}
