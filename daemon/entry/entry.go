// Package entry is the role that takes requests from callers: it picks a
// backend server for each, tries again where that is safe, and answers which
// entry addresses callers should use.
//
// The control state belongs to the control loop, which publishes an immutable
// picture; requests only read it.
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
	// subsetSize is how many backend servers of a service an entry routes to.
	// It keeps reports and connections of a node independent of the fleet's
	// size: 3,500 servers would not fit in a node's memory and traffic.
	subsetSize = 24
	// rebuildEvery bounds how often the picture is made anew for changes of
	// load alone. Reports come each half second from each server, and between
	// them an entry goes by its own requests in flight.
	rebuildEvery = 250 * time.Millisecond
)

// routing lets an entry hand on more than a server has slots for. The agent
// keeps what waits, of all entries, the important requests in front, and
// refuses at once what cannot be served in time; an entry that refused by its
// own count could not tell the important ones from the rest. The least
// important get less of that room, so that they seldom make the trip in vain.
var routing = balance.Settings{QueueShare: 3, ReserveShare: 0.6}

// Options of an Entry. All are needed.
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

// Entry is the role. It is made with New, given its node with Attach, and then
// driven by the control loop.
type Entry struct {
	opts     Options
	ctx      context.Context
	node     *node.Node
	tracker  *balance.Tracker
	budget   *retry.Budget
	answerer *addressing.Answerer
	running  atomic.Int64

	limits      *limits
	metrics     requestMetrics
	subs        map[fleet.InstanceID]*subscription
	leaving     bool
	dirty       bool
	nextRebuild time.Time
	nextShare   time.Time

	picture atomic.Pointer[picture]
}

// picture is what requests read. It never changes.
type picture struct {
	config  *revision.State // nil while no text is in force
	servers *balance.Snapshot
	entries []addressing.Entry
	clocks  map[fleet.InstanceID]*admission.RemoteClock
}

// New returns an entry. What it starts ends with ctx.
func New(ctx context.Context, now time.Time, opts Options) *Entry {
	e := &Entry{
		opts:     opts,
		ctx:      ctx,
		tracker:  balance.NewTracker(now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		budget:   retry.NewBudget(now, retry.BudgetOptions{}),
		answerer: addressing.New(addressing.Options{TTL: opts.AddressTTL, Rand: chance.Shared{}}),
		limits:   newLimits(),
		metrics:  requestMetrics{scope: opts.Metrics},
		subs:     make(map[fleet.InstanceID]*subscription),
	}
	e.picture.Store(&picture{servers: balance.NewSnapshot(opts.Self.Place, nil, e.tracker, routing)})
	return e
}

// Attach gives the entry its node. It must be called before the loop runs.
func (e *Entry) Attach(n *node.Node) { e.node = n }

// Tick implements control.Ticker.
func (e *Entry) Tick(now time.Time) {
	if e.dirty && !now.Before(e.nextRebuild) {
		e.rebuild(now)
	}
	if !now.Before(e.nextShare) {
		e.nextShare = now.Add(demandEvery)
		e.followDemands()
		e.share(now)
	}
}

// Changed is told after the text in force or the view has changed.
func (e *Entry) Changed(now time.Time) {
	e.subscribe(now)
	e.rebuild(now)
	e.share(now)
	e.node.UpdateSelf(now, e.describe)
}

func (e *Entry) describe(r *gossip.Record) {
	r.Leaving = e.leaving
	r.State = gossip.StateStarting
	if e.node.ActiveConfig() != nil {
		r.State = gossip.StateServing
	}
}

// rebuild publishes a new picture.
func (e *Entry) rebuild(now time.Time) {
	e.dirty = false
	e.nextRebuild = now.Add(rebuildEvery)
	p := &picture{
		config:  e.node.ActiveConfig(),
		entries: e.entries(),
		clocks:  make(map[fleet.InstanceID]*admission.RemoteClock, len(e.subs)),
	}
	var servers []balance.Server
	for id, s := range e.subs {
		if s.reported {
			servers = append(servers, s.server())
			p.clocks[id] = s.echo
		}
	}
	slices.SortFunc(servers, func(a, b balance.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	p.servers = balance.NewSnapshot(e.opts.Self.Place, servers, e.tracker, routing)
	e.picture.Store(p)
}

// entries lists the entry instances for address answers, this one included.
func (e *Entry) entries() []addressing.Entry {
	self := e.opts.Self
	load := float64(e.running.Load()) / float64(max(1, e.opts.MaxInFlight))
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
	return e.answerer.Answer(time.Now(), near, e.picture.Load().entries)
}

// Ready reports whether requests can be taken, and why not.
func (e *Entry) Ready() (bool, string) {
	if e.picture.Load().config == nil {
		return false, "no text is in force yet"
	}
	return true, ""
}

// Leave begins the planned stop: other entries stop naming this one.
func (e *Entry) Leave(ctx context.Context) error {
	return e.opts.Loop.Do(ctx, func(now time.Time) {
		e.leaving = true
		e.node.UpdateSelf(now, e.describe)
		e.rebuild(now)
		e.opts.Logger.Info("leaving", zap.Int64("in_flight", e.running.Load()))
	})
}

// Status returns the present status. Safe for any goroutine.
func (e *Entry) Status() status.Entry {
	view := e.node.View()
	s := status.Entry{
		ID:       e.opts.Self.ID,
		Role:     fleet.RoleEntry,
		Place:    e.opts.Self.Place,
		Leaving:  view.Self.Leaving,
		InFlight: e.running.Load(),
	}
	config := e.node.ConfigStatus()
	s.Config = status.Config{PlatformRevision: config.PlatformRevision, Conflicts: len(config.Conflicts)}
	for _, r := range config.Refused {
		s.Config.Refused = append(s.Config.Refused, r.Faults.Error())
	}
	s.Fleet = append(s.Fleet, member(gossip.Peer{Record: view.Self}))
	for _, p := range view.Peers {
		s.Fleet = append(s.Fleet, member(p))
	}
	if state := e.node.ActiveConfig(); state != nil {
		s.Revision = state.Revision
		s.Config.Digest = state.Digest
		s.Config.Name = state.Fleet.Name()
		s.Services = serviceStatus(state, view)
	}
	return s
}

func member(p gossip.Peer) status.Member {
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
