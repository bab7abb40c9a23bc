// Package agent is the role that stands beside one backend server: it brings
// new versions to a model engine, decides when to change over, passes
// requests on and says for certain when one was not run.
//
// The control state belongs to the control loop. Traffic reads the published
// gate and report.
package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/linkshare"
	"chivespindle.example/core/once"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/rollout"
	"chivespindle.example/core/serving"
	"chivespindle.example/core/status"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/node"
	"chivespindle.example/daemon/swarm"
	"chivespindle.example/daemon/wire"
)

// PlainStatus reads the load of a plain service.
type PlainStatus interface {
	Status(ctx context.Context) (serving.Load, error)
}

// Options of an Agent. All are needed unless a comment says otherwise.
type Options struct {
	Self    fleet.Instance
	Loop    *control.Loop
	Backend serving.Backend
	// Engine is nil beside a plain service, Plain beside a model engine.
	Engine serving.Engine
	Plain  PlainStatus
	// Swarm options without those that the agent sets itself; only used
	// beside a model engine.
	Swarm swarm.Options
	// Changeover options; only used beside a model engine.
	Changeover serving.ChangeoverOptions
	// Fetches and UploadSlots bound concurrent transfers of chunks.
	Fetches, UploadSlots int
	// UpLimit and DownLimit are set to the share of the link that weights may
	// use; nil beside a plain service.
	UpLimit, DownLimit RateLimit
	Link               linkshare.Settings
	MaxInFlight        int
	MaxBody            int
	DrainTimeout       time.Duration
	Incarnation        uint64
	Tracer             *telemetry.Tracer
	Logger             *zap.Logger
	Metrics            tally.Scope
}

// Agent is the role. It is made with New, given its node with Attach, and
// then driven by the control loop.
type Agent struct {
	opts     Options
	ctx      context.Context
	started  time.Time
	node     *node.Node
	swarm    *swarm.Swarm
	change   *serving.Changeover
	work     *inFlight
	register *once.Register
	room     *room
	traffic  trafficBytes
	upShare  *linkshare.Share
	dnShare  *linkshare.Share
	nextRate time.Time

	service     fleettext.Service
	known       bool              // the text in force has the service
	revision    revision.Revision // of service
	targetSince revision.Revision
	nextReorder time.Time
	turnFor     fleet.Version // a turn is asked for; zero if none
	nextTurn    time.Time     // when it is looked at again without news
	blocked     bool
	unfenced    bool
	reason      string
	boot        string
	leaving     bool
	reading     bool // a status is being read
	nextPlain   time.Time
	plainOpen   bool
	load        serving.Load

	gate   atomic.Pointer[serving.GateState]
	report atomic.Pointer[published]
	status atomic.Pointer[status.Agent]
}

// published is a report with a channel that closes when there is one that
// entries must hear of at once.
type published struct {
	wire.Report
	next chan struct{}
}

// New returns an agent. What it starts ends with ctx.
func New(ctx context.Context, opts Options) *Agent {
	a := &Agent{
		opts:    opts,
		ctx:     ctx,
		started: time.Now(),
		work:    newInFlight(),
		room:    newRoom(time.Now()),
		register: once.New(once.Options{
			Self:        opts.Self.ID,
			Incarnation: once.Incarnation(opts.Incarnation),
		}),
		upShare: linkshare.New(opts.Link),
		dnShare: linkshare.New(opts.Link),
	}
	a.gate.Store(&serving.GateState{})
	a.report.Store(&published{next: make(chan struct{})})
	a.status.Store(&status.Agent{})
	if opts.Engine != nil {
		a.change = serving.NewChangeover(opts.Changeover)
		s := opts.Swarm
		s.OnComplete = a.versionGathered
		a.swarm = swarm.New(ctx, s)
	}
	return a
}

// Attach gives the agent its node. It must be called before the loop runs.
func (a *Agent) Attach(n *node.Node) { a.node = n }

