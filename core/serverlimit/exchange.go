package serverlimit

import (
	"time"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
)

const (
	// mostReports bounds the reports of one message; the rest follows in the next.
	mostReports = 64
	// maxReportDelay is how long a report may be in flight, by which the observation
	// seems newer than it is. After it was last advertised a limit stays in force for
	// as long, whatever others report of its end.
	maxReportDelay = time.Second
)

// Report is an observation of a server's limit, as sent to other entries.
type Report struct {
	Server    fleet.InstanceID `cbor:"1,keyasint"`
	PerSecond float64          `cbor:"2,keyasint,omitzero"`
	Ended     bool             `cbor:"3,keyasint,omitzero"`
	AgeMS     int64            `cbor:"4,keyasint,omitzero"`
}

// Since returns the reports that a peer lacks, which is near or far, and its cursor
// once it has them.
func (r *Registry) Since(now time.Time, sent feed.Cursor, to feed.Source) ([]Report, feed.Cursor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	backlog := feed.NewBacklog[Report](&r.learned, sent, to)
	if backlog.IsUpToDate() {
		return nil, sent
	}
	for server, l := range r.limits {
		if backlog.Lacks(l.mark) {
			backlog.Add(l.mark, Report{server, l.perSecond, l.ended, now.Sub(l.at).Milliseconds()})
		}
	}
	return backlog.Message(mostReports)
}

// Merge adds the reports of another entry and returns those that change a limit here.
func (r *Registry) Merge(now time.Time, reports []Report, from feed.Source) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var news []Report
	for _, report := range reports {
		if r.merge(now, report, from) {
			news = append(news, report)
		}
	}
	return news
}

func (r *Registry) merge(now time.Time, report Report, from feed.Source) bool {
	at := now.Add(-time.Duration(report.AgeMS) * time.Millisecond)
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
		// The other entry lacks the newer observation.
		r.set(report.Server, *known, feed.Own)
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
