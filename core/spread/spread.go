// Package spread decides how one agent gathers the chunks of one manifest:
// what to fetch next, from which peer, when to draw a chunk from the origin
// and which uploads to grant.
//
// A Plan is a pure state machine. Time and randomness are passed in, nothing
// is sent and no chunk bytes pass through it. One goroutine calls it.
//
// Each chunk leaves the origin once: members rank themselves for it by
// rendezvous hash, the first draws it and the others copy it from each other,
// rarest first. The next in rank takes over when the chunk shows up nowhere in
// time. A quota per member bounds what the fleet can draw, whatever fails.
// docs/design/spread.md gives the reasons and measurements.
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

// SourceKind tells where a fetch goes.
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

// Reason tells why a fetch failed.
type Reason uint8

// Reasons of a failed fetch. From the origin, Stalled, Corrupt, Gone and Local
// count against the quota, since bytes may have crossed the origin's link; the
// others must be used only if none did.
const (
	// ReasonStalled: no byte arrived for the stall timeout.
	ReasonStalled Reason = iota
	// ReasonCorrupt: the bytes do not match the chunk's digest.
	ReasonCorrupt
	// ReasonBusy: the source has no upload slot free.
	ReasonBusy
	// ReasonGone: the connection was lost during the transfer.
	ReasonGone
	// ReasonUnavailable: the source could not be reached.
	ReasonUnavailable
	// ReasonRateLimited: the source asked for a pause.
	ReasonRateLimited
	// ReasonMissing: the source does not hold the chunk.
	ReasonMissing
	// ReasonLocal: the chunk arrived well but this instance could not keep it.
	ReasonLocal
)

// Fetch is one download that the agent is to start.
type Fetch struct {
	// ID is unique within the plan.
	ID     uint64
	Chunk  int
	Source SourceKind
	// Peer is set for SourcePeer.
	Peer fleet.InstanceID
}

// Progress is what a plan has achieved.
type Progress struct {
	Have, Total int
	// OriginBytes is the size of all chunks drawn from the origin, with those
	// that failed, were corrupt or still run.
	OriginBytes int64
	// StoreBytes and PeerBytes count verified chunks only.
	StoreBytes, PeerBytes int64
	// Waiting says in a few words what the plan waits for; empty while it
	// fetches and once it is complete.
	Waiting string
}

// Options are the inputs of New. All are required but Settings, whose zero
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

// running is a fetch that the agent has been told to start.
type running struct {
	Fetch
	started time.Time
}

// Plan gathers the chunks of one manifest. It is not safe for use by several
// goroutines.
type Plan struct {
	self     Member
	chunks   []weights.Chunk
	settings Settings
	rand     *rand.Rand

	have     *weights.Set
	seen     *weights.Set // known to exist whole somewhere, have included
	inFlight *weights.Set // chunks with a running fetch

	nextID  uint64
	fetches []running // by rising id, only a few
	// clock is the time of the last call that told one.
	clock time.Time

	peers    []*peer // sorted by id
	rarity   rarity
	suspects map[fleet.InstanceID]suspect
	wanted   *weights.Set // scratch of pickFromPeers
	// fetchTime is the moving average of how long a fetch from a peer takes.
	fetchTime time.Duration
	// heldBack stops new fetches while this instance cannot keep chunks.
	heldBack time.Time

	roster  roster
	draws   draws
	uploads uploads
	// seenAt is when each chunk was first known to exist, near is scratch space;
	// nil unless NearFirst.
	seenAt []time.Time
	near   *weights.Set

	originBytes, storeBytes, peerBytes int64
}

// New returns a plan that holds nothing and knows no members.
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
	p.draws = newDraws(total, o.Start)
	if settings.NearFirst {
		p.roster.crosses = weights.NewSet(total)
		p.seenAt = make([]time.Time, total)
		p.near = weights.NewSet(total)
	}
	return p
}

// Held tells that this instance holds chunks that no fetch of the plan
// brought: in the stage at start, or reused from another version.
func (p *Plan) Held(now time.Time, chunks []int) {
	for _, chunk := range chunks {
		if p.have.Add(chunk) {
			p.markSeen(now, chunk)
		}
	}
}

// Have returns the chunks this instance holds. The caller only reads it, and
// only until it next calls the plan.
func (p *Plan) Have() *weights.Set { return p.have }

// Seen returns the chunks known to exist whole somewhere in this part of the
// fleet. It goes to every neighbour. The caller only reads it, and only until
// it next calls the plan.
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
	case !p.draws.isOpen():
		return "neighbours' first report"
	case p.roster.quota <= p.draws.charged:
		return "peers or store, origin quota used up"
	default:
		return "peers"
	}
}

// Done tells that a fetch brought a chunk that is verified and staged. It
// returns the other running fetches of the chunk, which the agent cancels and
// reports no more. An unknown id is ignored.
func (p *Plan) Done(now time.Time, id uint64) (superseded []uint64) {
	done, ok := p.fetch(id)
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

// Failed tells that a fetch ended without a chunk. retryAfter is the pause
// that the source asked for, 0 if none. An unknown id is ignored.
func (p *Plan) Failed(now time.Time, id uint64, reason Reason, retryAfter time.Duration) {
	failed, ok := p.fetch(id)
	if !ok {
		return
	}
	p.end(failed)
	if reason == ReasonLocal {
		p.heldBack = now.Add(localPause)
	}
	if failed.Source == SourcePeer {
		p.peerFailed(now, failed, reason, retryAfter)
		return
	}
	p.drawFailed(now, failed, reason, retryAfter)
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

// end forgets a fetch, whatever its outcome.
func (p *Plan) end(r running) {
	p.fetches = slices.DeleteFunc(p.fetches, func(other running) bool { return other.ID == r.ID })
	if peer := p.peer(r.Peer); peer != nil && r.Source == SourcePeer {
		peer.running = max(0, peer.running-1)
	}
	p.draws.ended(r.Source)
	if p.runs(r.Chunk) == 0 {
		p.inFlight.Remove(r.Chunk)
	}
}

// runs returns the number of running fetches of the chunk.
func (p *Plan) runs(chunk int) int {
	count := 0
	for _, r := range p.fetches {
		if r.Chunk == chunk {
			count++
		}
	}
	return count
}

func (p *Plan) fetch(id uint64) (running, bool) {
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
		p.draws.origin.succeeded()
	case SourceStore:
		p.storeBytes += size
		p.draws.store.succeeded()
	case SourcePeer:
		p.peerBytes += size
		p.fetchTime += (now.Sub(done.started) - p.fetchTime) / fetchTimeWeight
		if peer := p.peer(done.Peer); peer != nil {
			peer.stalls = 0
		}
	}
}

// markSeen notes that a chunk exists whole in this part of the fleet.
func (p *Plan) markSeen(now time.Time, chunk int) {
	if p.seen.Add(chunk) {
		if p.seenAt != nil {
			p.seenAt[chunk] = now
		}
		p.draws.advance(now, chunk, p.settings)
	}
}

// jitter returns d with up to half of it added, so that members which met the
// same failure at once do not all come back at once.
func (p *Plan) jitter(d time.Duration) time.Duration {
	return d + time.Duration(p.rand.Int64N(int64(d)/2+1))
}
