package gateway

import (
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
)

// noteLimit takes what an answer says of the requests that its server takes. sent is
// when the call was sent.
func (j *job) noteLimit(sent time.Time, server placement.Server, answer Answer) {
	if answer.Misdirected() {
		return // another server may have answered
	}
	limit := answer.Limit()
	switch {
	case limit.Malformed != "":
		j.g.log.malformedLimit(server, limit.Malformed)
	case limit.Named:
		if j.g.limits.Named(time.Now(), server.ID, limit.PerSecond) {
			j.g.log.serverLimit(server.ID, limit.PerSecond, "own")
		}
	default:
		if j.g.limits.Unnamed(sent, server.ID) {
			j.g.log.limitEnded(server.ID, "own")
		}
	}
}

func (l *requestLog) serverLimit(server fleet.InstanceID, perSecond float64, source string) {
	l.logger.Info("server_limit", zap.String("server", string(server)), zap.Float64("per_second", perSecond), zap.String("source", source))
}

func (l *requestLog) limitEnded(server fleet.InstanceID, source string) {
	l.logger.Info("server_limit_ended", zap.String("server", string(server)), zap.String("source", source))
}

// malformedLimit notes a limit that is no number. The last one that was holds on.
func (l *requestLog) malformedLimit(server placement.Server, text string) {
	const shown = 40
	l.metrics.Counter("server_limits_malformed").Inc(1)
	if l.allowed() {
		l.logger.Warn("server_limit_malformed", zap.String("server", string(server.ID)), zap.Stringer("addr", server.Addr),
			zap.String("limit", text[:min(shown, len(text))]))
	}
}
