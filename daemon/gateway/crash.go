package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/quarantine"
	"chivespindle.example/daemon/mesh"
)

// reasonQuarantined refuses a call whose content crashes the servers that run it.
const reasonQuarantined = "quarantined"

// brokenAttempt describes an attempt whose connection broke after the call was
// sent.
type brokenAttempt struct {
	fingerprint quarantine.Fingerprint
	parts       []quarantine.Part
	// events is the number of events that the server had returned.
	events int
	// server is the state of the server's process after the connection broke.
	server Liveness
	status quarantine.Status
}

// recordBrokenAttempt records whether the server of a failed attempt crashed. It returns
// nil unless the connection broke during the call.
func (j *job) recordBrokenAttempt(ctx context.Context, server placement.Server, err error) *brokenAttempt {
	if failure.OutcomeOf(err) == failure.NotRun || errorx.IsOfType(err, failure.Corrupt) {
		return nil
	}
	b := &brokenAttempt{
		fingerprint: j.contentFingerprint(),
		parts:       j.parts,
		events:      j.lastAttempt.Events(),
		server:      j.g.opts.Backend.CheckLiveness(ctx, server.Addr),
	}
	isPlanned := j.g.balancer.IsLeaving(server.ID)
	switch now := time.Now(); {
	case isPlanned:
	case b.server == Down:
		b.status = j.g.quarantine.Crashed(now, b.fingerprint, server.ID)
		j.g.log.serverCrashed(j, server, b)
		if b.status.IsQuarantined() {
			j.g.announceCrashes.Store(true)
		}
		j.g.serverCrashed(now, server.ID)
	case b.server == LivenessUnknown:
		j.g.quarantine.RecordUnresolved(now, b.fingerprint, server.ID)
	}
	return b
}

// recordDisconnect records that the caller disconnected while the call was at a server.
// If the server crashes before it reads the cancellation, the call was in flight.
func (j *job) recordDisconnect(now time.Time, server placement.Server) {
	if !j.g.balancer.IsLeaving(server.ID) {
		j.g.quarantine.RecordUnresolved(now, j.contentFingerprint(), server.ID)
	}
}

// checkUnreached checks the server of an attempt that could not be sent. It may have
// crashed with calls in flight whose outcome is unknown.
func (j *job) checkUnreached(ctx context.Context, now time.Time, server placement.Server) {
	if j.g.quarantine.HasUnresolved(now, server.ID) && !j.g.balancer.IsLeaving(server.ID) &&
		j.g.opts.Backend.CheckLiveness(ctx, server.Addr) == Down {
		j.g.serverCrashed(now, server.ID)
	}
}

// serverCrashed counts a crash against the attempts at the server that ended without a
// known outcome.
func (g *Gateway) serverCrashed(now time.Time, server fleet.InstanceID) {
	for _, request := range g.quarantine.ServerCrashed(now, server) {
		g.announceCrashes.Store(true)
		g.log.quarantined(request, g.quarantine.Status(now, request), "own")
	}
}

// detectReplaced counts a server as crashed if another one is registered at its address,
// unless it was leaving.
func (g *Gateway) detectReplaced(now time.Time, list []placement.Server) {
	for _, s := range list {
		before, ok := g.listed[s.Addr]
		if ok && before.ID != s.ID && !before.Leaving && !g.balancer.StatesLeaving(before.ID) {
			g.serverCrashed(now, before.ID)
		}
	}
	clear(g.listed)
	for _, s := range list {
		g.listed[s.Addr] = s
	}
}

// contentFingerprint identifies the call across its caller's retries, which have other
// request ids.
func (j *job) contentFingerprint() quarantine.Fingerprint {
	if j.fingerprint == nil {
		content := quarantine.Content{
			Workspace: j.workspace, Method: j.call.Method, Host: j.call.Host, Target: j.call.Target, Body: j.call.Body,
		}
		f := content.Fingerprint()
		j.fingerprint = &f
	}
	return *j.fingerprint
}

func (j *job) quarantineStatus(now time.Time) quarantine.Status {
	if j.g.quarantine.IsEmpty() {
		return quarantine.Status{}
	}
	return j.g.quarantine.Status(now, j.contentFingerprint())
}

// recordSuccess records that a server ran the call to its end.
func (j *job) recordSuccess(now time.Time) {
	if !j.g.quarantine.IsEmpty() {
		j.g.quarantine.Succeeded(now, j.contentFingerprint())
	}
}

func (g *Gateway) crashReportsFor(now time.Time, to mesh.Peer, form mesh.Form) []quarantine.Report {
	return g.crashReports.next(now, to, form)
}

// receiveCrashes merges the reports of another entry. A request that they quarantine is
// reported to all peers without delay, since each further second costs servers.
func (g *Gateway) receiveCrashes(now time.Time, from mesh.Peer, reports []quarantine.Report) {
	for _, request := range g.quarantine.Merge(now, reports, sourceOf(from)) {
		g.flushDue = true
		g.log.quarantined(request, g.quarantine.Status(now, request), "peer "+string(from.ID))
	}
}

func (b *brokenAttempt) fields() []zap.Field {
	if b == nil {
		return nil
	}
	return []zap.Field{zap.Stringer("fingerprint", b.fingerprint), zap.Stringer("server_state", b.server),
		zap.String("parts", joinNames(b.parts)), zap.Int("run_events", b.events)}
}

// serverCrashed logs a crash of a server with the call in flight.
func (l *requestLog) serverCrashed(j *job, server placement.Server, b *brokenAttempt) {
	l.metrics.Counter("calls_at_crashes").Inc(1)
	if len(b.status.Servers) > 1 && l.allowed() {
		l.logger.Warn("suspect_request", callFields(j, zap.Stringer("fingerprint", b.fingerprint),
			zap.String("server", string(server.ID)), zap.Int("crashes", len(b.status.Servers)))...)
	}
	if b.status.IsQuarantined() {
		l.quarantined(b.fingerprint, b.status, "own")
	}
}

// notPlacedQuarantined logs that a call is sent to no server since its content is
// quarantined.
func (l *requestLog) notPlacedQuarantined(j *job, s quarantine.Status) {
	if l.allowed() {
		l.logger.Info("not_placed", callFields(j, zap.String("reason", reasonQuarantined),
			zap.Stringer("fingerprint", j.contentFingerprint()), zap.String("servers", joinNames(s.Servers)), zap.Time("until", s.Until))...)
	}
}

// quarantined logs that a request is no longer sent to any server.
func (l *requestLog) quarantined(request quarantine.Fingerprint, s quarantine.Status, source string) {
	l.metrics.Counter("requests_quarantined").Inc(1)
	l.logger.Warn("request_quarantined", zap.Stringer("fingerprint", request), zap.String("servers", joinNames(s.Servers)),
		zap.Time("until", s.Until), zap.String("source", source))
}

func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ",")
}
