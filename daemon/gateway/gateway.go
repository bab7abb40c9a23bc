// Package gateway is the entry on a platform where callers speak plain HTTP,
// backend servers are called directly and report themselves which calls did not
// run.
//
// The control loop owns what the process believes: the platform's catalog, the
// other entries and the engines that agents report. Each call reads one
// immutable view of it. core/placement decides where a call goes and when it is
// refused.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/bootclock"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/addressing"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/policy"
	"chivespindle.example/core/quarantine"
	"chivespindle.example/core/retry"
	"chivespindle.example/core/routing"
	"chivespindle.example/core/serverlimit"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/internal/chance"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

// RetryBudget bounds the retries that all entries together send to a service.
type RetryBudget struct {
	// Ratio is the share of requests, Slack what is allowed besides in Span.
	Ratio float64
	Slack float64
	Span  time.Duration
}

// Options of a Gateway. All fields are needed.
type Options struct {
	Self        fleet.InstanceID
	Addr        netip.Addr
	Incarnation uint64
	Place       fleet.Place
	CallerAddr  netip.AddrPort
	PeerPort    uint16
	Seeds       []netip.Addr
	// Regions is the region of each zone.
	Regions map[fleet.Zone]fleet.Region
	Loop    *control.Loop
	// Endpoint is where peers are reached. It serves this gateway's streams.
	Endpoint *peer.Endpoint
	Source   catalog.Source
	Backend  Backend
	Budget   RetryBudget
	// VersionTime is how long after its publication a new version of weights must
	// have replaced the one before.
	VersionTime time.Duration
	// SoundTime is how long the platform must have answered to count as sound.
	SoundTime time.Duration
	// Off is what is switched off.
	Off     policy.Off
	Logger  *zap.Logger
	Metrics tally.Scope
}

// Gateway is the entry's state. Serve, Addresses and Ready may be called by
// any goroutine; everything else belongs to the control loop.
type Gateway struct {
	opts  Options
	ctx   context.Context
	mesh  links
	clock bootclock.Watch
	board *placement.Board
	log   *requestLog
	view  atomic.Pointer[view]

	snapshot catalog.Snapshot
	table    *routing.Table
	tableOf  catalog.Revision
	names    map[string]loading.NamedVersions // by model
	replicas map[netip.Addr]replica
	readyAt  map[netip.Addr]time.Time // when engines are expected to be ready
	started  time.Time
	heardAll bool // hearsAll at the last update of the servers
	// listsAfter is how long after the start the platform's catalog is listed if
	// nothing is received from another entry.
	listsAfter time.Duration
	// doubtsRegistrations is true once an engine that no agent has reported declined
	// a call.
	doubtsRegistrations bool
	leaving             bool
	changed             bool
	// published is the time of the latest view.
	published time.Time
	// urgent is true while a message to all others is due at once, urgentNear while
	// one to the own group is.
	urgent     bool
	urgentNear bool
	asking     bool
	nextAsk    time.Time
	// startAsk asks a peer for its catalog. The answer comes to askEnded.
	startAsk func(addr netip.Addr, ask wire.CatalogAsk)
	// revisionHeard is the newest configuration that a peer reported.
	revisionHeard catalog.Revision
	// behindSince is since when a peer's catalog is ahead; zero if none is.
	behindSince time.Time
	contact     contact
	// doubtful is true from a pause of the process until the platform or a peer
	// has been read again.
	doubtful bool
	reading  running
	packed   packedConfig
	// lapsed are servers whose registration ended while the platform was not
	// sound.
	lapsed    map[fleet.InstanceID]catalog.Server
	toldLoads map[fleet.InstanceID]uint64 // change of the board up to which each entry is up to date
	told      map[fleet.InstanceID]uint64 // members that each agent has received
	// readAt is up to when the platform's changes of servers are known, feed the changes
	// that are forwarded, and toldServers up to which revision each entry has them.
	readAt      time.Time
	readings    *readingLog
	feed        serverFeed
	toldServers map[fleet.InstanceID]catalog.Revision
	// missing is up to which revision a reader of the region sent changes that do not
	// continue those known here.
	missing catalog.Revision
	// readerAt is when a reader of the region was last heard, or the platform read here.
	readerAt time.Time
	// turnedAwayUntil is until when this entry counts as turned away by the
	// platform.
	turnedAwayUntil time.Time
	manifests       manifests
	// quarantine holds the requests that crash servers. announceCrashes is true while
	// a newly quarantined request is to be reported at once.
	quarantine      *quarantine.Registry
	crashReports    reportSender[quarantine.Report]
	announceCrashes atomic.Bool
	// limits are those that servers advertise. limitsChanged is true until their
	// shares have been computed anew, sharedAt is when they last were.
	limits        *serverlimit.Registry
	limitReports  reportSender[serverlimit.Report]
	limitsChanged bool
	sharedAt      time.Time
	// listed are the servers that were published last.
	listed map[netip.AddrPort]placement.Server

	callsMu  sync.Mutex
	budgets  map[fleet.ServiceName]*retry.Window
	rooms    map[fleet.ServiceName]*placement.HoldRoom
	inFlight atomic.Int64
	answerer *addressing.Answerer
	// patience distinguishes the retries of clients from new calls.
	patience placement.Patience
}

