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

// manifestIndex is the chunk index that requests the manifest itself from a
// peer.
const manifestIndex = -1

// maxManifestBytes bounds the size of a manifest received from a peer: MaxChunks
// entries of about 50 bytes each.
const maxManifestBytes = 8 << 20

// Errors of a chunk transfer, mapped to spread.Reason by reasonOf.
var (
	errBusy    = failure.Namespace.NewType("peer_busy", failure.Temporary)
	errMissing = failure.Namespace.NewType("peer_missing_chunk")
	errLocal   = failure.Namespace.NewType("stage_refuses_chunk", failure.Temporary)
)

// result is the result of a transfer. bytes counts the received bytes, also of a
// failed transfer, since they used the sender's link.
type result struct {
	bytes      int64
	err        error
	reason     spread.Reason
	retryAfter time.Duration
}

func (d *download) fetch(ctx context.Context, f spread.Fetch, from spread.Member) {
	data, err := d.fetchFromSource(ctx, f, from)
	r := result{bytes: int64(len(data)), err: err}
	if err == nil {
		r.err = d.verifyAndStage(ctx, d.manifest.Chunks[f.Chunk], data)
	}
	if r.err != nil {
		r.reason = reasonOf(r.err)
		r.retryAfter = failure.RetryAfter(r.err)
	}
	if r.reason == spread.ReasonUnavailable && r.bytes > 0 {
		// Bytes were sent over the source's link, so they count against the
		// quota.
		r.reason = spread.ReasonGone
	}
	d.swarm.post(func(now time.Time) { d.handleResult(now, f, r) })
}

func (d *download) fetchFromSource(ctx context.Context, f spread.Fetch, from spread.Member) ([]byte, error) {
	chunk := d.manifest.Chunks[f.Chunk]
	switch f.Source {
	case spread.SourceOrigin:
		return d.swarm.opts.Origin.Chunk(ctx, d.version.Manifest, chunk)
	case spread.SourceStore:
		if d.swarm.opts.Store == nil {
			return nil, failure.NotFound.New("the platform has no store")
		}
		return d.swarm.opts.Store.Chunk(ctx, d.version.Manifest, chunk)
	default:
		return d.fetchFromPeer(ctx, from, f.Chunk, chunk.Bytes)
	}
}

// verifyAndStage verifies a chunk before it is staged. Without the check, one
// bad sender would spread corrupt bytes to all its neighbours, and the
// corruption would only be found after the last chunk.
func (d *download) verifyAndStage(ctx context.Context, c weights.Chunk, data []byte) error {
	if err := c.Verify(data); err != nil {
		return err
	}
	if err := d.swarm.opts.Stage.Put(ctx, d.version.Manifest, c.Index, data); err != nil {
		return errLocal.Wrap(err, "stage chunk %d", c.Index)
	}
	return nil
}

func (d *download) fetchFromPeer(ctx context.Context, from spread.Member, index, maxBytes int) ([]byte, error) {
	s, err := d.swarm.opts.Endpoint.Open(ctx, from.Addr, from.ID, peer.KindChunk)
	if err != nil {
		return nil, err
	}
	defer s.Abort()
	s.SetStallTimeout(d.swarm.opts.StallTimeout)
	if err := s.Send(wire.ChunkRequest{Manifest: d.version.Manifest, Index: index}); err != nil {
		return nil, err
	}
	var head wire.ChunkHeader
	if err := s.Recv(&head); err != nil {
		return nil, err
	}
	switch head.Status {
	case wire.ChunkFollows:
		return receive(ctx, s, d.swarm.opts.DownloadLimiter, head.Bytes, maxBytes)
	case wire.ChunkBusy:
		return nil, errBusy.New("peer %s has no free upload slot", from.ID)
	default:
		return nil, errMissing.New("peer %s does not hold chunk %d", from.ID, index)
	}
}

