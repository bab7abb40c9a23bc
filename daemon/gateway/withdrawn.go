package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/placement"
)

// Why a call is withdrawn from an engine.
const (
	withdrawnCallerLeft  = "caller_left"
	withdrawnDeadline    = "deadline"
	withdrawnVersionTime = "version_time"
	withdrawnSilent      = "silent"
	// withdrawnOtherAnswer: the answer to another call came.
	withdrawnOtherAnswer = "other_answer"
)

// withdrawal tells of a call that was closed at an engine before any event of
// its answer had come. The engine may begin it yet: it may learn of it late.
type withdrawal struct {
	reason string
	waited time.Duration // since it was placed
	// versionLeft is what was left of the time of the engine's version, negative
	// once that is over; of use only if the version is outdated.
	versionLeft time.Duration
	outdated    bool
}

// withdrawn returns what is to be told of an attempt that failed; nil if it was
// no call that this entry closed at an engine before that had begun.
func (j *job) withdrawn(ctx context.Context, now time.Time, ticket *placement.Assignment, err error) *withdrawal {
	waited, waits := ticket.Elapsed(now)
	if j.service.Engine == nil || !waits || failure.OutcomeOf(err) == failure.NotRun {
		return nil
	}
	reason := j.withdrawReason(ctx, now, ticket.Server, err)
	if reason == "" {
		return nil
	}
	w := &withdrawal{reason: reason, waited: waited}
	since, outdated := j.g.view.Load().names[j.service.Model].OutdatedSince(uint64(ticket.Server.LoadedVersion))
	if outdated {
		w.outdated = true
		w.versionLeft = since.Add(j.g.opts.VersionTime).Sub(now)
	}
	return w
}

// withdrawReason returns why the entry closed a call, empty if the connection
// failed by itself.
func (j *job) withdrawReason(ctx context.Context, now time.Time, server placement.Server, err error) string {
	isTimeout := errorx.IsOfType(err, failure.Timeout)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return withdrawnCallerLeft
	case j.isOver(ctx, now):
		return withdrawnDeadline
	case isTimeout && j.isOutOfTime(now, server):
		return withdrawnVersionTime
	case isTimeout:
		return withdrawnSilent
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
