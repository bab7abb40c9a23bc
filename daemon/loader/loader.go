// Package loader implements the agent beside a model engine on a platform where entries
// call engines directly. The agent fetches the chunks of the wanted version from its
// peers and the origin, stages them, orders the engine to load them, and reports the
// engine's state to the entries.
package loader

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"chivespindle.example/adapters/bootclock"
	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/policy"
	"chivespindle.example/core/spread"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/swarm"
	"chivespindle.example/daemon/wire"
)

const (
	// reportInterval is the pause between two reads of the engine's report.
	// reloadReportInterval is the pause while a load is pending: entries send nothing
	// to an engine until the agent reports it ready.
	reportInterval       = 300 * time.Millisecond
	reloadReportInterval = 60 * time.Millisecond
	// maxReportFailures is the number of consecutive failed reads of the report after
	// which the engine counts as unreachable.
	maxReportFailures = 2
	// stallTimeout ends a transfer that makes no progress.
	stallTimeout = 1200 * time.Millisecond
	// peerReportWait is how long a fetch waits for the first report of its peers before
	// it fetches from the origin.
	peerReportWait = 250 * time.Millisecond
	// takeoverDelay is how long the peer with the second rank waits for a chunk that
	// the peer with the first rank has not fetched: about half of the time in which the
	// origin sends a copy.
	takeoverDelay = 700 * time.Millisecond
	// weightsShare is the fraction of the link that chunks may use. sendStepBytes is
	// sent of them in one step: some milliseconds of a link of 10 Mbit/s.
	weightsShare  = 0.92
	sendStepBytes = 8 << 10
	// maxOriginPause is the longest pause before a retry at the origin: a new version
	// must be in use within seconds.
	maxOriginPause = 700 * time.Millisecond
	// originCopies bounds how many copies of a version the fleet fetches from the
	// origin.
	originCopies = 2.5
)

// Options configures a Loader. All fields are required.
type Options struct {
	Self        fleet.InstanceID
	Addr        netip.Addr
	Incarnation uint64
	Place       fleet.Place
	PeerPort    uint16
	Seeds       []netip.Addr
	Loop        *control.Loop
	Endpoint    *peer.Endpoint
	Engine      Engine
	Origin      Origin
	// Source is read at the start if no entry reports, and again while no entry is
	// reachable.
	Source catalog.Source
	// Regions maps each zone to its region.
	Regions map[fleet.Zone]fleet.Region
	// VersionTime is the time after the naming of a new version within which it must
	// have replaced the previous one.
	VersionTime time.Duration
	// LinkBytesPerSecond is the capacity of the instance's link.
	LinkBytesPerSecond int64
	// Disabled is the set of mechanisms that are switched off.
	Disabled policy.Disabled
	Logger   *zap.Logger
	Metrics  tally.Scope
}

// Loader is the state of the agent. Only the control loop uses it.
type Loader struct {
	opts    Options
	ctx     context.Context
	mesh    *mesh.Mesh
	clock   bootclock.Stopwatch
	swarm   *swarm.Swarm
	stage   *stage
	plan    *loading.Plan
	supply  *wire.Supply
	members []wire.Member
	// isUnlisted is true if the members do not include this agent.
	isUnlisted bool

	engine          loading.Engine
	verification    loading.Verification
	isCatchingUp    bool // the wait for the engine to catch up has begun
	found           foundLoad
	hasHeartbeat    bool // an entry has reported since the start
	outdated        outdated
	hasEngineReport bool // the engine's report was read since the start or the last pause
	reportFailures  int
	readingReport   bool
	nextReport      time.Time
	lastReport      wire.Replica
	started         time.Time

	readingCatalog    bool               // a read of the catalog is running
	cancelCatalogRead context.CancelFunc // cancels the running read
	nextCatalogRead   time.Time          // when the catalog may be read again
	lastHeartbeat     time.Time          // when an entry last reported
	readingManifest   bool
	nextManifestRead  time.Time
	// ownManifest is the newest manifest that this agent has read itself,
	// manifestSentTo the entries that it was sent to.
	ownManifest      *wire.Manifest
	manifestSentTo   map[fleet.InstanceID]bool
	receivedManifest wire.Manifest  // newest manifest received from an entry
	fetches          []versionFetch // oldest first
	ordering         bool
}