// receive reads size bytes in frames. On failure it returns what was received.
func receive(ctx context.Context, s *peer.Stream, limiter Limiter, size, maxBytes int) ([]byte, error) {
	if size < 0 || size > maxBytes {
		return nil, failure.Corrupt.New("peer announced %d bytes, limit is %d", size, maxBytes)
	}
	data := make([]byte, 0, size)
	buf := make([]byte, min(PieceBytes, size))
	for len(data) < size {
		piece, err := s.RecvBytes(buf)
		if errors.Is(err, io.EOF) {
			return data, failure.Unavailable.New("peer closed the stream after %d of %d bytes of a chunk", len(data), size)
		}
		if err != nil {
			return data, err
		}
		if len(data)+len(piece) > size {
			return data, failure.Corrupt.New("peer sent more than %d bytes", size)
		}
		data = append(data, piece...)
		if err := limiter.WaitN(ctx, len(piece)); err != nil {
			return data, failure.Timeout.Wrap(err, "wait for weight traffic bandwidth")
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

// Delays by rank before a member requests the manifest upstream. Each further
// group of manifestFetchersPerStep members waits manifestRankDelay longer, up to
// manifestMaxDelays times. With two members that contact the origin at first,
// hundreds of instances cost the origin only a few manifest requests.
const (
	manifestRankDelay       = 500 * time.Millisecond
	manifestFetchersPerStep = 2
	manifestMaxDelays       = 20
)

// findManifest fetches the manifest from a peer or, in the order of rank, from
// the origin or the store, until it has one with the pinned digest. Each attempt
// uses the current members: those known at the start may all have left, or the
// list may not have been available yet.
func (d *download) findManifest() {
	search := newManifestSearch(d)
	for attempt := 0; d.ctx.Err() == nil; attempt++ {
		raw, err := search.try(attempt)
		if err == nil {
			d.prepareManifest(raw)
			return
		}
		d.swarm.opts.Logger.Debug("manifest_not_found", zap.Stringer("version", d.version), zap.Error(err))
		sleep(d.ctx, manifestRetryDelay(attempt))
	}
}

// manifestParallelPeers is the number of peers that the manifest is requested
// from in parallel, so that one behind a broken link does not cost its whole
// timeout.
const manifestParallelPeers = 3

// manifestFromPeers requests the manifest from several peers in parallel and
// returns the first valid response. The first attempts go to the members that
// contact the origin, later ones to a growing set of peers.
func (d *download) manifestFromPeers(peers []spread.Member, attempt int) ([]byte, error) {
	if len(peers) == 0 {
		return nil, failure.Unavailable.New("no peer to fetch the manifest from")
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.swarm.opts.StallTimeout)
	defer cancel()
	count := min(manifestParallelPeers, len(peers))
	results := make(chan manifestResult, count)
	candidates := min(len(peers), (attempt+1)*manifestParallelPeers)
	for i := range count {
		from := peers[(attempt*manifestParallelPeers+i)%candidates]
		go func() { results <- d.manifestFromPeer(ctx, from) }()
	}
	var lastErr error
	for range count {
		result := <-results
		if result.err == nil {
			return result.raw, nil
		}
		lastErr = result.err
	}
	return nil, lastErr
}

type manifestResult struct {
	raw []byte
	err error
}

func (d *download) manifestFromPeer(ctx context.Context, from spread.Member) manifestResult {
	raw, err := d.fetchFromPeer(ctx, from, manifestIndex, maxManifestBytes)
	if err == nil {
		_, err = weights.Decode(raw, d.version.Manifest)
	}
	return manifestResult{raw: raw, err: err}
}

// prepareManifest passes the manifest to the stage, determines which chunks are
// staged already, so that a restarted agent fetches nothing twice, and posts the
// manifest and these chunks to the control loop.
func (d *download) prepareManifest(raw []byte) {
	m, err := weights.Decode(raw, d.version.Manifest)
	if err != nil {
		return
	}
	if !d.passManifestToStage(raw) {
		return
	}
	held := d.heldChunks(m)
	held = append(held, d.copyReusable(m, held)...)
	d.swarm.post(func(now time.Time) { d.handleManifest(now, raw, m, held) })
}

// passManifestToStage passes the manifest to the stage and retries until the
// stage accepts it.
func (d *download) passManifestToStage(raw []byte) bool {
	if d.swarm.opts.OnManifest == nil {
		return true
	}
	for {
		err := d.swarm.opts.OnManifest(d.ctx, d.version.Manifest, raw)
		if err == nil {
			return true
		}
		d.swarm.opts.Logger.Warn("stage_manifest_refused", zap.Stringer("version", d.version), zap.Error(err))
		if !sleep(d.ctx, manifestRetryMin) {
			return false
		}
	}
}

func (d *download) heldChunks(m weights.Manifest) []int {
	held, err := d.swarm.opts.Stage.Held(d.ctx, d.version.Manifest)
	if err != nil {
		d.swarm.opts.Logger.Warn("stage_not_listed", zap.Error(err))
		return nil
	}
	return validIndexes(held, len(m.Chunks))
}

// copyReusable stages chunks with the same digest from other versions on this
// instance, and returns their indexes. Bytes that are already on the instance
// need not cross a link.
func (d *download) copyReusable(m weights.Manifest, held []int) []int {
	have := weights.SetOf(len(m.Chunks), held...)
	var copied []int
	for _, other := range d.reusable {
		indexes := make(map[fleet.Digest]int, len(other.chunks.Chunks))
		for i := range other.held.All() {
			indexes[other.chunks.Chunks[i].Digest] = i
		}
		for _, c := range m.Chunks {
			index, found := indexes[c.Digest]
			if !found || have.Has(c.Index) || !d.copyChunk(other.manifest, index, c) {
				continue
			}
			have.Add(c.Index)
			copied = append(copied, c.Index)
		}
	}
	return copied
}

func (d *download) copyChunk(from fleet.Digest, index int, c weights.Chunk) bool {
	data, err := d.swarm.opts.Stage.Get(d.ctx, from, index)
	if err != nil {
		return false
	}
	return d.verifyAndStage(d.ctx, c, data) == nil
}

func withoutSelf(members []spread.Member, self fleet.InstanceID) []spread.Member {
	var others []spread.Member
	for _, m := range members {
		if m.ID != self {
			others = append(others, m)
		}
	}
	return others
}
