package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
)

// origin is the kind of process that gave a reading of the catalog.
type origin string

const (
	fromStore  origin = "store"
	fromReader origin = "reader" // an entry that reads the platform for the region
	fromPeer   origin = "peer"   // an entry that was asked
)

// fromPlatform names the platform as a source in logs.
const fromPlatform = "platform"

// reading is where a state of the catalog came from.
type reading struct {
	origin origin
	// from is the process that gave it, empty for the platform itself.
	from string
	// readAt is up to when the platform's changes are in it.
	readAt time.Time
}

// giver names who gave the reading.
func (r reading) giver() string {
	if r.origin == fromStore {
		return fromPlatform
	}
	return "peer " + r.from
}

// readBefore returns when the platform was read that long before.
func readBefore(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(max(0, ageMS)) * time.Millisecond)
}

// watchedAt returns up to when a watch has seen the platform's changes. A watch that
// waits is answered at its first change, or at the end of its wait; what takes longer
// is the answer's way. One that does not wait has seen what was there when it began.
func watchedAt(began, ended time.Time, wait time.Duration) time.Time {
	if wait <= watchBriefly {
		return began
	}
	return earlier(ended, began.Add(wait))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// dropReason is why a report on servers was not taken.
type dropReason string

const (
	dropOlder dropReason = "older" // than what is known
	dropGap   dropReason = "gap"   // between it and what is known
)

// readingLog writes a line for each reading of the servers that is adopted or dropped,
// within a bound, and counts all of them.
type readingLog struct {
	logger  *zap.Logger
	metrics tally.Scope
	gate    lineLimiter
}

func newReadingLog(logger *zap.Logger, metrics tally.Scope) *readingLog {
	return &readingLog{logger: logger, metrics: metrics}
}

func (l *readingLog) allowed() bool {
	ok, left := l.gate.allow(time.Now())
	if left > 0 {
		l.logger.Warn("lines_left_out", zap.Int("count", left))
	}
	return ok
}

// adopted notes a reading that led on from a revision.
func (l *readingLog) adopted(now time.Time, before, asOf catalog.Revision, r reading, fields ...zap.Field) {
	l.metrics.Tagged(map[string]string{"source": string(r.origin)}).Counter("servers_adopted").Inc(1)
	if !l.allowed() {
		return
	}
	all := append([]zap.Field{zap.String("source", string(r.origin)), zap.String("from", r.from),
		zap.Int64("revision", int64(asOf)), zap.Int64("before", int64(before)),
		zap.Duration("reading_age", now.Sub(r.readAt))}, fields...)
	l.logger.Info("servers_adopted", all...)
}

// dropped notes what leads from a revision to another and does not fit the one held.
func (l *readingLog) dropped(why dropReason, r reading, after, asOf, held catalog.Revision) {
	l.metrics.Tagged(map[string]string{"reason": string(why)}).Counter("servers_dropped").Inc(1)
	if !l.allowed() {
		return
	}
	l.logger.Info("servers_dropped", zap.String("reason", string(why)), zap.String("source", string(r.origin)),
		zap.String("from", r.from), zap.Int64("after", int64(after)), zap.Int64("revision", int64(asOf)),
		zap.Int64("held", int64(held)))
}

// refused notes a failure of a reading up to a revision.
func (l *readingLog) refused(err error, r reading, asOf, held catalog.Revision) {
	l.metrics.Tagged(map[string]string{"source": string(r.origin)}).Counter("servers_refused").Inc(1)
	if l.allowed() {
		l.logger.Info("servers_refused", zap.Error(err), zap.String("source", string(r.origin)), zap.String("from", r.from),
			zap.Int64("revision", int64(asOf)), zap.Int64("held", int64(held)))
	}
}

// wholeListDue notes that an entry is behind the changes that are kept.
func (l *readingLog) wholeListDue(to fleet.InstanceID, after, first catalog.Revision) {
	l.metrics.Counter("whole_lists_due").Inc(1)
	if l.allowed() {
		l.logger.Info("whole_list_due", zap.String("peer", string(to)), zap.Int64("after", int64(after)),
			zap.Int64("revision", int64(first)))
	}
}

// leaving notes that a server in use begins to leave.
func (l *readingLog) leaving(s catalog.Server) {
	if l.allowed() {
		l.logger.Info("server_leaves", zap.String("server", string(s.ID)), zap.String("service", string(s.Service)),
			zap.Int64("revision", int64(s.Revision)))
	}
}

// noteReading notes the reading by which the servers are known now, if it is newer than
// the one before.
func (g *Gateway) noteReading(now time.Time, before, asOf catalog.Revision, r reading, fields ...zap.Field) {
	switch {
	case asOf < before:
		if asOf > 0 { // else it tells nothing of the servers
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

// noteLeaving logs the servers that began to leave.
func (g *Gateway) noteLeaving(before catalog.Snapshot, changes []catalog.Change) {
	for _, c := range changes {
		if c.Server == nil || !c.Server.Draining || c.Revision <= before.AsOf {
			continue
		}
		if old, ok := findServer(before.Servers, c.Server.ID); ok && !old.Draining {
			g.readings.leaving(*c.Server)
		}
	}
}
