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
	// Taken before the check, which may last 200 ms: the crashes of servers that are lost
	// together must not count separately.
	now := time.Now()
	b := &brokenAttempt{
		fingerprint: j.contentFingerprint(),
		events:      j.lastAttempt.Events(),
		server:      j.g.opts.Backend.CheckLiveness(ctx, server.Addr),
	}
	isPlanned := j.g.balancer.IsLeaving(server.ID)
	switch {
	case isPlanned:
	case b.server == Down:
		b.status = j.g.quarantine.Crashed(now, b.fingerprint, server.ID, j.suspectParts()...)
		j.g.log.serverCrashed(j, server, b)
		if b.status.IsQuarantined() {
			j.g.announceCrashes.Store(true)
		}
		j.g.serverCrashed(now, server.ID)
	case b.server == LivenessUnknown:
		j.g.quarantine.RecordUnresolved(now, b.fingerprint, server.ID, j.suspectParts()...)
	}
	return b
}

// recordDisconnect records that the caller disconnected while the call was at a server.
// If the server crashes before it reads the cancellation, the call was in flight.
func (j *job) recordDisconnect(now time.Time, server placement.Server) {
	if !j.g.balancer.IsLeaving(server.ID) {
		j.g.quarantine.RecordUnresolved(now, j.contentFingerprint(), server.ID, j.suspectParts()...)
	}
}

// suspectParts returns the parts of the call that a crash of its server may be attributed
// to: none if the server has responded to the call for provingTime.
func (j *job) suspectParts() []quarantine.Part {
	if j.isProved {
		return nil
	}
	return j.parts
}

// provingTime is how long a server must have responded to a call to show that the parts of
// the call's prompt do not crash it. A part crashes its server when the response starts, and
// the first event may still leave the server.
const provingTime = 250 * time.Millisecond

// startAttempt prepares the record of a new attempt whose response started at the given
// time, the zero value if it has not.
func (j *job) startAttempt(responseStarted time.Time) {
	j.responseStartedAt, j.isProved = responseStarted, false
}

// recordResponding records that the server returns a part of its response to the call, and
// whether that is the last one.
func (j *job) recordResponding(now time.Time, isLast bool) {
	if j.responseStartedAt.IsZero() {
		j.responseStartedAt = now
	}
	if !j.isProved && (isLast || now.Sub(j.responseStartedAt) >= provingTime) {
		j.recordProof()
	}
}

// recordProof records that the parts of the call did not crash the server when it started
// to respond.
func (j *job) recordProof() {
	j.isProved = true
	if len(j.parts) > 0 {
		j.g.quarantine.Proved(j.responseStartedAt, j.parts)
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
	if g.logPartChanges("own") {
		g.announceCrashes.Store(true)
	}
}

// logPartChanges logs the parts that are quarantined or released since the last call. It
// reports whether any is quarantined.
func (g *Gateway) logPartChanges(source string) bool {
	isAny := false
	for _, change := range g.quarantine.TakePartChanges() {
		isAny = isAny || !change.IsRelease()
		g.log.partChanged(change, source)
	}
	return isAny
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
	return j.g.quarantine.Status(now, j.contentFingerprint(), j.parts...)
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
		g.log.quarantined(request, g.quarantine.Status(now, request), sourcePeer+string(from.ID))
	}
	if g.logPartChanges(sourcePeer + string(from.ID)) {
		g.flushDue = true
	}
}

// sourcePeer precedes the ID of the entry whose report led to a quarantine, in logs.
const sourcePeer = "peer "

func (b *brokenAttempt) fields(j *job) []zap.Field {
	if b == nil {
		return nil
	}
	return []zap.Field{zap.Stringer("fingerprint", b.fingerprint), zap.Stringer("server_state", b.server),
		zap.String("parts", joinNames(j.parts)), zap.Int("run_events", b.events)}
}

// serverCrashed logs a crash of a server with the call in flight.
func (l *requestLog) serverCrashed(j *job, server placement.Server, b *brokenAttempt) {
	l.metrics.Counter("calls_at_crashes").Inc(1)
	if len(b.status.Servers) > 1 && l.allowed() {
		l.logger.Warn("suspect_request", callFields(j, zap.Stringer("fingerprint", b.fingerprint),
			zap.String("server", string(server.ID)), zap.Int("crashes", len(b.status.Servers)), zap.Int("part_crashes", b.status.PartCrashes))...)
	}
	if b.status.IsQuarantined() && b.status.Part == "" {
		l.quarantined(b.fingerprint, b.status, "own")
	}
}

// notPlacedQuarantined logs that a call is sent to no server since its content is
// quarantined.
func (l *requestLog) notPlacedQuarantined(j *job, s quarantine.Status) {
	if l.allowed() {
		l.logger.Info("not_placed", callFields(j, zap.String("reason", reasonQuarantined),
			zap.Stringer("fingerprint", j.contentFingerprint()), zap.String("part", string(s.Part)),
			zap.String("servers", joinNames(s.Servers)), zap.Time("until", s.Until))...)
	}
}

// quarantined logs that a request is no longer sent to any server.
func (l *requestLog) quarantined(request quarantine.Fingerprint, s quarantine.Status, source string) {
	l.metrics.Counter("requests_quarantined").Inc(1)
	l.logger.Warn("request_quarantined", zap.Stringer("fingerprint", request), zap.String("servers", joinNames(s.Servers)),
		zap.Time("until", s.Until), zap.String("source", source))
}

// partChanged logs that requests with a part are no longer sent to any server, or are again.
func (l *requestLog) partChanged(change quarantine.PartChange, source string) {
	if change.IsRelease() {
		l.logger.Warn("part_released", zap.String("part", string(change.Part)), zap.String("source", source))
		return
	}
	l.metrics.Counter("parts_quarantined").Inc(1)
	l.logger.Warn("part_quarantined", zap.String("part", string(change.Part)), zap.String("servers", joinNames(change.Servers)),
		zap.Time("until", change.Until), zap.String("source", source))
}

func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ",")
}
