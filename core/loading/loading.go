// Package loading decides when an agent orders its engine to load a version of the
// model weights.
//
// There is no leader. The engines of a service load in turns, ordered by a hash of
// their instance ID that all agents compute alike. The service therefore stays
// available while one version replaces another, and no agent has to wait for a
// message from another process.
package loading

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/policy"
)

const (
	// firstTurn and lastTurn are the fractions of the time for a version between
	// which the turns lie. Before firstTurn the chunks are in transit; after
	// lastTurn an engine still has to finish its running calls and to load.
	firstTurn = 0.34
	lastTurn  = 0.88
	// abandonMissing is the fraction of a version's chunks above which the version is
	// abandoned for a newer one if no agent holds them.
	abandonMissing = 0.5
	// finishWithin is the fraction of the time for a newer version during which the
	// previous version is finished first.
	finishWithin = 0.4
	// orderRetryInterval is how long an order may have no effect before it is repeated:
	// the response to an order may be lost, and reports lag.
	orderRetryInterval = 1500 * time.Millisecond
	// worthWaiting, a few load times, is how soon the wanted version must be staged
	// for an engine without weights to wait for it, and how long a version must
	// remain usable to be worth loading.
	worthWaiting = 1200 * time.Millisecond
	// declinedPause is the pause after an order that the engine declined.
	declinedPause = 300 * time.Millisecond
)

// Engine is the state that an engine reports.
type Engine struct {
	// Loaded is the version that is completely loaded; 0 for none.
	Loaded uint64
	// Busy is true while an order is being carried out.
	Busy bool
	// Slowdown is the factor by which passes exceed their published duration;
	// 1 is normal.
	Slowdown float64
	Born     fleet.StartTime
	// Queued and Running are the numbers of waiting and running calls.
	Queued, Running int
	Orders          Orders
	// Leaving is true if the engine's server is shutting down.
	Leaving bool
	// Layers are the layers that are loaded.
	Layers Layers
	// MustReload is true if the loaded weights may be incomplete. The engine is out of
	// service until it has loaded the wanted version, even if it is the same one.
	MustReload bool
}

// Layers is a range of layers of a model; the zero value is all layers.
type Layers struct{ From, Target int }

// IsPartial reports whether the range lacks some of a model's layers. layers is their number;
// 0 if it is not known.
func (l Layers) IsPartial(layers int) bool {
	return l.From > 0 || l.Target > 0 && l.Target < layers
}

// inService returns the version that the engine serves; 0 for none.
func (e Engine) inService() uint64 {
	if e.MustReload {
		return 0
	}
	return e.Loaded
}

// Orders is the number of orders that the engine's process has accepted.
type Orders struct {
	Count    uint64
	Reported bool // false if the engine does not report the number
}

// Step is the next action of the agent.
type Step uint8

const (
	// Idle: there is nothing to do.
	Idle Step = iota
	// Fetch: the version's chunks are to be fetched.
	Fetch
	// Wait: the version is staged, but the engine may not be ordered to load it yet.
	Wait
	// Order: the staged version is to be verified once more and the engine ordered to
	// load it.
	Order
)

// NotExpected is the time until a version is staged if its chunks do not arrive.
const NotExpected = time.Hour

// Plan is the state of one engine's change to another version. It is not safe for
// concurrent use; only the control loop uses it.
type Plan struct {
	instance fleet.InstanceID
	within   time.Duration // for a change of all engines
	disabled policy.Disabled

	versions  NamedVersions
	staged    []uint64  // ascending
	stagedAt  time.Time // when the last of them was staged
	readRank  int       // rank among the agents of the region for reading manifests
	position  float64   // position of the engine's turn, from 0 to 1
	leaving   bool
	orderedAt time.Time
	ordered   uint64
	notBefore time.Time
}

// NewPlan returns the plan for the engine on an instance. within is the time in
// which a new version must replace the previous one on all engines.
func NewPlan(instance fleet.InstanceID, within time.Duration, disabled policy.Disabled) *Plan {
	return &Plan{instance: instance, within: within, disabled: disabled}
}

