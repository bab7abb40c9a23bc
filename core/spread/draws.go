package spread

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chivespindle.example/core/weights"
)

const (
	// maxDraws is the number of concurrent draws of one member. A machine's
	// link is slower than the origin's, so more would only slow each other.
	maxDraws = 2

	slackChunks = 8
	slackMin    = 250 * time.Millisecond

	// awayPace is the part of its speed at which the schedule goes on for a member
	// that the origin fails, while no other shows a new chunk either.
	awayPace = 1.0 / 16
	// awayMissing is the share of the chunks that must be missing in the fleet for the
	// schedule to be held back. Of fewer, each copy more is another holder, and the
	// last chunks are everywhere sooner.
	awayMissing = 0.34

	// rankScale is the rank up to which waiting times grow evenly.
	rankScale = 2
	// ageTicks is the number of steps in which OrphanTime is counted.
	ageTicks = 4
)

// Queues of draws that are due, in the order in which they are looked at.
const (
	queueOwn      = iota // this member ranks first
	queueOrphan          // exists, but at no usable neighbour
	queueTakeover        // those before this member in rank did not deliver
	queues
)

// draw is a chunk that this member is to draw from outside the fleet.
type draw struct {
	chunk int
	// due is counted from the opening of the schedule, its lag left out.
	due time.Duration
}

// draws is the schedule of what this member takes from the origin and the
// store.
type draws struct {
	// started is when the plan was made, opened when it first may draw.
	started, opened time.Time
	listed          bool

	// ordinal is a chunk's place in the schedule, -1 for chunks that existed
	// in the fleet when it opened.
	ordinal  []int32
	timeline []draw // sorted by due, entries before next are in ready
	next     int
	ready    [queues][]draw
	// nextLook is the earliest time at which looking at ready is of use.
	nextLook time.Time

	// lag is how far the origin is behind the schedule, awaitedAt when it last grew
	// while the origin was away.
	lag       time.Duration
	awaitedAt time.Time
	frontier  int32

	// age counts the ticks for which a chunk was an orphan.
	age     []uint8
	ageAt   time.Time
	orphans *weights.Set // in ready[queueOrphan]

	origin, store               source
	retries                     map[int]retry
	runningOrigin, runningStore int
	// charged is the number of draws that count against the quota.
	charged int
}

func newDraws(chunks int, start time.Time) draws {
	return draws{
		started:  start,
		ordinal:  make([]int32, chunks),
		frontier: -1,
		age:      make([]uint8, chunks),
		orphans:  weights.NewSet(chunks),
		retries:  map[int]retry{},
	}
}

func (d *draws) isOpen() bool { return !d.opened.IsZero() }

func (d *draws) ended(kind SourceKind) {
	switch kind {
	case SourceOrigin:
		d.runningOrigin--
	case SourceStore:
		d.runningStore--
	case SourcePeer:
		return
	}
	d.nextLook = time.Time{}
}

// advance notes a new chunk in the fleet and with it how late the origin is.
//
// With a schedule by the clock alone, an origin slower than OriginRate would
// be asked for more and more chunks at once, each would come later than its
// takeover time, and members would draw the same chunks again and slow it
// further. So the clock stands still while the origin is late.
func (d *draws) advance(now time.Time, chunk int, s Settings) {
	if !d.isOpen() || d.ordinal[chunk] <= d.frontier {
		return
	}
	d.frontier = d.ordinal[chunk]
	d.lag = max(0, now.Sub(d.opened)-d.expected(s))
	d.nextLook = time.Time{}
}

// openDraws opens the schedule once this member knows enough of the fleet.
//
// A member that starts among others that are done would otherwise draw its
// chunks from the origin before it hears that all of them have them.
func (p *Plan) openDraws(now time.Time) {
	d := &p.draws
	if d.isOpen() || !d.listed {
		return
	}
	if now.Before(d.started.Add(p.settings.ListenTime)) && !p.heardEnough() {
		return
	}
	d.opened = now
	d.ageAt = now.Add(p.settings.OrphanTime / ageTicks)
	place := int32(0)
	for _, chunk := range p.roster.order() {
		d.ordinal[chunk] = -1
		if !p.seen.Has(chunk) {
			d.ordinal[chunk] = place
			place++
		}
	}
	p.schedule()
}

func (p *Plan) heardEnough() bool {
	heard := 0
	for _, from := range p.peers {
		if from.heard {
			heard++
		}
	}
	others := min(len(p.roster.members)-1, p.settings.MaxNeighbours)
	return 2*heard >= others
}

// schedule builds the timeline anew: the chunk at place n leaves the origin n
// paces after the opening, so that its link sends one chunk after the other at
// full rate. Asked for all at once it would send all at once, and none would
// be whole, and could spread, before nearly a whole copy had left it.
func (p *Plan) schedule() {
	d := &p.draws
	d.timeline = d.timeline[:0]
	d.next = 0
	for queue := range d.ready {
		d.ready[queue] = nil
	}
	d.orphans.Clear()
	d.nextLook = time.Time{}
	for chunk, place := range d.ordinal {
		if place < 0 || p.seen.Has(chunk) {
			continue
		}
		due := time.Duration(place)*p.settings.pace + p.after(chunk, p.settings.Takeover)
		d.timeline = append(d.timeline, draw{chunk: chunk, due: due})
	}
	slices.SortFunc(d.timeline, func(a, b draw) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.chunk, b.chunk))
	})
}

