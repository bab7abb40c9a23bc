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

// The failures of Pick. Both carry the outcome failure.NotRun and a pause.
var (
	// NoServer: no live server of the service is known.
	NoServer = failure.Unavailable.NewSubtype("no_server").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// AllFull: every live server of the service is full.
	AllFull = failure.Refused.NewSubtype("all_full").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
)

const (
	// sampleTries is how many servers are drawn at random before the whole
	// tier is looked through for two eligible ones.
	sampleTries = 6
	// coldShare is what a server at the begin of its slow start counts.
	coldShare = 0.1
	// lowestPriority is the least urgent of RFC 9218.
	lowestPriority = 7
)

// Choice is a picked server. Its request counts as in flight until Release.
type Choice struct {
	Server
	ticket   ticket
	released *atomic.Bool
}

// Release ends the choice; calls after the first have no effect.
func (c Choice) Release(result Result) {
	if c.released == nil || c.released.Swap(true) {
		return
	}
	c.ticket.finish(result)
}

// Pick chooses a server and counts the request as in flight there. It fails
// with NoServer or AllFull, both not run.
//
// Limits are read and then counted without a lock, so that goroutines which
// pick at the same instant may pass one by as many as they are.
func (s *Snapshot) Pick(now time.Time, rnd Rand, r Request) (Choice, error) {
	p := s.pools[r.Service]
	if p == nil {
		return Choice{}, s.refuse(NoServer, rnd, r.Service)
	}
	k := newPicking(s, p, now, &r)
	m := k.choose(rnd)
	if m == nil {
		return Choice{}, s.refuse(k.why(), rnd, r.Service)
	}
	p.group.inFlight.Add(1)
	m.state.inFlight.Add(1)
	return Choice{
		Server:   m.Server,
		ticket:   ticket{tracker: s.tracker, group: p.group, state: m.state, settings: &s.settings, picked: k.at},
		released: new(atomic.Bool),
	}, nil
}

// refuse returns a not-run failure with a pause between one and three times
// the setting, so that those refused together do not return together.
func (s *Snapshot) refuse(kind *errorx.Type, rnd Rand, service fleet.ServiceName) error {
	base := float64(s.settings.MinRetryAfter)
	pause := time.Duration(base * (1 + 2*rnd.Float64()))
	err := kind.New("service %q", string(service))
	return failure.WithRetryAfter(failure.WithOutcome(err, failure.NotRun), pause)
}

// picking is one run of Pick.
type picking struct {
	snapshot *Snapshot
	settings *Settings
	pool     *pool
	now      time.Time
	at       instant
	request  *Request
	life     time.Duration // time constant with which reports fade
	room     float64       // requests for each slot that this priority may fill
}

func newPicking(s *Snapshot, p *pool, now time.Time, r *Request) picking {
	priority := float64(min(max(r.Priority, 0), lowestPriority))
	return picking{
		snapshot: s,
		settings: &s.settings,
		pool:     p,
		now:      now,
		at:       s.tracker.since(now),
		request:  r,
		life:     p.reportLife(&s.settings),
		room:     (1 + s.settings.QueueShare) * (1 - s.settings.ReserveShare*priority/lowestPriority),
	}
}

func (k *picking) choose(rnd Rand) *member {
	if k.request.Require != "" {
		return k.required()
	}
	if k.request.PrefixKey != 0 {
		if m := k.byPrefix(); m != nil {
			return m
		}
	}
	if m := k.nearest(rnd); m != nil {
		return m
	}
	return k.lastResort(rnd)
}

func (k *picking) required() *member {
	for i := range k.pool.members {
		if k.pool.members[i].ID == k.request.Require {
			return &k.pool.members[i]
		}
	}
	return nil
}

// nearest takes the better of two from the entry's own zone, and looks
// farther only if that one is loaded.
func (k *picking) nearest(rnd Rand) *member {
	penalties := [tierCount]float64{0, k.settings.RegionPenalty, k.settings.FleetPenalty}
	var best *member
	bestCost := math.Inf(1)
	for tier, members := range k.pool.tiers {
		m, cost := k.leastOfTwo(members, rnd)
		if m != nil && cost+penalties[tier] < bestCost {
			best, bestCost = m, cost+penalties[tier]
		}
		if bestCost < k.settings.SpillThreshold {
			break
		}
	}
	return best
}

// leastOfTwo draws two eligible members and returns the cheaper one.
//
// Reports are seconds old and every entry sees the same ones. Were the least
// loaded taken, all entries would send everything to the server that became
// idle last, until the next report; callers there would wait while others
// idle. Of two drawn at random no server gets more than 2/n of the requests.
func (k *picking) leastOfTwo(members []*member, rnd Rand) (*member, float64) {
	first, second := k.drawTwo(members, rnd)
	if first == nil {
		return nil, math.Inf(1)
	}
	cost := k.cost(first)
	if second == nil {
		return first, cost
	}
	if other := k.cost(second); other < cost {
		return second, other
	}
	return first, cost
}

