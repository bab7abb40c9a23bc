// Package entry implements the role that receives requests from callers. It picks a
// backend server for each request, retries where that is safe, and returns the
// entry addresses that callers should use.
//
// The control loop owns the control state and publishes immutable snapshots, which
// requests read.
package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/addressing"
	"chivespindle.example/core/admission"
	"chivespindle.example/core/balance"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/retry"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/status"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/internal/chance"
	"chivespindle.example/daemon/node"
)

const (
	// subsetSize is the number of backend servers of a service that an entry routes
	// to. It makes the reports and connections of a node independent of the size of
	// the fleet: 3,500 servers would exceed the memory and network capacity of a
	// node.
	subsetSize = 24
	// rebuildInterval is the minimum time between two rebuilds of the snapshot for
	// changes of load alone. Each server reports every half second; between reports
	// an entry relies on its own count of requests in flight.
	rebuildInterval = 250 * time.Millisecond
)

// balanceSettings let an entry send a server more requests than it has slots. The
// agent queues the requests of all entries by priority and rejects at once what
// cannot be served in time; an entry that refused by its own count could not rank
// its requests against those of other entries. The lowest priorities get a smaller
// share of the queue, so that they are rarely forwarded only to be refused.
var balanceSettings = balance.Settings{QueueShare: 3, ReserveShare: 0.6}

// Options are the parameters of New. All are required.
type Options struct {
	Self        fleet.Instance
	Loop        *control.Loop
	Endpoint    *peer.Endpoint
	AddressTTL  time.Duration
	MaxInFlight int
	Tracer      *telemetry.Tracer
	Logger      *zap.Logger
	Metrics     tally.Scope
}

// Entry is the entry role. It is created by New, connected to its node by Attach,
// and then driven by the control loop.
type Entry struct {
	opts        Options
	ctx         context.Context
	node        *node.Node
	tracker     *balance.Tracker
	retryBudget *retry.Budget
	answerer    *addressing.Resolver
	inFlight    atomic.Int64

	limits          *limits
	metrics         requestMetrics
	subscriptions   map[fleet.InstanceID]*subscription
	leaving         bool
	dirty           bool
	nextRebuild     time.Time
	nextShareUpdate time.Time

	snapshot atomic.Pointer[snapshot]
}

// snapshot is the immutable state that requests read.
type snapshot struct {
	config  *revision.State // nil while there is no active configuration
	servers *balance.Snapshot
	entries []addressing.Entry
	clocks  map[fleet.InstanceID]*admission.RemoteClock
}

