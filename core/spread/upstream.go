package spread

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chivespindle.example/core/weights"
)

const (
	// maxUpstreamFetches is the number of concurrent upstream fetches of one member. A
	// machine's link is slower than the origin's, so more would only slow each other
	// down.
	maxUpstreamFetches = 2

	slackChunks = 8
	slackMin    = 250 * time.Millisecond

	// outagePace is the fraction of its normal speed at which the schedule advances
	// while the origin fails this member and no other member shows a new chunk either.
	outagePace = 1.0 / 16
	// outageMinMissing is the minimum share of chunks missing in the fleet for the
	// schedule to be held back. Below it, each additional copy adds another holder, and
	// the last chunks reach all members sooner.
	outageMinMissing = 0.34

	// rankScale is the rank up to which waiting times grow roughly linearly; beyond it
	// they grow logarithmically.
	rankScale = 2
	// ticksPerOrphanDelay is the number of steps in which OrphanDelay is counted.
	ticksPerOrphanDelay = 4
)

// Queues of upstream fetches that are due, in the order in which they are examined.
const (
	queueOwn      = iota // this member ranks first
	queueOrphan          // the chunk exists, but no usable neighbour holds it
	queueTakeover        // the members ranked before this one did not deliver
	queueCount
)

// upstreamFetch is a scheduled upstream fetch: a chunk that this member fetches from
// the origin or the store.
type upstreamFetch struct {
	chunk int
	// due is relative to the opening of the schedule and excludes its lag.
	due time.Duration
}

// upstreamSchedule is the schedule of upstream fetches of this member.
type upstreamSchedule struct {
	// started is when the plan was created, opened when the schedule opened; upstream
	// fetches start only after that.
	started, opened time.Time
	hasMembers      bool

	// ordinal is the position of each chunk in the schedule; -1 for chunks that already
	// existed in the fleet when the schedule opened.
	ordinal  []int32
	timeline []upstreamFetch // sorted by due; entries before next were moved to ready
	next     int
	ready    [queueCount][]upstreamFetch
	// nextCheck is the earliest time at which examining ready can start a fetch.
	nextCheck time.Time

	// lag is how far the origin is behind the schedule; outageLagAt is when it last grew
	// because of an origin outage.
	lag         time.Duration
	outageLagAt time.Time
	frontier    int32

	// orphanTicks is the number of ticks for which each chunk has been an orphan.
	orphanTicks    []uint8
	nextOrphanTick time.Time
	orphans        *weights.Set // in ready[queueOrphan]

	origin, store               source
	retries                     map[int]retry
	runningOrigin, runningStore int
	// charged is the number of fetches from the origin that count against the quota.
	charged int
}

func newUpstreamSchedule(chunks int, start time.Time) upstreamSchedule {
	return upstreamSchedule{
		started:     start,
		ordinal:     make([]int32, chunks),
		frontier:    -1,
		orphanTicks: make([]uint8, chunks),
		orphans:     weights.NewSet(chunks),
		retries:     map[int]retry{},
	}
}

func (d *upstreamSchedule) isOpen() bool { return !d.opened.IsZero() }

func (d *upstreamSchedule) fetchEnded(kind SourceKind) {
	switch kind {
	case SourceOrigin:
		d.runningOrigin--
	case SourceStore:
		d.runningStore--
	case SourcePeer:
		return
	}
	d.nextCheck = time.Time{}
}

// chunkAppeared records a new chunk in the fleet and updates the lag of the origin.
//
// If the schedule followed the clock alone, an origin slower than OriginRate would
// receive more and more concurrent requests, each chunk would arrive after its takeover
// time, and members would fetch the same chunks again and slow the origin further. The
// schedule therefore stops while the origin is late.
func (d *upstreamSchedule) chunkAppeared(now time.Time, chunk int, s Settings) {
	if !d.isOpen() || d.ordinal[chunk] <= d.frontier {
		return
	}
	d.frontier = d.ordinal[chunk]
	d.lag = max(0, now.Sub(d.opened)-d.nextChunkDue(s))
	d.nextCheck = time.Time{}
}

