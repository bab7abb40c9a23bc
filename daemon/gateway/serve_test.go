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
	"chivespindle.example/core/memlimit"
	"chivespindle.example/core/placement"
	"chivespindle.example/daemon/wire"
)

// emptyStreamBackend is a backend whose engines return an empty stream immediately.
type emptyStreamBackend struct{ sent chan SendOptions }

func (b *emptyStreamBackend) Send(_ context.Context, _ *Call, opts SendOptions) (Response, error) {
	b.sent <- opts
	return emptyResponse{}, nil
}

func (*emptyStreamBackend) Retain([]placement.Server) {}

func (*emptyStreamBackend) CheckLiveness(context.Context, netip.AddrPort) Liveness { return Alive }

type emptyResponse struct{}

func (emptyResponse) Status() int                      { return http.StatusOK }
func (emptyResponse) NotRun() bool                     { return false }
func (emptyResponse) Misdirected() bool                { return false }
func (emptyResponse) ImpliesNotRun() bool              { return false }
func (emptyResponse) Version() placement.ModelVersion  { return 1 }
func (emptyResponse) State() ServerState               { return ServerState{} }
func (emptyResponse) IsEventStream() bool              { return true }
func (emptyResponse) EndIsFramed() bool                { return true }
func (emptyResponse) SetDeadline(time.Time)            {}
func (emptyResponse) Read([]byte) (int, error)         { return 0, io.EOF }
func (emptyResponse) Next() (eventstream.Event, error) { return eventstream.Event{}, io.EOF }
func (emptyResponse) Close(bool)                       {}

func (emptyResponse) Body(int64, *memlimit.Hold) ([]byte, error) { return nil, nil }

// refusalRecorder is a caller that records the error response it gets.
type refusalRecorder chan ErrorResponse

func (refusalRecorder) SetWriteDeadline(time.Time)           {}
func (refusalRecorder) WriteResponse(Response, []byte) error { return nil }
func (refusalRecorder) Begin(Response) error                 { return nil }
func (refusalRecorder) Write([]byte) error                   { return nil }
func (refusalRecorder) Complete() error                      { return nil }
func (r refusalRecorder) Refuse(v ErrorResponse)             { r <- v }

var _ = Describe("A call while all engines are full", func() {
	const (
		routeAim = 2 * time.Second
		timeout  = 30 * time.Second
	)
	var (
		g       *Gateway
		backend *emptyStreamBackend
		caller  refusalRecorder
		lines   *observer.ObservedLogs
	)
	holds := netip.MustParseAddr("10.0.1.1")
	empty := netip.MustParseAddr("10.0.1.2")

	report := func(addr netip.Addr, r wire.Replica) {
		r.Addr, r.Incarnation = addr, 1
		now := time.Now()
		g.receive(now, nearEntry, wire.Heartbeat{ID: fleet.InstanceID(addr.String()), Role: fleet.RoleAgent, Replicas: []wire.Replica{r}})
		g.publish(now)
	}

	BeforeEach(func() {
		g, _ = newGateway()
		var core zapcore.Core
		core, lines = observer.New(zap.InfoLevel)
		g.log = newRequestLog(start, zap.New(core), tally.NoopScope)
		backend = &emptyStreamBackend{sent: make(chan SendOptions, 1)}
		g.opts.Backend = backend
		caller = make(refusalRecorder, 1)
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3))
		s.Config.Services[0].Engine = &enginemodel.Profile{
			Slots: 16, Layers: 4, StepTime: 10 * time.Millisecond, StepsPerPass: 5, MeanOutputTokens: 90}
		s.Config.Routes[0].TargetLatency = routeAim
		s.Config.Routes[0].Timeout = timeout
		g.adopt(time.Now(), s, "platform")
		report(holds, wire.Replica{Seq: 1, Loaded: 1})
		report(empty, wire.Replica{Seq: 1, Reloading: true})
	})

	// occupy fills the engine that has weights loaded.
	occupy := func() {
		for {
			t, _ := g.balancer.Choose(time.Now(), placement.Request{
				Service: "pool", Engine: g.table.Service("pool").Engine, TargetLatency: routeAim, TimeLeft: timeout})
			if t == nil {
				return
			}
		}
	}

	serve := func() {
		call := &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(), Timeout: timeout, LastEvent: -1}
		go g.Serve(context.Background(), call, caller)
	}

	heldCalls := func() int { return lines.FilterMessage("held").Len() }

	It("is refused immediately if no other engine is expected", func() {
		occupy()
		serve()
		Eventually(caller).Should(Receive(HaveField("Reason", "full")))
		Expect(heldCalls()).To(BeZero())
	})

	// After a power failure the engines finish loading within a few 100 ms of each
	// other, and the first one is full immediately. A caller refused then retries a
	// second later and is answered late; held for the next engine, it is on time.
	It("waits for an expected engine while it can still be on time", func() {
		occupy()
		report(empty, wire.Replica{Seq: 2, Reloading: true, ReadyInMS: 300})
		serve()
		Eventually(heldCalls).Should(Equal(1))
		report(empty, wire.Replica{Seq: 3, Loaded: 1})
		Eventually(backend.sent).Should(Receive(HaveField("Server.ID", fleet.InstanceID("i-2"))))
	})

	// Engines that change their version one after the other finish their streams
	// first. Callers that waited for one of them would be refused late.
	It("is refused immediately if the next engine is ready too late", func() {
		occupy()
		report(empty, wire.Replica{Seq: 2, Reloading: true, ReadyInMS: 2500})
		serve()
		Eventually(caller).Should(Receive(HaveField("Reason", "full")))
		Expect(heldCalls()).To(BeZero())
	})
})

