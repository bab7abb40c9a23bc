package balance

import (
	"encoding/binary"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Errors of Pick. Both carry the outcome failure.NotRun and a retry delay.
var (
	// NoServer: no live server of the service is known.
	NoServer = failure.Unavailable.NewSubtype("no_server").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// AllFull: every live server of the service is full.
	AllFull = failure.Refused.NewSubtype("all_full").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
)

const (
	// maxSamples is how many servers are sampled at random before the whole
	// tier is searched for two eligible ones.
	maxSamples = 6
	// minWarmup is the warm-up share of a server at the start of its slow
	// start.
	minWarmup = 0.1
	// lowestPriority is the least urgent priority of RFC 9218.
	lowestPriority = 7
)

// Choice is a picked server. Its request counts as in flight until Release is
// called.
type Choice struct {
	Server
	open     openRequest
	released *atomic.Bool
}

// Release ends the request; calls after the first have no effect.
func (c Choice) Release(result Result) {
	if c.released == nil || c.released.Swap(true) {
		return
	}
	c.open.release(result)
}

// Pick chooses a server and counts the request as in flight there. It fails
// with NoServer or AllFull; in both cases the request did not run.
//
// Limits are read and then counted without a lock, so concurrent calls may
// exceed a limit by as many requests as there are calls.
func (s *Snapshot) Pick(now time.Time, rnd Rand, r Request) (Choice, error) {
	p := s.pools[r.Service]
	if p == nil {
		return Choice{}, s.refuse(NoServer, rnd, r.Service)
	}
	sel := newSelection(s, p, now, &r)
	m := sel.pick(rnd)
	if m == nil {
		return Choice{}, s.refuse(sel.failureType(), rnd, r.Service)
	}
	p.service.inFlight.Add(1)
	m.state.inFlight.Add(1)
	return Choice{
		Server:   m.Server,
		open:     openRequest{tracker: s.tracker, service: p.service, server: m.state, settings: &s.settings, pickedAt: sel.at},
		released: new(atomic.Bool),
	}, nil
}

// refuse returns a not-run error with a retry delay between one and three times
// MinRetryAfter, so that callers refused at the same time do not retry at the
// same time.
func (s *Snapshot) refuse(kind *errorx.Type, rnd Rand, service fleet.ServiceName) error {
	base := float64(s.settings.MinRetryAfter)
	delay := time.Duration(base * (1 + 2*rnd.Float64()))
	err := kind.New("service %q", string(service))
	return failure.WithRetryAfter(failure.WithOutcome(err, failure.NotRun), delay)
}

// selection holds the state of one call of Pick.
type selection struct {
	snapshot    *Snapshot
	settings    *Settings
	pool        *pool
	now         time.Time
	at          instant
	request     *Request
	reportDecay time.Duration // time constant for the decay of reports
	fillLimit   float64       // requests per slot that this priority may fill
}

func newSelection(s *Snapshot, p *pool, now time.Time, r *Request) selection {
	priority := float64(min(max(r.Priority, 0), lowestPriority))
	return selection{
		snapshot:    s,
		settings:    &s.settings,
		pool:        p,
		now:         now,
		at:          s.tracker.instantOf(now),
		request:     r,
		reportDecay: p.reportDecay(&s.settings),
		fillLimit:   (1 + s.settings.QueueShare) * (1 - s.settings.ReserveShare*priority/lowestPriority),
	}
}

func (sel *selection) pick(rnd Rand) *member {
	if sel.request.Require != "" {
		return sel.pickRequired()
	}
	if sel.request.PrefixKey != 0 {
		if m := sel.pickByPrefix(); m != nil {
			return m
		}
	}
	if m := sel.pickNearest(rnd); m != nil {
		return m
	}
	return sel.pickEjected(rnd)
}

func (sel *selection) pickRequired() *member {
	for i := range sel.pool.members {
		if sel.pool.members[i].ID == sel.request.Require {
			return &sel.pool.members[i]
		}
	}
	return nil
}

// pickNearest takes the cheaper of two servers from the entry's own zone, and
// tries farther tiers only if that one is loaded.
func (sel *selection) pickNearest(rnd Rand) *member {
	penalties := [tierCount]float64{0, sel.settings.RegionPenalty, sel.settings.FleetPenalty}
	var best *member
	bestCost := math.Inf(1)
	for tier, members := range sel.pool.tiers {
		m, cost := sel.cheaperOfTwo(members, rnd)
		if m != nil && cost+penalties[tier] < bestCost {
			best, bestCost = m, cost+penalties[tier]
		}
		if bestCost < sel.settings.SpillThreshold {
			break
		}
	}
	return best
}

// cheaperOfTwo samples two eligible members and returns the cheaper one (power of
// two choices).
//
// Reports are seconds old and all entries receive the same ones. If the least
// loaded server were taken, all entries would send everything to the server
// that became idle last until the next report; callers would wait there while
// other servers are idle. With two random samples, no server gets more than 2/n
// of the requests.
func (sel *selection) cheaperOfTwo(members []*member, rnd Rand) (*member, float64) {
	first, second := sel.sampleTwo(members, rnd)
	if first == nil {
		return nil, math.Inf(1)
	}
	cost := sel.cost(first)
	if second == nil {
		return first, cost
	}
	if other := sel.cost(second); other < cost {
		return second, other
	}
	return first, cost
}

func (sel *selection) sampleTwo(members []*member, rnd Rand) (first, second *member) {
	for range min(maxSamples, len(members)) {
		m := members[rnd.IntN(len(members))]
		if m == first || sel.verdict(m) != Eligible {
			continue
		}
		if first != nil {
			return first, m
		}
		first = m
	}
	return sel.sampleTwoOfAll(members, rnd)
}

// sampleTwoOfAll samples two of the eligible members, each pair with equal
// probability.
func (sel *selection) sampleTwoOfAll(members []*member, rnd Rand) (first, second *member) {
	seen := 0
	for _, m := range members {
		if sel.verdict(m) != Eligible {
			continue
		}
		seen++
		switch slot := rnd.IntN(seen); {
		case seen == 1:
			first = m
		case seen == 2:
			second = m
		case slot == 0:
			first = m
		case slot == 1:
			second = m
		}
	}
	return first, second
}

// pickByPrefix returns the highest ranked member for the prefix key whose load
// is within the bound, from the nearest tier that has one; nil if there is
// none.
//
// Without the bound, a popular prefix would overload one server while others
// are idle. Above it, requests go to the next server in rank, so that a popular
// prefix is cached by as many servers as its load requires.
func (sel *selection) pickByPrefix() *member {
	total := float64(sel.pool.service.inFlight.Load()) + sel.pool.others + 1
	bound := max(sel.settings.AffinityFloor, sel.settings.AffinityFactor*total/sel.pool.slots)
	for _, members := range sel.pool.tiers {
		if m := sel.highestRanked(members, bound); m != nil {
			return m
		}
	}
	return nil
}

func (sel *selection) highestRanked(members []*member, bound float64) *member {
	var best *member
	var bestRank uint64
	for _, m := range members {
		rank := rendezvousRank(sel.request.PrefixKey, m.hash)
		if best != nil && rank <= bestRank {
			continue
		}
		if sel.verdict(m) != Eligible || sel.weightedLoad(m) > math.Ceil(bound*m.slots) {
			continue
		}
		best, bestRank = m, rank
	}
	return best
}

// rendezvousRank returns the rendezvous-hash rank of a server for a key.
func rendezvousRank(key, server uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], key)
	binary.LittleEndian.PutUint64(buffer[8:], server)
	return xxhash.Sum64(buffer[:])
}

