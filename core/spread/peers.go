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

	fetchTimeWeight = 8 // weight of the newest fetch in the average is 1/8
	fetchTimeMin    = 20 * time.Millisecond
	fetchTimeMax    = 2 * time.Second
	busyPauseMin    = 2 * time.Millisecond
	busyPauseMax    = time.Second
)

// peer is a connected neighbour.
type peer struct {
	Member
	// distance orders the peers that hold a chunk; the nearest is asked first.
	distance fleet.Distance
	// have is the set of chunks that the peer announced, without those in bad.
	have *weights.Set
	// corrupt is the set of chunks that the peer sent corrupt.
	corrupt *weights.Set
	// hasReported is true once the peer has sent its first bitmap.
	hasReported bool
	// avoided is true while the peer is paused after a fault. Its chunks do not count
	// as available during that time.
	avoided bool
	// pausedUntil is when the next fetch from the peer may start, after a fault or a
	// busy response.
	pausedUntil              time.Time
	stallCount, corruptCount int
	running                  int
}

// PeerUp records that a connection to a member is established.
func (p *Plan) PeerUp(_ time.Time, m Member) {
	at, found := p.findPeer(m.ID)
	if found {
		return
	}
	delete(p.suspects, m.ID)
	added := &peer{Member: m, distance: p.self.DistanceTo(m.Place), have: p.emptySet(), corrupt: p.emptySet()}
	p.peers = slices.Insert(p.peers, at, added)
}

// PeerDown records that the connection to a member was lost or could not be
// established. Its running fetches stay until the agent reports each of them.
func (p *Plan) PeerDown(now time.Time, id fleet.InstanceID) {
	p.markSuspect(now, id)
	at, found := p.findPeer(id)
	if !found {
		return
	}
	p.uncountHolder(p.peers[at])
	p.peers = slices.Delete(p.peers, at, at+1)
}

// SetPeerChunks replaces the set of chunks that a peer holds. The first call after
// PeerUp counts as the first report of the peer: call MergeSeen with the set that the
// peer sent in the same message before it. A bitmap of another length is ignored.
func (p *Plan) SetPeerChunks(now time.Time, id fleet.InstanceID, have *weights.Set) {
	from := p.peer(id)
	if from == nil || have.Len() != p.have.Len() {
		return
	}
	p.uncountHolder(from)
	from.hasReported = true
	from.have = have.Clone()
	from.have.Subtract(from.corrupt)
	if !from.avoided {
		p.countHolder(from)
	}
	for chunk := range have.Difference(p.seen) {
		p.markSeen(now, chunk)
	}
}

// AddPeerChunks adds the chunks that a peer has obtained since its last report.
func (p *Plan) AddPeerChunks(now time.Time, id fleet.InstanceID, chunks []int) {
	from := p.peer(id)
	if from == nil {
		return
	}
	for _, chunk := range chunks {
		if chunk < 0 || chunk >= p.have.Len() {
			continue
		}
		p.markSeen(now, chunk)
		if !from.corrupt.Has(chunk) && from.have.Add(chunk) && !from.avoided {
			p.rarity.add(chunk)
		}
	}
}

// MergeSeen merges the chunks that a neighbour knows to exist somewhere in the fleet. A
// set of another length is ignored.
func (p *Plan) MergeSeen(now time.Time, seen *weights.Set) {
	if seen.Len() != p.seen.Len() {
		return
	}
	for chunk := range seen.Difference(p.seen) {
		p.markSeen(now, chunk)
	}
}

// peerFailed pauses a peer according to its failure.
//
// A stalled link does not close, and a sender of corrupt chunks does not know that they
// are corrupt, so a plan that retries at once may never complete. Each fault doubles
// the pause, and the chunks of a paused peer count as unavailable from it, so that the
// plan turns to other sources within a bounded time.
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
		from.corruptCount++
		p.avoid(now, from, doubling(corruptPauseMin, from.corruptCount, corruptPauseMax))
		from.have.Remove(failed.Chunk)
		from.corrupt.Add(failed.Chunk)
	case ReasonLocal:
	default:
		from.stallCount++
		p.avoid(now, from, doubling(stallPauseMin, from.stallCount, stallPauseMax))
	}
}

// avoid pauses a peer after a fault and excludes its chunks from the rarity counts.
func (p *Plan) avoid(now time.Time, from *peer, pause time.Duration) {
	p.uncountHolder(from)
	from.avoided = true
	if until := now.Add(p.jitter(pause)); until.After(from.pausedUntil) {
		from.pausedUntil = until
	}
}

// endAvoidance includes the chunks of peers whose pause is over in the rarity counts
// again.
func (p *Plan) endAvoidance(now time.Time) {
	for _, from := range p.peers {
		if from.avoided && !now.Before(from.pausedUntil) {
			from.avoided = false
			p.countHolder(from)
		}
	}
}

// clearCorruptMark makes a chunk available again from peers that sent it corrupt. It is
// the last resort for a chunk that has no other source.
func (p *Plan) clearCorruptMark(chunk int) {
	for _, from := range p.peers {
		if from.avoided || !from.corrupt.Remove(chunk) {
			continue
		}
		from.have.Add(chunk)
		p.rarity.add(chunk)
	}
}

func (p *Plan) countHolder(from *peer) {
	for chunk := range from.have.All() {
		p.rarity.add(chunk)
	}
}

func (p *Plan) uncountHolder(from *peer) {
	if from.avoided {
		return
	}
	for chunk := range from.have.All() {
		p.rarity.remove(chunk)
	}
}

// busyPause returns roughly the time in which a busy peer completes one of its uploads,
// randomized.
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
