package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Source is where an observation came from. It decides who is told.
type Source uint8

const (
	// Own: this entry observed it. Everybody is told.
	Own Source = iota
	// Near: an entry of the own group reported it, and has told the others of the
	// group itself.
	Near
	// Far: an entry of another group reported it. Groups tell each other themselves.
	Far
)

const (
	// mostReports bounds the reports of one message; the rest follows in the next.
	mostReports = 24
	// mostFirstReports bounds those of the first message to a peer.
	mostFirstReports = 256
)

// numberedReport is a report with the change at which it was learned.
type numberedReport struct {
	Report
	change uint64
	// crashes is how many are known of the request.
	crashes int
}

// Since returns what is to be reported to a peer, which is Near or Far, after an
// earlier call that returned the number change, and the number for the next one.
// With 0 it returns all that is known: the peer may have missed what others
// reported.
func (r *Registry) Since(now time.Time, change uint64, to Source) ([]Report, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change >= r.change {
		return nil, change
	}
	due := r.due(now, change, to)
	next := r.change
	switch {
	case change == 0:
		slices.SortFunc(due, func(a, b numberedReport) int { return cmp.Compare(b.crashes, a.crashes) })
		due = due[:min(len(due), mostFirstReports)]
	case len(due) > mostReports:
		due = due[:mostReports]
		next = due[mostReports-1].change
	}
	reports := make([]Report, 0, len(due))
	for _, d := range due {
		reports = append(reports, d.Report)
	}
	return reports, next
}

// due returns the reports for a peer in the order in which they were learned.
func (r *Registry) due(now time.Time, change uint64, to Source) []numberedReport {
	var due []numberedReport
	for request, rec := range r.requests {
		rec.expire(now)
		for _, o := range append(slices.Clone(rec.crashes), rec.success) {
			if o.change <= change || change != 0 && o.source == to {
				continue
			}
			report := Report{Request: request, Server: o.server, AgeMS: now.Sub(o.at).Milliseconds()}
			due = append(due, numberedReport{Report: report, change: o.change, crashes: len(rec.crashes)})
		}
	}
	slices.SortFunc(due, func(a, b numberedReport) int { return cmp.Compare(a.change, b.change) })
	return due
}

// Merge takes the reports of another entry and returns the requests that are
// quarantined by them.
//
// Those are reported to everybody again, whoever observed the crashes, so that
// they spread also where two entries cannot reach each other.
func (r *Registry) Merge(now time.Time, reports []Report, from Source) []Fingerprint {
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
		r.add(rec, observation{server: report.Server, at: at, source: from})
		if !was && rec.standing().IsQuarantined() {
			r.reportAgain(rec)
			quarantined = append(quarantined, report.Request)
		}
	}
	return quarantined
}

func (r *Registry) reportAgain(rec *record) {
	for i := range rec.crashes {
		r.change++
		rec.crashes[i].source = Own
		rec.crashes[i].change = r.change
	}
}
