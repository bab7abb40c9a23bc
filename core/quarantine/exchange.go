package quarantine

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/feed"
)

const (
	// mostReports bounds the reports of one message; the rest follows in the next.
	mostReports = 24
	// mostFirstReports bounds those of the first message to a peer.
	mostFirstReports = 256
)

// countedReport is a report with the number of crashes known of its request.
type countedReport struct {
	Report
	crashes int
}

// Since returns the reports that a peer lacks, which is near or far, and its cursor
// once it has them.
func (r *Registry) Since(now time.Time, sent feed.Cursor, to feed.Source) ([]Report, feed.Cursor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	backlog := feed.NewBacklog[countedReport](&r.learned, sent, to)
	if backlog.IsUpToDate() {
		return nil, sent
	}
	for request, rec := range r.requests {
		rec.expire(now)
		for _, o := range append(slices.Clone(rec.crashes), rec.success) {
			if backlog.Lacks(o.mark) {
				report := Report{Request: request, Server: o.server, AgeMS: now.Sub(o.at).Milliseconds()}
				backlog.Add(o.mark, countedReport{report, len(rec.crashes)})
			}
		}
	}
	due, next := backlog.Message(mostReports)
	if sent == 0 {
		slices.SortFunc(due, func(a, b countedReport) int { return cmp.Compare(b.crashes, a.crashes) })
		due = due[:min(len(due), mostFirstReports)]
	}
	reports := make([]Report, 0, len(due))
	for _, d := range due {
		reports = append(reports, d.Report)
	}
	return reports, next
}

// Merge adds the reports of another entry and returns the requests that are
// quarantined by them.
//
// Those are reported to everybody again, whoever observed the crashes, so that
// they spread also where two entries cannot reach each other.
func (r *Registry) Merge(now time.Time, reports []Report, from feed.Source) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var quarantined []Fingerprint
	for _, report := range reports {
		at := now.Add(-time.Duration(report.AgeMS) * time.Millisecond)
		if now.Sub(at) >= life || report.Server == "" && r.requests[report.Request] == nil {
			continue
		}
		rec := r.record(now, report.Request)
		was := rec.standing().IsQuarantined()
		r.add(rec, observation{server: report.Server, at: at}, from)
		if !was && rec.standing().IsQuarantined() {
			r.reportAgain(rec)
			quarantined = append(quarantined, report.Request)
		}
	}
	return quarantined
}

func (r *Registry) reportAgain(rec *record) {
	for i := range rec.crashes {
		rec.crashes[i].mark = r.learned.Mark(feed.Own)
	}
}
