// Package agent implements the role that runs beside one backend server. It fetches
// new versions for a model engine, decides when the engine changes over to them,
// forwards requests, and reports reliably when a request was not run.
//
// The control loop owns the control state. Request handling reads the published
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

// Options are the parameters of New. All are required unless a comment says
// otherwise.
type Options struct {
	Self    fleet.Instance
	Loop    *control.Loop
	Backend serving.Backend
	// Engine is nil for a plain service, Plain is nil for a model engine.
	Engine serving.Engine
	Plain  PlainStatus
	// Swarm holds the swarm options except those that the agent sets itself; used
	// only with a model engine.
	Swarm swarm.Options
	// Changeover options; used only with a model engine.
	Changeover serving.ChangeoverOptions
	// MaxFetches and MaxUploads limit concurrent transfers of chunks.
	MaxFetches, MaxUploads int
	// UploadLimiter and DownloadLimiter are set to the share of the link that
	// weights may use; nil for a plain service.
	UploadLimiter, DownloadLimiter RateLimiter
	Link                           linkshare.Settings
	MaxInFlight                    int
	MaxBody                        int
	DrainTimeout                   time.Duration
	Incarnation                    uint64
	Tracer                         *telemetry.Tracer
	Logger                         *zap.Logger
	Metrics                        tally.Scope
}

// Agent is the agent role. It is created by New, connected to its node by Attach,
// and then driven by the control loop.
type Agent struct {
	opts            Options
	ctx             context.Context
	started         time.Time
	node            *node.Node
	swarm           *swarm.Swarm
	changeover      *serving.Changeover
	inFlight        *inFlightCounter
	undelivered     *inFlightCounter // also those whose response its entry has not read
	register        *once.Register
	queue           *requestQueue
	traffic         trafficBytes
	uploadShare     *linkshare.Share
	downloadShare   *linkshare.Share
	nextShareUpdate time.Time

	service          fleettext.Service
	inConfig         bool              // the active configuration contains the service
	revision         revision.Revision // of the active configuration
	targetSince      revision.Revision
	nextReorder      time.Time
	pendingVersion   fleet.Version // waits for the rollout's permission; zero if none
	nextRolloutCheck time.Time     // next check without a change of configuration or view
	rolloutBlocked   bool
	fencingIgnored   bool
	waitReason       string
	engineBoot       string
	leaving          bool
	readingStatus    bool // a status read is in progress
	nextPlainRead    time.Time
	plainOpen        bool
	load             serving.Load

	gate   atomic.Pointer[serving.GateState]
	report atomic.Pointer[publishedReport]
	status atomic.Pointer[status.Agent]
}

// publishedReport is a report with a channel that is closed when a newer report
// must be sent to entries at once.
type publishedReport struct {
	wire.Report
	urgent chan struct{}
}

// New returns an agent. Its goroutines end with ctx.
func New(ctx context.Context, opts Options) *Agent {
	a := &Agent{
		opts:        opts,
		ctx:         ctx,
		started:     time.Now(),
		inFlight:    newInFlightCounter(),
		undelivered: newInFlightCounter(),
		queue:       newRequestQueue(time.Now()),
		register: once.New(once.Options{
			Self:        opts.Self.ID,
			Incarnation: once.Incarnation(opts.Incarnation),
		}),
		uploadShare:   linkshare.New(opts.Link),
		downloadShare: linkshare.New(opts.Link),
	}
	a.gate.Store(&serving.GateState{})
	a.report.Store(&publishedReport{urgent: make(chan struct{})})
	a.status.Store(&status.Agent{})
	if opts.Engine != nil {
		a.changeover = serving.NewChangeover(opts.Changeover)
		s := opts.Swarm
		s.OnComplete = a.handleVersionComplete
		a.swarm = swarm.New(ctx, s)
	}
	return a
}

// Attach sets the node of the agent. It must be called before the loop runs.
func (a *Agent) Attach(n *node.Node) { a.node = n }

