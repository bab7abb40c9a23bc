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

// relinkAfter is the pause before a neighbour that could not be linked to is
// tried again.
const relinkAfter = 300 * time.Millisecond

// newsEvery is the time between two news to a neighbour. Each costs about a
// hundred bytes on each of up to sixteen links; news for every chunk would be
// most of a node's control traffic.
const newsEvery = 50 * time.Millisecond

// gather is one version being gathered and given to peers.
type gather struct {
	swarm    *Swarm
	version  fleet.Version
	settings spread.Settings
	began    time.Time
	ctx      context.Context
	cancel   context.CancelFunc

	reuse    []reusable
	raw      []byte           // encoded manifest; nil until known
	manifest weights.Manifest // valid once raw is set
	plan     *spread.Plan     // nil until the manifest is known
	links    map[fleet.InstanceID]*link
	dialing  map[fleet.InstanceID]bool
	retryAt  map[fleet.InstanceID]time.Time
	running  map[uint64]context.CancelFunc
	waiting  []chan struct{} // askers that wait for an upload slot
	nextNews time.Time
	nextLink time.Time
	paused   bool
	reported bool
}

func newGather(s *Swarm, version fleet.Version, settings spread.Settings, now time.Time) *gather {
	ctx, cancel := context.WithCancel(s.ctx)
	return &gather{
		swarm:    s,
		version:  version,
		settings: settings,
		began:    now,
		ctx:      ctx,
		cancel:   cancel,
		links:    make(map[fleet.InstanceID]*link),
		dialing:  make(map[fleet.InstanceID]bool),
		retryAt:  make(map[fleet.InstanceID]time.Time),
		running:  make(map[uint64]context.CancelFunc),
	}
}

// reusable is a version whose chunks may serve this one too.
type reusable struct {
	manifest fleet.Digest
	chunks   weights.Manifest
	held     *weights.Set
}

// start finds the manifest, unless raw holds it from before.
func (g *gather) start(raw []byte) {
	if raw != nil {
		go g.announceManifest(raw)
		return
	}
	go g.findManifest()
}

// manifestFound begins the plan. held lists chunks that the stage had before.
func (g *gather) manifestFound(now time.Time, raw []byte, m weights.Manifest, held []int) {
	if g.ctx.Err() != nil || g.plan != nil {
		return
	}
	g.raw = raw
	g.manifest = m
	g.plan = spread.New(spread.Options{
		Self:           g.swarm.opts.Self,
		Manifest:       m,
		ManifestDigest: g.version.Manifest,
		Settings:       g.settings,
		Rand:           g.swarm.opts.Rand,
		Start:          g.began,
	})
	g.plan.SetMembers(now, g.swarm.members)
	g.plan.AddHeld(now, held)
	g.swarm.opts.Logger.Info("manifest_found",
		zap.Stringer("version", g.version), zap.Int("chunks", len(m.Chunks)), zap.Int("held", len(held)))
	g.tick(now)
}

func (g *gather) setMembers(now time.Time, members []spread.Member) {
	if g.plan == nil {
		return
	}
	g.plan.SetMembers(now, members)
}

// pause stops fetching: a newer version is wanted, and bytes for this one
// would only delay it.
func (g *gather) pause() {
	g.paused = true
	for _, cancel := range g.running {
		cancel()
	}
}

func (g *gather) close() {
	g.cancel()
	for _, l := range g.links {
		l.close()
	}
}

func (g *gather) progress() status.ChunkFetch {
	p := status.ChunkFetch{Version: g.version, Known: g.plan != nil, Paused: g.paused, Links: len(g.links)}
	if g.plan != nil {
		p.Plan = g.plan.Progress()
	}
	return p
}

func (g *gather) tick(now time.Time) {
	if g.plan == nil {
		return
	}
	if !now.Before(g.nextLink) {
		g.nextLink = now.Add(relinkAfter)
		g.link(now)
	}
	if !now.Before(g.nextNews) {
		g.nextNews = now.Add(newsEvery)
		g.tellNews()
	}
	if !g.paused {
		g.startFetches(now)
	}
	g.report(now)
}

// report announces a complete version once.
func (g *gather) report(now time.Time) {
	if g.plan == nil || g.reported || g.paused || !g.plan.Complete() {
		return
	}
	g.reported = true
	g.swarm.opts.Logger.Info("version_gathered", zap.Stringer("version", g.version),
		zap.Duration("took", now.Sub(g.began)),
		zap.Int64("origin_bytes", g.plan.Progress().OriginBytes),
		zap.Int64("peer_bytes", g.plan.Progress().PeerBytes))
	g.swarm.opts.OnComplete(now, g.version)
}

func (g *gather) startFetches(now time.Time) {
	for _, f := range g.plan.Next(now) {
		ctx, cancel := context.WithCancel(g.ctx)
		g.running[f.ID] = cancel
		go g.fetch(ctx, f, g.memberAddr(f.Peer))
	}
}

func (g *gather) memberAddr(id fleet.InstanceID) spread.Member {
	if l, ok := g.links[id]; ok {
		return l.member
	}
	return spread.Member{ID: id}
}

// fetched takes the result of one transfer.
func (g *gather) fetched(now time.Time, f spread.Fetch, r result) {
	cancel, ok := g.running[f.ID]
	if !ok {
		return
	}
	cancel()
	delete(g.running, f.ID)
	g.count(f, r)
	if r.err != nil {
		g.plan.Failed(now, f.ID, r.reason, r.retryAfter)
		g.swarm.opts.Logger.Debug("chunk_fetch_failed", zap.Stringer("version", g.version),
			zap.Int("chunk", f.Chunk), zap.String("peer", string(f.Peer)), zap.Error(r.err))
	} else {
		g.swarm.opts.Logger.Debug("chunk_fetched", zap.Stringer("version", g.version),
			zap.Int("chunk", f.Chunk), zap.Stringer("source", f.Source), zap.String("peer", string(f.Peer)))
		for _, id := range g.plan.Done(now, f.ID) {
			g.cancelFetch(id)
		}
	}
	if !g.paused {
		g.startFetches(now)
	}
	g.report(now)
}

func (g *gather) cancelFetch(id uint64) {
	if cancel, ok := g.running[id]; ok {
		cancel()
		delete(g.running, id)
	}
}

func (g *gather) count(f spread.Fetch, r result) {
	drawn := &g.swarm.drawn
	scope := g.swarm.opts.Metrics
	switch f.Source {
	case spread.SourceOrigin:
		drawn.OriginBytes += r.bytes
		scope.Counter("weights_origin_bytes").Inc(r.bytes)
	case spread.SourceStore:
		drawn.StoreBytes += r.bytes
		scope.Counter("weights_store_bytes").Inc(r.bytes)
	default:
		drawn.PeerBytes += r.bytes
		scope.Counter("weights_peer_bytes").Inc(r.bytes)
	}
}
