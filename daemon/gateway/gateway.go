// Package gateway is the entry on a platform where callers use plain HTTP and
// backend servers are called directly and report themselves which calls did not
// run.
//
// The control loop owns the state of the process: the platform's catalog, the
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
	"golang.org/x/time/rate"

	"chivespindle.example/adapters/bootclock"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/addressing"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/coldstart"
	"chivespindle.example/core/evacuation"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/memlimit"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/policy"
	"chivespindle.example/core/priority"
	"chivespindle.example/core/quarantine"
	"chivespindle.example/core/retry"
	"chivespindle.example/core/routing"
	"chivespindle.example/core/serverlimit"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/internal/chance"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

// Options of a Gateway. All fields but the bounds of cold servers, Memory and MaxCalls are required.
type Options struct {
	Self        fleet.InstanceID
	Addr        netip.Addr
	Incarnation uint64
	Place       fleet.Place
	CallerAddr  netip.AddrPort
	PeerPort    uint16
	Seeds       []netip.Addr
	// Regions maps each availability zone to its region.
	Regions map[fleet.Zone]fleet.Region
	Loop    *control.Loop
	// Endpoint connects to peers and serves the streams that they open to this gateway.
	Endpoint *peer.Endpoint
	Source   catalog.Source
	Backend  Backend
	Budget   retry.FleetBudget
	// VersionTime is how long after the publication of a new version of weights the
	// one before may still be used.
	VersionTime time.Duration
	// In any second, all entries together may send a cold server ColdOverage times the
	// requests that its service allows, plus ColdSlack. Zero if the deployment sets none.
	ColdOverage, ColdSlack float64
	// GracePeriod is how long an entry may run on after it has announced that it leaves.
	GracePeriod time.Duration
	// SoundTime is how long the platform must have answered without failures to count
	// as healthy.
	SoundTime time.Duration
	// Memory bounds the bodies of requests and responses that are held; nil for no bound.
	Memory *memlimit.Budget
	// MaxCalls is the number of calls that are served at the same time, 0 for no bound. The
	// caller of Serve enforces it; one service may use a share of it.
	MaxCalls int
	// Disabled holds the mechanisms that are switched off.
	Disabled policy.Disabled
	Logger   *zap.Logger
	Metrics  tally.Scope
}

