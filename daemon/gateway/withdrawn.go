package gateway

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/memlimit"
	"chivespindle.example/core/placement"
)

// Reasons for which a call is withdrawn from an engine.
const (
	withdrawnCallerLeft  = "caller_left"
	withdrawnDeadline    = "deadline"
	withdrawnShutdown    = reasonShutdown
	withdrawnVersionTime = "version_time"
	withdrawnSilent      = "silent"
	// withdrawnOtherAnswer: the response belonged to another call.
	withdrawnOtherAnswer = "other_answer"
	// withdrawnTooLong: the response exceeded a bound.
	withdrawnTooLong = "too_long"
	// withdrawnMalformed: HTTP does not allow the head of the response.
	withdrawnMalformed = "malformed"
	// withdrawnNoMemory: the response may not be held.
	withdrawnNoMemory = reasonNoMemory
)

// withdrawal describes a call whose connection to an engine this entry closed before
// any event came. The engine may still begin the call if it notices the close late.
type withdrawal struct {
	reason string
	waited time.Duration // since it was placed
	// versionLeft is how long the engine's version could still be used, negative once
	// that time is over. It is set only if the version is outdated.
	versionLeft time.Duration
	outdated    bool
}

// withdrawn returns the withdrawal to log for a failed attempt. It is nil unless this
// entry closed the call at an engine before any event came.
func (j *job) withdrawn(ctx context.Context, now time.Time, assignment *placement.Assignment, err error) *withdrawal {
	waited, waits := assignment.Elapsed(now)
	if j.service.Engine == nil || !waits || failure.OutcomeOf(err) == failure.NotRun {
		return nil
	}
	reason := j.withdrawReason(ctx, now, assignment.Server, err)
	if reason == "" {
		return nil
	}
	w := &withdrawal{reason: reason, waited: waited}
	since, outdated := j.g.view.Load().names[j.service.Model].OutdatedSince(uint64(assignment.Server.LoadedVersion))
	if outdated {
		w.outdated = true
		w.versionLeft = since.Add(j.g.opts.VersionTime).Sub(now)
	}
	return w
}

// withdrawReason returns why this entry closed a call. It is empty if the connection
// failed by itself.
func (j *job) withdrawReason(ctx context.Context, now time.Time, server placement.Server, err error) string {
	isTimeout := errorx.IsOfType(err, failure.Timeout)
	switch {
	case hasDisconnected(ctx):
		return withdrawnCallerLeft
	case isShutDown(ctx):
		return withdrawnShutdown
	case j.isCallOver(ctx, now):
		return withdrawnDeadline
	case isTimeout && j.isVersionExpired(now, server):
		return withdrawnVersionTime
	case isTimeout:
		return withdrawnSilent
	case errorx.IsOfType(err, exchange.TooLong):
		return withdrawnTooLong
	case errorx.IsOfType(err, exchange.Malformed):
		return withdrawnMalformed
	case errorx.IsOfType(err, memlimit.Exceeded):
		return withdrawnNoMemory
	case errorx.IsOfType(err, failure.Corrupt):
		return withdrawnOtherAnswer
	default:
		return ""
	}
}

func (w *withdrawal) fields() []zap.Field {
	if w == nil {
		return nil
	}
	fields := []zap.Field{zap.String("reason", w.reason), zap.Duration("waited", w.waited)}
	if w.outdated {
		fields = append(fields, zap.Duration("version_left", w.versionLeft))
	}
	return fields
}
