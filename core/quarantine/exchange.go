package quarantine

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/feed"
)

const (
	// maxReports bounds the reports in one message; the rest follow in the next one.
	maxReports = 24
	// maxFirstReports bounds the reports in the first message to a peer.
	maxFirstReports = 256
)

// countedReport is a report with the number of known crashes of its request.
type countedReport struct {
	Report
	crashes int
}

// Since returns the reports that a peer in the same or another group lacks, and the
// peer's cursor once it has received them. Of a long first message only the reports of
// requests with the most crashes are sent.
func (r *Registry) Since(now time.Time, sent feed.Cursor, to feed.Source) ([]Report, feed.Cursor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	backlog := feed.NewBacklog[countedReport](&r.counter, sent, to)
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
	due, next := backlog.Message(maxReports)
	if sent == 0 {
		slices.SortFunc(due, func(a, b countedReport) int { return cmp.Compare(b.crashes, a.crashes) })
		due = due[:min(len(due), maxFirstReports)]
	}
	reports := make([]Report, 0, len(due))
	for _, d := range due {
		reports = append(reports, d.Report)
	}
	return reports, next
}

// Merge adds the reports of another entry and returns the requests that are
// quarantined as a result.
//
// The crashes of those requests are reported to all peers again, whoever observed
// them, so that they also spread where two entries cannot reach each other.
func (r *Registry) Merge(now time.Time, reports []Report, from feed.Source) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var quarantined []Fingerprint
	for _, report := range reports {
		at := now.Add(-time.Duration(report.AgeMS) * time.Millisecond)
		if now.Sub(at) >= crashTTL || report.Server == "" && r.requests[report.Request] == nil {
			continue
		}
		rec := r.record(now, report.Request)
		wasQuarantined := rec.status().IsQuarantined()
		r.add(rec, observation{server: report.Server, at: at}, from)
		if !wasQuarantined && rec.status().IsQuarantined() {
			r.reportAgain(rec)
			quarantined = append(quarantined, report.Request)
		}
	}
	return quarantined
}

func (r *Registry) reportAgain(rec *record) {
	for i := range rec.crashes {
		rec.crashes[i].mark = r.counter.Mark(feed.Local)
	}
}
