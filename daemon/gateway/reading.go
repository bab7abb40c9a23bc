package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
)

// origin is the kind of process that a reading of the catalog came from.
type origin string

const (
	fromStore  origin = "store"
	fromReader origin = "reader" // an entry that reads the platform for the region
	fromPeer   origin = "peer"   // an entry whose catalog was requested
)

// fromPlatform names the platform as a source in logs.
const fromPlatform = "platform"

// reading describes where a state of the catalog came from.
type reading struct {
	origin origin
	// from is the process that sent it, empty for the platform itself.
	from string
	// readAt is the time up to which it contains the platform's changes.
	readAt time.Time
}

// sourceName returns the name of the reading's source for logs.
func (r reading) sourceName() string {
	if r.origin == fromStore {
		return fromPlatform
	}
	return "peer " + r.from
}

// readTime returns when a reading was made that has the given age.
func readTime(now time.Time, ageMS int64) time.Time {
	return now.Add(-fleet.Span(max(0, ageMS)))
}

// watchReadTime returns the time up to which a watch has seen the platform's changes. A
// watch that waits gets its response at the first change or at the end of its wait; any
// time beyond that is the transit time of the response. One that does not wait has seen
// the changes made before it began.
func watchReadTime(startedAt, endedAt time.Time, wait time.Duration) time.Time {
	if wait <= briefWatchWait {
		return startedAt
	}
	return earlier(endedAt, startedAt.Add(wait))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// dropReason is why a report on servers was dropped.
type dropReason string

const (
	dropOlder dropReason = "older" // older than the known revision
	dropGap   dropReason = "gap"   // changes after the known revision are missing
)

// readingLog logs each reading of the servers that is adopted or dropped, at a limited
// rate, and counts all of them.
type readingLog struct {
	logger  *zap.Logger
	metrics tally.Scope
	limiter lineLimiter
}

func newReadingLog(logger *zap.Logger, metrics tally.Scope) *readingLog {
	return &readingLog{logger: logger, metrics: metrics}
}

func (l *readingLog) allowed() bool {
	ok, leftOut := l.limiter.allow(time.Now())
	if leftOut > 0 {
		l.logger.Warn("lines_left_out", zap.Int("count", leftOut))
	}
	return ok
}

// adopted logs a reading that advanced the servers from one revision to another.
func (l *readingLog) adopted(now time.Time, before, asOf catalog.Revision, r reading, fields ...zap.Field) {
	l.metrics.Tagged(map[string]string{"source": string(r.origin)}).Counter("servers_adopted").Inc(1)
	if !l.allowed() {
		return
	}
	all := append([]zap.Field{zap.String("source", string(r.origin)), zap.String("from", r.from),
		zap.Stringer("revision", asOf), zap.Stringer("before", before),
		zap.Duration("reading_age", now.Sub(r.readAt))}, fields...)
	l.logger.Info("servers_adopted", all...)
}

// dropped logs changes from one revision to another that do not follow the held one.
func (l *readingLog) dropped(reason dropReason, r reading, after, asOf, held catalog.Revision) {
	l.metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("servers_dropped").Inc(1)
	if !l.allowed() {
		return
	}
	l.logger.Info("servers_dropped", zap.String("reason", string(reason)), zap.String("source", string(r.origin)),
		zap.String("from", r.from), zap.Stringer("after", after), zap.Stringer("revision", asOf),
		zap.Stringer("held", held))
}

// refused logs an invalid reading up to a revision.
func (l *readingLog) refused(err error, r reading, asOf, held catalog.Revision) {
	l.metrics.Tagged(map[string]string{"source": string(r.origin)}).Counter("servers_refused").Inc(1)
	if l.allowed() {
		l.logger.Info("servers_refused", zap.Error(err), zap.String("source", string(r.origin)), zap.String("from", r.from),
			zap.Stringer("revision", asOf), zap.Stringer("held", held))
	}
}

// wholeListDue logs that an entry lacks changes that are no longer kept.
func (l *readingLog) wholeListDue(to fleet.InstanceID, after, first catalog.Revision) {
	l.metrics.Counter("whole_lists_due").Inc(1)
	if l.allowed() {
		l.logger.Info("whole_list_due", zap.String("peer", string(to)), zap.Stringer("after", after),
			zap.Stringer("revision", first))
	}
}

// leaving logs that a server in use starts to leave.
func (l *readingLog) leaving(s catalog.Server) {
	if l.allowed() {
		l.logger.Info("server_leaves", zap.String("server", string(s.ID)), zap.String("service", string(s.Service)),
			zap.Stringer("revision", s.Revision))
	}
}

// outdated logs a server that the platform lists as it was before it left.
func (l *readingLog) outdated(s catalog.Server, standing catalog.Standing) {
	l.metrics.Counter("registrations_outdated").Inc(1)
	if l.allowed() {
		l.logger.Info("registration_outdated", zap.String("server", string(s.ID)), zap.String("service", string(s.Service)),
			zap.Stringer("revision", s.Revision), zap.Bool("gone", standing == catalog.Gone))
	}
}

// recordReading records a reading of the servers, unless it is older than the last one.
func (g *Gateway) recordReading(now time.Time, before, asOf catalog.Revision, r reading, fields ...zap.Field) {
	switch {
	case asOf < before:
		if asOf > 0 { // otherwise it contains no servers
			g.readings.dropped(dropOlder, r, 0, asOf, before)
		}
		return
	case asOf > before:
		g.readings.adopted(now, before, asOf, r, fields...)
	}
	if r.readAt.After(g.changesReadAt) || before == 0 {
		g.changesReadAt = r.readAt
	}
	if r.origin == fromStore {
		g.readerSeenAt = now
	}
}

// logLeaving logs the servers that start to leave.
func (g *Gateway) logLeaving(before catalog.Snapshot, changes []catalog.Change) {
	for _, c := range changes {
		if c.Server == nil || !c.Server.Draining || c.Revision <= before.AsOf {
			continue
		}
		if old, ok := findServer(before.Servers, c.Server.ID); ok && !old.Draining {
			g.readings.leaving(*c.Server)
		}
	}
}
