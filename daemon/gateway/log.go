package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/memlimit"
	"chivespindle.example/core/placement"
)

const (
	// maxLinesPerSecond bounds the log lines about calls, so that a burst of refusals does
	// not slow down the entry.
	maxLinesPerSecond = 150
	// servedSampleInterval is the sampling interval for calls that succeeded at the first
	// attempt and for calls whose caller left: one line is written for that many.
	servedSampleInterval = 50
)

// requestLog logs each decision about a call, up to a number of lines per second, and
// counts all of them.
type requestLog struct {
	logger         *zap.Logger
	metrics        tally.Scope
	limiter        lineLimiter
	headersSeen    headerSet
	results        *resultCounter
	responseTime   tally.Histogram // time to the end of a response
	firstEventTime tally.Histogram // time to the first event of a stream
}

func newRequestLog(now time.Time, logger *zap.Logger, metrics tally.Scope) *requestLog {
	return &requestLog{
		logger: logger, metrics: metrics, results: newResultCounter(now),
		responseTime:   metrics.Histogram("call_seconds", tally.DefaultBuckets),
		firstEventTime: metrics.Histogram("first_event_seconds", tally.DefaultBuckets),
	}
}

// callFields returns the fields that every line about a call has, followed by fields.
func callFields(j *job, fields ...zap.Field) []zap.Field {
	all := []zap.Field{requestField(j.call.ID), zap.Duration("age", time.Since(j.call.Arrived))}
	all = append(all, j.levelFields()...)
	if j.route != nil {
		all = append(all, zap.String("route", j.route.Name), zap.Stringer("kind", j.route.Kind),
			zap.Int64("config", j.view.table.Version()), zap.Int("attempts", j.attempts), zap.Int("unsent", j.unsent))
	}
	all = append(all, j.stopFields()...)
	return append(all, fields...)
}

// shownIDBytes bounds the ID of a call in log lines. Longer than a UUID or a digest in
// hexadecimal, it is enough to find the lines of a call.
const shownIDBytes = 64

// requestField returns the field with the ID of a call, of which callers choose the length.
func requestField(id string) zap.Field {
	return zap.String("request", id[:min(shownIDBytes, len(id))])
}

func (l *requestLog) allowed() bool {
	ok, left := l.limiter.allow(time.Now())
	if left > 0 {
		l.logger.Warn("lines_left_out", zap.Int("count", left))
	}
	if !ok {
		l.metrics.Counter("log_lines_left_out").Inc(1)
	}
	return ok
}

func (l *requestLog) served(j *job, status int) {
	l.metrics.Tagged(map[string]string{"kind": j.route.Kind.String()}).Counter("calls_served").Inc(1)
	l.responseTime.RecordDuration(time.Since(j.call.Arrived))
	result := j.servedResult(time.Now())
	l.results.record(j, result)
	if result == resultOnTime {
		l.countLevel(j, "on_time")
	} else {
		l.countLevel(j, "late")
	}
	if !j.firstEventAt.IsZero() {
		l.firstEventTime.RecordDuration(j.firstAfter())
	}
	isPlain := j.attempts < 2 && status < http.StatusInternalServerError
	if isPlain && !l.limiter.sample(servedSampleInterval) || !l.allowed() {
		return
	}
	l.logger.Info("served", callFields(j, zap.String("server", string(j.respondedBy)), zap.Duration("patience", j.call.Timeout), zap.Int("status", status), zap.Int64("last_event", j.reply.progress.LastEvent()),
		zap.Int("run_events", j.lastAttempt.Events()), zap.Bool("end_framed", j.endFramed),
		zap.Duration("predicted", j.predicted), zap.Duration("first", j.firstAfter()), zap.Duration("longest_pause", j.longestPause))...)
}

func (j *job) firstAfter() time.Duration {
	if j.firstEventAt.IsZero() {
		return 0
	}
	return j.firstEventAt.Sub(j.call.Arrived)
}

func (l *requestLog) refused(j *job, v ErrorResponse) {
	l.results.record(j, v.result())
	j.g.shutdown.count(j, v)
	l.metrics.Tagged(map[string]string{"code": v.Code.String(), "reason": v.Reason}).Counter("calls_refused").Inc(1)
	if j.urgency.gaveWay {
		l.countLevel(j, "shed")
	} else {
		l.countLevel(j, "refused")
	}
	if !l.allowed() {
		return
	}
	l.logger.Info("refused", callFields(j, zap.Stringer("code", v.Code), zap.String("reason", v.Reason),
		zap.Duration("retry_after", v.RetryAfter), zap.Bool("begun", j.hasStarted()), zap.Bool("may_have_run", j.mayHaveRun))...)
}

func (l *requestLog) notPlaced(j *job, r placement.Refusal) {
	l.countResidency(j, r)
	if r.Reason == placement.Cold {
		l.metrics.Counter("calls_not_placed_cold").Inc(1)
	}
	if !l.allowed() {
		return
	}
	fields := callFields(j, zap.String("reason", string(r.Reason)), zap.Duration("predicted", r.Predicted),
		zap.Int("usable", r.Candidates), zap.Int("prompt", j.call.PromptTokens),
		zap.Int("expected", j.call.ExpectedTokens), zap.Duration("left", time.Until(j.deadline)), zap.Bool("returned", j.refusedBefore))
	l.logger.Info("not_placed", append(fields, residencyFields(j, r)...)...)
}

