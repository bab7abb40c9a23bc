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

// listEvery is the mean pause between reads of the instance list.
const listEvery = 100 * time.Millisecond

// Options of a Process. Only Self is needed.
type Options struct {
	// Self is the instance; PeerAddr is filled in.
	Self fleet.Instance
	// Incarnation is the start of the process in Unix milliseconds.
	Incarnation uint64
	Text        *Text // nil: a service that is down
	List        *List // nil: an empty one
	// Speed is how many times faster than the real one the clock of the
	// control loop goes; 0: it is the real one. Heartbeats, silence and the
	// waits before a text is taken follow it, traffic does not.
	Speed int
	// Link carries the process's datagrams; nil: a whole one.
	Link *Link
}

// Process is a daemon in the test's own process, without its role at first.
type Process struct {
	Self        fleet.Instance
	Incarnation uint64
	Text        *Text
	List        *List
	Loop        *control.Loop
	Endpoint    *peer.Endpoint
	Node        *node.Node
	Tracer      *telemetry.Tracer
	Logger      *zap.Logger
	Metrics     tally.TestScope
	// Duplicates gets the record of each process that uses this one's id.
	Duplicates chan gossip.Record

	ctx     context.Context
	cancel  context.CancelFunc
	handler peer.Handler
}

// NewProcess binds the endpoint of a process, which runs after Run. Its
// context ends with the spec.
func NewProcess(o Options) *Process {
	ginkgo.GinkgoHelper()
	if o.Text == nil {
		o.Text = NewText(0, "")
		o.Text.SetDown(true)
	}
	if o.List == nil {
		o.List = NewList()
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixMilli())
	}
	p := &Process{
		Incarnation: o.Incarnation,
		Text:        o.Text,
		List:        o.List,
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

// loopOptions make a clock that is speed times as fast. It never stands still
// for longer than a tick, so nothing takes it for a pause.
func loopOptions(speed int) control.Options {
	const every = 5 * time.Millisecond
	if speed == 0 {
		return control.Options{TickInterval: every}
	}
	start := time.Now()
	clock := func() time.Time { return start.Add(time.Duration(speed) * time.Since(start)) }
	return control.Options{TickInterval: every, Clock: clock}
}

// Context ends with the process.
func (p *Process) Context() context.Context { return p.ctx }

func (p *Process) serve(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	p.handler.ServeStream(ctx, from, kind, s)
}

// AttachNode makes the node. Both callbacks may be nil.
func (p *Process) AttachNode(changed func(time.Time), listed func(time.Time, []fleet.Instance)) {
	if changed == nil {
		changed = func(time.Time) {}
	}
	p.Node = node.New(p.ctx, time.Now(), node.Options{
		Self:      gossip.NewRecord(p.Self, p.Incarnation),
		Loop:      p.Loop,
		Endpoint:  p.Endpoint,
		Config:    p.Text,
		List:      p.List,
		ListEvery: listEvery,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:    p.Logger,
		Metrics:   p.Metrics,
		OnChange:  changed,
		OnList:    listed,
		OnDuplicate: func(other gossip.Record) {
			select {
			case p.Duplicates <- other:
			default:
			}
		},
	})
	p.Loop.AddTicker(p.Node)
}

// Run runs the process, with its node if it has one. Streams of peers go to
// handler.
func (p *Process) Run(handler peer.Handler) {
	p.handler = handler
	RunUntilEnd(p.within(p.Endpoint.Run))
	RunUntilEnd(p.within(p.Loop.Run))
	if p.Node == nil {
		return
	}
	RunUntilEnd(p.within(p.Node.FollowText))
	RunUntilEnd(p.within(p.Node.FollowList))
}

// within ends f with the process too.
func (p *Process) within(f func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := context.AfterFunc(p.ctx, cancel)
		defer stop()
		return f(ctx)
	}
}

// Stop ends the process.
func (p *Process) Stop() { p.cancel() }

// ServeNode serves the exchanges that every process serves. It is the handler
// of a process without a role.
func (p *Process) ServeNode(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	switch kind {
	case peer.KindGossip:
		p.Node.ServeGossip(ctx, from, s)
	case peer.KindConfig:
		p.Node.ServeConfig(ctx, from, s)
	}
}

// OnLoop runs f on the control loop and waits for it.
func (p *Process) OnLoop(f func(now time.Time)) {
	ginkgo.GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), Patience)
	defer cancel()
	gomega.Expect(p.Loop.Do(ctx, f)).To(gomega.Succeed())
}

// Revision returns the revision in force, 0 for none.
func (p *Process) Revision() revision.Revision {
	state := p.Node.InForce()
	if state == nil {
		return 0
	}
	return state.Revision
}

// Counter returns a counter of the process's metrics, by its name and tags as
// tally prints them.
func (p *Process) Counter(name string) int64 {
	counter, ok := p.Metrics.Snapshot().Counters()[name]
	if !ok {
		return 0
	}
	return counter.Value()
}

// TakeText has three peers of the process say that they have a text in force,
// so that the process takes it at once, and waits until it has.
func (p *Process) TakeText(number revision.Revision, text string) {
	ginkgo.GinkgoHelper()
	digest := DigestOf(text)
	for _, id := range []fleet.InstanceID{"witness-1", "witness-2", "witness-3"} {
		witness := Endpoint(fleet.RoleEntry, id, nil)
		s, err := witness.Open(p.ctx, p.Self.PeerAddr, p.Self.ID, peer.KindGossip)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer s.Abort()
		gomega.Expect(s.Send(wire.Gossip{Revision: number, Digest: digest})).To(gomega.Succeed())
	}
	gomega.Eventually(p.Revision, Patience).Should(gomega.Equal(number))
}
