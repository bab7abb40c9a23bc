// Package loader is the agent beside a model engine on a platform where
// engines are called straight by the entries. It brings the weights: it
// gathers the chunks of the wanted version from its peers and the origin,
// stages them, orders the engine to load them, and tells the entries what the
// engine answers from.
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
	// reportEvery is the pause between two readings of the engine's report, and
	// reportSoon the one while a load is being waited for: entries send nothing
	// to an engine until they hear that it is ready.
	reportEvery = 300 * time.Millisecond
	reportSoon  = 60 * time.Millisecond
	// downAfter is the number of reports in a row that fail before the engine
	// counts as down.
	downAfter = 2
	// stallTime ends a transfer that brings nothing.
	stallTime = 1200 * time.Millisecond
	// listenTime is how long a gather waits for its neighbours' first word
	// before it draws from the origin.
	listenTime = 250 * time.Millisecond
	// takeover is how long the second in rank waits for a chunk that its first
	// has not brought: about half of the time in which the origin sends a copy.
	takeover = 700 * time.Millisecond
	// weightsShare is the part of the link that chunks may use, sendBytes what is
	// sent of them in one step: some milliseconds of a link of 10 Mbit/s.
	weightsShare = 0.92
	sendBytes    = 8 << 10
	// originPause is the longest pause before the origin is asked again: a
	// version has seconds.
	originPause = 700 * time.Millisecond
	// originCopies bounds what the fleet draws of one version.
	originCopies = 2.5
)

// Options of a Loader. All fields are needed.
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
	// Source is read at the start, and again while no entry is there.
	Source catalog.Source
	// Regions tells the region of each zone.
	Regions map[fleet.Zone]fleet.Region
	// VersionTime is how long after its naming a new version must have replaced
	// the one before.
	VersionTime time.Duration
	// LinkBytes is what the instance's link carries in a second.
	LinkBytes int64
	// Off is what is switched off.
	Off     policy.Disabled
	Logger  *zap.Logger
	Metrics tally.Scope
}

// Loader is the agent's state. It belongs to the control loop.
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

	engine     loading.Engine
	outdated   outdated
	known      bool // a report was read
	failures   int
	reporting  bool
	nextReport time.Time
	told       wire.Replica
	started    time.Time

	reading     bool               // the catalog
	stopReading context.CancelFunc // of the reading that runs
	nextRead    time.Time          // of the catalog
	lastHeard   time.Time          // from an entry
	resolving   bool
	resolveAt   time.Time
	// manifest is the newest that this agent has read itself, manifestTold to
	// whom it was told.
	manifest     *wire.Manifest
	manifestTold map[fleet.InstanceID]bool
	lastManifest wire.Manifest // the newest that was heard
	gathers      []gathering   // oldest first
	ordering     bool
}

// gathering is a version whose chunks are gathered or staged.
type gathering struct {
	version uint64
	named   fleet.Version
	from    time.Time
	started bool // its chunks are fetched
}

// New returns a loader that does nothing before its loop runs.
func New(ctx context.Context, now time.Time, opts Options) *Loader {
	l := &Loader{
		opts:    opts,
		ctx:     ctx,
		plan:    loading.NewPlan(opts.Self, opts.VersionTime, opts.Off),
		told:    wire.Replica{Addr: opts.Addr, Incarnation: opts.Incarnation, Seq: 1},
		started: now,
	}
	l.stage = newStage(opts.Engine, opts.Origin, opts.Logger)
	l.swarm = swarm.New(ctx, swarm.Options{
		Self:       l.member(opts.Addr, opts.Place),
		Loop:       opts.Loop,
		Endpoint:   opts.Endpoint,
		Stage:      l.stage,
		Origin:     l.stage,
		Up:         newUpLimit(opts.LinkBytes),
		Down:       rate.NewLimiter(rate.Inf, swarm.PieceBytes),
		SendBytes:  sendBytes,
		Stall:      stallTime,
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:     opts.Logger,
		Metrics:    opts.Metrics,
		Known:      l.stage.manifest,
		OnComplete: l.gathered,
	})
	l.mesh = mesh.New(ctx, now, mesh.Options{
		Self:     opts.Self,
		Role:     fleet.RoleAgent,
		Place:    opts.Place,
		PeerPort: opts.PeerPort,
		Seeds:    opts.Seeds,
		Loop:     opts.Loop,
		Endpoint: opts.Endpoint,
		Logger:   opts.Logger,
		Metrics:  opts.Metrics,
		Compose:  l.compose,
		HasNews:  func(fleet.InstanceID) bool { return false },
		Heard:    l.heard,
		Lost:     func(time.Time, fleet.InstanceID) {},
	})
	return l
}

