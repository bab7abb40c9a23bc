package serverlimit

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
)

const (
	// mostReports bounds the reports of one message; the rest follows in the next.
	mostReports = 64
	// onTheWay is how long a report may take to arrive, by which what it tells seems
	// newer than it is. A limit binds for as long after it was last named, whatever
	// others report of its end.
	onTheWay = time.Second
)

// Report tells another entry what a server said.
type Report struct {
	Server    fleet.InstanceID `cbor:"1,keyasint"`
	PerSecond float64          `cbor:"2,keyasint,omitzero"`
	Ended     bool             `cbor:"3,keyasint,omitzero"`
	AgeMS     int64            `cbor:"4,keyasint,omitzero"`
}

// Since returns what is to be reported to a peer, which is near or far, and up to
// where it is told then.
func (r *Registry) Since(now time.Time, told feed.Cursor, to feed.Source) ([]Report, feed.Cursor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.learned.Cursor()
	if told >= next {
		return nil, told
	}
	var due []fleet.InstanceID
	for server, l := range r.limits {
		if l.mark.IsDue(told, to) {
			due = append(due, server)
		}
	}
	byMark := func(a, b fleet.InstanceID) int {
		return cmp.Compare(r.limits[a].mark.Cursor(), r.limits[b].mark.Cursor())
	}
	slices.SortFunc(due, byMark)
	if len(due) > mostReports && told != 0 {
		due = due[:mostReports]
		next = r.limits[due[mostReports-1]].mark.Cursor()
	}
	reports := make([]Report, 0, len(due))
	for _, server := range due {
		l := r.limits[server]
		reports = append(reports, Report{server, l.PerSecond, l.Ended, now.Sub(l.at).Milliseconds()})
	}
	return reports, next
}

// Merge takes the reports of another entry and returns those that are news here.
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
		r.set(report.Server, Limit{PerSecond: report.PerSecond, Ended: report.Ended, at: at}, from)
		return !report.Ended
	}
	isSame := known.Ended == report.Ended && known.PerSecond == report.PerSecond
	switch {
	case isSame:
		known.at = latest(known.at, at)
		return false
	case known.at.After(at):
		// The other entry has not heard of what is newer, or has heard it end.
		r.set(report.Server, *known, feed.Own)
		return false
	default:
		next := Limit{PerSecond: report.PerSecond, Ended: report.Ended, at: at}
		if report.Ended {
			next.until = known.at.Add(onTheWay)
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