// Gateway holds the state of an entry. Serve, Addresses and Ready are safe for
// concurrent use; everything else belongs to the control loop.
type Gateway struct {
	opts     Options
	ctx      context.Context
	mesh     links
	clock    bootclock.Stopwatch
	balancer *placement.Balancer
	log      *requestLog
	view     atomic.Pointer[view]

	snapshot      catalog.Snapshot
	table         *routing.Table
	names         map[string]loading.NamedVersions // by model
	replicas      map[netip.Addr]replica
	loads         map[netip.Addr]engineLoad
	readyAt       map[netip.Addr]time.Time // when engines are expected to be ready
	started       time.Time
	knewAllAgents bool // knowsAllAgents at the last update of the servers
	// listDelay is how long after the start the platform's catalog is listed if no
	// other entry of the region is known.
	listDelay time.Duration
	// suspectsRegistrations is true once an engine that no agent has reported declined
	// a call.
	suspectsRegistrations bool
	leaving               bool
	shutdown              *shutdown
	changed               bool
	// published is the time of the latest view.
	published time.Time
	// flushDue is true while a message to all peers is due without delay, groupFlushDue
	// while one to the own group is.
	flushDue           bool
	groupFlushDue      bool
	requestingCatalog  bool
	nextCatalogRequest time.Time
	// startCatalogRequest requests the catalog of a peer. The result is passed to
	// handleCatalogResponse.
	startCatalogRequest func(addr netip.Addr, ask wire.CatalogRequest)
	// newestPeerConfig is the version of the newest configuration that a peer reported.
	newestPeerConfig int64
	// behindSince is since when a peer has had a newer catalog, zero if none has.
	behindSince time.Time
	contact     contact
	// stale is true after a pause of the process until the catalog has been read
	// again from the platform or a peer.
	stale bool
	// resumedAt is the end of the latest pause of the process.
	resumedAt    time.Time
	platformCall platformCall
	packed       packedConfig
	// lapsed holds servers whose registration ended while the platform was not
	// healthy.
	lapsed map[fleet.InstanceID]catalog.Server
	// departures holds the servers that left, in case the platform returns from an older
	// copy. isHolding is true while such a copy may list servers that have ended.
	departures *catalog.Departures
	isHolding  bool
	// evacuations is the state of the evacuated zones, and evacuationEnds when this entry
	// learned that evacuations ended. evacuationsIgnored is the number of ignored ones that
	// has been logged.
	evacuations        *evacuation.State
	evacuationEnds     map[fleet.Zone]time.Time
	evacuationsIgnored int
	sentLoads          map[fleet.InstanceID]uint64 // change of the balancer up to which loads were sent, by entry
	sentMembersDigest  map[fleet.InstanceID]uint64 // digest of the member list that was sent, by agent
	// changesReadAt is the time up to which the platform's changes of servers are known. feed
	// holds the changes to forward, and sentServers the revision up to which each entry
	// has them.
	changesReadAt time.Time
	readings      *readingLog
	feed          serverFeed
	sentServers   map[fleet.InstanceID]catalog.Revision
	// gapUntil is the revision up to which a reader of the region sent changes that leave a
	// gap after those known here.
	gapUntil catalog.Revision
	// readerSeenAt is when a message of a reader of the region was last received, or the
	// platform was last read by this entry.
	readerSeenAt time.Time
	// refusedUntil is the time until which this entry counts as refused by the
	// platform.
	refusedUntil time.Time
	manifests    manifests
	catalogLogs  *rate.Limiter // of catalogs that were not given
	// quarantine holds the requests that crash servers. announceCrashes is true while
	// a newly quarantined request has to be reported to all peers without delay.
	quarantine      *quarantine.Registry
	crashReports    reportSender[quarantine.Report]
	announceCrashes atomic.Bool
	// limits holds the request limits that servers advertise. limitsChanged is true
	// until the shares of the entries have been recomputed, sharedAt is when they last
	// were.
	limits        *serverlimit.Registry
	limitReports  reportSender[serverlimit.Report]
	limitsChanged bool
	sharedAt      time.Time
	cold          coldServers
	// listed holds the servers of the latest view.
	listed map[netip.AddrPort]placement.Server

	callsMu sync.Mutex
	budgets map[fleet.ServiceName]*retry.Window
	// budgetsLoggedAt is when the use of the retry budgets was last logged.
	budgetsLoggedAt time.Time
	holdLimiters    map[fleet.ServiceName]*placement.HoldLimiter
	serviceCalls    map[fleet.ServiceName]int // being served
	demands         map[fleet.ServiceName]*priority.Demand
	inFlight        atomic.Int64
	answerer        *addressing.Resolver
	// retryDetector distinguishes the retries of callers from new calls.
	retryDetector placement.RetryDetector
}

// replica is an agent's report on its engine.
type replica struct {
	wire.Replica
	reportedAt time.Time
	direct     bool // received from the agent itself and not through another entry
}

// view is the immutable state that calls read.
type view struct {
	table   *routing.Table
	names   map[string]loading.NamedVersions
	entries []mesh.Entry
	// rank is this entry's rank among the entries of its region.
	rank int
	// readsPlatform is true while this entry reads the platform, on behalf of others as well.
	readsPlatform bool
	// asOf and operatorAsOf are the revisions up to which the two parts of the catalog
	// are known.
	asOf, operatorAsOf catalog.Revision
	leaving            bool
	// isNew is true soon after the start of this entry.
	isNew bool
	// stale is true if the view may date from before a pause of the process.
	stale bool
	// nextEngineReady is when the next engines are expected to become ready.
	nextEngineReady readyTimes
	// publishedAt is the time of the view.
	publishedAt time.Time
	// coldEntries is what this entry knows of the others among which cold servers are shared.
	coldEntries coldstart.Entries
	// isCurrent is false if nothing has been received from the platform or a peer for so
	// long that other entries may have routes or keys that are missing here.
	isCurrent bool
}

