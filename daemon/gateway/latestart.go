package gateway

import (
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/placement"
)

// silenceFields describe how long the server of an attempt had sent nothing, and what was left of
// the deadline that it was given. A server counts its deadline from when it reads the call, so
// it may still work on the call once that is over.
func (j *job) silenceFields(now time.Time) []zap.Field {
	return []zap.Field{zap.Duration("silent", now.Sub(j.progressAt)), zap.Duration("server_deadline_left", j.serverDeadline.Sub(now))}
}

// checkLateStart logs a response that starts on a version whose time is over, as far as this
// entry knows when the newer one was named. It is called with the first event of an attempt.
func (j *job) checkLateStart(now time.Time, server placement.Server) {
	if j.service.Engine == nil {
		return
	}
	since, outdated := j.g.view.Load().names[j.service.Model].OutdatedSince(uint64(server.LoadedVersion))
	if over := now.Sub(since.Add(j.g.opts.VersionTime)); outdated && over >= 0 {
		j.g.log.startedLate(j, now, server, over)
	}
}

func (l *requestLog) startedLate(j *job, now time.Time, server placement.Server, over time.Duration) {
	l.metrics.Counter("responses_started_on_expired_version").Inc(1)
	if l.allowed() {
		fields := append(serverFields(server, zap.Uint64("loaded", uint64(server.LoadedVersion)), zap.Duration("version_over", over)), j.silenceFields(now)...)
		l.logger.Warn("response_started_late", callFields(j, fields...)...)
	}
}
