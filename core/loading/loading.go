// Package loading decides when the agent beside an engine orders it to load a
// version of its weights.
//
// There is no leader. Engines of a service take turns by a hash of their
// instance, which all agents compute alike, so that the service never stands
// still while a version replaces another, and no word of any other process is
// waited for.
package loading

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/policy"
)

const (
	// firstTurn and lastTurn are the parts of the time for a version between
	// which the turns lie. Before the first the chunks are on their way; after
	// the last an engine still has to finish what it runs and to load.
	firstTurn = 0.34
	lastTurn  = 0.88
	// giveUpUnseen is the share of a version's chunks that no agent may hold for it
	// to be given up for a newer one.
	giveUpUnseen = 0.5
	// finishWithin is the part of the time for a version during which the one before
	// is finished first.
	finishWithin = 0.4
	// orderAgain is how long an order may go without effect before it is given
	// once more: the answer to an order may be lost, and reports lag.
	orderAgain = 1500 * time.Millisecond
	// worthWaiting is how soon the wanted version must be staged for an engine
	// without any to wait for it, and how long a version must be of use to be
	// loaded: a few load times.
	worthWaiting = 1200 * time.Millisecond
	// refusedPause is the pause after an order that the engine declined.
	refusedPause = 300 * time.Millisecond
)

// Engine is what the engine reports of itself.
type Engine struct {
	// Loaded is the version it holds whole; 0 for none.
	Loaded uint64
	// Busy is true while an order is being carried out.
	Busy bool
	// Pace is by how much its passes last longer than published; 1 is sound.
	Pace float64
	Born fleet.Start
	// Queued and Running are the calls that wait there and those that it answers.
	Queued, Running int
	Orders          Orders
}

// Orders is how many orders the engine's process has accepted.
type Orders struct {
	Count uint64
	Told  bool // false if the engine does not tell it
}

// Step is what the agent is to do next.
type Step uint8

const (
	// Rest: nothing is to be done.
	Rest Step = iota
	// Gather: the version's chunks are to be gathered.
	Gather
	// Wait: everything is staged, and it is not this engine's turn yet.
	Wait
	// Order: the stage is to be checked once more and the engine ordered to load
	// the target.
	Order
)

// Far is the time until a version is ready whose chunks do not come.
const Far = time.Hour

// Plan is the state of one engine's change of version. It belongs to the
// control loop.
type Plan struct {
	instance fleet.InstanceID
	within   time.Duration // for a whole change, of all engines
	off      policy.Disabled

	names     Names
	staged    []uint64  // rising
	stagedAt  time.Time // when the last of them was
	readRank  int       // among the agents of the region that read manifests
	place     float64   // of the engine's turn, from 0 to 1
	leaving   bool
	orderedAt time.Time
	ordered   uint64
	notBefore time.Time
}

// NewPlan returns the plan of the engine on an instance. within is the time in
// which a new version has to replace the one before everywhere.
func NewPlan(instance fleet.InstanceID, within time.Duration, off policy.Disabled) *Plan {
	return &Plan{instance: instance, within: within, off: off}
}

// SetMembers takes the instances of all engines of the service, this one
// included. Their order by hash is that of their turns, in equal steps: taken from
// the hash itself, turns bunch up.
func (p *Plan) SetMembers(members []fleet.InstanceID) {
	before := 0
	for _, other := range members {
		if rankOf(other) < rankOf(p.instance) {
			before++
		}
	}
	p.place = float64(before) / float64(max(1, len(members)))
}

const (
	// manifestReaders is how many agents of a region read a manifest at the origin at
	// once, each over a connection; the others hear it from them in some 50 ms.
	manifestReaders = 2
	// readStep is how much longer each doubling of that number waits, in case
	// nothing is heard.
	readStep = 250 * time.Millisecond
)

// SetRegion takes the instances of the engines in the own region, this one
// included.
//
// Each region has readers of its own: after a restart of the fleet regions find each
// other late, and its engines would wait for a manifest with all chunks staged.
func (p *Plan) SetRegion(members []fleet.InstanceID) {
	p.readRank = 0
	for _, other := range members {
		if rankOf(other) < rankOf(p.instance) {
			p.readRank++
		}
	}
}

// ReadAfter returns how long this agent waits before it reads a manifest at the
// origin, where the first wait for least.
func (p *Plan) ReadAfter(least time.Duration) time.Duration {
	steps := 0
	for readers := manifestReaders; readers <= p.readRank; readers *= 2 {
		steps++
	}
	return least + time.Duration(steps)*readStep
}

func rankOf(instance fleet.InstanceID) uint64 { return xxhash.Sum64String(string(instance)) }

// Want takes a version that the operator named. It reports whether another
// version is wanted now.
func (p *Plan) Want(named Named) bool {
	before := p.names.Newest()
	p.names, _ = p.names.Add(named, 0)
	return p.names.Newest() != before
}

// SetLeaving tells whether the engine's server leaves. It needs no new version
// then, and what it drew from the origin would go with it: others that heard of
// a chunk waited seconds for a copy before one of them drew it again.
func (p *Plan) SetLeaving(leaving bool) { p.leaving = leaving }

// IsLeaving reports whether the engine's server leaves.
func (p *Plan) IsLeaving() bool { return p.leaving }