// New returns a gateway that follows no source until its parts run.
func New(ctx context.Context, now time.Time, opts Options) *Gateway {
	g := &Gateway{
		opts:              opts,
		shutdown:          newShutdown(),
		ctx:               ctx,
		balancer:          placement.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), opts.Disabled),
		log:               newRequestLog(now, opts.Logger, opts.Metrics),
		answerer:          addressing.New(addressing.Options{Rand: chance.Shared{}, MaxSilence: maxListedSilence(opts.SoundTime)}),
		names:             make(map[string]loading.NamedVersions),
		replicas:          make(map[netip.Addr]replica),
		loads:             make(map[netip.Addr]engineLoad),
		readyAt:           make(map[netip.Addr]time.Time),
		started:           now,
		listDelay:         rand.N(maxListDelay),
		lapsed:            make(map[fleet.InstanceID]catalog.Server),
		departures:        catalog.NewDepartures(),
		evacuations:       evacuation.New(),
		evacuationEnds:    make(map[fleet.Zone]time.Time),
		sentMembersDigest: make(map[fleet.InstanceID]uint64),
		manifests:         newManifests(),
		catalogLogs:       rate.NewLimiter(catalogLogsPerSecond, 1),
		sentLoads:         make(map[fleet.InstanceID]uint64),
		sentServers:       make(map[fleet.InstanceID]catalog.Revision),
		changesReadAt:     now,
		readerSeenAt:      now,
		readings:          newReadingLog(opts.Logger, opts.Metrics),
		quarantine:        quarantine.New(),
		limits:            serverlimit.New(),
		cold:              newColdServers(opts.Seeds),
		listed:            make(map[netip.AddrPort]placement.Server),
		budgets:           make(map[fleet.ServiceName]*retry.Window),
		budgetsLoggedAt:   now,
		holdLimiters:      make(map[fleet.ServiceName]*placement.HoldLimiter),
		serviceCalls:      make(map[fleet.ServiceName]int),
		demands:           make(map[fleet.ServiceName]*priority.Demand),
		contact:           contact{lastResponse: now, disabled: opts.Disabled},
	}
	g.crashReports, g.limitReports = newReportSender[quarantine.Report](g.quarantine), newReportSender[serverlimit.Report](g.limits)
	g.startCatalogRequest = func(addr netip.Addr, ask wire.CatalogRequest) { go g.requestCatalog(addr, ask) }
	g.balancer.SetSelf(opts.Self, opts.Place)
	g.mesh = mesh.New(ctx, now, mesh.Options{
		Self:                 opts.Self,
		Role:                 fleet.RoleEntry,
		Place:                opts.Place,
		PeerPort:             opts.PeerPort,
		Seeds:                opts.Seeds,
		Loop:                 opts.Loop,
		Endpoint:             opts.Endpoint,
		Logger:               opts.Logger,
		Metrics:              opts.Metrics,
		Compose:              g.compose,
		GroupLoads:           g.balancer.RegionLoads,
		HasChanges:           g.hasNewLoads,
		OnHeartbeat:          g.receive,
		OnLost:               g.dropPeer,
		ThrottleOtherRegions: !opts.Disabled.FarLess,
	})
	return g
}

// dropPeer drops the state kept for the link to a process.
func (g *Gateway) dropPeer(_ time.Time, id fleet.InstanceID) {
	delete(g.sentMembersDigest, id)
	delete(g.sentLoads, id)
	delete(g.sentServers, id)
	g.crashReports.reset(id)
	g.limitReports.reset(id)
	g.manifests.reset(id)
	g.balancer.RemoveEntry(id)
	g.changed = true // shares depend on the number of entries
}

