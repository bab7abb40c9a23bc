package gateway

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/daemon/wire"
)

// answering is a backend whose engines answer at once, with an empty stream.
type answering struct{ sent chan Order }

func (b *answering) Send(_ context.Context, _ *Call, order Order) (Answer, error) {
	b.sent <- order
	return emptyAnswer{}, nil
}

func (*answering) Keep([]placement.Server) {}

func (*answering) Check(context.Context, netip.AddrPort) Liveness { return Alive }

type emptyAnswer struct{}

func (emptyAnswer) Status() int                      { return http.StatusOK }
func (emptyAnswer) NotRun() bool                     { return false }
func (emptyAnswer) Misdirected() bool                { return false }
func (emptyAnswer) PromisesNotRun() bool             { return false }
func (emptyAnswer) Version() placement.ModelVersion  { return 1 }
func (emptyAnswer) Limit() ServerLimit               { return ServerLimit{} }
func (emptyAnswer) Streams() bool                    { return true }
func (emptyAnswer) EndIsFramed() bool                { return true }
func (emptyAnswer) SetDeadline(time.Time)            {}
func (emptyAnswer) Body(int64) ([]byte, error)       { return nil, nil }
func (emptyAnswer) Next() (eventstream.Event, error) { return eventstream.Event{}, io.EOF }
func (emptyAnswer) Close(bool)                       {}

// refusals is a caller that notes how it was refused.
type refusals chan Verdict

func (refusals) Whole(Answer, []byte) error { return nil }
func (refusals) Begin(Answer) error         { return nil }
func (refusals) Write([]byte) error         { return nil }
func (refusals) Complete() error            { return nil }
func (r refusals) Refuse(v Verdict)         { r <- v }

var _ = Describe("A call that no engine can take now", func() {
	const (
		routeAim = 2 * time.Second
		timeout  = 30 * time.Second
	)
	var (
		g       *Gateway
		backend *answering
		caller  refusals
		lines   *observer.ObservedLogs
	)
	holds := netip.MustParseAddr("10.0.1.1")
	empty := netip.MustParseAddr("10.0.1.2")

	tell := func(addr netip.Addr, r wire.Replica) {
		r.Addr, r.Incarnation = addr, 1
		now := time.Now()
		g.heard(now, nearEntry, wire.Beat{ID: fleet.InstanceID(addr.String()), Role: fleet.RoleAgent, Replicas: []wire.Replica{r}})
		g.publish(now)
	}

	BeforeEach(func() {
		g, _ = newGateway()
		var core zapcore.Core
		core, lines = observer.New(zap.InfoLevel)
		g.log = newRequestLog(start, zap.New(core), tally.NoopScope)
		backend = &answering{sent: make(chan Order, 1)}
		g.opts.Backend = backend
		caller = make(refusals, 1)
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3))
		s.Config.Services[0].Engine = &enginemodel.Profile{
			Slots: 16, Layers: 4, StepTime: 10 * time.Millisecond, StepsPerPass: 5, MeanOutputTokens: 90}
		s.Config.Routes[0].TargetLatency = routeAim
		s.Config.Routes[0].Timeout = timeout
		g.adopt(time.Now(), s, "platform")
		tell(holds, wire.Replica{Seq: 1, Loaded: 1})
		tell(empty, wire.Replica{Seq: 1, Changing: true})
	})

	// occupy fills the engine that holds weights.
	occupy := func() {
		for {
			t, _ := g.board.Choose(time.Now(), placement.Request{
				Service: "pool", Engine: g.table.Service("pool").Engine, TargetLatency: routeAim, TimeLeft: timeout})
			if t == nil {
				return
			}
		}
	}

	serve := func() {
		call := &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(), Patience: timeout, LastEvent: -1}
		go g.Serve(context.Background(), call, caller)
	}

	isHeld := func() int { return lines.FilterMessage("held").Len() }

	It("is refused at once if no other engine is expected", func() {
		occupy()
		serve()
		Eventually(caller).Should(Receive(HaveField("Reason", "full")))
		Expect(isHeld()).To(BeZero())
	})

	// After a loss of power the engines load within a few 100 ms of each other.
	// The first one is full at once. A caller refused then comes back a second
	// later, when its answer is late; held for the next engine, it is on time.
	It("waits for an engine that is expected while it can still be on time", func() {
		occupy()
		tell(empty, wire.Replica{Seq: 2, Changing: true, ReadyInMS: 300})
		serve()
		Eventually(isHeld).Should(Equal(1))
		tell(empty, wire.Replica{Seq: 3, Loaded: 1})
		Eventually(backend.sent).Should(Receive(HaveField("Server.ID", fleet.InstanceID("i-2"))))
	})

	// Engines that change their version one after the other finish their streams
	// first. Callers that waited for one of them would be refused late.
	It("is refused at once if the next engine is ready too late for it", func() {
		occupy()
		tell(empty, wire.Replica{Seq: 2, Changing: true, ReadyInMS: 2500})
		serve()
		Eventually(caller).Should(Receive(HaveField("Reason", "full")))
		Expect(isHeld()).To(BeZero())
	})
})

