package swarm

import (
	"context"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/status"
	"chivespindle.example/core/weights"
)

// linkRetryDelay is the delay before a failed or closed link to a neighbour is
// dialled again.
const linkRetryDelay = 300 * time.Millisecond

// reportInterval is the minimum time between two reports to a neighbour. Each
// report costs about 100 bytes on each of up to 16 links; a report for every
// chunk would be most of an instance's control traffic.
const reportInterval = 50 * time.Millisecond

// download is one version that is being fetched and uploaded to peers.
type download struct {
	swarm     *Swarm
	version   fleet.Version
	settings  spread.Settings
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc

	reusable    []reusableVersion
	rawManifest []byte           // encoded manifest; nil until known
	manifest    weights.Manifest // valid once rawManifest is set
	plan        *spread.Plan     // nil until the manifest is known
	links       map[fleet.InstanceID]*link
	dialing     map[fleet.InstanceID]bool
	retryAt     map[fleet.InstanceID]time.Time
	fetches     map[uint64]context.CancelFunc
	uploadQueue []chan struct{} // requests that wait for an upload slot
	nextReport  time.Time
	nextLink    time.Time
	paused      bool
	announced   bool
}

func newDownload(s *Swarm, version fleet.Version, settings spread.Settings, now time.Time) *download {
	ctx, cancel := context.WithCancel(s.ctx)
	return &download{
		swarm:     s,
		version:   version,
		settings:  settings,
		startedAt: now,
		ctx:       ctx,
		cancel:    cancel,
		links:     make(map[fleet.InstanceID]*link),
		dialing:   make(map[fleet.InstanceID]bool),
		retryAt:   make(map[fleet.InstanceID]time.Time),
		fetches:   make(map[uint64]context.CancelFunc),
	}
}

// reusableVersion is another version whose staged chunks may be copied.
type reusableVersion struct {
	manifest fleet.Digest
	chunks   weights.Manifest
	held     *weights.Set
}

// start fetches the manifest, unless raw holds it already.
func (d *download) start(raw []byte) {
	if raw != nil {
		go d.prepareManifest(raw)
		return
	}
	go d.findManifest()
}

// handleManifest creates the plan. held lists the chunks that are already
// staged.
func (d *download) handleManifest(now time.Time, raw []byte, m weights.Manifest, held []int) {
	if d.ctx.Err() != nil || d.plan != nil {
		return
	}
	d.rawManifest = raw
	d.manifest = m
	d.plan = spread.New(spread.Options{
		Self:           d.swarm.opts.Self,
		Manifest:       m,
		ManifestDigest: d.version.Manifest,
		Settings:       d.settings,
		Rand:           d.swarm.opts.Rand,
		Start:          d.startedAt,
	})
	d.plan.SetMembers(now, d.swarm.members)
	d.plan.AddHeld(now, held)
	d.swarm.opts.Logger.Info("manifest_found",
		zap.Stringer("version", d.version), zap.Int("chunks", len(m.Chunks)), zap.Int("held", len(held)))
	d.tick(now)
}

func (d *download) setMembers(now time.Time, members []spread.Member) {
	if d.plan == nil {
		return
	}
	d.plan.SetMembers(now, members)
}

// pause stops fetching: a newer version is wanted, and transfers for this one
// would only delay it.
func (d *download) pause() {
	d.paused = true
	for _, cancel := range d.fetches {
		cancel()
	}
}

func (d *download) close() {
	d.cancel()
	for _, l := range d.links {
		l.close()
	}
}

func (d *download) progress() status.ChunkFetch {
	p := status.ChunkFetch{Version: d.version, Known: d.plan != nil, Paused: d.paused, Links: len(d.links)}
	if d.plan != nil {
		p.Plan = d.plan.Progress()
	}
	return p
}

func (d *download) tick(now time.Time) {
	if d.plan == nil {
		return
	}
	if !now.Before(d.nextLink) {
		d.nextLink = now.Add(linkRetryDelay)
		d.dialNeighbours(now)
	}
	if !now.Before(d.nextReport) {
		d.nextReport = now.Add(reportInterval)
		d.queueReports()
	}
	if !d.paused {
		d.startFetches(now)
	}
	d.announceComplete(now)
}

// announceComplete reports a complete version to OnComplete, once.
func (d *download) announceComplete(now time.Time) {
	if d.plan == nil || d.announced || d.paused || !d.plan.Complete() {
		return
	}
	d.announced = true
	d.swarm.opts.Logger.Info("version_gathered", zap.Stringer("version", d.version),
		zap.Duration("took", now.Sub(d.startedAt)),
		zap.Int64("origin_bytes", d.plan.Progress().OriginBytes),
		zap.Int64("peer_bytes", d.plan.Progress().PeerBytes))
	d.swarm.opts.OnComplete(now, d.version)
}

func (d *download) startFetches(now time.Time) {
	for _, f := range d.plan.Next(now) {
		ctx, cancel := context.WithCancel(d.ctx)
		d.fetches[f.ID] = cancel
		go d.fetch(ctx, f, d.linkedMember(f.Peer))
	}
}

func (d *download) linkedMember(id fleet.InstanceID) spread.Member {
	if l, ok := d.links[id]; ok {
		return l.member
	}
	return spread.Member{ID: id}
}

// handleResult processes the result of one transfer.
func (d *download) handleResult(now time.Time, f spread.Fetch, r result) {
	cancel, ok := d.fetches[f.ID]
	if !ok {
		return
	}
	cancel()
	delete(d.fetches, f.ID)
	d.countBytes(f, r)
	if r.err != nil {
		d.plan.Failed(now, f.ID, r.reason, r.retryAfter)
		d.swarm.opts.Logger.Debug("chunk_fetch_failed", zap.Stringer("version", d.version),
			zap.Int("chunk", f.Chunk), zap.String("peer", string(f.Peer)), zap.Error(r.err))
	} else {
		d.swarm.opts.Logger.Debug("chunk_fetched", zap.Stringer("version", d.version),
			zap.Int("chunk", f.Chunk), zap.Stringer("source", f.Source), zap.String("peer", string(f.Peer)))
		for _, id := range d.plan.Done(now, f.ID) {
			d.cancelFetch(id)
		}
	}
	if !d.paused {
		d.startFetches(now)
	}
	d.announceComplete(now)
}

func (d *download) cancelFetch(id uint64) {
	if cancel, ok := d.fetches[id]; ok {
		cancel()
		delete(d.fetches, id)
	}
}

func (d *download) countBytes(f spread.Fetch, r result) {
	fetched := &d.swarm.fetched
	scope := d.swarm.opts.Metrics
	switch f.Source {
	case spread.SourceOrigin:
		fetched.OriginBytes += r.bytes
		scope.Counter("weights_origin_bytes").Inc(r.bytes)
	case spread.SourceStore:
		fetched.StoreBytes += r.bytes
		scope.Counter("weights_store_bytes").Inc(r.bytes)
	default:
		fetched.PeerBytes += r.bytes
		scope.Counter("weights_peer_bytes").Inc(r.bytes)
	}
}