// openSchedule opens the schedule once this member knows enough of the fleet.
//
// Otherwise a member that starts among complete members would fetch chunks from the
// origin before it learns that they all hold them.
func (p *Plan) openSchedule(now time.Time) {
	d := &p.upstream
	if d.isOpen() || !d.hasMembers {
		return
	}
	if now.Before(d.started.Add(p.settings.ReportWait)) && !p.hasEnoughReports() {
		return
	}
	d.opened = now
	d.nextOrphanTick = now.Add(p.settings.OrphanDelay / ticksPerOrphanDelay)
	position := int32(0)
	for _, chunk := range p.roster.originOrder() {
		d.ordinal[chunk] = -1
		if !p.seen.Has(chunk) {
			d.ordinal[chunk] = position
			position++
		}
	}
	p.buildTimeline()
}

func (p *Plan) hasEnoughReports() bool {
	reported := 0
	for _, from := range p.peers {
		if from.hasReported {
			reported++
		}
	}
	others := min(len(p.roster.members)-1, p.settings.MaxNeighbours)
	return 2*reported >= others
}

// buildTimeline rebuilds the timeline. The chunk at position n is due n paces after the
// opening, so that the origin's link sends one chunk after the other at full rate. If
// all chunks were requested at once, the link would send them concurrently, and none
// would be complete and available to peers before nearly a whole copy had been sent.
func (p *Plan) buildTimeline() {
	d := &p.upstream
	d.timeline = d.timeline[:0]
	d.next = 0
	for queue := range d.ready {
		d.ready[queue] = nil
	}
	d.orphans.Clear()
	d.nextCheck = time.Time{}
	for chunk, position := range d.ordinal {
		if position < 0 || p.seen.Has(chunk) {
			continue
		}
		due := time.Duration(position)*p.settings.pace + p.rankDelay(chunk, p.settings.TakeoverDelay)
		d.timeline = append(d.timeline, upstreamFetch{chunk: chunk, due: due})
	}
	slices.SortFunc(d.timeline, func(a, b upstreamFetch) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.chunk, b.chunk))
	})
}

// rankDelay returns the delay that this member's rank for the chunk adds: about one, two
// and three takeover times for the second to fourth in rank, so that each learns of the
// fetch before it, and only a few more for the hundredth, so that a small partition
// does not wait long.
func (p *Plan) rankDelay(chunk int, takeover time.Duration) time.Duration {
	rank := float64(p.roster.effectiveRank(chunk))
	return time.Duration(rankScale * math.Log2(1+rank/rankScale) * float64(takeover))
}

// queueDue moves upstream fetches that have come due to their queues.
func (p *Plan) queueDue(now time.Time) {
	d := &p.upstream
	d.holdDuringOutage(now, p.settings, 1-float64(p.seen.Count())/float64(p.seen.Len()))
	for ; d.next < len(d.timeline); d.next++ {
		next := d.timeline[d.next]
		if now.Before(d.dueAt(next)) {
			return
		}
		if p.seen.Has(next.chunk) {
			continue
		}
		queue := queueTakeover
		if p.roster.effectiveRank(next.chunk) == 0 {
			queue = queueOwn
		}
		d.ready[queue] = append(d.ready[queue], next)
		d.nextCheck = time.Time{}
	}
}

func (d *upstreamSchedule) dueAt(next upstreamFetch) time.Time { return d.opened.Add(d.lag + next.due) }

