package swarm

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/wire"
)

// manifestIndex is the chunk index that asks a peer for the manifest itself.
const manifestIndex = -1

// maxManifestBytes bounds what a peer may send as a manifest: MaxChunks
// entries of about fifty bytes.
const maxManifestBytes = 8 << 20

// Errors of a chunk exchange, matched to spread's reasons.
var (
	errBusy    = failure.Namespace.NewType("peer_busy", failure.Temporary)
	errMissing = failure.Namespace.NewType("peer_missing_chunk")
	errLocal   = failure.Namespace.NewType("stage_refuses_chunk", failure.Temporary)
)

// result is how a transfer ended. bytes counts what was taken in, also when
// it failed, since the sender's link carried it.
type result struct {
	bytes      int64
	err        error
	reason     spread.Reason
	retryAfter time.Duration
}

func (g *gather) fetch(ctx context.Context, f spread.Fetch, from spread.Member) {
	data, err := g.transfer(ctx, f, from)
	r := result{bytes: int64(len(data)), err: err}
	if err == nil {
		r.err = g.keep(ctx, g.manifest.Chunks[f.Chunk], data)
	}
	if r.err != nil {
		r.reason = reasonOf(r.err)
		r.retryAfter = failure.RetryAfter(r.err)
	}
	if r.reason == spread.ReasonUnavailable && r.bytes > 0 {
		// Bytes crossed the source's link, so they count against the quota.
		r.reason = spread.ReasonGone
	}
	g.swarm.post(func(now time.Time) { g.fetched(now, f, r) })
}

func (g *gather) transfer(ctx context.Context, f spread.Fetch, from spread.Member) ([]byte, error) {
	chunk := g.manifest.Chunks[f.Chunk]
	switch f.Source {
	case spread.SourceOrigin:
		return g.swarm.opts.Origin.Chunk(ctx, g.version.Manifest, chunk)
	case spread.SourceStore:
		if g.swarm.opts.Store == nil {
			return nil, failure.NotFound.New("the platform has no store")
		}
		return g.swarm.opts.Store.Chunk(ctx, g.version.Manifest, chunk)
	default:
		return g.fromPeer(ctx, from, f.Chunk, chunk.Bytes)
	}
}

// keep checks a chunk before it is staged. Without the check one bad sender
// would hand bad bytes on to all its neighbours, and the whole would only be
// found bad after the last chunk.
func (g *gather) keep(ctx context.Context, c weights.Chunk, data []byte) error {
	if err := c.Verify(data); err != nil {
		return err
	}
	if err := g.swarm.opts.Stage.Put(ctx, g.version.Manifest, c.Index, data); err != nil {
		return errLocal.Wrap(err, "stage chunk %d", c.Index)
	}
	return nil
}

func (g *gather) fromPeer(ctx context.Context, from spread.Member, index, most int) ([]byte, error) {
	s, err := g.swarm.opts.Endpoint.Open(ctx, from.Addr, from.ID, peer.KindChunk)
	if err != nil {
		return nil, err
	}
	defer s.Abort()
	s.SetStallTimeout(g.swarm.opts.Stall)
	if err := s.Send(wire.ChunkOpen{Manifest: g.version.Manifest, Index: index}); err != nil {
		return nil, err
	}
	var head wire.ChunkHead
	if err := s.Recv(&head); err != nil {
		return nil, err
	}
	switch head.Status {
	case wire.ChunkFollows:
		return receive(ctx, s, g.swarm.opts.Down, head.Bytes, most)
	case wire.ChunkBusy:
		return nil, errBusy.New("peer %s is busy", from.ID)
	default:
		return nil, errMissing.New("peer %s does not hold chunk %d", from.ID, index)
	}
}

// receive takes size bytes in frames. On failure it returns what came.
func receive(ctx context.Context, s *peer.Stream, down Limiter, size, most int) ([]byte, error) {
	if size < 0 || size > most {
		return nil, failure.Corrupt.New("peer offers %d bytes, want at most %d", size, most)
	}
	data := make([]byte, 0, size)
	buf := make([]byte, min(PieceBytes, size))
	for len(data) < size {
		piece, err := s.RecvBytes(buf)
		if errors.Is(err, io.EOF) {
			return data, failure.Unavailable.New("peer ended a chunk after %d of %d bytes", len(data), size)
		}
		if err != nil {
			return data, err
		}
		if len(data)+len(piece) > size {
			return data, failure.Corrupt.New("peer sent more than %d bytes", size)
		}
		data = append(data, piece...)
		if err := down.WaitN(ctx, len(piece)); err != nil {
			return data, failure.Timeout.Wrap(err, "wait for the link's share")
		}
	}
	return data, nil
}

func reasonOf(err error) spread.Reason {
	switch {
	case errorx.IsOfType(err, errLocal):
		return spread.ReasonLocal
	case errorx.IsOfType(err, errBusy):
		return spread.ReasonBusy
	case errorx.IsOfType(err, errMissing), errorx.IsOfType(err, failure.NotFound):
		return spread.ReasonMissing
	case errorx.IsOfType(err, failure.Corrupt):
		return spread.ReasonCorrupt
	case errorx.IsOfType(err, failure.RateLimited):
		return spread.ReasonRateLimited
	case errorx.IsOfType(err, failure.Timeout):
		return spread.ReasonStalled
	case errorx.IsOfType(err, failure.Unavailable):
		return spread.ReasonUnavailable
	default:
		return spread.ReasonGone
	}
}