// newUpLimit is the share of the link that weights may use.
//
// The engine's streams leave over the same link. With all of it filled by
// chunks, events waited in the link's queue for longer than callers notice.
func newUpLimit(linkBytes int64) *rate.Limiter {
	if linkBytes <= 0 {
		return rate.NewLimiter(rate.Inf, sendBytes)
	}
	return rate.NewLimiter(rate.Limit(weightsShare*float64(linkBytes)), sendBytes)
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
	if gap := l.clock.Elapsed(); gap > pausedAfter {
		l.woke(now, gap)
	}
	l.mesh.Tick(now)
	l.swarm.Tick(now)
	l.report(now)
	l.readCatalog(now)
	l.advance(now)
}

// pausedAfter is the time between two ticks from which on the process counts
// as paused.
const pausedAfter = time.Second

// woke reads again what may have changed while the process did not run.
func (l *Loader) woke(now time.Time, gap time.Duration) {
	l.opts.Logger.Warn("woke", zap.Duration("after", gap))
	l.known = false
	l.nextReport = now
	l.lastHeard = time.Time{}
	l.nextRead = now
	l.mesh.Woke(now)
}

// SetSeeds takes the machines that the settings name now.
func (l *Loader) SetSeeds(ctx context.Context, seeds []netip.Addr) error {
	return l.opts.Loop.Do(ctx, func(now time.Time) { l.mesh.SetSeeds(now, seeds) })
}

// compose returns what an entry is told.
func (l *Loader) compose(now time.Time, to mesh.Peer, form mesh.Form) wire.Beat {
	b := wire.Beat{
		ID: l.opts.Self, Role: fleet.RoleAgent, Incarnation: l.opts.Incarnation, Place: l.opts.Place,
	}
	if l.known || l.failures >= downAfter {
		b.Replicas = []wire.Replica{l.told.Aged(now.Sub(l.started))}
	}
	if l.manifest != nil && (form == mesh.First || !l.manifestTold[to.ID]) {
		b.Manifest = l.manifest
		l.manifestTold[to.ID] = true
	}
	return b
}

// heard takes what an entry tells.
func (l *Loader) heard(now time.Time, _ mesh.Peer, b wire.Beat) {
	l.lastHeard = now
	if b.Supply != nil {
		l.supply = b.Supply
		if l.reading {
			l.stopReading() // what it would bring is known, and the link is shared
		}
	}
	if b.Members != nil {
		l.setMembers(now, b.Members)
	}
	if l.supply == nil {
		return
	}
	for _, w := range b.Wanted {
		if w.Model == l.supply.Model {
			l.want(now, w.Named(now))
		}
	}
	if b.Manifest != nil {
		l.heardManifest(now, *b.Manifest)
	}
}

func (l *Loader) want(now time.Time, named loading.NamedVersion) {
	if !l.plan.AddWanted(named) {
		return
	}
	l.opts.Logger.Info("version_wanted", zap.Uint64("version", named.Version),
		zap.Duration("age", now.Sub(named.Since)), zap.Bool("assumed", named.Assumed), zap.Uint64("loaded", l.engine.Loaded))
	l.resolveAt = now.Add(l.plan.ManifestReadDelay(0))
	l.heardManifest(now, l.lastManifest)
	l.advance(now)
}

func (l *Loader) setMembers(now time.Time, members []wire.Member) {
	l.members = members
	list := make([]spread.Member, 0, len(members))
	var near []spread.Member
	for _, m := range members {
		member := l.member(m.Addr, fleet.Place{Zone: m.Zone, Region: m.Region})
		list = append(list, member)
		if m.Region == l.opts.Place.Region {
			near = append(near, member)
		}
	}
	l.swarm.SetMembers(now, list)
	l.plan.SetMembers(idsOf(list))
	l.plan.SetRegion(idsOf(near))
	l.setLeaving(!slices.ContainsFunc(members, func(m wire.Member) bool { return m.Addr == l.opts.Addr }))
}

func idsOf(members []spread.Member) []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

// setLeaving follows the server's registration: agents of servers that leave
// are no members.
func (l *Loader) setLeaving(leaving bool) {
	if leaving == l.plan.IsLeaving() {
		return
	}
	l.plan.SetLeaving(leaving)
	l.opts.Logger.Info("server_leaving", zap.Bool("leaving", leaving))
	if !leaving {
		l.gathers = nil // what was stopped is gathered again
		return
	}
	for _, g := range l.gathers {
		l.swarm.Stop(g.named.Manifest)
	}
}

func (l *Loader) post(f func(now time.Time)) { l.opts.Loop.Post(l.ctx, control.Func(f)) }