// Wanted returns the version that the engine should hold; 0 while unknown.
func (p *Plan) Wanted() uint64 { return p.names.Newest() }

// Staged tells that a version is staged whole.
func (p *Plan) Staged(now time.Time, version uint64) {
	p.stagedAt = now
	if at, found := slices.BinarySearch(p.staged, version); !found {
		p.staged = slices.Insert(p.staged, at, version)
	}
}

// Ordered tells that an order was given.
func (p *Plan) Ordered(now time.Time, version uint64) {
	p.ordered = version
	p.orderedAt = now
}

// Accepted tells that the engine is known to have taken the last order, which may
// be long after that was given.
func (p *Plan) Accepted(now time.Time) {
	if p.ordered != 0 {
		p.orderedAt = now
	}
}

// StartedAnew tells that the engine's process was replaced: no order runs there.
// What was ordered of its predecessor would else be waited for, for orderAgain.
func (p *Plan) StartedAnew() {
	p.ordered = 0
	p.orderedAt = time.Time{}
	p.notBefore = time.Time{}
}

// OrderedAt returns when the last order was given, or was known to be taken.
func (p *Plan) OrderedAt() time.Time { return p.orderedAt }

// Declined tells that the engine did not take the order.
func (p *Plan) Declined(now time.Time) {
	p.ordered = 0
	p.notBefore = now.Add(refusedPause)
}

// Changing reports whether the engine takes no new requests since it has been
// ordered to load.
func (p *Plan) Changing(e Engine) bool { return p.ordered != 0 && e.Loaded != p.ordered }

// Target returns the version to load next, 0 if none is staged that is worth
// it. wantedIn is the time until the wanted version is staged here.
//
// A newer version may be named while the one before spreads, and its chunks may
// not come: the origin fails just then, say. The engine would have to leave
// service as outdated with the version between lying staged. So that one is
// loaded, unless the wanted one comes before the engine is out of time.
func (p *Plan) Target(now time.Time, e Engine, wantedIn time.Duration) uint64 {
	if len(p.staged) == 0 {
		return 0
	}
	newest := p.staged[len(p.staged)-1]
	if newest == p.Wanted() || newest <= e.Loaded {
		return newest
	}
	if p.off.LoadBetween || !p.usable(now, newest) {
		return 0
	}
	if e.Loaded == 0 && wantedIn > worthWaiting {
		return newest
	}
	since, _ := p.names.OutdatedSince(e.Loaded)
	if e.Loaded != 0 && now.Add(wantedIn).After(since.Add(time.Duration(lastTurn*float64(p.within)))) {
		return newest
	}
	return 0
}

// usable reports whether a version may be served from for a while yet.
func (p *Plan) usable(now time.Time, version uint64) bool {
	since, outdated := p.names.OutdatedSince(version)
	return !outdated || since.Add(time.Duration(lastTurn*float64(p.within))).After(now.Add(worthWaiting))
}

// OutOfTime returns since when the version that the engine holds may not be
// served from any more, and false while it may, or if it holds none.
func (p *Plan) OutOfTime(now time.Time, e Engine) (time.Time, bool) {
	since, outdated := p.names.OutdatedSince(e.Loaded)
	end := since.Add(p.within)
	return end, e.Loaded != 0 && outdated && !now.Before(end)
}

// GivesUp reports whether a version is given up for a newer one, of which this
// share of chunks no engine's agent is known to hold.
func (p *Plan) GivesUp(unseen float64) bool { return unseen > giveUpUnseen }

// FinishesFirst reports whether the rest of a version is to leave the origin
// before a newer one begins to. Later on it would be of use for too short a time,
// and the newer one comes later by what it takes.
func (p *Plan) FinishesFirst(now time.Time, version uint64, unseen float64) bool {
	if unseen == 0 || p.GivesUp(unseen) {
		return false
	}
	since, outdated := p.names.OutdatedSince(version)
	return !outdated || now.Before(since.Add(part(finishWithin, p.within)))
}

// Next returns the next step.
func (p *Plan) Next(now time.Time, e Engine, wantedIn time.Duration) Step {
	wanted := p.Wanted()
	target := p.Target(now, e, wantedIn)
	switch {
	case p.leaving || wanted == 0 || e.Loaded == wanted && !e.Busy:
		return Rest
	case target == 0 || target <= e.Loaded:
		return Gather
	case p.ordered == target && now.Sub(p.orderedAt) < orderAgain || e.Busy || now.Before(p.notBefore):
		return Wait
	case now.Before(p.turn(e)):
		return Wait
	default:
		return Order
	}
}

// turn is when this engine may stop to serve the version that it has. One that
// holds none has nothing to stop.
//
// Where the bytes come late, the turns lie between then and the last: they come
// to all engines at about the same time, and with turns that had passed by then
// 47 of 58 engines were out of service at once.
func (p *Plan) turn(e Engine) time.Time {
	since, _ := p.names.OutdatedSince(e.Loaded)
	if e.Loaded == 0 || p.off.Turns {
		return since
	}
	first := since.Add(part(firstTurn, p.within))
	last := since.Add(part(lastTurn, p.within))
	if p.stagedAt.After(first) {
		first = p.stagedAt
	}
	return first.Add(part(p.place, max(0, last.Sub(first))))
}

func part(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }
