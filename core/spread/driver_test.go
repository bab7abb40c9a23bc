package spread_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
)

const (
	chunkBytes = 1 << 20
	stallTime  = time.Second
	tendTime   = 250 * time.Millisecond // between looks at the neighbours
)

// begin is when each trial starts.
var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// driver steps the plans of a small fleet by a table of messages. A transfer
// takes one chunk time for each transfer on the busier of its two links when
// it starts, which is what a link does that sends one after the other.
type driver struct {
	now       time.Time
	begun     time.Time
	events    events
	posted    int
	rand      *rand.Rand
	manifest  weights.Manifest
	digest    fleet.Digest
	settings  spread.Settings
	chunkTime time.Duration
	latency   time.Duration
	agents    []*agent
	list      []spread.Member // the platform's list

	// Faults; nil functions mean none.
	cut           func(a, b *agent) bool
	corrupt       func(from *agent, chunk int) bool // from is nil for the origin
	stall         func(from *agent, chunk int) bool
	origin, store func(chunk int) (spread.Reason, bool) // a failure to give
	originFactor  time.Duration                         // how much slower the origin is than its setting
	slow          func(from *agent) time.Duration       // how much slower a sender is

	drawing, drawn int // origin draws that run, and all that moved bytes
	stored         int // answers from the store
	refused        int // failures that the origin and the store gave
	bad            int // corrupt and stalled transfers between peers
	doubled        int // times a chunk ran twice outside the end game
	overSlots      int // uploads beyond the slots
}

