// Package spread decides how one agent obtains the chunks of one manifest: what to
// fetch next, from which peer, when to fetch a chunk from the origin and which uploads
// to grant.
//
// A Plan is a pure state machine. Time and randomness are passed in, it sends nothing,
// and no chunk bytes pass through it. It must be called from one goroutine.
//
// In the normal case each chunk leaves the origin once: members rank themselves for it
// by rendezvous hashing, the first fetches it from the origin, and the others copy it
// from each other, rarest first. The next in rank takes over when the chunk does not
// appear anywhere in time. A quota per member bounds the total that the fleet fetches
// from the origin under any failure. An upstream fetch is a fetch from the origin or
// the store. docs/design/spread.md gives the reasons and measurements.
package spread

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/weights"
)

// Member is an agent that wants the manifest.
type Member struct {
	ID fleet.InstanceID
	fleet.Place
	// Addr is the UDP address of the agent's QUIC listener.
	Addr netip.AddrPort
}

// SourceKind is the kind of source of a fetch.
type SourceKind uint8

// Kinds of source.
const (
	SourcePeer SourceKind = iota
	SourceOrigin
	// SourceStore is the platform's rate-limited weight store.
	SourceStore
)

// String returns "peer", "origin" or "store".
func (k SourceKind) String() string {
	switch k {
	case SourceOrigin:
		return "origin"
	case SourceStore:
		return "store"
	default:
		return "peer"
	}
}

// Reason is the cause of a failed fetch.
type Reason uint8

// Reasons of a failed fetch. From the origin, ReasonStalled, ReasonCorrupt, ReasonGone
// and ReasonLocal count against the quota, since bytes may have crossed the origin's
// link; the others must be used only if no byte did.
const (
	// ReasonStalled: no byte arrived for the stall timeout.
	ReasonStalled Reason = iota
	// ReasonCorrupt: the bytes do not match the digest of the chunk.
	ReasonCorrupt
	// ReasonBusy: the source has no free upload slot.
	ReasonBusy
	// ReasonGone: the connection was lost during the transfer.
	ReasonGone
	// ReasonUnavailable: the source could not be reached.
	ReasonUnavailable
	// ReasonRateLimited: the source requested a pause.
	ReasonRateLimited
	// ReasonMissing: the source does not hold the chunk.
	ReasonMissing
	// ReasonLocal: the chunk was valid but this instance could not store it.
	ReasonLocal
)

// Fetch is a download that the agent is to start.
type Fetch struct {
	// ID is unique within the plan.
	ID     uint64
	Chunk  int
	Source SourceKind
	// Peer is set for SourcePeer.
	Peer fleet.InstanceID
}

// Progress is the current state of a plan for status and metrics.
type Progress struct {
	Have, Total int
	// OriginBytes is the size of all chunks fetched from the origin, including fetches
	// that failed after bytes may have been sent and those still running.
	OriginBytes int64
	// StoreBytes and PeerBytes count verified chunks only.
	StoreBytes, PeerBytes int64
	// Waiting describes what the plan waits for; empty while fetches run and once the
	// plan is complete.
	Waiting string
}

// Options are the parameters of New. All are required except Settings, whose zero
// fields take defaults.
type Options struct {
	Self           Member
	Manifest       weights.Manifest
	ManifestDigest fleet.Digest
	Settings       Settings
	Rand           *rand.Rand
	// Start is when the agent learnt that it needs the manifest.
	Start time.Time
}

// running is a fetch that Next has returned and that has not ended.
type running struct {
	Fetch
	started time.Time
}

// Plan obtains the chunks of one manifest. It is not safe for concurrent use.
type Plan struct {
	self     Member
	chunks   []weights.Chunk
	settings Settings
	rand     *rand.Rand

	have     *weights.Set
	seen     *weights.Set // known to exist complete somewhere in the fleet; includes have
	inFlight *weights.Set // chunks with a running fetch

	nextID  uint64
	fetches []running // by ascending ID; only a few
	// clock is the time of the last call of Next, SetMembers or PeerDown.
	clock time.Time

	peers    []*peer // sorted by id
	rarity   rarity
	suspects map[fleet.InstanceID]suspect
	wanted   *weights.Set // scratch space of pickRarest
	// fetchTime is the moving average of the duration of a fetch from a peer.
	fetchTime time.Duration
	// noFetchUntil is the time until which no fetch starts, because this instance could
	// not store a chunk.
	noFetchUntil time.Time

	roster   roster
	upstream upstreamSchedule
	uploads  uploads
	// seenAt is when each chunk was first known to exist; heldInRegion is scratch space
	// of deferToRegion. Both are nil unless NearFirst.
	seenAt       []time.Time
	heldInRegion *weights.Set

	originBytes, storeBytes, peerBytes int64
}

// New returns a plan that holds no chunks and knows no members.
func New(o Options) *Plan {
	total := len(o.Manifest.Chunks)
	settings := o.Settings.withDefaults(o.Manifest)
	p := &Plan{
		self:      o.Self,
		chunks:    o.Manifest.Chunks,
		settings:  settings,
		rand:      o.Rand,
		have:      weights.NewSet(total),
		seen:      weights.NewSet(total),
		inFlight:  weights.NewSet(total),
		wanted:    weights.NewSet(total),
		rarity:    newRarity(total),
		suspects:  map[fleet.InstanceID]suspect{},
		fetchTime: firstFetchTime(settings.pace),
		roster:    newRoster(o.ManifestDigest, o.Self, total, settings.OriginCopies),
		uploads:   newUploads(settings.MaxUploads),
	}
	p.upstream = newUpstreamSchedule(total, o.Start)
	if settings.NearFirst {
		p.roster.firstInRegion = weights.NewSet(total)
		p.seenAt = make([]time.Time, total)
		p.heldInRegion = weights.NewSet(total)
	}
	return p
}