// holdDuringOutage holds the schedule back during an origin outage: the origin fails
// this member, and no new chunk appears in the fleet.
//
// If the schedule went on, most chunks would be due at several members when the origin
// recovers. All would be requested at once, none would be complete before nearly all
// had been sent, and some would be sent several times. Where there is a store, members
// fetch from it instead.
func (d *upstreamSchedule) holdDuringOutage(now time.Time, s Settings, missing float64) {
	if !d.isOpen() || !s.NoStore || d.origin.failures == 0 || missing < outageMinMissing {
		return
	}
	quietSince := later(d.opened.Add(d.lag+d.nextChunkDue(s)), d.outageLagAt)
	if quiet := now.Sub(quietSince); quiet > 0 {
		d.lag += time.Duration((1 - outagePace) * float64(quiet))
		d.outageLagAt = now
	}
}

// nextChunkDue returns the time in the schedule by which the chunk after the newest one
// in the fleet should appear.
func (d *upstreamSchedule) nextChunkDue(s Settings) time.Duration {
	return time.Duration(d.frontier+1)*s.pace + max(slackMin, slackChunks*s.pace)
}

// queueOrphans queues chunks that exist but that no usable neighbour has held for
// OrphanDelay plus the delay of this member's rank: their only holder may have failed.
func (p *Plan) queueOrphans(now time.Time) {
	d := &p.upstream
	if now.Before(d.nextOrphanTick) {
		return
	}
	d.nextOrphanTick = now.Add(p.settings.OrphanDelay / ticksPerOrphanDelay)
	for chunk := range p.rarity.byHolders[0].Difference(p.have) {
		if !p.seen.Has(chunk) || d.orphans.Has(chunk) {
			continue
		}
		if d.orphanTicks[chunk] < math.MaxUint8 {
			d.orphanTicks[chunk]++
		}
		waited := time.Duration(d.orphanTicks[chunk]) * p.settings.OrphanDelay / ticksPerOrphanDelay
		if waited < p.settings.OrphanDelay+p.rankDelay(chunk, p.settings.OrphanDelay) {
			continue
		}
		d.orphans.Add(chunk)
		d.ready[queueOrphan] = append(d.ready[queueOrphan], upstreamFetch{chunk: chunk})
		d.nextCheck = time.Time{}
	}
}

// nextUpstreamFetch returns the next upstream fetch to start now, if any.
func (p *Plan) nextUpstreamFetch(now time.Time) (Fetch, bool) {
	d := &p.upstream
	if !d.isOpen() || d.runningOrigin+d.runningStore >= maxUpstreamFetches || now.Before(d.nextCheck) {
		return Fetch{}, false
	}
	d.nextCheck = now.Add(p.settings.SourcePauseMax)
	for queue := range d.ready {
		if f, ok := p.nextInQueue(now, queue); ok {
			d.nextCheck = time.Time{}
			return f, true
		}
	}
	return Fetch{}, false
}

// nextInQueue returns the first upstream fetch of a queue that can start, and removes
// those that are no longer needed.
func (p *Plan) nextInQueue(now time.Time, queue int) (Fetch, bool) {
	d := &p.upstream
	kept := d.ready[queue][:0]
	for i, next := range d.ready[queue] {
		if !p.isNeeded(queue, next.chunk) {
			d.orphans.Remove(next.chunk)
			continue
		}
		kept = append(kept, next)
		if p.inFlight.Has(next.chunk) {
			continue
		}
		kind, at := p.sourceOf(queue, next)
		if now.Before(at) {
			d.nextCheck = earlier(d.nextCheck, at)
			p.clearCorruptMark(next.chunk)
			continue
		}
		kept = append(kept, d.ready[queue][i+1:]...)
		d.ready[queue] = kept
		return p.startUpstreamFetch(now, next.chunk, kind), true
	}
	d.ready[queue] = kept
	return Fetch{}, false
}

func (p *Plan) isNeeded(queue, chunk int) bool {
	if queue == queueOrphan {
		return !p.have.Has(chunk) && !p.rarity.held(chunk)
	}
	return !p.seen.Has(chunk)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times. A zero time is ignored.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
