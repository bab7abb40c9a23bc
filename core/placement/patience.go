package placement

import (
	"slices"
	"sync"
	"time"
)

const (
	// returnedAfter is how much less time than a new caller has on its route one
	// must have to count as one that came back: more than a request takes on its
	// way here, less than the shortest wait that callers are told.
	returnedAfter = 100 * time.Millisecond
	// untilKnown is the part of the longest time seen below which a caller counts
	// as one that came back while it is not known how far new callers' times lie
	// apart: a refusal has them wait for a tenth of their time at least.
	untilKnown = 0.9
	// patienceSamples is how many new callers' times are remembered of a route,
	// and patienceRank which of them, from the shortest, is taken for the least
	// that new callers have: a stray one must not decide.
	patienceSamples = 64
	patienceRank    = 1
)

// RetryDetector tells callers that come back after a refusal from new ones, by how
// much of their time is left. It is safe for concurrent use.
//
// New callers need not all have the same time. Taken for clients' retries, those
// whose time is a little shorter than others' would count as late and wait for the
// places of late ones. Retries come on new connections only, so the times of new
// callers are learned from calls on connections that were used before.
type RetryDetector struct {
	mu     sync.Mutex
	routes map[string]*patienceRecord
}

// patienceRecord is what is known of new callers on a route.
type patienceRecord struct {
	longest time.Duration
	kept    []time.Duration // a ring of calls on kept connections
	next    int
	least   time.Duration // 0 while no such call was seen
}

// IsClientRetry reports whether a caller on a route with so much time left came
// back. isKept tells that the call came on a connection that had carried one
// before. A time of 0 means that the caller did not say.
func (p *RetryDetector) IsClientRetry(route string, left time.Duration, isKept bool) bool {
	if left <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(route)
	r.longest = max(r.longest, left)
	if isKept {
		r.keep(left)
		return false
	}
	if r.least == 0 {
		return float64(left) < untilKnown*float64(r.longest)
	}
	return left < r.least-returnedAfter
}

func (p *RetryDetector) record(route string) *patienceRecord {
	if p.routes == nil {
		p.routes = make(map[string]*patienceRecord)
	}
	r := p.routes[route]
	if r == nil {
		r = &patienceRecord{}
		p.routes[route] = r
	}
	return r
}

// keep takes the time of a new caller.
func (r *patienceRecord) keep(left time.Duration) {
	if len(r.kept) < patienceSamples {
		r.kept = append(r.kept, left)
	} else {
		r.kept[r.next] = left
		r.next = (r.next + 1) % patienceSamples
	}
	sorted := slices.Sorted(slices.Values(r.kept))
	r.least = sorted[min(patienceRank, len(sorted)-1)]
}
