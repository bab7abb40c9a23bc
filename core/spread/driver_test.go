package spread_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
)

const (
	chunkBytes       = 1 << 20
	stallTimeout     = time.Second
	maintainInterval = 250 * time.Millisecond // between two calls of connect and step
	// noFailure marks a successful fetch.
	noFailure = spread.Reason(255)
)

// startTime is the start time of each simulation.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// chargedReasons are the failure reasons for which a fetch from the origin counts
// against the quota.
var chargedReasons = []spread.Reason{spread.ReasonStalled, spread.ReasonCorrupt, spread.ReasonGone, spread.ReasonLocal}

// driver simulates a fleet by stepping the plans of its agents through a queue of timed
// events. A transfer takes one chunk time for each transfer on the busier of its two
// links when it starts, as on a link that sends one after the other.
type driver struct {
	now       time.Time
	events    []event // sorted by time
	rand      *rand.Rand
	manifest  weights.Manifest
	digest    fleet.Digest
	settings  spread.Settings
	chunkTime time.Duration
	latency   time.Duration
	agents    []*agent
	list      []spread.Member // the platform's list
	up, down  map[*spread.Plan]int

	// Faults; nil functions mean none.
	cut            func(a, b *agent) bool
	corrupt, stall func(from *agent, chunk int) bool
	slow           func(from *agent) time.Duration
	origin, store  func(chunk int) (spread.Reason, bool)
	originFactor   time.Duration // how much slower the origin is than configured

	crossesRegion func(a, b *agent) bool // whether a transfer between a and b crosses regions
	crossings     int

	originFetches, fromOrigin, fromStore int // running fetches from the origin; fetches that transferred bytes
	refused                              int // failures returned by the origin and the store
	failedTransfers                      int // corrupt and stalled transfers between peers
	duplicateFetches                     int // times a chunk ran twice outside the end game
	excessUploads                        int // uploads in excess of the upload slots
}

type agent struct {
	spread.Member
	plan         *spread.Plan
	links        map[*agent]bool
	running      map[int]int // fetches by chunk
	reportedSize int         // sizes of Seen and Have, summed, at the last report
	down         bool
	ready        time.Duration
	wake         time.Time
}

type event struct {
	at time.Time
	do func()
}

// newDriver returns a fleet of n agents in 3 regions of 3 availability zones and a
// model of the given number of chunks. A machine's link carries two copies in
// copiesTime, the origin's link four.
func newDriver(n, chunks int, copiesTime time.Duration, s spread.Settings, seed uint64) *driver {
	s.OriginRate = int64(4 * float64(chunks*chunkBytes) / copiesTime.Seconds())
	s.MaxFetches, s.MaxUploads = 4, 4
	d := &driver{
		now: startTime, rand: rand.New(rand.NewPCG(seed, 1)), settings: s,
		digest:    fleet.DigestOf(fmt.Append(nil, seed)),
		chunkTime: copiesTime / time.Duration(2*chunks), latency: time.Millisecond, originFactor: 1,
		up: map[*spread.Plan]int{}, down: map[*spread.Plan]int{},
	}
	for i := range chunks {
		d.manifest.Chunks = append(d.manifest.Chunks, weights.Chunk{Index: i, Bytes: chunkBytes})
	}
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
	e := event{d.now.Add(after), do}
	i, _ := slices.BinarySearchFunc(d.events, e.at.Add(1), func(e event, t time.Time) int { return e.at.Compare(t) })
	d.events = slices.Insert(d.events, i, e)
}

// start starts or restarts an agent with the chunks that its stage has kept.
func (d *driver) start(a *agent, held ...int) {
	plan := spread.New(spread.Options{Self: a.Member, Manifest: d.manifest, ManifestDigest: d.digest,
		Settings: d.settings, Rand: rand.New(rand.NewPCG(d.rand.Uint64(), 1)), Start: d.now})
	*a = agent{Member: a.Member, plan: plan, links: map[*agent]bool{}, running: map[int]int{}}
	plan.AddHeld(d.now, held)
	plan.SetMembers(d.now, d.list)
	var maintain func()
	maintain = func() {
		if a.plan == plan && !a.down {
			d.connect(a)
			d.step(a)
			d.at(maintainInterval, maintain)
		}
	}
	d.at(time.Duration(d.rand.IntN(20))*time.Millisecond, maintain)
}