// New returns an entry. Its goroutines end with ctx.
func New(ctx context.Context, now time.Time, opts Options) *Entry {
	e := &Entry{
		opts:          opts,
		ctx:           ctx,
		tracker:       balance.NewTracker(now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		retryBudget:   retry.NewBudget(now, retry.BudgetOptions{}),
		answerer:      addressing.New(addressing.Options{TTL: opts.AddressTTL, Rand: chance.Shared{}}),
		limits:        newLimits(),
		metrics:       requestMetrics{scope: opts.Metrics},
		subscriptions: make(map[fleet.InstanceID]*subscription),
	}
	e.snapshot.Store(&snapshot{servers: balance.NewSnapshot(opts.Self.Place, nil, e.tracker, balanceSettings)})
	return e
}

// Attach sets the node of the entry. It must be called before the loop runs.
func (e *Entry) Attach(n *node.Node) { e.node = n }

// Tick implements control.Ticker.
func (e *Entry) Tick(now time.Time) {
	if e.dirty && !now.Before(e.nextRebuild) {
		e.rebuild(now)
	}
	if !now.Before(e.nextShareUpdate) {
		e.nextShareUpdate = now.Add(demandInterval)
		e.updateDemandStreams()
		e.updateShares(now)
	}
}

// HandleChange is called after the active configuration or the view of the fleet
// has changed.
func (e *Entry) HandleChange(now time.Time) {
	e.updateSubscriptions(now)
	e.rebuild(now)
	e.updateShares(now)
	e.node.UpdateSelf(now, e.updateRecord)
}

func (e *Entry) updateRecord(r *gossip.Record) {
	r.Leaving = e.leaving
	r.State = gossip.StateStarting
	if e.node.ActiveConfig() != nil {
		r.State = gossip.StateServing
	}
}

// rebuild publishes a new snapshot.
func (e *Entry) rebuild(now time.Time) {
	e.dirty = false
	e.nextRebuild = now.Add(rebuildInterval)
	snap := &snapshot{
		config:  e.node.ActiveConfig(),
		entries: e.entries(),
		clocks:  make(map[fleet.InstanceID]*admission.RemoteClock, len(e.subscriptions)),
	}
	var servers []balance.Server
	for id, sub := range e.subscriptions {
		if sub.hasReport {
			servers = append(servers, sub.server())
			snap.clocks[id] = sub.clock
		}
	}
	slices.SortFunc(servers, func(a, b balance.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	snap.servers = balance.NewSnapshot(e.opts.Self.Place, servers, e.tracker, balanceSettings)
	e.snapshot.Store(snap)
}

// entries returns the entry instances for address lookups, including this one.
func (e *Entry) entries() []addressing.Entry {
	self := e.opts.Self
	load := float64(e.inFlight.Load()) / float64(max(1, e.opts.MaxInFlight))
	all := []addressing.Entry{{ID: self.ID, Place: self.Place, Addr: self.CallerAddr, Leaving: e.leaving, Load: load}}
	for _, p := range e.node.View().Peers {
		if p.Role != fleet.RoleEntry || !p.CallerAddr.IsValid() {
			continue
		}
		all = append(all, addressing.Entry{ID: p.ID, Place: p.Place, Addr: p.CallerAddr, Leaving: p.IsLeaving(), Silent: p.Silent})
	}
	return all
}

// Addresses implements calls.AddressBook.
func (e *Entry) Addresses(near fleet.Place) addressing.Result {
	return e.answerer.Resolve(time.Now(), near, e.snapshot.Load().entries)
}

// Ready reports whether requests can be accepted and, if not, the reason.
func (e *Entry) Ready() (bool, string) {
	if e.snapshot.Load().config == nil {
		return false, "no text is in force yet"
	}
	return true, ""
}

// Leave begins the planned stop: other entries stop returning the address of this
// one.
func (e *Entry) Leave(ctx context.Context) error {
	return e.opts.Loop.Do(ctx, func(now time.Time) {
		e.leaving = true
		e.node.UpdateSelf(now, e.updateRecord)
		e.rebuild(now)
		e.opts.Logger.Info("leaving", zap.Int64("in_flight", e.inFlight.Load()))
	})
}

// Status returns the current status. Safe for concurrent use.
func (e *Entry) Status() status.Entry {
	view := e.node.View()
	s := status.Entry{
		ID:       e.opts.Self.ID,
		Role:     fleet.RoleEntry,
		Place:    e.opts.Self.Place,
		Leaving:  view.Self.Leaving,
		InFlight: e.inFlight.Load(),
	}
	config := e.node.ConfigStatus()
	s.Config = status.Config{PlatformRevision: config.PlatformRevision, Conflicts: len(config.Conflicts)}
	for _, r := range config.Refused {
		s.Config.Refused = append(s.Config.Refused, r.Faults.Error())
	}
	s.Fleet = append(s.Fleet, memberStatus(gossip.Peer{Record: view.Self}))
	for _, p := range view.Peers {
		s.Fleet = append(s.Fleet, memberStatus(p))
	}
	if state := e.node.ActiveConfig(); state != nil {
		s.Revision = state.Revision
		s.Config.Digest = state.Digest
		s.Config.Name = state.Fleet.Name()
		s.Services = serviceStatus(state, view)
	}
	return s
}

func memberStatus(p gossip.Peer) status.Member {
	return status.Member{ID: p.ID, Role: p.Role, Service: p.Service, Place: p.Place, State: p.State,
		Serving: p.Serving, Revision: p.Revision, Leaving: p.IsLeaving(), Silent: p.Silent}
}

func serviceStatus(state *revision.State, view *gossip.View) []status.Service {
	var all []status.Service
	for service := range state.Fleet.Services() {
		s := status.Service{Service: service.Name, Target: service.Version}
		for _, p := range view.Service(service.Name) {
			s.Replicas++
			switch {
			case p.Silent:
				s.Silent++
			case p.IsLeaving():
				s.Leaving++
			case p.State == gossip.StateServing && p.Serving == service.Version:
				s.Serving++
			}
		}
		all = append(all, s)
	}
	return all
}