var _ = Describe("A call that reaches its deadline", func() {
	const aim = 200 * time.Millisecond
	var g *Gateway
	var caller refusalRecorder

	BeforeEach(func() {
		g, _ = newGateway()
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3))
		s.Config.Services[0].Engine = nil
		s.Config.Routes[0].TargetLatency = aim
		g.adopt(start, s, "platform")
		g.publish(start)
		caller = make(refusalRecorder, 1)
	})

	// fail ends calls at server i-1 at their deadline, the server having made its last
	// progress at the given time, and returns how many of the next calls it gets.
	fail := func(progress time.Time) int {
		deadline := at(time.Second)
		call := &Call{ID: "c", Arrived: start, LastEvent: -1}
		j := &job{g: g, call: call, reply: newReply(g, call, caller), mayHaveRun: true, view: g.view.Load(),
			route: &g.snapshot.Config.Routes[0], service: g.table.Service("pool"), deadline: deadline, progressAt: progress}
		for range 50 {
			ticket, _ := g.balancer.Choose(start, placement.Request{Service: "pool", TimeLeft: time.Second,
				Exclude: []fleet.InstanceID{"i-2"}})
			j.endFailedAttempt(context.Background(), deadline, ticket, failure.Timeout.New("read the answer"))
		}
		j.endCall(context.Background(), deadline, "stream_broken")
		chosen := 0
		for range 50 {
			ticket, _ := g.balancer.Choose(deadline, placement.Request{Service: "pool", TimeLeft: time.Second})
			if ticket.Server.ID == "i-1" {
				chosen++
			}
			ticket.End(deadline, placement.Succeeded)
		}
		return chosen
	}

	// The deadline of a late retry passes in the middle of its stream: the read of the
	// next event fails a moment before the context ends, which is not the server's
	// fault. If it counted as such, a burst of late callers would take healthy engines
	// out of use.
	It("counts neither as its server's failure nor as a broken stream", func() {
		Expect(fail(at(950 * time.Millisecond))).To(BeNumerically(">", 10))
		Expect(caller).To(Receive(HaveField("Code", TimedOut)))
	})

	// Guards against a hung server that is not detected: calls that may not be retried
	// wait for it until their deadline.
	It("counts as its server's failure after a long time without progress", func() {
		Expect(fail(start)).To(BeZero())
	})
})

// decliningBackend is a backend that declines each call while its caller disconnects.
type decliningBackend struct {
	disconnect func()
	sent       int
}

func (b *decliningBackend) Send(context.Context, *Call, SendOptions) (Response, error) {
	b.sent++
	b.disconnect()
	return declinedResponse{}, nil
}

func (*decliningBackend) Retain([]placement.Server) {}

func (*decliningBackend) CheckLiveness(context.Context, netip.AddrPort) Liveness { return Alive }

type declinedResponse struct{ emptyResponse }

func (declinedResponse) NotRun() bool { return true }

var _ = Describe("A call that a server declines", func() {
	// Guards against a slot that is taken at the next server for a caller that has
	// disconnected.
	It("is not sent to another server once its caller has disconnected", func() {
		g, _ := newGateway()
		ctx, leave := context.WithCancel(context.Background())
		backend := &decliningBackend{disconnect: leave}
		g.opts.Backend = backend
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3))
		s.Config.Routes[0].TargetLatency, s.Config.Routes[0].Timeout, s.Config.Routes[0].MaxAttempts = time.Second, time.Minute, 2
		g.adopt(time.Now(), s, "platform")
		g.publish(time.Now())
		caller := make(refusalRecorder, 1)
		g.Serve(ctx, &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(), LastEvent: -1}, caller)
		Expect(backend.sent).To(Equal(1))
		Expect(caller).NotTo(Receive(), "response to a caller that has disconnected")
	})
})

var _ = Describe("A call whose time is over when it arrives", func() {
	// Guards against calls that use up the rate limits of servers, to which they are never sent.
	It("is not placed", func() {
		g, _ := newGateway()
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2))
		s.Config.Routes[0].TargetLatency, s.Config.Routes[0].Timeout = time.Second, time.Minute
		g.adopt(time.Now(), s, "platform")
		g.publish(time.Now())
		_, before := g.balancer.LoadsSince(0)
		caller := make(refusalRecorder, 1)
		g.Serve(context.Background(), &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(), Timeout: time.Millisecond, LastEvent: -1}, caller)
		Expect(caller).To(Receive(Equal(ErrorResponse{Code: Unavailable, Reason: "timeout"})))
		Expect(g.balancer.HasChangedSince(before)).To(BeFalse())
	})
})

// panickingBackend is a backend whose Send panics.
type panickingBackend struct{ emptyStreamBackend }

func (*panickingBackend) Send(context.Context, *Call, SendOptions) (Response, error) {
	panic("out of range")
}

var _ = Describe("A call whose handling panics", func() {
	// Guards against a panic that goes unnoticed, since the HTTP server's own log is off.
	It("is logged and counted, and the panic continues", func() {
		g, _ := newGateway()
		core, lines := observer.New(zap.InfoLevel)
		metrics := tally.NewTestScope("", nil)
		g.log = newRequestLog(start, zap.New(core), metrics)
		g.opts.Backend = &panickingBackend{}
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2))
		s.Config.Routes[0].TargetLatency, s.Config.Routes[0].Timeout = time.Second, time.Minute
		g.adopt(time.Now(), s, "platform")
		g.publish(time.Now())
		serve := func() {
			g.Serve(context.Background(), &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(), LastEvent: -1}, make(refusalRecorder, 1))
		}
		Expect(serve).To(PanicWith("out of range"))
		Expect(lines.FilterMessage("request_panicked").All()).To(HaveLen(1))
		Expect(metrics.Snapshot().Counters()).To(HaveKey("calls_panicked+"))
	})
})
