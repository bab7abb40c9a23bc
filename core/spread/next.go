package spread

import (
	"time"

	"chivespindle.example/core/fleet"
)

const (
	// pollTime is the longest time between two looks while a plan is
	// incomplete.
	pollTime = time.Second
	// minWake keeps a wake-up that is due from spinning.
	minWake = time.Millisecond
	// slowFactor is how many usual fetch times a fetch of the end game runs
	// before its chunk is asked from a second peer.
	slowFactor = 2
)

// Next returns the fetches to start now. The agent reports each of them by one
// Done or Failed, but for those that Done returns as superseded.
func (p *Plan) Next(now time.Time) []Fetch {
	p.clock = now
	if p.Complete() {
		return nil
	}
	p.endAvoidance(now)
	p.openDraws(now)
	if p.draws.isOpen() {
		p.queueDue(now)
		p.ageOrphans(now)
	}
	if now.Before(p.heldBack) {
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

// nextFetch prefers a draw, since nobody can copy a chunk that is nowhere.
func (p *Plan) nextFetch(now time.Time) (Fetch, bool) {
	if len(p.fetches) >= p.settings.MaxFetches {
		return Fetch{}, false
	}
	if f, ok := p.nextDraw(now); ok {
		return f, true
	}
	if f, ok := p.pickFromPeers(now); ok {
		return f, true
	}
	return p.pickSecond(now)
}

// pickFromPeers takes the rarest chunk that a free peer holds, at random among
// equals, from the nearest peer that holds it.
//
// With NearFirst the chunks of its own region come first. Otherwise members of
// one region fetch the same new chunks from another one each, over a link that
// all of them share.
func (p *Plan) pickFromPeers(now time.Time) (Fetch, bool) {
	if p.settings.NearFirst {
		if f, ok := p.pickRarest(now, fleet.SameRegion); ok {
			return f, true
		}
	}
	return p.pickRarest(now, fleet.OtherRegion)
}

// pickRarest takes the rarest chunk that a free peer within a distance holds.
func (p *Plan) pickRarest(now time.Time, within fleet.Distance) (Fetch, bool) {
	p.wanted.Clear()
	for _, from := range p.peers {
		if from.distance <= within && p.free(now, from) {
			p.wanted.Union(from.have)
		}
	}
	if p.wanted.Count() == 0 {
		return Fetch{}, false
	}
	p.wanted.Subtract(p.have)
	p.wanted.Subtract(p.inFlight)
	if within == fleet.OtherRegion && p.settings.NearFirst {
		p.leaveToRegion(now)
	}
	for _, held := range p.rarity.byHolders[1:] {
		equals := held.CountBoth(p.wanted)
		if equals == 0 {
			continue
		}
		chunk := held.NthBoth(p.wanted, p.rand.IntN(equals))
		from := p.nearest(now, chunk)
		return p.begin(now, Fetch{Chunk: chunk, Peer: from.ID}), true
	}
	return Fetch{}, false
}

// pickSecond asks a second peer for one of the last chunks, when the first
// peer is slow. Without it the slowest sender of the last chunk decides when
// the whole is ready.
func (p *Plan) pickSecond(now time.Time) (Fetch, bool) {
	if p.have.Len()-p.have.Count() > p.settings.MaxFetches {
		return Fetch{}, false
	}
	slow := now.Add(-slowFactor * p.fetchTime)
	for _, r := range p.fetches {
		if r.Source != SourcePeer || r.started.After(slow) || p.runs(r.Chunk) > 1 {
			continue
		}
		if from := p.nearest(now, r.Chunk); from != nil && from.ID != r.Peer {
			return p.begin(now, Fetch{Chunk: r.Chunk, Peer: from.ID}), true
		}
	}
	return Fetch{}, false
}

// nearest returns a free peer that holds the chunk, at random among the
// nearest; nil if there is none.
func (p *Plan) nearest(now time.Time, chunk int) *peer {
	var best *peer
	equals := 0
	for _, from := range p.peers {
		if !from.have.Has(chunk) || !p.free(now, from) {
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

func (p *Plan) free(now time.Time, from *peer) bool {
	return from.running < p.settings.PerPeer && !now.Before(from.pausedUntil)
}

// Wake returns when Next may return something though nothing was told to the
// plan in between; zero once it is complete.
func (p *Plan) Wake(now time.Time) time.Time {
	if p.Complete() {
		return time.Time{}
	}
	wake := now.Add(pollTime)
	at := func(change time.Time) {
		if change.After(now) {
			wake = earlier(wake, change)
		}
	}
	at(p.heldBack)
	for _, from := range p.peers {
		at(from.pausedUntil)
	}
	for _, r := range p.fetches {
		at(r.started.Add(slowFactor * p.fetchTime))
	}
	d := &p.draws
	if !d.isOpen() {
		at(d.started.Add(p.settings.ListenTime))
		return later(wake, now.Add(minWake))
	}
	at(d.nextLook)
	at(d.ageAt)
	if d.next < len(d.timeline) {
		at(d.dueAt(d.timeline[d.next]))
	}
	return later(wake, now.Add(minWake))
}
