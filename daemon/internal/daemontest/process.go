package daemontest

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/node"
	"chivespindle.example/daemon/wire"
)

// listInterval is the mean interval between reads of the instance list.
const listInterval = 100 * time.Millisecond

// Options configures a Process. Only Self is required.
type Options struct {
	// Self is the instance; PeerAddr is set by NewProcess.
	Self fleet.Instance
	// Incarnation is the start time of the process in Unix milliseconds; 0 means
	// now.
	Incarnation uint64
	Config      *ConfigService // nil: a configuration service that is down
	Instances   *InstanceList  // nil: an empty instance list
	// Speed is the speed of the control loop's clock relative to real time; 0
	// means the real clock. It applies to heartbeats, silence timeouts and the
	// delays before a configuration is activated, but not to traffic.
	Speed int
	// Link carries the process's datagrams; nil means a link that drops nothing.
	Link *Link
}

// Process is a daemon that runs inside the test process, initially without a
// role.
type Process struct {
	Self        fleet.Instance
	Incarnation uint64
	Config      *ConfigService
	Instances   *InstanceList
	Loop        *control.Loop
	Endpoint    *peer.Endpoint
	Node        *node.Node
	Tracer      *telemetry.Tracer
	Logger      *zap.Logger
	Metrics     tally.TestScope
	// Duplicates receives the record of a process that uses the same ID.
	Duplicates chan gossip.Record

	ctx     context.Context
	cancel  context.CancelFunc
	handler peer.Handler
}

// NewProcess binds the endpoint of a process; Run starts it. The process's
// context ends with the spec.
func NewProcess(o Options) *Process {
	ginkgo.GinkgoHelper()
	if o.Config == nil {
		o.Config = NewConfigService(0, "")
		o.Config.SetDown(true)
	}
	if o.Instances == nil {
		o.Instances = NewInstanceList()
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixMilli())
	}
	p := &Process{
		Incarnation: o.Incarnation,
		Config:      o.Config,
		Instances:   o.Instances,
		Loop:        control.New(loopOptions(o.Speed)),
		Tracer:      telemetry.NewTracer("test", nil),
		Logger:      Logger(string(o.Self.ID)),
		Metrics:     tally.NewTestScope("", nil),
		Duplicates:  make(chan gossip.Record, 1),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	ginkgo.DeferCleanup(p.cancel)
	p.Endpoint = newEndpoint(o.Self.Role, o.Self.ID, Handler(p.serve), o.Link)
	p.Self = o.Self
	p.Self.PeerAddr = p.Endpoint.Addr()
	return p
}

// loopOptions returns the options of a control loop whose clock runs at the
// given speed. The clock advances continuously, so the loop does not detect a
// pause of the process.
func loopOptions(speed int) control.Options {
	const every = 5 * time.Millisecond
	if speed == 0 {
		return control.Options{TickInterval: every}
	}
	start := time.Now()
	clock := func() time.Time { return start.Add(time.Duration(speed) * time.Since(start)) }
	return control.Options{TickInterval: every, Clock: clock}
}

// Context returns a context that ends with the process.
func (p *Process) Context() context.Context { return p.ctx }

func (p *Process) serve(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	p.handler.ServeStream(ctx, from, kind, s)
}

// AttachNode creates the process's node. Both callbacks may be nil.
func (p *Process) AttachNode(changed func(time.Time), listed func(time.Time, []fleet.Instance)) {
	if changed == nil {
		changed = func(time.Time) {}
	}
	p.Node = node.New(p.ctx, time.Now(), node.Options{
		Self:         gossip.NewRecord(p.Self, p.Incarnation),
		Loop:         p.Loop,
		Endpoint:     p.Endpoint,
		Config:       p.Config,
		InstanceList: p.Instances,
		ListInterval: listInterval,
		Rand:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:       p.Logger,
		Metrics:      p.Metrics,
		OnChange:     changed,
		OnList:       listed,
		OnDuplicate: func(other gossip.Record) {
			select {
			case p.Duplicates <- other:
			default:
			}
		},
	})
	p.Loop.AddTicker(p.Node)
}

// Run starts the process, including its node if it has one. handler serves the
// streams opened by peers.
func (p *Process) Run(handler peer.Handler) {
	p.handler = handler
	RunUntilEnd(p.untilStopped(p.Endpoint.Run))
	RunUntilEnd(p.untilStopped(p.Loop.Run))
	if p.Node == nil {
		return
	}
	RunUntilEnd(p.untilStopped(p.Node.FollowConfig))
	RunUntilEnd(p.untilStopped(p.Node.FollowInstances))
}

// untilStopped returns f with a context that also ends with the process.
func (p *Process) untilStopped(f func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := context.AfterFunc(p.ctx, cancel)
		defer stop()
		return f(ctx)
	}
}

// Stop stops the process.
func (p *Process) Stop() { p.cancel() }

// ServeNode serves the exchanges that every process serves, whatever its role.
// It is the handler of a process without a role.
func (p *Process) ServeNode(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	switch kind {
	case peer.KindGossip:
		p.Node.ServeGossip(ctx, from, s)
	case peer.KindConfig:
		p.Node.ServeConfig(ctx, from, s)
	}
}

// OnLoop runs f on the control loop and waits until it returns.
func (p *Process) OnLoop(f func(now time.Time)) {
	ginkgo.GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	gomega.Expect(p.Loop.Do(ctx, f)).To(gomega.Succeed())
}

// Revision returns the revision of the active configuration, or 0 if there is
// none.
func (p *Process) Revision() revision.Revision {
	state := p.Node.ActiveConfig()
	if state == nil {
		return 0
	}
	return state.Revision
}

// Counter returns the value of a counter of the process, by its name and tags in
// tally's notation.
func (p *Process) Counter(name string) int64 {
	counter, ok := p.Metrics.Snapshot().Counters()[name]
	if !ok {
		return 0
	}
	return counter.Value()
}

// ActivateConfig makes the process activate a configuration at once, by reports
// from three peers that have it active, and waits until it is active.
func (p *Process) ActivateConfig(number revision.Revision, config string) {
	ginkgo.GinkgoHelper()
	digest := DigestOf(config)
	for _, id := range []fleet.InstanceID{"witness-1", "witness-2", "witness-3"} {
		neighbour := Endpoint(fleet.RoleEntry, id, nil)
		s, err := neighbour.Open(p.ctx, p.Self.PeerAddr, p.Self.ID, peer.KindGossip)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer s.Abort()
		gomega.Expect(s.Send(wire.Gossip{Revision: number, Digest: digest})).To(gomega.Succeed())
	}
	gomega.Eventually(p.Revision, WaitTimeout).Should(gomega.Equal(number))
}