// Tick is called by the control loop.
func (g *Gateway) Tick(now time.Time) {
	if gap := g.clock.Elapsed(); gap > pauseThreshold {
		g.resumeAfterPause(now, gap)
	}
	g.step(now)
}

func (g *Gateway) step(now time.Time) {
	g.mesh.Tick(now)
	g.requestNewerCatalog(now)
	g.expireLapsed(now)
	g.updateHolding(now)
	g.expireEvacuations(now)
	g.publishIfDue(now)
	g.log.results.logDue(now, g.opts.Logger)
	g.logRetryBudgets(now)
	if g.announceCrashes.Swap(false) {
		g.flushDue = true
	}
	switch {
	case g.flushDue:
		g.mesh.Flush(now)
	case g.groupFlushDue:
		g.mesh.FlushGroup(now)
	}
	g.flushDue, g.groupFlushDue = false, false
}

// pauseThreshold is the least time between two ticks that counts as a pause of the
// process. It is many tick intervals and less than the operator's time limits.
const pauseThreshold = time.Second

// maxViewAge is the age above which a view is from before a pause: the least time between two
// ticks that counts as one, and the time between two views.
const maxViewAge = pauseThreshold + publishInterval

// predatesPause reports whether a view may date from before a pause of the process. Calls may
// run before the control loop has noticed that the process was paused.
func (v *view) predatesPause(now time.Time) bool {
	return v.stale || now.Sub(v.publishedAt) > maxViewAge
}

// resumeAfterPause discards state that may have changed while the process was paused. The
// age of that state does not show that it is outdated, since the clock may not have
// counted the pause. What agents reported of loads is kept: without it, all registrations
// would be believed until the agents report again.
func (g *Gateway) resumeAfterPause(now time.Time, gap time.Duration) {
	g.opts.Logger.Warn("woke", zap.Duration("after", gap))
	g.stale, g.resumedAt = true, now
	g.contact.resetAfterPause(now)
	g.changesReadAt = g.changesReadAt.Add(-gap) // the clock may not have counted the pause
	g.replicas = make(map[netip.Addr]replica)
	g.readyAt = make(map[netip.Addr]time.Time)
	g.changed = true
	g.mesh.ResetAfterPause(now)
	g.platformCall.stop() // it may be waiting on a dead connection
}

// SetSeeds replaces the seeds.
func (g *Gateway) SetSeeds(ctx context.Context, seeds []netip.Addr) error {
	return g.opts.Loop.Do(ctx, func(now time.Time) {
		g.cold.seeds = seeds
		g.mesh.SetSeeds(now, seeds)
	})
}

// Ready reports whether the entry accepts requests.
func (g *Gateway) Ready() bool {
	v := g.view.Load()
	return v != nil && v.table != nil && !v.leaving && !v.stale
}

// ClientLimits returns what the configuration allows a client, false if there is no
// configuration yet.
func (g *Gateway) ClientLimits() (limits routing.Limits, known bool) {
	v := g.view.Load()
	if v == nil || v.table == nil {
		return routing.Limits{}, false
	}
	return v.table.Limits(), true
}

// BodyLimit returns the maximum size of a request body in bytes, fallback if there is no
// configuration yet or it sets none.
func (g *Gateway) BodyLimit(fallback int64) int64 {
	if limits, _ := g.ClientLimits(); limits.BodyBytes > 0 {
		return limits.BodyBytes
	}
	return fallback
}

// InFlight returns the number of calls being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// holdLimiter returns the limiter of the late calls that are held for a service.
func (g *Gateway) holdLimiter(service fleet.ServiceName) *placement.HoldLimiter {
	g.callsMu.Lock()
	defer g.callsMu.Unlock()
	limiter := g.holdLimiters[service]
	if limiter == nil {
		limiter = &placement.HoldLimiter{}
		g.holdLimiters[service] = limiter
	}
	return limiter
}
