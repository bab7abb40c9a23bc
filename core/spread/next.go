package spread

import (
	"time"

	"chivespindle.example/core/fleet"
)

const (
	// pollInterval is the maximum time between two calls of Next while a plan is
	// incomplete.
	pollInterval = time.Second
	// minWakeDelay is the minimum delay before a wake-up, which prevents a busy loop
	// when one is already due.
	minWakeDelay = time.Millisecond
	// slowFactor is the multiple of the average fetch time after which an end-game
	// fetch is repeated from a second peer.
	slowFactor = 2
)

// Next returns the fetches to start now. The agent reports each of them by one call of
// Done or Failed, except those that Done returns as superseded.
func (p *Plan) Next(now time.Time) []Fetch {
	p.clock = now
	if p.Complete() {
		return nil
	}
	p.endAvoidance(now)
	p.openSchedule(now)
	if p.upstream.isOpen() {
		p.queueDue(now)
		p.queueOrphans(now)
	}
	if now.Before(p.noFetchUntil) {
		return nil
	}
	var started []Fetch
	for {
		f, ok := p.nextFetch(now)
		if !ok {
			return started
		}
		started = append(started, f)
	}
}

// nextFetch prefers an upstream fetch, since a chunk that no member holds cannot be
// copied from a peer.
func (p *Plan) nextFetch(now time.Time) (Fetch, bool) {
	if len(p.fetches) >= p.settings.MaxFetches {
		return Fetch{}, false
	}
	if f, ok := p.nextUpstreamFetch(now); ok {
		return f, true
	}
	if f, ok := p.pickFromPeers(now); ok {
		return f, true
	}
	return p.pickEndGame(now)
}

// pickFromPeers picks the rarest chunk that an available peer holds, at random among
// equally rare chunks, and the nearest peer that holds it.
//
// With NearFirst, chunks held in this member's region are picked first. Otherwise each
// member of a region would fetch the same new chunks from another region over their
// shared link.
func (p *Plan) pickFromPeers(now time.Time) (Fetch, bool) {
	if p.settings.NearFirst {
		if f, ok := p.pickRarest(now, fleet.SameRegion); ok {
			return f, true
		}
	}
	return p.pickRarest(now, fleet.OtherRegion)
}

// pickRarest picks the rarest chunk that an available peer within a distance holds.
func (p *Plan) pickRarest(now time.Time, within fleet.Distance) (Fetch, bool) {
	p.wanted.Clear()
	for _, from := range p.peers {
		if from.distance <= within && p.isAvailable(now, from) {
			p.wanted.Union(from.have)
		}
	}
	if p.wanted.Count() == 0 {
		return Fetch{}, false
	}
	p.wanted.Subtract(p.have)
	p.wanted.Subtract(p.inFlight)
	if within == fleet.OtherRegion && p.settings.NearFirst {
		p.deferToRegion(now)
	}
	for _, held := range p.rarity.byHolders[1:] {
		equals := held.IntersectionCount(p.wanted)
		if equals == 0 {
			continue
		}
		chunk := held.IntersectionNth(p.wanted, p.rand.IntN(equals))
		from := p.nearest(now, chunk)
		return p.begin(now, Fetch{Chunk: chunk, Peer: from.ID}), true
	}
	return Fetch{}, false
}

// pickEndGame requests one of the last chunks from a second peer when the first peer is
// slow. Without it, the slowest sender of the last chunk determines the completion
// time.
func (p *Plan) pickEndGame(now time.Time) (Fetch, bool) {
	if p.have.Len()-p.have.Count() > p.settings.MaxFetches {
		return Fetch{}, false
	}
	slow := now.Add(-slowFactor * p.fetchTime)
	for _, r := range p.fetches {
		if r.Source != SourcePeer || r.started.After(slow) || p.fetchCount(r.Chunk) > 1 {
			continue
		}
		if from := p.nearest(now, r.Chunk); from != nil && from.ID != r.Peer {
			return p.begin(now, Fetch{Chunk: r.Chunk, Peer: from.ID}), true
		}
	}
	return Fetch{}, false
}

// nearest returns an available peer that holds the chunk, at random among the nearest
// ones; nil if there is none.
func (p *Plan) nearest(now time.Time, chunk int) *peer {
	var best *peer
	equals := 0
	for _, from := range p.peers {
		if !from.have.Has(chunk) || !p.isAvailable(now, from) {
			continue
		}
		if best == nil || from.distance < best.distance {
			best = from
			equals = 1
			continue
		}
		if from.distance > best.distance {
			continue
		}
		equals++
		if p.rand.IntN(equals) == 0 {
			best = from
		}
	}
	return best
}

func (p *Plan) isAvailable(now time.Time, from *peer) bool {
	return from.running < p.settings.PerPeer && !now.Before(from.pausedUntil)
}

// Wake returns the latest time at which to call Next again if no other event occurs
// before; zero once the plan is complete.
func (p *Plan) Wake(now time.Time) time.Time {
	if p.Complete() {
		return time.Time{}
	}
	wake := now.Add(pollInterval)
	at := func(change time.Time) {
		if change.After(now) {
			wake = earlier(wake, change)
		}
	}
	at(p.noFetchUntil)
	for _, from := range p.peers {
		at(from.pausedUntil)
	}
	for _, r := range p.fetches {
		at(r.started.Add(slowFactor * p.fetchTime))
	}
	d := &p.upstream
	if !d.isOpen() {
		at(d.started.Add(p.settings.ReportWait))
		return later(wake, now.Add(minWakeDelay))
	}
	at(d.nextCheck)
	at(d.nextOrphanTick)
	if d.next < len(d.timeline) {
		at(d.dueAt(d.timeline[d.next]))
	}
	return later(wake, now.Add(minWakeDelay))
}