var _ = Describe("A call whose time is up", func() {
	const aim = 200 * time.Millisecond
	var g *Gateway
	var caller refusals

	BeforeEach(func() {
		g, _ = newGateway()
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3))
		s.Config.Services[0].Engine = nil
		s.Config.Routes[0].TargetLatency = aim
		g.adopt(start, s, "platform")
		g.publish(start)
		caller = make(refusals, 1)
	})

	// fail has calls end at their deadline at server i-1, which gave something
	// last at progress, and returns how many of the next it is given.
	fail := func(progress time.Time) int {
		deadline := at(time.Second)
		call := &Call{ID: "c", Arrived: start, LastEvent: -1}
		j := &job{g: g, call: call, reply: newReply(g, call, caller), mayHaveRun: true, view: g.view.Load(),
			route: &g.snapshot.Config.Routes[0], service: g.table.Service("pool"), deadline: deadline, progressAt: progress}
		for range 50 {
			ticket, _ := g.board.Choose(start, placement.Request{Service: "pool", TimeLeft: time.Second,
				Exclude: []fleet.InstanceID{"i-2"}})
			j.failed(context.Background(), deadline, ticket, failure.Timeout.New("read the answer"))
		}
		j.ended(context.Background(), deadline, "stream_broken")
		chosen := 0
		for range 50 {
			ticket, _ := g.board.Choose(deadline, placement.Request{Service: "pool", TimeLeft: time.Second})
			if ticket.Server.ID == "i-1" {
				chosen++
			}
			ticket.End(deadline, placement.Succeeded)
		}
		return chosen
	}

	// A caller came back late, and the time that it waits ends in the middle of
	// its stream: the read of the next event fails a moment before the context
	// ends. The server did nothing wrong. Counted as its failure, a burst of late
	// callers would have sound engines left out.
	It("counts neither as its server's failure nor as a broken stream", func() {
		Expect(fail(at(950 * time.Millisecond))).To(BeNumerically(">", 10))
		Expect(caller).To(Receive(HaveField("Code", TimedOut)))
	})

	// A server hangs. Requests that may not be repeated wait for it until their
	// time is up, and nobody else would find it out.
	It("counts as its server's failure if that gave nothing for long", func() {
		Expect(fail(start)).To(BeZero())
	})
})

// leaving is a backend that declines each call, while its caller leaves.
type leaving struct {
	leave func()
	sent  int
}

func (b *leaving) Send(context.Context, *Call, Order) (Answer, error) {
	b.sent++
	b.leave()
	return declinedAnswer{}, nil
}

func (*leaving) Keep([]placement.Server) {}

func (*leaving) Check(context.Context, netip.AddrPort) Liveness { return Alive }

type declinedAnswer struct{ emptyAnswer }

func (declinedAnswer) NotRun() bool { return true }

var _ = Describe("A call that a server declines", func() {
	// Guards against a place that is taken at the next server for a caller who has
	// left.
	It("goes to no other server once its caller has left", func() {
		g, _ := newGateway()
		ctx, leave := context.WithCancel(context.Background())
		backend := &leaving{leave: leave}
		g.opts.Backend = backend
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3))
		s.Config.Routes[0].TargetLatency, s.Config.Routes[0].Timeout, s.Config.Routes[0].MaxAttempts = time.Second, time.Minute, 2
		g.adopt(time.Now(), s, "platform")
		g.publish(time.Now())
		caller := make(refusals, 1)
		g.Serve(ctx, &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(), LastEvent: -1}, caller)
		Expect(backend.sent).To(Equal(1))
		Expect(caller).NotTo(Receive(), "the answer to a caller who has left")
	})
})

// panicking is a backend that fails as no backend should.
type panicking struct{ answering }

func (*panicking) Send(context.Context, *Call, Order) (Answer, error) { panic("out of range") }

var _ = Describe("A call at which the program panics", func() {
	// Guards against a panic that nobody sees, since the HTTP server's own log is left out.
	It("is logged and counted, and the panic goes on", func() {
		g, _ := newGateway()
		core, lines := observer.New(zap.InfoLevel)
		metrics := tally.NewTestScope("", nil)
		g.log = newRequestLog(start, zap.New(core), metrics)
		g.opts.Backend = &panicking{}
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2))
		s.Config.Routes[0].TargetLatency, s.Config.Routes[0].Timeout = time.Second, time.Minute
		g.adopt(time.Now(), s, "platform")
		g.publish(time.Now())
		serve := func() {
			g.Serve(context.Background(), &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(), LastEvent: -1}, make(refusals, 1))
		}
		Expect(serve).To(PanicWith("out of range"))
		Expect(lines.FilterMessage("request_panicked").All()).To(HaveLen(1))
		Expect(metrics.Snapshot().Counters()).To(HaveKey("calls_panicked+"))
	})
})
