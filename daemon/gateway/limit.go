package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/serverlimit"
	"chivespindle.example/daemon/mesh"
)

// recordLimit records the limit that a response advertises. sent is when the call was sent.
func (j *job) recordLimit(sent time.Time, server placement.Server, status int, limit ServerLimit) {
	switch {
	case limit.Malformed != "":
		j.g.log.malformedLimit(server, limit.Malformed)
	case limit.Advertised:
		change := j.g.limits.RecordAdvertised(time.Now(), server.ID, limit.PerSecond)
		if change != serverlimit.Unchanged {
			j.g.log.serverLimit(server.ID, limit.PerSecond, "own")
			j.g.applyLimit(server.ID, limit.PerSecond)
			j.g.post(func(time.Time) { j.g.applyLimits(change == serverlimit.Started) })
		}
	case status >= http.StatusMultipleChoices:
		// An unsuccessful response may never advertise a limit.
	case j.g.limits.RecordNotAdvertised(sent, server.ID):
		j.g.log.limitEnded(server.ID, "own")
		j.g.post(func(time.Time) { j.g.applyLimits(true) })
	}
}

// applyLimit makes this entry keep to a limit from the next call on. On a busy machine the
// control loop may be late, and all calls until then would be sent to the server.
func (g *Gateway) applyLimit(server fleet.InstanceID, perSecond float64) {
	if v := g.view.Load(); v != nil {
		g.balancer.SetLimit(time.Now(), server, serverlimit.Share(perSecond, server, g.opts.Self, idsOf(v.entries)))
	}
}

// applyLimits causes the shares of changed limits to be recomputed. Only urgent changes
// are reported to the group without delay, since a server may adjust its limit in each
// response.
func (g *Gateway) applyLimits(urgent bool) {
	g.limitsChanged = true
	g.groupFlushDue = g.groupFlushDue || urgent
}

func (g *Gateway) limitReportsFor(now time.Time, to mesh.Peer, form mesh.Form) []serverlimit.Report {
	return g.limitReports.next(now, to, form)
}

// receiveLimits merges the reports of another entry.
func (g *Gateway) receiveLimits(now time.Time, from mesh.Peer, reports []serverlimit.Report) {
	for _, report := range g.limits.Merge(now, reports, sourceOf(from)) {
		g.limitsChanged = true
		if report.Ended {
			g.log.limitEnded(report.Server, "peer "+string(from.ID))
		} else {
			g.log.serverLimit(report.Server, report.PerSecond, "peer "+string(from.ID))
		}
	}
}

// sharesInterval is the maximum time until the shares are recomputed for the entries
// known by then.
const sharesInterval = time.Second

// publishLimits computes this entry's shares of the limits and passes them to the
// balancer. Silent entries keep their shares, since they may be alive behind a partition
// and use them.
func (g *Gateway) publishLimits(now time.Time, entries []mesh.Entry) {
	if !g.limitsChanged && now.Sub(g.sharedAt) < sharesInterval {
		return
	}
	g.limitsChanged = false
	g.sharedAt = now
	others := idsOf(entries)
	shares := g.limits.All(now)
	for server, perSecond := range shares {
		shares[server] = serverlimit.Share(perSecond, server, g.opts.Self, others)
	}
	g.balancer.SetLimits(now, shares)
}

func idsOf(entries []mesh.Entry) []fleet.InstanceID {
	ids := make([]fleet.InstanceID, len(entries))
	for i, e := range entries {
		ids[i] = e.ID
	}
	return ids
}

func (l *requestLog) serverLimit(server fleet.InstanceID, perSecond float64, source string) {
	if l.allowed() {
		l.logger.Info("server_limit", zap.String("server", string(server)), zap.Float64("per_second", perSecond), zap.String("source", source))
	}
}

func (l *requestLog) limitEnded(server fleet.InstanceID, source string) {
	l.logger.Info("server_limit_ended", zap.String("server", string(server)), zap.String("source", source))
}

// malformedLimit logs a limit that is not a number. The last valid limit stays in use.
func (l *requestLog) malformedLimit(server placement.Server, text string) {
	l.metrics.Counter("server_limits_malformed").Inc(1)
	if l.allowed() {
		l.logger.Warn("server_limit_malformed", serverFields(server, zap.String("limit", shorten(text)))...)
	}
}