// SetMembers sets the instances of all engines of the service, including this one.
// Turns are in the order of the instances' hashes, at equal intervals; turns taken
// directly from the hash values would cluster.
func (p *Plan) SetMembers(members []fleet.InstanceID) {
	before := 0
	for _, other := range members {
		if hashOf(other) < hashOf(p.instance) {
			before++
		}
	}
	p.position = float64(before) / float64(max(1, len(members)))
}

const (
	// manifestReaders is how many agents of a region read a manifest from the origin
	// concurrently, each over its own connection. The others receive it from them
	// within about 50 ms.
	manifestReaders = 2
	// readStep is the additional delay for each doubling of the number of readers, in
	// case the earlier readers report nothing.
	readStep = 250 * time.Millisecond
)

// SetRegion sets the instances of the engines in the local region, including this one.
//
// Each region has its own readers. After a restart of the fleet the regions discover
// each other late, and the engines of a region without readers would wait for a
// manifest with all chunks staged.
func (p *Plan) SetRegion(members []fleet.InstanceID) {
	p.readRank = 0
	for _, other := range members {
		if hashOf(other) < hashOf(p.instance) {
			p.readRank++
		}
	}
}

// ManifestReadDelay returns how long this agent waits before it reads a manifest from
// the origin. The first readers wait for minDelay.
func (p *Plan) ManifestReadDelay(minDelay time.Duration) time.Duration {
	steps := 0
	for readers := manifestReaders; readers <= p.readRank; readers *= 2 {
		steps++
	}
	return minDelay + time.Duration(steps)*readStep
}

func hashOf(instance fleet.InstanceID) uint64 { return xxhash.Sum64String(string(instance)) }

// AddWanted adds a version that the operator named. It reports whether this changed
// the wanted version.
func (p *Plan) AddWanted(named NamedVersion) bool {
	before := p.versions.Newest()
	p.versions, _ = p.versions.Add(named, 0)
	return p.versions.Newest() != before
}

// SetLeaving sets whether the engine's server is leaving. A leaving server needs no
// new version, and the chunks that it fetched from the origin are lost with it: other
// agents that knew of such a chunk waited seconds for a copy before one of them fetched
// it again.
func (p *Plan) SetLeaving(leaving bool) { p.leaving = leaving }

// IsLeaving reports whether the engine's server is leaving.
func (p *Plan) IsLeaving() bool { return p.leaving }

// Wanted returns the version that the engine should load; 0 while unknown.
func (p *Plan) Wanted() uint64 { return p.versions.Newest() }

// MarkStaged records that a version is completely staged.
func (p *Plan) MarkStaged(now time.Time, version uint64) {
	p.stagedAt = now
	if at, found := slices.BinarySearch(p.staged, version); !found {
		p.staged = slices.Insert(p.staged, at, version)
	}
}

// MarkOrdered records that the engine was ordered to load a version.
func (p *Plan) MarkOrdered(now time.Time, version uint64) {
	p.ordered = version
	p.orderedAt = now
}

// MarkAccepted records that the engine is known to have accepted the last order, which
// may be long after the order was sent.
func (p *Plan) MarkAccepted(now time.Time) {
	if p.ordered != 0 {
		p.orderedAt = now
	}
}

// MarkRestarted records that the engine's process was replaced, so that no order is
// running. Otherwise the plan would wait for the order to the previous process for
// orderRetryInterval.
func (p *Plan) MarkRestarted() {
	p.ordered = 0
	p.orderedAt = time.Time{}
	p.notBefore = time.Time{}
}

// OrderedAt returns when the last order was sent, or when it became known that the
// engine accepted it.
func (p *Plan) OrderedAt() time.Time { return p.orderedAt }

// MarkDeclined records that the engine declined the order.
func (p *Plan) MarkDeclined(now time.Time) {
	p.ordered = 0
	p.notBefore = now.Add(declinedPause)
}

// IsReloading reports whether the engine must get no new requests because it has been
// ordered to load, or because its weights may be incomplete.
func (p *Plan) IsReloading(e Engine) bool { return e.MustReload || p.IsOrdered(e) }