// AddHeld adds chunks that this instance holds without a fetch of the plan: found in the
// stage at start, or reused from another version.
func (p *Plan) AddHeld(now time.Time, chunks []int) {
	for _, chunk := range chunks {
		if p.have.Add(chunk) {
			p.markSeen(now, chunk)
		}
	}
}

// Have returns the chunks this instance holds. The caller must not modify the set or
// use it after its next call to the plan.
func (p *Plan) Have() *weights.Set { return p.have }

// Seen returns the chunks known to exist complete somewhere in this part of the fleet.
// The agent sends it to every neighbour. The caller must not modify the set or use it
// after its next call to the plan.
func (p *Plan) Seen() *weights.Set { return p.seen }

// Complete reports whether every chunk is held.
func (p *Plan) Complete() bool { return p.have.Full() }

// Progress returns counts for status and metrics.
func (p *Plan) Progress() Progress {
	return Progress{
		Have:        p.have.Count(),
		Total:       p.have.Len(),
		OriginBytes: p.originBytes,
		StoreBytes:  p.storeBytes,
		PeerBytes:   p.peerBytes,
		Waiting:     p.waiting(),
	}
}

func (p *Plan) waiting() string {
	switch {
	case p.Complete() || len(p.fetches) > 0:
		return ""
	case !p.upstream.isOpen():
		return "neighbours' first report"
	case p.roster.quota <= p.upstream.charged:
		return "peers or store, origin quota used up"
	default:
		return "peers"
	}
}

// Done records that a fetch returned a chunk that is verified and staged. It returns
// the other running fetches of the chunk, which the agent cancels and does not report.
// An unknown ID is ignored.
func (p *Plan) Done(now time.Time, id uint64) (superseded []uint64) {
	done, ok := p.findFetch(id)
	if !ok {
		return nil
	}
	p.end(done)
	p.succeeded(now, done)
	p.have.Add(done.Chunk)
	p.markSeen(now, done.Chunk)
	for _, other := range slices.Clone(p.fetches) {
		if other.Chunk == done.Chunk {
			p.end(other)
			superseded = append(superseded, other.ID)
		}
	}
	return superseded
}

// Failed records that a fetch ended without a chunk. retryAfter is the pause that the
// source requested, 0 if none. An unknown ID is ignored.
func (p *Plan) Failed(now time.Time, id uint64, reason Reason, retryAfter time.Duration) {
	failed, ok := p.findFetch(id)
	if !ok {
		return
	}
	p.end(failed)
	if reason == ReasonLocal {
		p.noFetchUntil = now.Add(localPause)
	}
	if failed.Source == SourcePeer {
		p.peerFailed(now, failed, reason, retryAfter)
		return
	}
	p.upstreamFetchFailed(now, failed, reason, retryAfter)
}

// begin records a fetch and returns it for the agent to start.
func (p *Plan) begin(now time.Time, f Fetch) Fetch {
	p.nextID++
	f.ID = p.nextID
	p.fetches = append(p.fetches, running{Fetch: f, started: now})
	p.inFlight.Add(f.Chunk)
	if peer := p.peer(f.Peer); peer != nil && f.Source == SourcePeer {
		peer.running++
	}
	return f
}

// end removes a running fetch, whatever its outcome.
func (p *Plan) end(r running) {
	p.fetches = slices.DeleteFunc(p.fetches, func(other running) bool { return other.ID == r.ID })
	if peer := p.peer(r.Peer); peer != nil && r.Source == SourcePeer {
		peer.running = max(0, peer.running-1)
	}
	p.upstream.fetchEnded(r.Source)
	if p.fetchCount(r.Chunk) == 0 {
		p.inFlight.Remove(r.Chunk)
	}
}

// fetchCount returns the number of running fetches of the chunk.
func (p *Plan) fetchCount(chunk int) int {
	count := 0
	for _, r := range p.fetches {
		if r.Chunk == chunk {
			count++
		}
	}
	return count
}

func (p *Plan) findFetch(id uint64) (running, bool) {
	for _, r := range p.fetches {
		if r.ID == id {
			return r, true
		}
	}
	return running{}, false
}

func (p *Plan) succeeded(now time.Time, done running) {
	size := int64(p.chunks[done.Chunk].Bytes)
	switch done.Source {
	case SourceOrigin:
		p.upstream.origin.succeeded()
	case SourceStore:
		p.storeBytes += size
		p.upstream.store.succeeded()
	case SourcePeer:
		p.peerBytes += size
		p.fetchTime += (now.Sub(done.started) - p.fetchTime) / fetchTimeWeight
		if peer := p.peer(done.Peer); peer != nil {
			peer.stallCount = 0
		}
	}
}

// markSeen records that a chunk exists complete in this part of the fleet.
func (p *Plan) markSeen(now time.Time, chunk int) {
	if p.seen.Add(chunk) {
		if p.seenAt != nil {
			p.seenAt[chunk] = now
		}
		p.upstream.chunkAppeared(now, chunk, p.settings)
	}
}

// jitter returns d plus a random part of up to half of it, so that members that saw the
// same failure at the same time do not all retry at once.
func (p *Plan) jitter(d time.Duration) time.Duration {
	return d + time.Duration(p.rand.Int64N(int64(d)/2+1))
}