// Tick implements control.Ticker.
func (a *Agent) Tick(now time.Time) {
	a.updateLinkShares(now)
	a.queue.setSlots(now, a.load.Slots)
	a.queue.expire(now)
	if a.changeover == nil {
		a.pollPlain(now)
		return
	}
	a.step(now, serving.Tick{})
	a.swarm.Tick(now)
	if !a.pendingVersion.IsZero() && !now.Before(a.nextRolloutCheck) {
		a.checkRollout(now)
	}
}

// HandleChange is called after the active configuration or the view of the fleet
// has changed.
func (a *Agent) HandleChange(now time.Time) {
	state := a.node.ActiveConfig()
	if state == nil {
		return
	}
	a.applyConfig(now, state)
	if a.swarm != nil {
		a.swarm.SetMembers(now, a.members(state.Fleet))
		a.step(now, serving.ServedElsewhere{Versions: rollout.ServedVersions(a.replicas(), a.opts.Self.ID)})
	}
	a.checkRollout(now)
	a.publish(now)
}

// applyConfig takes over the configuration of this service.
func (a *Agent) applyConfig(now time.Time, state *revision.State) {
	service, inConfig := state.Fleet.Service(a.opts.Self.Service)
	// A revision that was skipped here may have named another version, which other
	// replicas may still serve.
	skipped := state.Revision > a.revision+1
	if inConfig != a.inConfig || service.Version != a.service.Version || skipped {
		a.targetSince = state.Revision
	}
	a.service, a.inConfig, a.revision = service, inConfig, state.Revision
	if a.changeover != nil {
		a.changeover.SetDrainTimeout(service.DrainTimeout)
		a.step(now, serving.TargetChanged{Version: service.Version})
	}
}

// publish updates the published gate, record, report and status from the control
// state.
func (a *Agent) publish(now time.Time) {
	gate := a.currentGate()
	a.gate.Store(&gate)
	a.node.UpdateSelf(now, a.updateRecord)
	a.publishReport(now, gate)
	a.publishStatus(now)
}

func (a *Agent) currentGate() serving.GateState {
	if a.changeover != nil {
		gate := a.changeover.Gate()
		gate.Leaving = gate.Leaving || a.leaving
		return gate
	}
	return serving.GateState{Plain: true, Open: a.plainOpen && a.inConfig, Leaving: a.leaving}
}

// updateRecord fills in the agent's own gossip record.
func (a *Agent) updateRecord(r *gossip.Record) {
	r.Leaving = a.leaving
	if a.changeover == nil {
		r.State = gossip.StateStarting
		if a.plainOpen {
			r.State = gossip.StateServing
		}
		return
	}
	r.State = a.changeover.State()
	r.Serving = a.changeover.Serving()
	r.Target = a.changeover.Target()
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
	if !isUrgentChange(before.Report, report) {
		// Streams wait on the channel of the report that they sent last, so it is
		// kept until the next urgent change.
		a.report.Store(&publishedReport{Report: report, urgent: before.urgent})
		return
	}
	a.report.Store(&publishedReport{Report: report, urgent: make(chan struct{})})
	close(before.urgent)
}

// isUrgentChange reports whether entries must receive a change at once. A change of
// load alone waits for the next regular report.
func isUrgentChange(before, after wire.Report) bool {
	before.Load = after.Load
	return before != after
}

// Leave begins the planned stop: no new requests are admitted, and other processes
// are notified at once.
func (a *Agent) Leave(ctx context.Context) error {
	return a.opts.Loop.Do(ctx, func(now time.Time) {
		a.leaving = true
		if a.changeover != nil {
			a.step(now, serving.Leaving{})
		}
		a.publish(now)
		a.opts.Logger.Info("leaving", zap.Int64("in_flight", a.inFlight.count()))
	})
}

// Drain waits until no request is in progress and entries have read all responses, or
// ctx ends, and reports whether that is so.
func (a *Agent) Drain(ctx context.Context) bool {
	idle := make(chan struct{})
	a.undelivered.whenIdle(func() { close(idle) })
	select {
	case <-idle:
		return true
	case <-ctx.Done():
		return false
	}
}