// manifestTurn is how long each later member in rank leaves the origin to
// those before it. With two members asking at first, hundreds of instances
// cost the origin a handful of manifests.
const (
	manifestTurn     = 500 * time.Millisecond
	manifestAskers   = 2
	manifestMaxTurns = 20
)

// findManifest fetches the manifest from a peer or, in the order of rank, from
// the origin or the store, until it has one with the pinned digest. The
// members are looked up at each try: those of the beginning may all have gone,
// or the list may not have been there yet.
func (g *gather) findManifest() {
	search := newManifestSearch(g)
	for attempt := 0; g.ctx.Err() == nil; attempt++ {
		raw, err := search.ask(attempt)
		if err == nil {
			g.announceManifest(raw)
			return
		}
		g.swarm.opts.Logger.Debug("manifest_not_found", zap.Stringer("version", g.version), zap.Error(err))
		pause(g.ctx, manifestPause(attempt))
	}
}

// manifestAtOnce is how many peers are asked for the manifest at the same
// time, so that one behind a cut link does not cost its whole timeout.
const manifestAtOnce = 3

// manifestFromPeers asks some peers at once and takes the first good answer.
// The first tries go to those that ask the origin, later ones to ever more.
func (g *gather) manifestFromPeers(peers []spread.Member, attempt int) ([]byte, error) {
	if len(peers) == 0 {
		return nil, failure.Unavailable.New("no peer to ask for the manifest")
	}
	ctx, cancel := context.WithTimeout(g.ctx, g.swarm.opts.Stall)
	defer cancel()
	asked := min(manifestAtOnce, len(peers))
	answers := make(chan manifestAnswer, asked)
	widest := min(len(peers), (attempt+1)*manifestAtOnce)
	for i := range asked {
		from := peers[(attempt*manifestAtOnce+i)%widest]
		go func() { answers <- g.manifestFromPeer(ctx, from) }()
	}
	var last error
	for range asked {
		answer := <-answers
		if answer.err == nil {
			return answer.raw, nil
		}
		last = answer.err
	}
	return nil, last
}

type manifestAnswer struct {
	raw []byte
	err error
}

func (g *gather) manifestFromPeer(ctx context.Context, from spread.Member) manifestAnswer {
	raw, err := g.fromPeer(ctx, from, manifestIndex, maxManifestBytes)
	if err == nil {
		_, err = weights.Decode(raw, g.version.Manifest)
	}
	return manifestAnswer{raw: raw, err: err}
}

// announceManifest reads what the stage holds already, so that a restarted
// agent fetches nothing twice, and hands both to the control loop.
func (g *gather) announceManifest(raw []byte) {
	m, err := weights.Decode(raw, g.version.Manifest)
	if err != nil {
		return
	}
	if !g.tellStage(raw) {
		return
	}
	held := g.heldChunks(m)
	held = append(held, g.copyReusable(m, held)...)
	g.swarm.post(func(now time.Time) { g.manifestFound(now, raw, m, held) })
}

// tellStage hands the manifest to the stage, again until it takes it.
func (g *gather) tellStage(raw []byte) bool {
	if g.swarm.opts.OnManifest == nil {
		return true
	}
	for {
		err := g.swarm.opts.OnManifest(g.ctx, g.version.Manifest, raw)
		if err == nil {
			return true
		}
		g.swarm.opts.Logger.Warn("stage_manifest_refused", zap.Stringer("version", g.version), zap.Error(err))
		if !pause(g.ctx, manifestRetry) {
			return false
		}
	}
}

func (g *gather) heldChunks(m weights.Manifest) []int {
	held, err := g.swarm.opts.Stage.Held(g.ctx, g.version.Manifest)
	if err != nil {
		g.swarm.opts.Logger.Warn("stage_not_listed", zap.Error(err))
		return nil
	}
	return valid(held, len(m.Chunks))
}

// copyReusable stages chunks that another version on this instance has with
// the same digest, and returns their indexes. Bytes that are here need not
// cross any link.
func (g *gather) copyReusable(m weights.Manifest, held []int) []int {
	have := weights.SetOf(len(m.Chunks), held...)
	var copied []int
	for _, other := range g.reuse {
		at := make(map[fleet.Digest]int, len(other.chunks.Chunks))
		for i := range other.held.All() {
			at[other.chunks.Chunks[i].Digest] = i
		}
		for _, c := range m.Chunks {
			from, found := at[c.Digest]
			if !found || have.Has(c.Index) || !g.copyChunk(other.manifest, from, c) {
				continue
			}
			have.Add(c.Index)
			copied = append(copied, c.Index)
		}
	}
	return copied
}

func (g *gather) copyChunk(from fleet.Digest, index int, c weights.Chunk) bool {
	data, err := g.swarm.opts.Stage.Get(g.ctx, from, index)
	if err != nil {
		return false
	}
	return g.keep(g.ctx, c, data) == nil
}

func others(members []spread.Member, self fleet.InstanceID) []spread.Member {
	var rest []spread.Member
	for _, m := range members {
		if m.ID != self {
			rest = append(rest, m)
		}
	}
	return rest
}