// IsOrdered reports whether the engine has been ordered to load another version than it
// has loaded.
func (p *Plan) IsOrdered(e Engine) bool { return p.ordered != 0 && e.Loaded != p.ordered }

// Target returns the version to load next, 0 if no staged version is worth loading.
// wantedIn is the time until the wanted version is staged.
//
// A newer version may be named while the previous one is still being distributed, and
// its chunks may not arrive, for example because the origin fails. The engine would
// then have to leave service as outdated although the intermediate version is staged.
// So the intermediate version is loaded, unless the wanted version will be staged
// before the loaded one expires.
func (p *Plan) Target(now time.Time, e Engine, wantedIn time.Duration) uint64 {
	if len(p.staged) == 0 {
		return 0
	}
	newest := p.staged[len(p.staged)-1]
	if newest == p.Wanted() || newest <= e.inService() {
		return newest
	}
	if p.disabled.LoadBetween || !p.usable(now, newest) {
		return 0
	}
	if e.inService() == 0 && wantedIn > worthWaiting {
		return newest
	}
	since, _ := p.versions.OutdatedSince(e.Loaded)
	if e.inService() != 0 && now.Add(wantedIn).After(since.Add(time.Duration(lastTurn*float64(p.within)))) {
		return newest
	}
	return 0
}

// usable reports whether a version may still be served for at least worthWaiting.
func (p *Plan) usable(now time.Time, version uint64) bool {
	since, outdated := p.versions.OutdatedSince(version)
	return !outdated || since.Add(time.Duration(lastTurn*float64(p.within))).After(now.Add(worthWaiting))
}

// ExpiredSince returns since when the engine's loaded version may no longer be
// served. It returns false while the version may be served, or if none is loaded.
func (p *Plan) ExpiredSince(now time.Time, e Engine) (time.Time, bool) {
	since, outdated := p.versions.OutdatedSince(e.Loaded)
	end := since.Add(p.within)
	return end, e.Loaded != 0 && outdated && !now.Before(end)
}

// ShouldAbandon reports whether a version is to be abandoned for a newer one. missing
// is the fraction of the version's chunks that no agent is known to hold.
func (p *Plan) ShouldAbandon(missing float64) bool { return missing > abandonMissing }

// ShouldFinishFirst reports whether the missing chunks of a version are to be fetched
// from the origin before those of a newer version. Late in the time for the newer
// version the older one would be of use for too short a time, and fetching it delays the
// newer one.
func (p *Plan) ShouldFinishFirst(now time.Time, version uint64, missing float64) bool {
	if missing == 0 || p.ShouldAbandon(missing) {
		return false
	}
	since, outdated := p.versions.OutdatedSince(version)
	return !outdated || now.Before(since.Add(fractionOf(finishWithin, p.within)))
}

// Next returns the next step of the agent.
func (p *Plan) Next(now time.Time, e Engine, wantedIn time.Duration) Step {
	wanted := p.Wanted()
	target := p.Target(now, e, wantedIn)
	switch {
	case p.leaving || wanted == 0 || e.inService() == wanted && !e.Busy:
		return Idle
	case target == 0 || target <= e.inService():
		return Fetch
	case p.ordered == target && now.Sub(p.orderedAt) < orderRetryInterval || e.Busy || now.Before(p.notBefore):
		return Wait
	case now.Before(p.turn(e)):
		return Wait
	default:
		return Order
	}
}

// turn returns when this engine may stop serving its loaded version. An engine
// without a loaded version need not wait.
//
// If the version is staged after the first turn, the turns lie between that time and the
// last turn. The chunks arrive at all engines at about the same time, and if the turns
// had already passed, the engines would load together: 47 of 58 engines were out of
// service at once.
func (p *Plan) turn(e Engine) time.Time {
	since, _ := p.versions.OutdatedSince(e.Loaded)
	if e.inService() == 0 || p.disabled.Turns {
		return since
	}
	first := since.Add(fractionOf(firstTurn, p.within))
	last := since.Add(fractionOf(lastTurn, p.within))
	if p.stagedAt.After(first) {
		first = p.stagedAt
	}
	return first.Add(fractionOf(p.position, max(0, last.Sub(first))))
}

func fractionOf(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}
