package spread

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/weights"
)

const (
	corruptPauseMin = 30 * time.Second
	corruptPauseMax = 10 * time.Minute
	stallPauseMin   = time.Second
	stallPauseMax   = time.Minute
	localPause      = time.Second

	fetchTimeWeight = 8 // the newest fetch counts one eighth
	fetchTimeMin    = 20 * time.Millisecond
	fetchTimeMax    = 2 * time.Second
	busyPauseMin    = 2 * time.Millisecond
	busyPauseMax    = time.Second
)

// peer is a connected neighbour.
type peer struct {
	Member
	// distance orders sources of a chunk: the nearest that has it is asked.
	distance fleet.Distance
	// have is what the peer announced, without the chunks in bad.
	have *weights.Set
	// bad holds chunks that came corrupt from the peer.
	bad *weights.Set
	// heard is true once the peer has sent its first bitmap.
	heard bool
	// avoided is true while the peer rests after a fault. Its chunks do not
	// count as obtainable then.
	avoided bool
	// pausedUntil is when the peer may be asked again, after a fault or a
	// busy answer.
	pausedUntil      time.Time
	stalls, corrupts int
	running          int
}

// PeerUp tells that a connection to a member stands.
func (p *Plan) PeerUp(_ time.Time, m Member) {
	at, found := p.findPeer(m.ID)
	if found {
		return
	}
	delete(p.suspects, m.ID)
	added := &peer{Member: m, distance: p.self.DistanceTo(m.Place), have: p.emptySet(), bad: p.emptySet()}
	p.peers = slices.Insert(p.peers, at, added)
}

// PeerDown tells that the connection to a member is lost or could not be made.
// Its running fetches stay until the agent reports each of them.
func (p *Plan) PeerDown(now time.Time, id fleet.InstanceID) {
	p.suspect(now, id)
	at, found := p.findPeer(id)
	if !found {
		return
	}
	p.uncount(p.peers[at])
	p.peers = slices.Delete(p.peers, at, at+1)
}

// PeerHas takes the whole bitmap of a peer. The first one after PeerUp counts
// as its first report: call PeerSeen with what the peer sent along before it.
// A bitmap of another length is ignored.
func (p *Plan) PeerHas(now time.Time, id fleet.InstanceID, have *weights.Set) {
	from := p.peer(id)
	if from == nil || have.Len() != p.have.Len() {
		return
	}
	p.uncount(from)
	from.heard = true
	from.have = have.Clone()
	from.have.Subtract(from.bad)
	if !from.avoided {
		p.count(from)
	}
	for chunk := range have.Minus(p.seen) {
		p.markSeen(now, chunk)
	}
}

// PeerGot takes the chunks that a peer has got since it last told.
func (p *Plan) PeerGot(now time.Time, id fleet.InstanceID, chunks []int) {
	from := p.peer(id)
	if from == nil {
		return
	}
	for _, chunk := range chunks {
		if chunk < 0 || chunk >= p.have.Len() {
			continue
		}
		p.markSeen(now, chunk)
		if !from.bad.Has(chunk) && from.have.Add(chunk) && !from.avoided {
			p.rarity.add(chunk)
		}
	}
}

// PeerSeen takes the chunks that a neighbour knows to exist whole somewhere. A
// set of another length is ignored.
func (p *Plan) PeerSeen(now time.Time, seen *weights.Set) {
	if seen.Len() != p.seen.Len() {
		return
	}
	for chunk := range seen.Minus(p.seen) {
		p.markSeen(now, chunk)
	}
}

// peerFailed pauses a peer as its failure deserves.
//
// A stalled link does not close and a sender of bad chunks does not know it,
// so the symptom of asking again at once is a plan that never ends. Each fault
// doubles the pause, and the chunks of a resting peer count as obtainable from
// nowhere, so that the plan goes elsewhere for them in bounded time.
func (p *Plan) peerFailed(now time.Time, failed running, reason Reason, retryAfter time.Duration) {
	from := p.peer(failed.Peer)
	if from == nil {
		return
	}
	switch reason {
	case ReasonBusy, ReasonRateLimited:
		from.pausedUntil = now.Add(max(retryAfter, p.busyPause()))
	case ReasonMissing:
		if from.have.Remove(failed.Chunk) && !from.avoided {
			p.rarity.remove(failed.Chunk)
		}
	case ReasonCorrupt:
		from.corrupts++
		p.avoid(now, from, doubling(corruptPauseMin, from.corrupts, corruptPauseMax))
		from.have.Remove(failed.Chunk)
		from.bad.Add(failed.Chunk)
	case ReasonLocal:
	default:
		from.stalls++
		p.avoid(now, from, doubling(stallPauseMin, from.stalls, stallPauseMax))
	}
}

// avoid rests a peer and takes its chunks out of the count.
func (p *Plan) avoid(now time.Time, from *peer, pause time.Duration) {
	p.uncount(from)
	from.avoided = true
	if until := now.Add(p.jitter(pause)); until.After(from.pausedUntil) {
		from.pausedUntil = until
	}
}

// endAvoidance counts the chunks of peers whose rest is over.
func (p *Plan) endAvoidance(now time.Time) {
	for _, from := range p.peers {
		if from.avoided && !now.Before(from.pausedUntil) {
			from.avoided = false
			p.count(from)
		}
	}
}

// forgive lets peers that sent a chunk corrupt be asked for it again. It is
// the last resort for a chunk that has no other source.
func (p *Plan) forgive(chunk int) {
	for _, from := range p.peers {
		if from.avoided || !from.bad.Remove(chunk) {
			continue
		}
		from.have.Add(chunk)
		p.rarity.add(chunk)
	}
}

func (p *Plan) count(from *peer) {
	for chunk := range from.have.All() {
		p.rarity.add(chunk)
	}
}

func (p *Plan) uncount(from *peer) {
	if from.avoided {
		return
	}
	for chunk := range from.have.All() {
		p.rarity.remove(chunk)
	}
}

// busyPause is about the time in which a busy peer ends one of its uploads.
func (p *Plan) busyPause() time.Duration {
	mean := min(busyPauseMax, max(busyPauseMin, p.fetchTime/time.Duration(p.settings.MaxUploads)))
	return mean/2 + time.Duration(p.rand.Int64N(int64(mean)))
}

func firstFetchTime(pace time.Duration) time.Duration {
	const chunks = 8
	return min(fetchTimeMax, max(fetchTimeMin, chunks*pace))
}

func (p *Plan) emptySet() *weights.Set { return weights.NewSet(p.have.Len()) }

func (p *Plan) findPeer(id fleet.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(p.peers, id, func(at *peer, id fleet.InstanceID) int {
		return cmp.Compare(at.ID, id)
	})
}

func (p *Plan) peer(id fleet.InstanceID) *peer {
	at, found := p.findPeer(id)
	if !found {
		return nil
	}
	return p.peers[at]
}