// versionFetch is a version whose chunks are being fetched or are staged.
type versionFetch struct {
	version      uint64
	fleetVersion fleet.Version
	since        time.Time
	started      bool // the fetch of its chunks has started
}

// New returns a loader. It does nothing until the control loop runs.
func New(ctx context.Context, now time.Time, opts Options) *Loader {
	l := &Loader{
		opts:       opts,
		ctx:        ctx,
		plan:       loading.NewPlan(opts.Self, opts.VersionTime, opts.Disabled),
		lastReport: wire.Replica{Addr: opts.Addr, Incarnation: opts.Incarnation, Seq: 1},
		started:    now,
	}
	l.stage = newStage(opts.Engine, opts.Origin, opts.Logger)
	l.stage.markUnread()
	l.swarm = swarm.New(ctx, swarm.Options{
		Self:            l.member(opts.Addr, opts.Place),
		Loop:            opts.Loop,
		Endpoint:        opts.Endpoint,
		Stage:           l.stage,
		Origin:          l.stage,
		UploadLimiter:   newUploadLimiter(opts.LinkBytesPerSecond),
		DownloadLimiter: rate.NewLimiter(rate.Inf, swarm.PieceBytes),
		SendBytes:       sendStepBytes,
		StallTimeout:    stallTimeout,
		Rand:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:          opts.Logger,
		Metrics:         opts.Metrics,
		KnownManifest:   l.stage.manifest,
		OnComplete:      l.handleStaged,
	})
	l.mesh = mesh.New(ctx, now, mesh.Options{
		Self:        opts.Self,
		Role:        fleet.RoleAgent,
		Place:       opts.Place,
		PeerPort:    opts.PeerPort,
		Seeds:       opts.Seeds,
		Loop:        opts.Loop,
		Endpoint:    opts.Endpoint,
		Logger:      opts.Logger,
		Metrics:     opts.Metrics,
		Compose:     l.composeHeartbeat,
		HasChanges:  func(fleet.InstanceID) bool { return false },
		OnHeartbeat: l.handleHeartbeat,
		OnLost:      func(time.Time, fleet.InstanceID) {},
	})
	return l
}

// newUploadLimiter returns a limiter for the fraction of the link that weights may use.
//
// The engine's streams leave over the same link. When chunks filled all of it, events
// waited in the link's queue long enough for callers to notice.
func newUploadLimiter(linkBytes int64) *rate.Limiter {
	if linkBytes <= 0 {
		return rate.NewLimiter(rate.Inf, sendStepBytes)
	}
	return rate.NewLimiter(rate.Limit(weightsShare*float64(linkBytes)), sendStepBytes)
}

func (l *Loader) member(addr netip.Addr, place fleet.Place) spread.Member {
	return spread.Member{ID: mesh.IDOf(addr), Place: place, Addr: netip.AddrPortFrom(addr, l.opts.PeerPort)}
}

// ServeStream implements peer.Handler.
func (l *Loader) ServeStream(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	switch kind {
	case peer.KindChunk:
		l.swarm.ServeChunk(ctx, from, s)
	default:
		s.Abort()
	}
}

// Tick is called by the control loop.
func (l *Loader) Tick(now time.Time) {
	if gap := l.clock.Elapsed(); gap > pauseThreshold {
		l.handlePause(now, gap)
	}
	if !l.isCatchingUp {
		l.isCatchingUp = true
		go l.stage.catchUpAhead(l.ctx)
	}
	l.mesh.Tick(now)
	l.swarm.Tick(now)
	l.readReport(now)
	l.readCatalog(now)
	l.advance(now)
}

// pauseThreshold is the time between two ticks above which the process counts as
// paused.
const pauseThreshold = time.Second

// handlePause makes the loader read again what may have changed while the process was
// paused.
func (l *Loader) handlePause(now time.Time, gap time.Duration) {
	l.opts.Logger.Warn("woke", zap.Duration("after", gap))
	l.hasEngineReport = false
	l.nextReport = now
	l.lastHeartbeat = time.Time{}
	l.nextCatalogRead = now
	l.mesh.ResetAfterPause(now)
}