func (k *picking) drawTwo(members []*member, rnd Rand) (first, second *member) {
	for range min(sampleTries, len(members)) {
		m := members[rnd.IntN(len(members))]
		if m == first || k.verdict(m) != Eligible {
			continue
		}
		if first != nil {
			return first, m
		}
		first = m
	}
	return k.drawFromAll(members, rnd)
}

// drawFromAll draws two of the eligible members, each pair alike likely.
func (k *picking) drawFromAll(members []*member, rnd Rand) (first, second *member) {
	seen := 0
	for _, m := range members {
		if k.verdict(m) != Eligible {
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

// byPrefix returns the member that ranks first for the prefix key among those
// near whose load is within the bound; nil if there is none.
//
// Without the bound a popular prefix would pile up on one server while others
// idle; past it, its requests go on to the next in rank, so that a popular
// prefix is cached by as many servers as its load needs.
func (k *picking) byPrefix() *member {
	total := float64(k.pool.group.inFlight.Load()) + k.pool.others + 1
	bound := max(k.settings.AffinityFloor, k.settings.AffinityFactor*total/k.pool.slots)
	for _, members := range k.pool.tiers {
		if m := k.firstRanked(members, bound); m != nil {
			return m
		}
	}
	return nil
}

func (k *picking) firstRanked(members []*member, bound float64) *member {
	var best *member
	var bestRank uint64
	for _, m := range members {
		rank := rankOf(k.request.PrefixKey, m.hash)
		if best != nil && rank <= bestRank {
			continue
		}
		if k.verdict(m) != Eligible || k.weighted(m) > math.Ceil(bound*m.slots) {
			continue
		}
		best, bestRank = m, rank
	}
	return best
}

// rankOf is the rendezvous weight of a server for a key.
func rankOf(key, server uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], key)
	binary.LittleEndian.PutUint64(buffer[8:], server)
	return xxhash.Sum64(buffer[:])
}

// lastResort returns an ejected member when no other live one is left: a
// doubtful server is better than certain failure. Full servers do count as
// left, so that a broken server does not get the overflow.
func (k *picking) lastResort(rnd Rand) *member {
	var chosen *member
	ejected := 0
	for i := range k.pool.members {
		m := &k.pool.members[i]
		switch k.verdict(m) {
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

// why returns the failure for a request that no server can take.
func (k *picking) why() *errorx.Type {
	for i := range k.pool.members {
		switch k.verdict(&k.pool.members[i]) {
		case Full, Busy:
			return AllFull
		}
	}
	return NoServer
}

func (k *picking) verdict(m *member) Verdict {
	r := k.request
	switch {
	case r.Require != "" && r.Require != m.ID:
		return Excluded
	case len(r.Exclude) > 0 && slices.Contains(r.Exclude, m.ID):
		return Excluded
	case m.Draining:
		return Draining
	case k.at < m.state.ejectedUntil.Load():
		return Ejected
	case k.at < m.state.busyUntil.Load():
		return Busy
	case k.full(m):
		return Full
	default:
		return Eligible
	}
}

// full reports whether the server has no room for this priority. Others'
// requests fade to nothing here, so that a server whose reports stopped is
// not taken for full for ever.
func (k *picking) full(m *member) bool {
	own := float64(m.state.inFlight.Load())
	if m.ConcurrencyLimit > 0 && own >= float64(m.ConcurrencyLimit) {
		return true
	}
	others := m.others * m.freshness(k.now, k.life)
	return own+others+1 > math.Ceil(m.slots*k.room)
}

// othersNow estimates the requests that are not this entry's: the mean of the
// server's tier, moved by a part towards the server's own report, which
// shrinks to nothing as the report ages.
//
// A report tells what a server did some seconds ago, and all entries react to
// it at once. Believed in full, it makes them swing together from server to
// server; the mean of many reports does not swing.
func (k *picking) othersNow(m *member) float64 {
	mean := k.pool.tierOthers[m.tier] * m.slots
	trust := k.settings.ReportWeight * m.freshness(k.now, k.life)
	return mean + trust*(m.others-mean)
}

// loadAfter is the number of requests at the server were this one added.
func (k *picking) loadAfter(m *member) float64 {
	return float64(m.state.inFlight.Load()) + k.othersNow(m) + 1
}

// weighted is loadAfter, raised for a cold server. A slow server needs no
// raise of its own: it keeps its requests for longer.
func (k *picking) weighted(m *member) float64 {
	return k.loadAfter(m) / k.warmth(m)
}

func (k *picking) cost(m *member) float64 { return k.weighted(m) / m.slots }

// warmth is the share that a server in its slow start counts, from coldShare
// to 1. A server that just loaded has empty caches; a full share at once
// would make its first callers wait and could fail it again.
func (k *picking) warmth(m *member) float64 {
	if m.state.warmFrom.Load() == unset {
		m.state.warmFrom.CompareAndSwap(unset, k.at)
	}
	from := max(m.since, m.state.warmFrom.Load())
	if from == longAgo {
		return 1
	}
	passed := float64(k.at-from) / float64(k.settings.SlowStartTime)
	return min(1, max(coldShare, passed))
}