// pickEjected returns an ejected member if no other live one is left: a
// possibly failing server is better than a certain refusal. Full servers count
// as left, so that a failing server does not receive the overflow.
func (sel *selection) pickEjected(rnd Rand) *member {
	var chosen *member
	ejected := 0
	for i := range sel.pool.members {
		m := &sel.pool.members[i]
		switch sel.verdict(m) {
		case Full, Busy:
			return nil
		case Ejected:
			ejected++
			if rnd.IntN(ejected) == 0 {
				chosen = m
			}
		}
	}
	return chosen
}

// failureType returns the error type for a request that no server can take.
func (sel *selection) failureType() *errorx.Type {
	for i := range sel.pool.members {
		switch sel.verdict(&sel.pool.members[i]) {
		case Full, Busy:
			return AllFull
		}
	}
	return NoServer
}

func (sel *selection) verdict(m *member) Verdict {
	r := sel.request
	switch {
	case r.Require != "" && r.Require != m.ID:
		return Excluded
	case len(r.Exclude) > 0 && slices.Contains(r.Exclude, m.ID):
		return Excluded
	case m.Draining:
		return Draining
	case sel.at < m.state.ejectedUntil.Load():
		return Ejected
	case sel.at < m.state.busyUntil.Load():
		return Busy
	case sel.isFull(m):
		return Full
	default:
		return Eligible
	}
}

// isFull reports whether the server has no capacity left for this priority. The
// estimate of other requests decays to zero, so that a server whose reports
// have stopped is not considered full indefinitely.
func (sel *selection) isFull(m *member) bool {
	own := float64(m.state.inFlight.Load())
	if m.ConcurrencyLimit > 0 && own >= float64(m.ConcurrencyLimit) {
		return true
	}
	others := m.others * m.freshness(sel.now, sel.reportDecay)
	return own+others+1 > math.Ceil(m.slots*sel.fillLimit)
}

// estimateOthers estimates the requests of others at the server: the mean of
// the server's tier, moved part of the way towards the server's own report.
// That part decays to zero as the report ages.
//
// A report describes the load some seconds ago, and all entries react to it at
// once. If they relied on it fully, they would oscillate together from server
// to server; the mean of many reports does not oscillate.
func (sel *selection) estimateOthers(m *member) float64 {
	mean := sel.pool.tierOthers[m.tier] * m.slots
	weight := sel.settings.ReportWeight * m.freshness(sel.now, sel.reportDecay)
	return mean + weight*(m.others-mean)
}

// loadAfter returns the number of requests at the server including this one.
func (sel *selection) loadAfter(m *member) float64 {
	return float64(m.state.inFlight.Load()) + sel.estimateOthers(m) + 1
}

// weightedLoad returns loadAfter, raised for a server in its slow start. A slow
// server needs no extra weight: its requests stay in flight for longer.
func (sel *selection) weightedLoad(m *member) float64 {
	return sel.loadAfter(m) / sel.warmupShare(m)
}

func (sel *selection) cost(m *member) float64 { return sel.weightedLoad(m) / m.slots }

// warmupShare returns the share of its full weight at which a server in its
// slow start counts, from minWarmup to 1. A server that has just loaded has
// empty caches; a full share of requests at once would delay its first callers
// and could make it fail again.
func (sel *selection) warmupShare(m *member) float64 {
	if m.state.slowStartFrom.Load() == unset {
		m.state.slowStartFrom.CompareAndSwap(unset, sel.at)
	}
	from := max(m.slowStartFrom, m.state.slowStartFrom.Load())
	if from == noSlowStart {
		return 1
	}
	passed := float64(sel.at-from) / float64(sel.settings.SlowStartTime)
	return min(1, max(minWarmup, passed))
}