// SetSeeds adds the seed addresses of the current settings.
func (l *Loader) SetSeeds(ctx context.Context, seeds []netip.Addr) error {
	return l.opts.Loop.Do(ctx, func(now time.Time) { l.mesh.SetSeeds(now, seeds) })
}

// composeHeartbeat returns the heartbeat for an entry.
func (l *Loader) composeHeartbeat(now time.Time, to mesh.Peer, form mesh.Form) wire.Heartbeat {
	b := wire.Heartbeat{
		ID: l.opts.Self, Role: fleet.RoleAgent, Incarnation: l.opts.Incarnation, Place: l.opts.Place,
	}
	if l.hasEngineReport && !l.awaitsPredecessor(now) || l.reportFailures >= maxReportFailures {
		b.Replicas = []wire.Replica{l.lastReport.WithAge(now.Sub(l.started))}
	}
	if l.ownManifest != nil && (form == mesh.First || !l.manifestSentTo[to.ID]) {
		b.Manifest = l.ownManifest
		l.manifestSentTo[to.ID] = true
	}
	return b
}

// handleHeartbeat processes the heartbeat of an entry.
func (l *Loader) handleHeartbeat(now time.Time, _ mesh.Peer, b wire.Heartbeat) {
	l.lastHeartbeat = now
	l.handleLastReady(now, b.LastReady)
	if b.Supply != nil {
		l.supply = b.Supply
		if l.readingCatalog {
			l.cancelCatalogRead() // the entry sent what the read would return, and the link is shared
		}
	}
	if b.Members != nil {
		l.setMembers(now, b.Members)
	}
	if l.supply == nil {
		return
	}
	l.judgeWithSupply(now)
	for _, w := range b.Wanted {
		if w.Model == l.supply.Model {
			l.addWanted(now, w.NamedVersion(now))
		}
	}
	if b.Manifest != nil {
		l.handleManifest(now, *b.Manifest)
	}
}

func (l *Loader) addWanted(now time.Time, wanted loading.NamedVersion) {
	if !l.plan.AddWanted(wanted) {
		return
	}
	l.opts.Logger.Info("version_wanted", zap.Uint64("version", wanted.Version),
		zap.Duration("age", now.Sub(wanted.Since)), zap.Bool("assumed", wanted.Assumed), zap.Uint64("loaded", l.engine.Loaded))
	l.nextManifestRead = now.Add(l.plan.ManifestReadDelay(0))
	l.handleManifest(now, l.receivedManifest)
	l.advance(now)
}

func (l *Loader) setMembers(now time.Time, members []wire.Member) {
	l.members = members
	list := make([]spread.Member, 0, len(members))
	var sameRegion []spread.Member
	for _, m := range members {
		member := l.member(m.Addr, fleet.Place{Zone: m.Zone, Region: m.Region})
		list = append(list, member)
		if m.Region == l.opts.Place.Region {
			sameRegion = append(sameRegion, member)
		}
	}
	l.swarm.SetMembers(now, list)
	l.plan.SetMembers(idsOf(list))
	l.plan.SetRegion(idsOf(sameRegion))
	l.isUnlisted = !slices.ContainsFunc(members, func(m wire.Member) bool { return m.Addr == l.opts.Addr })
	l.updateLeaving()
}

func idsOf(members []spread.Member) []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

// updateLeaving updates whether the agent's server is leaving. Agents of leaving servers are
// not members; the server itself states it even if it cannot reach the platform.
func (l *Loader) updateLeaving() {
	leaving := l.isUnlisted || l.engine.Leaving
	if leaving == l.plan.IsLeaving() {
		return
	}
	l.plan.SetLeaving(leaving)
	l.opts.Logger.Info("server_leaving", zap.Bool("leaving", leaving))
	if !leaving {
		l.fetches = nil // fetches that were stopped are started again
		return
	}
	for _, g := range l.fetches {
		l.swarm.Stop(g.fleetVersion.Manifest)
	}
}

func (l *Loader) post(f func(now time.Time)) { l.opts.Loop.Post(l.ctx, control.Func(f)) }
