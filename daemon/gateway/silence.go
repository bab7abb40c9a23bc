package gateway

import (
	"context"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/placement"
)

// A healthy server may be silent for about a second and then go on, and nothing distinguishes
// that from a hung one. So a stream leaves a silent server only once another one has resumed
// it. A call without a response leaves it once it is placed at another server, which may still
// decline it. Both end at the latest time at which the response is of use.

// searchInterval is the interval at which a server is searched for that can take the call of
// a silent one.
const searchInterval = 100 * time.Millisecond

// readBounds are the bounds of the wait for a part of a response.
type readBounds struct {
	// search is when another server is searched for.
	search time.Time
	// giveUp is when the attempt ends even if there is no other.
	giveUp time.Time
}

// minReadTime is the least time for a read, so that what has arrived already is read first.
const minReadTime = 50 * time.Millisecond

// await records what is read next and returns the deadline of the read.
func (j *job) await(assignment *placement.Assignment, b readBounds) time.Time {
	j.awaited, j.giveUpAt = assignment, b.giveUp
	if soonest := time.Now().Add(minReadTime); b.search.Before(soonest) {
		return earlier(b.giveUp, soonest)
	}
	return b.search
}

// handleSilence handles a server that sent nothing by the deadline of a read. It returns the
// next deadline, or false if the attempt ends.
func (j *job) handleSilence(ctx context.Context, now time.Time, assignment *placement.Assignment) (until time.Time, wait bool) {
	isLeft := j.alternative.assignment != nil || j.successor != nil
	if isLeft || assignment != j.awaited || ctx.Err() != nil || !now.Before(j.giveUpAt) {
		return time.Time{}, false
	}
	if j.maySendElsewhere(ctx, now) && j.sendElsewhere(ctx, now, assignment) || j.reply.isAborted() {
		return time.Time{}, false
	}
	return earlier(j.giveUpAt, time.Now().Add(searchInterval)), true
}

// maySendElsewhere reports whether the call may be sent to another server in place of the
// current one. After a pause of this process, its deadlines say nothing about the server.
func (j *job) maySendElsewhere(ctx context.Context, now time.Time) bool {
	if j.g.view.Load().predatesPause(now) {
		return false
	}
	isCounted := j.lastAttempt != nil // the attempt counts once its header has been read
	return (isCounted || j.mayRetryAfterNext()) && j.shouldRetry(ctx, now) &&
		!j.quarantineStatus(now).IsQuarantined() && j.g.budget(j.service.Name).MayRetry(now)
}

// sendElsewhere lets another server take the call. It reports false if the silent server
// keeps it.
func (j *job) sendElsewhere(ctx context.Context, now time.Time, silent *placement.Assignment) bool {
	// An attempt without a header has no part of the stream, so nothing is lost with it.
	isResumption := j.hasStarted() && j.lastAttempt != nil
	if isResumption && j.unsent >= maxUnsentAttempts {
		return false
	}
	next := j.chooseInstead(now, silent)
	if next == nil {
		return false
	}
	if !j.g.allowRetry(now, j.service.Name) {
		next.End(now, placement.Abandoned)
		return false
	}
	if isResumption {
		return j.resumeInstead(ctx, now, silent, next)
	}
	j.alternative = placedAttempt{assignment: next, at: now}
	return true
}

// chooseInstead chooses a server that can take the call of a silent one, nil if none can.
// Unlike choose, it does not count the call among those that find no room.
func (j *job) chooseInstead(now time.Time, silent *placement.Assignment) *placement.Assignment {
	req := j.placementRequest(now)
	if j.hasStarted() && j.service.Engine != nil {
		req = j.resumeRequest(now, silent)
		// A hung server must be left even if the pause becomes longer than intended.
		req.Late, req.MaxPause = true, 0
	}
	req.Exclude = placement.Exclude(j.exclude, silent.Server.ID)
	if waiting := j.urgency.request; waiting != nil {
		req.Limits = waiting.Limits(now)
		if !j.hasStarted() && waiting.Yields(now, req.Late) {
			return nil
		}
	}
	next, _ := j.g.balancer.Choose(now, req)
	if next != nil && next.Refused { // its process has probably ended, while the silent one lives
		next.End(now, placement.Abandoned)
		return nil
	}
	return next
}

// resumeInstead resumes the stream of a silent server on the next one. The connection to the
// silent server is kept until then.
func (j *job) resumeInstead(ctx context.Context, now time.Time, silent, next *placement.Assignment) bool {
	// What the silent server sends meanwhile is held back, so this wait is shorter than one for
	// the only server.
	resumed, err := j.resumeOn(ctx, now, next, now.Add(next.Predicted+j.targetPause()))
	j.g.log.handedOver(j, silent, next, err, j.withdrawn(ctx, time.Now(), next, err))
	if err != nil {
		j.exclude = placement.Exclude(j.exclude, next.Server.ID)
		if failure.OutcomeOf(err) == failure.NotRun {
			j.unsent++
		}
		return false
	}
	j.successor = resumed
	return true
}

// takeSuccessor returns the server that has resumed the stream, nil if none has.
func (j *job) takeSuccessor() *successor {
	next := j.successor
	j.successor = nil
	return next
}

// takeAlternative returns the attempt that was placed in advance, if there is one.
func (j *job) takeAlternative() placedAttempt {
	placed := j.alternative
	j.alternative = placedAttempt{}
	return placed
}

// releaseAlternative ends an attempt that was placed in advance but not made.
func (j *job) releaseAlternative() {
	if placed := j.takeAlternative(); placed.assignment != nil {
		placed.assignment.End(time.Now(), placement.Abandoned)
	}
}