func (l *requestLog) held(j *job, r placement.Refusal) {
	l.metrics.Tagged(map[string]string{"reason": string(r.Reason)}).Counter("calls_held").Inc(1)
	l.countLevel(j, "held")
	if !l.allowed() {
		return
	}
	soonest, _ := j.g.view.Load().nextEngineReady.next(j.service.Name, j.allowed)
	l.logger.Info("held", callFields(j, zap.String("reason", string(r.Reason)), zap.Int("usable", r.Candidates),
		zap.Duration("engine_in", max(0, time.Until(soonest))), zap.Bool("returned", j.refusedBefore))...)
}

// attemptFailed records an attempt without a complete response, and its withdrawal if there
// was one.
func (l *requestLog) attemptFailed(j *job, t *placement.Assignment, err error, w *withdrawal, b *brokenAttempt) {
	l.metrics.Counter("attempts_failed").Inc(1)
	switch {
	case errorx.IsOfType(err, exchange.TooLong):
		l.metrics.Counter("responses_too_long").Inc(1)
	case errorx.IsOfType(err, exchange.Malformed):
		l.metrics.Counter("responses_malformed").Inc(1)
	case errorx.IsOfType(err, exchange.Truncated), errorx.IsOfType(err, exchange.UploadRejected):
		l.metrics.Counter("responses_truncated").Inc(1)
	case errorx.IsOfType(err, memlimit.Exceeded):
		l.metrics.Tagged(map[string]string{"what": whatPartial}).Counter("memory_refused").Inc(1)
	}
	l.countWithdrawn(w)
	if !l.allowed() {
		return
	}
	fields := callFields(j, zap.String("server", string(t.Server.ID)),
		zap.Stringer("addr", t.Server.Addr),
		zap.Uint64("loaded", uint64(t.Server.LoadedVersion)), zap.Duration("predicted", t.Predicted),
		zap.Int64("last_event", j.reply.progress.LastEvent()), zap.Error(err))
	fields = append(append(fields, j.silenceFields(time.Now())...), w.fields()...)
	l.logger.Info("attempt_failed", append(fields, b.fields(j)...)...)
}

func (l *requestLog) countWithdrawn(w *withdrawal) {
	if w != nil {
		l.metrics.Tagged(map[string]string{"reason": w.reason}).Counter("calls_withdrawn").Inc(1)
	}
}

// handedOver records that a stream continues on another server, or that the handover
// failed.
func (l *requestLog) handedOver(j *job, from, to *placement.Assignment, err error, w *withdrawal) {
	l.metrics.Tagged(map[string]string{"taken": strconv.FormatBool(err == nil)}).Counter("streams_handed_over").Inc(1)
	l.countWithdrawn(w)
	if l.allowed() {
		fields := callFields(j, zap.String("server", string(from.Server.ID)), zap.String("to", string(to.Server.ID)),
			zap.Int64("last_event", j.reply.progress.LastEvent()), zap.Duration("predicted", to.Predicted), zap.Error(err))
		l.logger.Info("handed_over", append(fields, w.fields()...)...)
	}
}

// declined records an attempt that the server did not run.
func (l *requestLog) declined(j *job, server placement.Server, response Response) {
	l.metrics.Counter("attempts_declined").Inc(1)
	if l.allowed() {
		l.logger.Info("attempt_declined", callFields(j, zap.String("server", string(server.ID)),
			zap.Stringer("addr", server.Addr), zap.Uint64("loaded", uint64(server.LoadedVersion)),
			zap.Int("status", response.Status()), zap.Duration("backoff", response.State().Backoff.Duration))...)
	}
}

// serverError records an error response of a server.
func (l *requestLog) serverError(j *job, t *placement.Assignment, status int) {
	l.metrics.Counter("server_errors").Inc(1)
	if l.allowed() {
		l.logger.Info("server_error", callFields(j, zap.String("server", string(t.Server.ID)),
			zap.Stringer("addr", t.Server.Addr), zap.Int("status", status))...)
	}
}

// result returns the result of a call that ends with the error response.
func (v ErrorResponse) result() callResult {
	if v.Code == ServerFailed || v.Code == TimedOut {
		return resultFailed + callResult(v.Reason)
	}
	return resultRefused + callResult(v.Reason)
}

// panicked logs a panic and panics again: net/http then closes the connection, without a
// log line of its own.
func (l *requestLog) panicked(call *Call) {
	p := recover()
	if p == nil {
		return
	}
	l.metrics.Counter("calls_panicked").Inc(1)
	l.logger.Error("request_panicked", requestField(call.ID), zap.Any("panic", p), zap.StackSkip("stack", 1))
	panic(p)
}

func (l *requestLog) abandoned(j *job) {
	l.results.record(j, resultAbandoned)
	l.metrics.Counter("calls_abandoned").Inc(1)
	isStopping := j.g.shutdown.stop.Load() != nil
	if (isStopping || l.limiter.sample(servedSampleInterval)) && l.allowed() {
		l.logger.Info("abandoned", callFields(j, zap.Int64("last_event", j.reply.progress.LastEvent()))...)
	}
}