// after returns how long this member's rank for the chunk makes it wait: about
// one, two and three takeover times for the second to fourth in rank, so that
// each hears of the draw before it, and few more for the hundredth, so that a
// small part of a split fleet does not wait for long.
func (p *Plan) after(chunk int, takeover time.Duration) time.Duration {
	rank := float64(p.roster.place(chunk))
	return time.Duration(rankScale * math.Log2(1+rank/rankScale) * float64(takeover))
}

// queueDue moves draws that have come due to their queues.
func (p *Plan) queueDue(now time.Time) {
	d := &p.draws
	d.await(now, p.settings, 1-float64(p.seen.Count())/float64(p.seen.Len()))
	for ; d.next < len(d.timeline); d.next++ {
		next := d.timeline[d.next]
		if now.Before(d.dueAt(next)) {
			return
		}
		if p.seen.Has(next.chunk) {
			continue
		}
		queue := queueTakeover
		if p.roster.place(next.chunk) == 0 {
			queue = queueOwn
		}
		d.ready[queue] = append(d.ready[queue], next)
		d.nextLook = time.Time{}
	}
}

func (d *draws) dueAt(next draw) time.Time { return d.opened.Add(d.lag + next.due) }

// await holds the schedule back while the origin is away: it fails this member, and
// nothing new leaves it.
//
// With a schedule that goes on meanwhile, most chunks are due at several members when
// the origin is back. All are asked for at once, none is whole before nearly all have
// left, and some are sent several times. Where there is a store, draws turn to it.
func (d *draws) await(now time.Time, s Settings, missing float64) {
	if !d.isOpen() || !s.NoStore || d.origin.failures == 0 || missing < awayMissing {
		return
	}
	quietSince := later(d.opened.Add(d.lag+d.expected(s)), d.awaitedAt)
	if quiet := now.Sub(quietSince); quiet > 0 {
		d.lag += time.Duration((1 - awayPace) * float64(quiet))
		d.awaitedAt = now
	}
}

// expected is the time in the schedule by which the chunk after the newest one in the
// fleet shows up.
func (d *draws) expected(s Settings) time.Duration {
	return time.Duration(d.frontier+1)*s.pace + max(slackMin, slackChunks*s.pace)
}

// ageOrphans queues chunks that exist but have been at no usable neighbour for
// OrphanTime and this member's rank: their only holder may have died.
func (p *Plan) ageOrphans(now time.Time) {
	d := &p.draws
	if now.Before(d.ageAt) {
		return
	}
	d.ageAt = now.Add(p.settings.OrphanTime / ageTicks)
	for chunk := range p.rarity.byHolders[0].Minus(p.have) {
		if !p.seen.Has(chunk) || d.orphans.Has(chunk) {
			continue
		}
		if d.age[chunk] < math.MaxUint8 {
			d.age[chunk]++
		}
		waited := time.Duration(d.age[chunk]) * p.settings.OrphanTime / ageTicks
		if waited < p.settings.OrphanTime+p.after(chunk, p.settings.OrphanTime) {
			continue
		}
		d.orphans.Add(chunk)
		d.ready[queueOrphan] = append(d.ready[queueOrphan], draw{chunk: chunk})
		d.nextLook = time.Time{}
	}
}

// nextDraw returns the next draw to start now, if any.
func (p *Plan) nextDraw(now time.Time) (Fetch, bool) {
	d := &p.draws
	if !d.isOpen() || d.runningOrigin+d.runningStore >= maxDraws || now.Before(d.nextLook) {
		return Fetch{}, false
	}
	d.nextLook = now.Add(p.settings.SourcePauseMax)
	for queue := range d.ready {
		if f, ok := p.nextOf(now, queue); ok {
			d.nextLook = time.Time{}
			return f, true
		}
	}
	return Fetch{}, false
}

// nextOf returns the first draw of a queue that can start, and drops those
// that are needed no more.
func (p *Plan) nextOf(now time.Time, queue int) (Fetch, bool) {
	d := &p.draws
	kept := d.ready[queue][:0]
	for i, next := range d.ready[queue] {
		if !p.needed(queue, next.chunk) {
			d.orphans.Remove(next.chunk)
			continue
		}
		kept = append(kept, next)
		if p.inFlight.Has(next.chunk) {
			continue
		}
		kind, at := p.sourceOf(queue, next)
		if now.Before(at) {
			d.nextLook = earlier(d.nextLook, at)
			p.forgive(next.chunk)
			continue
		}
		kept = append(kept, d.ready[queue][i+1:]...)
		d.ready[queue] = kept
		return p.startDraw(now, next.chunk, kind), true
	}
	d.ready[queue] = kept
	return Fetch{}, false
}

func (p *Plan) needed(queue, chunk int) bool {
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

// earlier returns the earlier of two times; a zero time does not count.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