// Tick implements control.Ticker.
func (a *Agent) Tick(now time.Time) {
	a.shareLink(now)
	a.room.setSlots(now, a.load.Slots)
	a.room.expire(now)
	if a.change == nil {
		a.pollPlain(now)
		return
	}
	a.step(now, serving.Tick{})
	a.swarm.Tick(now)
	if !a.turnFor.IsZero() && !now.Before(a.nextTurn) {
		a.takeTurn(now)
	}
}

// Changed is told after the text in force or the view has changed.
func (a *Agent) Changed(now time.Time) {
	state := a.node.InForce()
	if state == nil {
		return
	}
	a.followText(now, state)
	if a.swarm != nil {
		a.swarm.SetMembers(now, a.members(state.Fleet))
		a.step(now, serving.ServedElsewhere{Versions: rollout.ServedVersions(a.replicas(), a.opts.Self.ID)})
	}
	a.takeTurn(now)
	a.publish(now)
}

// followText takes over what the text says of this service.
func (a *Agent) followText(now time.Time, state *revision.State) {
	service, known := state.Fleet.Service(a.opts.Self.Service)
	// A revision that never came here may have pinned another version, which
	// others may still be on.
	skipped := state.Revision > a.revision+1
	if known != a.known || service.Version != a.service.Version || skipped {
		a.targetSince = state.Revision
	}
	a.service, a.known, a.revision = service, known, state.Revision
	if a.change != nil {
		a.change.SetDrainTimeout(service.DrainTimeout)
		a.step(now, serving.TargetChanged{Version: service.Version})
	}
}

// publish brings what others see in line with the control state.
func (a *Agent) publish(now time.Time) {
	gate := a.currentGate()
	a.gate.Store(&gate)
	a.node.UpdateSelf(now, a.describe)
	a.publishReport(now, gate)
	a.publishStatus(now)
}

func (a *Agent) currentGate() serving.GateState {
	if a.change != nil {
		gate := a.change.Gate()
		gate.Leaving = gate.Leaving || a.leaving
		return gate
	}
	return serving.GateState{Plain: true, Open: a.plainOpen && a.known, Leaving: a.leaving}
}

// describe writes the agent's own record.
func (a *Agent) describe(r *gossip.Record) {
	r.Leaving = a.leaving
	if a.change == nil {
		r.State = gossip.StateStarting
		if a.plainOpen {
			r.State = gossip.StateServing
		}
		return
	}
	r.State = a.change.State()
	r.Serving = a.change.Serving()
	r.Target = a.change.Target()
}

func (a *Agent) publishReport(now time.Time, gate serving.GateState) {
	_, closed := gate.Admit(now)
	self := a.node.Self()
	report := wire.Report{
		Service:   a.opts.Self.Service,
		State:     self.State,
		Leaving:   a.leaving,
		Admitting: closed == nil,
		Serving:   self.Serving,
		Load:      a.load,
	}
	before := a.report.Load()
	if before.Report == report {
		return
	}
	if !urgent(before.Report, report) {
		// Streams wait on the channel of the report that they sent last, so it
		// stays until a change that they must hear of at once.
		a.report.Store(&published{Report: report, next: before.next})
		return
	}
	a.report.Store(&published{Report: report, next: make(chan struct{})})
	close(before.next)
}

// urgent reports whether entries should hear of a change at once. A change of
// load alone waits for the next regular report.
func urgent(before, after wire.Report) bool {
	before.Load = after.Load
	return before != after
}

// Leave begins the planned stop: no new work, and others are told at once.
func (a *Agent) Leave(ctx context.Context) error {
	return a.opts.Loop.Do(ctx, func(now time.Time) {
		a.leaving = true
		if a.change != nil {
			a.step(now, serving.Leaving{})
		}
		a.publish(now)
		a.opts.Logger.Info("leaving", zap.Int64("in_flight", a.work.count()))
	})
}

// Drain waits until no request is in progress, at most until ctx ends, and
// reports whether it got there.
func (a *Agent) Drain(ctx context.Context) bool {
	idle := make(chan struct{})
	a.work.whenIdle(func() { close(idle) })
	select {
	case <-idle:
		return true
	case <-ctx.Done():
		return false
	}
}