func (d *driver) startAll() {
	for _, a := range d.agents {
		d.start(a)
	}
}

// kill stops the process of an agent and closes its links.
func (d *driver) kill(a *agent) {
	a.down = true
	d.unlink(a)
}

// unlink closes the links of an agent to agents that it cannot reach.
func (d *driver) unlink(a *agent) {
	for _, b := range d.agents {
		if a.links[b] && d.disconnected(a, b) {
			delete(a.links, b)
			delete(b.links, a)
			a.plan.PeerDown(d.now, b.ID)
			b.plan.PeerDown(d.now, a.ID)
		}
	}
}

func (d *driver) disconnected(a, b *agent) bool {
	return a.down || b.down || d.cut != nil && d.cut(a, b)
}

func (d *driver) find(id fleet.InstanceID) *agent {
	return d.agents[slices.IndexFunc(d.agents, func(a *agent) bool { return a.ID == id })]
}

func (d *driver) connect(a *agent) {
	d.unlink(a)
	for _, m := range a.plan.Neighbours() {
		b := d.find(m.ID)
		switch {
		case d.disconnected(a, b):
			a.plan.PeerDown(d.now, m.ID)
		case !a.links[b] && b.plan != nil && b.plan.Admit(a.Member):
			a.links[b], b.links[a] = true, true
			a.plan.PeerUp(d.now, b.Member)
			b.plan.PeerUp(d.now, a.Member)
			d.sendReport(a, b, true)
			d.sendReport(b, a, true)
		}
	}
}

// sendReport sends the chunks that a holds and has seen to b: as a bitmap in the first
// report, as additions in later ones.
func (d *driver) sendReport(a, b *agent, first bool) {
	seen, have, plan := a.plan.Seen().Clone(), a.plan.Have().Clone(), b.plan
	d.at(d.latency, func() {
		if b.plan != plan || !b.links[a] || d.disconnected(a, b) {
			return
		}
		plan.MergeSeen(d.now, seen)
		if first {
			plan.SetPeerChunks(d.now, a.ID, have)
		} else {
			plan.AddPeerChunks(d.now, a.ID, slices.Collect(have.All()))
		}
		d.step(b)
	})
}

// step starts the fetches that the plan returns and reports changes to the neighbours.
func (d *driver) step(a *agent) {
	if a.down {
		return
	}
	for _, f := range a.plan.Next(d.now) {
		a.running[f.Chunk]++
		if a.running[f.Chunk] > 1 && a.missing() > d.settings.MaxFetches {
			d.duplicateFetches++
		}
		if f.Source == spread.SourcePeer {
			d.fetchFromPeer(a, d.find(f.Peer), f)
		} else {
			d.fetchUpstream(a, f)
		}
	}
	if a.plan.Complete() && a.ready == 0 {
		a.ready = d.now.Sub(startTime)
	}
	d.wake(a)
	if seen := a.plan.Seen().Count() + a.plan.Have().Count(); seen > a.reportedSize {
		a.reportedSize = seen
		for _, b := range d.agents {
			if a.links[b] {
				d.sendReport(a, b, false)
			}
		}
	}
}

func (a *agent) missing() int { return a.plan.Have().Len() - a.plan.Have().Count() }

// wake steps the agent at the time that its plan requests, so that a plan that requests
// it too late fails to complete.
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

