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
	// serverDown is true if the server's process ended with the connection.
	serverDown bool
	standing   quarantine.Standing
}

// brokenAt follows an attempt that failed and notes whether its server crashed. It
// returns nil unless the connection broke under the call.
func (j *job) brokenAt(ctx context.Context, server placement.Server, err error) *brokenAttempt {
	if failure.OutcomeOf(err) == failure.NotRun || errorx.IsOfType(err, failure.Corrupt) {
		return nil
	}
	b := &brokenAttempt{
		fingerprint: j.contentFingerprint(),
		serverDown:  j.g.opts.Backend.IsDown(ctx, server.Addr),
	}
	if b.serverDown && !j.g.board.IsLeaving(server.ID) {
		b.standing = j.g.quarantine.Crashed(time.Now(), b.fingerprint, server.ID)
		j.g.log.serverCrashed(j, server, b)
		if b.standing.IsQuarantined() {
			j.g.post(func(time.Time) { j.g.urgent = true })
		}
	}
	return b
}

// contentFingerprint identifies the call over its client's retries, which have
// other request ids.
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

// standing returns what is known of the call's content.
func (j *job) standing(now time.Time) quarantine.Standing {
	if j.g.quarantine.IsEmpty() {
		return quarantine.Standing{}
	}
	return j.g.quarantine.Standing(now, j.contentFingerprint())
}

// clearOfCrashes notes that a server ran the call to its end.
func (j *job) clearOfCrashes(now time.Time) {
	if !j.g.quarantine.IsEmpty() {
		j.g.quarantine.Succeeded(now, j.contentFingerprint())
	}
}

// crashesFor returns the reports of crashes for another entry.
func (g *Gateway) crashesFor(now time.Time, to mesh.Peer, form mesh.Form) []quarantine.Report {
	if form == mesh.First {
		delete(g.toldCrashes, to.ID)
	}
	reports, change := g.quarantine.Since(now, g.toldCrashes[to.ID], sourceOf(to))
	g.toldCrashes[to.ID] = change
	return reports
}

// heardCrashes takes the reports of another entry. The fleet hears at once of a
// request that they quarantine: each second more costs servers.
func (g *Gateway) heardCrashes(now time.Time, from mesh.Peer, reports []quarantine.Report) {
	for _, request := range g.quarantine.Merge(now, reports, sourceOf(from)) {
		g.urgent = true
		g.log.quarantined(request, g.quarantine.Standing(now, request), "peer "+string(from.ID))
	}
}

func sourceOf(p mesh.Peer) quarantine.Source {
	if p.Near {
		return quarantine.Near
	}
	return quarantine.Far
}

func (b *brokenAttempt) fields() []zap.Field {
	if b == nil {
		return nil
	}
	return []zap.Field{zap.Stringer("fingerprint", b.fingerprint), zap.Bool("server_down", b.serverDown)}
}

// serverCrashed notes that a server crashed with the call in flight.
func (l *requestLog) serverCrashed(j *job, server placement.Server, b *brokenAttempt) {
	l.metrics.Counter("calls_at_crashes").Inc(1)
	if len(b.standing.Servers) > 1 && l.allowed() {
		l.logger.Warn("suspect_request", inputs(j, zap.Stringer("fingerprint", b.fingerprint),
			zap.String("server", string(server.ID)), zap.Int("crashes", len(b.standing.Servers)))...)
	}
	if b.standing.IsQuarantined() {
		l.quarantined(b.fingerprint, b.standing, "own")
	}
}

// keptBack notes that a call is sent to no server since its content is quarantined.
func (l *requestLog) keptBack(j *job, s quarantine.Standing) {
	if l.allowed() {
		l.logger.Info("not_placed", inputs(j, zap.String("reason", reasonQuarantined),
			zap.Stringer("fingerprint", j.contentFingerprint()), zap.String("servers", joinIDs(s.Servers)), zap.Time("until", s.Until))...)
	}
}

// quarantined notes that a request reaches no server any more.
func (l *requestLog) quarantined(request quarantine.Fingerprint, s quarantine.Standing, source string) {
	l.metrics.Counter("requests_quarantined").Inc(1)
	l.logger.Warn("request_quarantined", zap.Stringer("fingerprint", request), zap.String("servers", joinIDs(s.Servers)),
		zap.Time("until", s.Until), zap.String("source", source))
}

func joinIDs(ids []fleet.InstanceID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, ",")
}