// replica is what an agent reported of its engine.
type replica struct {
	wire.Replica
	heard  time.Time
	direct bool // by the agent itself and not by another entry
}

// view is what calls see. It is never changed.
type view struct {
	table   *routing.Table
	names   map[string]loading.NamedVersions
	entries []mesh.Entry
	// rank is this entry's place among those of its region.
	rank int
	// reads is true while this entry reads the platform, for others as well.
	reads bool
	// asOf and operatorAsOf are up to which revision the two parts of the catalog
	// are known.
	asOf, operatorAsOf catalog.Revision
	leaving            bool
	// isNew is true soon after the start of this entry.
	isNew bool
	// doubtful views are from before a pause of the process.
	doubtful bool
	// soonest is when the first engine of a service is expected to be ready
	// that is not yet.
	soonest map[fleet.ServiceName]time.Time
	// sure is false once nothing has been received from the platform or a peer for
	// so long that a route or a key may be missing here and in force elsewhere.
	sure bool
}

// New returns a gateway that follows nothing before its parts run.
func New(ctx context.Context, now time.Time, opts Options) *Gateway {
	g := &Gateway{
		opts:        opts,
		ctx:         ctx,
		board:       placement.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), opts.Off),
		log:         newRequestLog(now, opts.Logger, opts.Metrics),
		answerer:    addressing.New(addressing.Options{Rand: chance.Shared{}}),
		names:       make(map[string]loading.NamedVersions),
		replicas:    make(map[netip.Addr]replica),
		readyAt:     make(map[netip.Addr]time.Time),
		started:     now,
		listsAfter:  rand.N(unheardReadAfter),
		lapsed:      make(map[fleet.InstanceID]catalog.Server),
		told:        make(map[fleet.InstanceID]uint64),
		manifests:   newManifests(),
		toldLoads:   make(map[fleet.InstanceID]uint64),
		toldServers: make(map[fleet.InstanceID]catalog.Revision),
		readAt:      now,
		readerAt:    now,
		readings:    newReadingLog(opts.Logger, opts.Metrics),
		quarantine:  quarantine.New(),
		limits:      serverlimit.New(),
		listed:      make(map[netip.AddrPort]placement.Server),
		budgets:     make(map[fleet.ServiceName]*retry.Window),
		rooms:       make(map[fleet.ServiceName]*placement.HoldRoom),
		contact:     contact{heard: now, off: opts.Off},
	}
	g.crashReports = newReportSender[quarantine.Report](g.quarantine)
	g.limitReports = newReportSender[serverlimit.Report](g.limits)
	g.startAsk = func(addr netip.Addr, ask wire.CatalogAsk) { go g.askPeer(addr, ask) }
	g.board.SetSelf(opts.Self, opts.Place)
	g.mesh = mesh.New(ctx, now, mesh.Options{
		Self:       opts.Self,
		Role:       fleet.RoleEntry,
		Place:      opts.Place,
		PeerPort:   opts.PeerPort,
		Seeds:      opts.Seeds,
		Loop:       opts.Loop,
		Endpoint:   opts.Endpoint,
		Logger:     opts.Logger,
		Metrics:    opts.Metrics,
		Compose:    g.compose,
		GroupLoads: g.board.RegionLoads,
		HasNews:    g.hasNews,
		Heard:      g.heard,
		Lost:       g.lost,
		FarLess:    !opts.Off.FarLess,
	})
	return g
}

// lost drops the state of the link with a process.
func (g *Gateway) lost(_ time.Time, id fleet.InstanceID) {
	delete(g.told, id)
	delete(g.toldLoads, id)
	delete(g.toldServers, id)
	g.crashReports.lost(id)
	g.limitReports.lost(id)
	g.manifests.lost(id)
	g.board.Forget(id)
	g.changed = true // parts that depend on the number of entries
}

// Tick is called by the control loop.
func (g *Gateway) Tick(now time.Time) {
	if gap := g.clock.Elapsed(); gap > pausedAfter {
		g.woke(now, gap)
	}
	g.step(now)
}

