package quarantine

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
)

const (
	// maxReports bounds the reports in one message; the rest follow in the next one.
	maxReports = 24
	// maxFirstReports bounds the reports in the first message to a peer.
	maxFirstReports = 256
)

// weightedReport is a report with its weight: the number of known crashes of its request.
type weightedReport struct {
	Report
	weight int
}

// pinnedWeight is the weight of reports that explain the quarantine of a part.
const pinnedWeight = 2 * maxCrashes

// Since returns the reports that a peer in the same or another group lacks, and the
// peer's cursor once it has received them. Of a long first message only the reports of
// requests with the most crashes are sent.
func (r *Registry) Since(now time.Time, sent feed.Cursor, to feed.Source) ([]Report, feed.Cursor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	backlog := feed.NewBacklog[weightedReport](&r.counter, sent, to)
	if backlog.IsUpToDate() {
		return nil, sent
	}
	for request, rec := range r.requests {
		rec.expire(now)
		for _, o := range append(slices.Clone(rec.crashes), rec.success) {
			if backlog.Lacks(o.mark) {
				report := Report{Request: request, Server: o.server, AgeMS: now.Sub(o.at).Milliseconds(), Parts: o.parts}
				backlog.Add(o.mark, weightedReport{report, rec.weight()})
			}
		}
	}
	for part, rec := range r.parts.records {
		if backlog.Lacks(rec.mark) {
			report := Report{AgeMS: now.Sub(rec.success).Milliseconds(), Parts: []Part{part}}
			backlog.Add(rec.mark, weightedReport{Report: report})
		}
	}
	due, next := backlog.Message(maxReports)
	if sent == 0 {
		slices.SortFunc(due, func(a, b weightedReport) int { return cmp.Compare(b.weight, a.weight) })
		due = due[:min(len(due), maxFirstReports)]
	}
	reports := make([]Report, 0, len(due))
	for _, d := range due {
		reports = append(reports, d.Report)
	}
	return reports, next
}

func (rec *record) weight() int {
	if rec.isPinned {
		return pinnedWeight
	}
	return len(rec.crashes)
}

// Merge adds the reports of another entry and returns the requests that are
// quarantined as a result.
//
// The crashes of those requests, and those that quarantine a part, are reported to all
// peers again, whoever observed them, so that they also spread where two entries cannot
// reach each other.
func (r *Registry) Merge(now time.Time, reports []Report, from feed.Source) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var quarantined []Fingerprint
	partsBefore := r.parts.quarantined
	for _, report := range reports {
		at := fleet.Ago(now, report.AgeMS)
		if report.isPartSuccess() {
			r.mergePartSuccess(at, report.Parts, from)
			continue
		}
		if now.Sub(at) >= crashTTL || report.Server == "" && r.requests[report.Request] == nil {
			continue
		}
		o := observation{server: report.Server, at: at, parts: report.Parts[:min(len(report.Parts), MaxParts)]}
		if r.addQuarantines(now, report.Request, o, from) {
			r.reportAgain(r.requests[report.Request])
			quarantined = append(quarantined, report.Request)
		}
	}
	r.settle()
	r.reportPartsAgain(partsBefore)
	return quarantined
}

// addQuarantines adds an observation and reports whether that quarantines the request.
func (r *Registry) addQuarantines(now time.Time, request Fingerprint, o observation, from feed.Source) bool {
	was := r.statusOf(r.record(now, request)).IsQuarantined()
	r.add(now, request, o, from)
	return !was && r.statusOf(r.requests[request]).IsQuarantined()
}

func (r *Registry) mergePartSuccess(at time.Time, parts []Part, from feed.Source) {
	for _, part := range parts {
		if r.parts.reportedProved(part, at) {
			r.parts.records[part].mark = r.counter.Mark(from)
		}
	}
}

// reportPartsAgain reports the crashes again that have led to the quarantine of a part.
func (r *Registry) reportPartsAgain(before map[Part]partVerdict) {
	for part := range r.parts.quarantined {
		if _, ok := before[part]; ok {
			continue
		}
		for _, rec := range r.requests {
			for i, o := range rec.crashes {
				if slices.Contains(o.parts, part) {
					rec.crashes[i].mark = r.counter.Mark(feed.Local)
				}
			}
		}
	}
}

func (r *Registry) reportAgain(rec *record) {
	for i := range rec.crashes {
		rec.crashes[i].mark = r.counter.Mark(feed.Local)
	}
}
