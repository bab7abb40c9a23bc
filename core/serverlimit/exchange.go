package serverlimit

import (
	"time"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
)

const (
	// maxReports bounds the reports in one message; the rest follow in the next one.
	maxReports = 64
	// maxReportDelay is the longest time that a report may be in flight. The delay makes
	// an observation appear newer than it is, so a limit stays in force for this long
	// after it was last advertised, even if other entries report its end.
	maxReportDelay = time.Second
)

// Report is an observation of a server's limit, as exchanged between entries.
type Report struct {
	Server    fleet.InstanceID `cbor:"1,keyasint"`
	PerSecond float64          `cbor:"2,keyasint,omitzero"`
	Ended     bool             `cbor:"3,keyasint,omitzero"`
	AgeMS     int64            `cbor:"4,keyasint,omitzero"`
}

// Since returns the reports that a peer in the same or another group lacks, and the
// peer's cursor once it has received them.
func (r *Registry) Since(now time.Time, sent feed.Cursor, to feed.Source) ([]Report, feed.Cursor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	backlog := feed.NewBacklog[Report](&r.counter, sent, to)
	if backlog.IsUpToDate() {
		return nil, sent
	}
	for server, l := range r.limits {
		if backlog.Lacks(l.mark) {
			backlog.Add(l.mark, Report{server, l.perSecond, l.ended, now.Sub(l.at).Milliseconds()})
		}
	}
	return backlog.Message(maxReports)
}

// Merge adds the reports of another entry and returns those that change a known limit.
func (r *Registry) Merge(now time.Time, reports []Report, from feed.Source) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []Report
	for _, report := range reports {
		if r.merge(now, report, from) {
			changed = append(changed, report)
		}
	}
	return changed
}

func (r *Registry) merge(now time.Time, report Report, from feed.Source) bool {
	at := fleet.Ago(now, report.AgeMS)
	known := r.limits[report.Server]
	if known == nil {
		r.set(report.Server, limit{perSecond: report.PerSecond, ended: report.Ended, at: at}, from)
		return !report.Ended
	}
	isSame := known.ended == report.Ended && known.perSecond == report.PerSecond
	switch {
	case isSame:
		known.at = latest(known.at, at)
		return false
	case known.at.After(at):
		// The other entry lacks the newer observation; report it again.
		r.set(report.Server, *known, feed.Local)
		return false
	default:
		next := limit{perSecond: report.PerSecond, ended: report.Ended, at: at}
		if report.Ended {
			next.until = known.at.Add(maxReportDelay)
		}
		r.set(report.Server, next, from)
		return true
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