func (g *Gateway) step(now time.Time) {
	g.mesh.Tick(now)
	g.askPeers(now)
	g.endLapses(now)
	g.publishDue(now)
	g.log.account.tell(now, g.opts.Logger)
	if g.announceCrashes.Swap(false) {
		g.urgent = true
	}
	switch {
	case g.urgent:
		g.mesh.Flush(now)
	case g.urgentNear:
		g.mesh.FlushNear(now)
	}
	g.urgent, g.urgentNear = false, false
}

// pausedAfter is the time between two ticks from which on the process counts
// as paused: many ticks, and less than the operator's bounds.
const pausedAfter = time.Second

// woke forgets what may have changed while the process did not run. Beliefs
// that are old do not look old: the clock may not have counted the pause.
func (g *Gateway) woke(now time.Time, gap time.Duration) {
	g.opts.Logger.Warn("woke", zap.Duration("after", gap))
	g.doubtful = true
	g.contact.woke(now)
	g.readAt = g.readAt.Add(-gap) // the clock may not have counted the pause
	g.replicas = make(map[netip.Addr]replica)
	g.readyAt = make(map[netip.Addr]time.Time)
	g.changed = true
	g.mesh.Woke(now)
	g.reading.end() // it may wait on a connection that is dead by now
}

// SetSeeds replaces the seeds by those in the settings now.
func (g *Gateway) SetSeeds(ctx context.Context, seeds []netip.Addr) error {
	return g.opts.Loop.Do(ctx, func(now time.Time) { g.mesh.SetSeeds(now, seeds) })
}

// Ready reports whether the entry takes requests.
func (g *Gateway) Ready() bool {
	v := g.view.Load()
	return v != nil && v.table != nil && !v.leaving && !v.doubtful
}

// Addresses returns the entries for a client at a place that take requests, this one
// included. An entry is not listed once its planned stop is known.
func (g *Gateway) Addresses(near fleet.Place) []netip.AddrPort {
	v := g.view.Load()
	if v == nil {
		return nil
	}
	var entries []addressing.Entry
	if v.table != nil && !v.leaving {
		entries = append(entries, addressing.Entry{ID: g.opts.Self, Place: g.opts.Place, Addr: g.opts.CallerAddr})
	}
	for _, e := range v.entries {
		if e.Ready {
			entries = append(entries, addressing.Entry{
				ID: e.ID, Place: e.Place, Addr: e.CallerAddr, Leaving: e.Leaving, Silent: e.Silent})
		}
	}
	return g.answerer.All(near, entries)
}

// Leave reports to the other entries at once that this one leaves, which ends its
// listing.
func (g *Gateway) Leave(ctx context.Context) error {
	return g.opts.Loop.Do(ctx, func(now time.Time) {
		g.leaving = true
		g.changed = true
		g.publish(now)
		g.mesh.Flush(now)
	})
}

// BodyLimit returns how many bytes of body a client may send, fallback while no
// configuration is known.
func (g *Gateway) BodyLimit(fallback int64) int64 {
	v := g.view.Load()
	if v == nil || v.table == nil || v.table.Limits().BodyBytes <= 0 {
		return fallback
	}
	return v.table.Limits().BodyBytes
}

// InFlight returns the number of calls that are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// allowRepeat takes a retry of a request from the budget of a service.
func (g *Gateway) allowRepeat(now time.Time, service fleet.ServiceName) bool {
	return g.budget(now, service).Repeat(now)
}

func (g *Gateway) budget(now time.Time, service fleet.ServiceName) *retry.Window {
	g.callsMu.Lock()
	defer g.callsMu.Unlock()
	w := g.budgets[service]
	if w == nil {
		b := g.opts.Budget
		w = retry.NewWindow(now, b.Span, b.Ratio*budgetShare, g.slack())
		g.budgets[service] = w
	}
	return w
}

// holdRoom returns where late calls wait for a service.
func (g *Gateway) holdRoom(service fleet.ServiceName) *placement.HoldRoom {
	g.callsMu.Lock()
	defer g.callsMu.Unlock()
	room := g.rooms[service]
	if room == nil {
		room = &placement.HoldRoom{}
		g.rooms[service] = room
	}
	return room
}

// budgetShare is the part of the retry budget that is used. The window of the
// platform and those of the entries do not start at the same time, and a
// request may be counted in another one than its retry.
const budgetShare = 0.7

// slack is this entry's part of what the budget allows besides the ratio. Silent
// entries keep theirs: they may live behind a partition and use it.
func (g *Gateway) slack() float64 {
	entries := 1
	if v := g.view.Load(); v != nil {
		entries += len(v.entries)
	}
	return g.opts.Budget.Slack * budgetShare / float64(entries)
}