type agent struct {
	spread.Member
	plan  *spread.Plan
	links map[*agent]bool
	// uploads and downloads that run
	uploads, downloads int
	running            map[int]int // fetches by chunk
	seen               int         // size of the last Seen sent
	down               bool
	ready              time.Duration
	wake               time.Time
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newDriver makes n agents in 3 regions of 3 zones and a model of some chunks,
// of which a machine's link carries two copies in copiesTime and the origin's
// four.
func newDriver(n, chunks int, copiesTime time.Duration, s spread.Settings, seed uint64) *driver {
	d := &driver{
		now:       begin,
		rand:      rand.New(rand.NewPCG(seed, 1)),
		settings:  s,
		latency:   time.Millisecond,
		chunkTime: copiesTime / time.Duration(2*chunks),
		digest:    fleet.DigestOf(fmt.Append(nil, seed)),
	}
	for i := range chunks {
		d.manifest.Chunks = append(d.manifest.Chunks, weights.Chunk{Index: i, Bytes: chunkBytes})
	}
	d.begun = d.now
	d.settings.MaxFetches, d.settings.MaxUploads = max(s.MaxFetches, 4), max(s.MaxUploads, 4)
	d.settings.OriginRate = int64(4 * float64(chunks*chunkBytes) / copiesTime.Seconds())
	for i := range n {
		a := &agent{Member: spread.Member{ID: fleet.InstanceID(fmt.Sprintf("agent-%03d", i))}}
		a.Region = fleet.Region(fmt.Sprint("region-", i%3))
		a.Zone = fleet.Zone(fmt.Sprint(a.Region, "-zone-", i/3%3))
		d.agents = append(d.agents, a)
		d.list = append(d.list, a.Member)
	}
	return d
}

func (d *driver) at(after time.Duration, do func()) {
	d.posted++
	heap.Push(&d.events, event{d.now.Add(after), d.posted, do})
}

// start begins an agent anew, with chunks that its stage has kept.
func (d *driver) start(a *agent, held ...int) {
	a.plan = spread.New(spread.Options{Self: a.Member, Manifest: d.manifest, ManifestDigest: d.digest,
		Settings: d.settings, Rand: rand.New(rand.NewPCG(d.rand.Uint64(), 1)), Start: d.now})
	a.links, a.running = map[*agent]bool{}, map[int]int{}
	a.seen, a.down, a.ready, a.wake, a.downloads, a.uploads = 0, false, 0, time.Time{}, 0, 0
	a.plan.Held(d.now, held)
	a.plan.SetMembers(d.now, d.list)
	plan := a.plan
	var tend func()
	tend = func() {
		if a.plan != plan || a.down {
			return
		}
		d.connect(a)
		d.step(a)
		d.at(tendTime, tend)
	}
	d.at(time.Duration(d.rand.IntN(20))*time.Millisecond, tend)
}

// kill ends an agent's process; its links close.
func (d *driver) kill(a *agent) {
	a.down = true
	for _, b := range d.agents {
		d.unlink(a, b)
	}
}

func (d *driver) unlink(a, b *agent) {
	if !a.links[b] {
		return
	}
	delete(a.links, b)
	delete(b.links, a)
	a.plan.PeerDown(d.now, b.ID)
	b.plan.PeerDown(d.now, a.ID)
}

func (d *driver) apart(a, b *agent) bool { return a.down || b.down || d.cut != nil && d.cut(a, b) }

func (d *driver) connect(a *agent) {
	for _, b := range d.agents {
		if a.links[b] && d.apart(a, b) {
			d.unlink(a, b)
		}
	}
	for _, m := range a.plan.Neighbours() {
		b := d.find(m.ID)
		switch {
		case b == nil || d.apart(a, b):
			a.plan.PeerDown(d.now, m.ID)
		case a.links[b] || b.plan == nil || !b.plan.Admit(a.Member):
		default:
			a.links[b], b.links[a] = true, true
			d.greet(a, b)
			d.greet(b, a)
		}
	}
}

func (d *driver) greet(a, b *agent) {
	a.plan.PeerUp(d.now, b.Member)
	seen, have := b.plan.Seen().Clone(), b.plan.Have().Clone()
	d.deliver(b, a, func() {
		a.plan.PeerSeen(d.now, seen)
		a.plan.PeerHas(d.now, b.ID, have)
	})
}

func (d *driver) find(id fleet.InstanceID) *agent {
	for _, a := range d.agents {
		if a.ID == id {
			return a
		}
	}
	return nil
}

// step starts what the plan asks for and tells the neighbours what is new.
func (d *driver) step(a *agent) {
	if a.down {
		return
	}
	for _, f := range a.plan.Next(d.now) {
		a.running[f.Chunk]++
		missing := len(d.manifest.Chunks) - a.plan.Have().Count()
		if a.running[f.Chunk] > 1 && missing > d.settings.MaxFetches {
			d.doubled++
		}
		if f.Source == spread.SourcePeer {
			d.copyFrom(a, d.find(f.Peer), f)
		} else {
			d.draw(a, f)
		}
	}
	if a.plan.Complete() && a.ready == 0 {
		a.ready = d.now.Sub(d.begun)
	}
	d.wake(a)
	if a.plan.Seen().Count() == a.seen {
		return
	}
	a.seen = a.plan.Seen().Count()
	for _, b := range d.agents {
		if a.links[b] {
			seen := a.plan.Seen().Clone()
			d.deliver(a, b, func() { b.plan.PeerSeen(d.now, seen) })
		}
	}
}

func (d *driver) wake(a *agent) {
	plan, at := a.plan, a.plan.Wake(d.now)
	if at.IsZero() || (a.wake.After(d.now) && !at.Before(a.wake)) {
		return
	}
	a.wake = at
	d.at(at.Sub(d.now), func() {
		if a.plan == plan && a.wake.Equal(at) {
			d.step(a)
		}
	})
}

// deliver carries a message between two agents that stay linked.
func (d *driver) deliver(from, to *agent, do func()) {
	plan := to.plan
	d.at(d.latency, func() {
		if to.plan == plan && to.links[from] && !d.apart(from, to) {
			do()
			d.step(to)
		}
	})
}

func (d *driver) copyFrom(a, b *agent, f spread.Fetch) {
	if d.apart(a, b) || !a.links[b] {
		d.fail(a, f, spread.ReasonGone, d.latency)
		return
	}
	if !b.plan.Accept(d.now, a.ID, f.Chunk) {
		d.fail(a, f, spread.ReasonBusy, 2*d.latency)
		return
	}
	plan, source := a.plan, b.plan
	a.downloads++
	b.uploads++
	if b.uploads > d.settings.MaxUploads {
		d.overSlots++
	}
	took := d.chunkTime * time.Duration(max(a.downloads, b.uploads))
	if d.slow != nil {
		took *= d.slow(b)
	}
	d.at(took, func() {
		if b.plan == source {
			b.uploads--
			source.Released(a.ID)
		}
		if a.plan != plan || a.down {
			return
		}
		a.downloads--
		switch {
		case b.plan != source || d.apart(a, b):
			d.fail(a, f, spread.ReasonGone, 0)
		case d.stall != nil && d.stall(b, f.Chunk):
			d.bad++
			d.fail(a, f, spread.ReasonStalled, stallTime)
		case d.corrupt != nil && d.corrupt(b, f.Chunk):
			d.bad++
			d.fail(a, f, spread.ReasonCorrupt, 0)
		default:
			d.finish(a, f)
		}
	})
}

func (d *driver) draw(a *agent, f spread.Fetch) {
	fault := d.store
	if f.Source == spread.SourceOrigin {
		fault = d.origin
	}
	if fault != nil {
		if reason, failed := fault(f.Chunk); failed {
			d.countDraw(f, slices.Contains(charged, reason))
			d.refused++
			after := d.latency
			if reason == spread.ReasonStalled {
				after = stallTime
			}
			d.fail(a, f, reason, after)
			return
		}
	}
	d.countDraw(f, true)
	a.downloads++
	took := d.chunkTime * time.Duration(a.downloads)
	if f.Source == spread.SourceOrigin {
		d.drawing++
		took = max(took, max(1, d.originFactor)*time.Duration(d.drawing)*d.chunkTime/2)
	}
	plan := a.plan
	d.at(took, func() {
		if f.Source == spread.SourceOrigin {
			d.drawing--
		}
		if a.plan != plan || a.down {
			return
		}
		a.downloads--
		if d.corrupt != nil && f.Source == spread.SourceOrigin && d.corrupt(nil, f.Chunk) {
			d.fail(a, f, spread.ReasonCorrupt, 0)
			return
		}
		d.finish(a, f)
	})
}

// charged are the reasons of failed draws that count against the quota.
var charged = []spread.Reason{spread.ReasonStalled, spread.ReasonCorrupt, spread.ReasonGone, spread.ReasonLocal}

func (d *driver) countDraw(f spread.Fetch, moved bool) {
	switch {
	case !moved:
	case f.Source == spread.SourceOrigin:
		d.drawn++
	default:
		d.stored++
	}
}

func (d *driver) fail(a *agent, f spread.Fetch, reason spread.Reason, after time.Duration) {
	plan := a.plan
	d.at(after, func() {
		if a.plan == plan {
			a.running[f.Chunk]--
			a.plan.Failed(d.now, f.ID, reason, 0)
			d.step(a)
		}
	})
}

func (d *driver) finish(a *agent, f spread.Fetch) {
	a.running[f.Chunk]--
	a.plan.Done(d.now, f.ID)
	for _, b := range d.agents {
		if a.links[b] {
			d.deliver(a, b, func() { b.plan.PeerGot(d.now, a.ID, []int{f.Chunk}) })
		}
	}
	d.step(a)
}

// run steps until all agents that are up are complete, and reports whether
// they are before the limit.
func (d *driver) run(limit time.Duration) bool {
	for len(d.events) > 0 && d.now.Sub(d.begun) < limit {
		next := heap.Pop(&d.events).(event)
		d.now = next.at
		next.do()
		if d.complete() {
			return true
		}
	}
	return d.complete()
}

func (d *driver) complete() bool {
	for _, a := range d.agents {
		if !a.down && (a.plan == nil || !a.plan.Complete()) {
			return false
		}
	}
	return true
}

func (d *driver) startAll() {
	for _, a := range d.agents {
		d.start(a)
	}
}

// copies returns the copies drawn from the origin.
func (d *driver) copies() float64 { return float64(d.drawn) / float64(len(d.manifest.Chunks)) }

// overBound returns the time to the last replica over the least possible, one
// copy at the rate of a machine's link.
func (d *driver) overBound() float64 {
	last := time.Duration(0)
	for _, a := range d.agents {
		last = max(last, a.ready)
	}
	return float64(last) / float64(d.chunkTime) / float64(len(d.manifest.Chunks))
}