func (d *driver) fetchFromPeer(a, b *agent, f spread.Fetch) {
	switch {
	case !a.links[b] || d.disconnected(a, b):
		d.end(a, f, d.latency, spread.ReasonGone)
		return
	case !b.plan.GrantUpload(d.now, a.ID, f.Chunk):
		d.end(a, f, 2*d.latency, spread.ReasonBusy)
		return
	}
	if d.crossesRegion != nil && d.crossesRegion(a, b) {
		d.crossings++
	}
	to, from := a.plan, b.plan
	d.down[to]++
	d.up[from]++
	if d.up[from] > d.settings.MaxUploads {
		d.excessUploads++
	}
	took := d.chunkTime * time.Duration(max(d.down[to], d.up[from]))
	if d.slow != nil {
		took *= d.slow(b)
	}
	d.at(took, func() {
		d.down[to]--
		d.up[from]--
		from.UploadEnded(a.ID)
		switch {
		case a.plan != to:
		case b.plan != from || d.disconnected(a, b):
			d.end(a, f, 0, spread.ReasonGone)
		case d.stall != nil && d.stall(b, f.Chunk):
			d.failedTransfers++
			d.end(a, f, stallTimeout, spread.ReasonStalled)
		case d.corrupt != nil && d.corrupt(b, f.Chunk):
			d.failedTransfers++
			d.end(a, f, 0, spread.ReasonCorrupt)
		default:
			d.end(a, f, 0, noFailure)
		}
	})
}

func (d *driver) fetchUpstream(a *agent, f spread.Fetch) {
	fault, moved, running := d.store, &d.fromStore, new(int)
	if f.Source == spread.SourceOrigin {
		fault, moved, running = d.origin, &d.fromOrigin, &d.originFetches
	}
	if fault != nil {
		if reason, failed := fault(f.Chunk); failed {
			d.refused++
			if slices.Contains(chargedReasons, reason) {
				*moved++
			}
			after := d.latency
			if reason == spread.ReasonStalled {
				after = stallTimeout
			}
			d.end(a, f, after, reason)
			return
		}
	}
	*moved++
	*running++
	plan := a.plan
	d.down[plan]++
	link := d.chunkTime * time.Duration(d.down[plan])
	d.at(max(link, d.originFactor*time.Duration(*running)*d.chunkTime/2), func() {
		*running--
		d.down[plan]--
		if a.plan == plan {
			d.end(a, f, 0, noFailure)
		}
	})
}

// end reports the outcome of a fetch to the plan that requested it.
func (d *driver) end(a *agent, f spread.Fetch, after time.Duration, reason spread.Reason) {
	plan := a.plan
	d.at(after, func() {
		if a.plan != plan || a.down {
			return
		}
		a.running[f.Chunk]--
		if reason == noFailure {
			plan.Done(d.now, f.ID)
		} else {
			plan.Failed(d.now, f.ID, reason, 0)
		}
		d.step(a)
	})
}

// run processes events until all running agents are complete, and reports whether this
// happens within the limit.
func (d *driver) run(limit time.Duration) bool {
	for len(d.events) > 0 && d.now.Sub(startTime) < limit && !d.complete() {
		next := d.events[0]
		d.events = d.events[1:]
		d.now = next.at
		next.do()
	}
	return d.complete()
}

func (d *driver) complete() bool {
	return !slices.ContainsFunc(d.agents, func(a *agent) bool {
		return !a.down && (a.plan == nil || !a.plan.Complete())
	})
}

// copies returns the number of copies fetched from the origin.
func (d *driver) copies() float64 { return float64(d.fromOrigin) / float64(len(d.manifest.Chunks)) }

// firstReady returns when the first replica is complete.
func (d *driver) firstReady() time.Duration {
	return slices.MinFunc(d.agents, func(a, b *agent) int { return int(a.ready - b.ready) }).ready
}

// overBound returns the time to the last replica divided by the lower bound, one copy
// at the rate of a machine's link.
func (d *driver) overBound() float64 {
	last := slices.MaxFunc(d.agents, func(a, b *agent) int { return int(a.ready - b.ready) })
	return float64(last.ready) / float64(d.chunkTime) / float64(len(d.manifest.Chunks))
}
