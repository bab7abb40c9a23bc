package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/coldstart"
	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/priority"
	"chivespindle.example/core/routing"
	"chivespindle.example/daemon/wire"
)

// orderedBackend records the levels of the calls that it gets, in order. Each returns a
// stream of one event.
type orderedBackend struct {
	emptyStreamBackend
	mu     sync.Mutex
	levels []priority.Level
	// failures is how many of the first calls break off.
	failures int
}

func (b *orderedBackend) Send(_ context.Context, _ *Call, opts SendOptions) (Response, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.levels = append(b.levels, opts.Level)
	if len(b.levels) <= b.failures {
		return nil, errReset
	}
	return &scriptedResponse{outcome: outcome{isStream: true, ids: []int64{0}, end: io.EOF}}, nil
}

func (b *orderedBackend) received() []priority.Level {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]priority.Level(nil), b.levels...)
}

var _ = Describe("Calls of several levels while the engines are full", func() {
	const target, timeout = 2 * time.Second, 30 * time.Second
	var (
		g        *Gateway
		backend  *orderedBackend
		lines    *observer.ObservedLogs
		metrics  tally.TestScope
		occupied []*placement.Assignment
	)

	route := func(name, prefix string, level int) routing.Route {
		return routing.Route{Name: name, Host: "a.example", Prefix: prefix, Kind: routing.Stream, Priority: level, Timeout: timeout,
			TargetLatency: target, MaxAttempts: 1, Targets: []routing.Target{{Service: "pool", Weight: 1}}}
	}

	BeforeEach(func() {
		g, _ = newGateway()
		core, observed := observer.New(zap.InfoLevel)
		lines, metrics = observed, tally.NewTestScope("", nil)
		g.log = newRequestLog(start, zap.New(core), metrics)
		backend, occupied = &orderedBackend{}, nil
		g.opts.Backend = backend
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3))
		s.Config.Services[0].Engine = &enginemodel.Profile{
			Slots: 16, Layers: 4, StepTime: 10 * time.Millisecond, StepsPerPass: 5, MeanOutputTokens: 90}
		s.Config.Routes = []routing.Route{route("diagnosis", "/d/", 0), route("lookup", "/l/", 2)}
		g.adopt(time.Now(), s, "platform")
		for _, listed := range s.Servers {
			g.receive(time.Now(), nearEntry, wire.Heartbeat{ID: fleet.InstanceID(listed.Addr.Addr().String()), Role: fleet.RoleAgent,
				Replicas: []wire.Replica{{Seq: 1, Loaded: 1, Addr: listed.Addr.Addr(), Incarnation: 1}}})
		}
		g.publish(time.Now())
	})

	occupy := func() {
		for {
			a, _ := g.balancer.Choose(time.Now(), placement.Request{
				Service: "pool", Engine: g.table.Service("pool").Engine, TargetLatency: target, TimeLeft: timeout})
			if a == nil {
				return
			}
			occupied = append(occupied, a)
		}
	}

	free := func() {
		for _, a := range occupied {
			a.End(time.Now(), placement.Succeeded)
		}
	}

	serve := func(path string) refusalRecorder {
		caller := make(refusalRecorder, 1)
		call := &Call{ID: path, Host: "a.example", Path: path, Arrived: time.Now(), Timeout: timeout, LastEvent: -1}
		go g.Serve(context.Background(), call, caller)
		return caller
	}

	held := func() int { return lines.FilterMessage("held").Len() }

	// Guards against a slot that becomes free and goes to a less urgent call, whichever
	// polls first.
	It("wait for room, and the most urgent is placed first", func() {
		g.demand("pool").Arrived(time.Now(), 0)
		occupy()
		serve("/l/1")
		Eventually(held).Should(Equal(1))
		serve("/d/1")
		Eventually(held).Should(Equal(2))
		free()
		Eventually(backend.received).Should(Equal([]priority.Level{0, 1}))
		Expect(lines.FilterMessage("held").All()[1].ContextMap()).To(HaveKeyWithValue("priority_level", uint8(0)))
		Eventually(func() int64 { return metrics.Snapshot().Counters()["calls_by_level+level=1,outcome=held"].Value() }).Should(Equal(int64(1)))
	})

	// Guards against a call that no engine can hold and that keeps less urgent ones waiting.
	It("are refused at once if they need more memory than an engine has", func() {
		g.demand("pool").Arrived(time.Now(), 2)
		g.table.Service("pool").Engine.MemoryTokens = 10_000
		caller := make(refusalRecorder, 1)
		g.Serve(context.Background(), &Call{ID: "large", Host: "a.example", Path: "/d/1", Arrived: time.Now(), Timeout: timeout,
			PromptTokens: 10, MaxTokens: 9_991, LastEvent: -1}, caller)
		Expect(caller).To(Receive(And(HaveField("Code", Unavailable), HaveField("Reason", "too_large"))))
		Expect(held()).To(BeZero())
		Expect(g.demand("pool").Limits(time.Now(), 2).ReservedSlots).To(BeZero(), "slots reserved since room seems short")
	})

	// Guards against more calls that wait here than can be placed.
	It("are shed from the least urgent level up, with a Retry-After that can be met", func() {
		g.demand("pool").Arrived(time.Now(), 0)
		occupy()
		lookup := serve("/l/1")
		Eventually(held).Should(Equal(1))
		for range 4 {
			serve("/d/1")
		}
		var refusal ErrorResponse
		Eventually(lookup).Should(Receive(&refusal))
		Expect(refusal.Code).To(Equal(Unavailable))
		Expect(refusal.Reason).To(Equal("gave_way"))
		Expect(refusal.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", timeout/3)))
		Expect(lines.FilterMessage("not_placed").Len()).To(Equal(1))
		free()
		Eventually(backend.received).Should(HaveLen(4))
	})

	// Guards against calls that yield to one that is over, while its caller does not read the
	// response.
	It("do not yield to a call whose refusal is being written", func() {
		call := &Call{ID: "/d/1", Host: "a.example", Path: "/d/1", Arrived: time.Now(), Timeout: timeout, LastEvent: -1}
		caller := make(refusalRecorder) // blocks until the response is read
		j := &job{g: g, call: call, reply: newReply(g, call, caller), view: g.view.Load()}
		_, ok := j.admit()
		Expect(ok).To(BeTrue())
		less := g.demand("pool").NewRequest(time.Now(), 1, false)
		Expect(j.wait(time.Now(), false)).To(BeTrue())
		Expect(less.Yields(time.Now(), false)).To(BeTrue())
		go j.giveUp("quarantined", time.Second)
		Eventually(func() bool { return less.Yields(time.Now(), false) }).Should(BeFalse())
		Eventually(caller).Should(Receive())
	})

	// Guards against a call that is held although no server may take it before the hold ends.
	It("are refused at once if all servers are cold for longer than they may wait", func() {
		c := *g.snapshot.Config
		c.Version++
		c.Services[0].ColdStart = &routing.ColdStart{Duration: time.Minute, PerSecond: 17}
		s := snapshot(6, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3))
		s.Config, s.OperatorAsOf = &c, 6
		for i := range s.Servers {
			s.Servers[i].Revision, s.Servers[i].StatesColdLeft, s.Servers[i].ColdLeft = 6, true, time.Minute
		}
		g.started = time.Now().Add(-time.Minute)
		g.adopt(time.Now(), s, "platform")
		g.publish(time.Now())
		g.balancer.SetColdQuotas(time.Now(), map[fleet.InstanceID]coldstart.Quota{"i-1": {}, "i-2": {}})
		g.demand("pool").Arrived(time.Now(), 0)
		Eventually(serve("/l/1")).Should(Receive(HaveField("Reason", "cold")))
		Expect(held()).To(BeZero())
	})

	// Guards against a retry that servers rank below others of its level.
	It("keep their level when they are retried", func() {
		backend.failures = 1
		g.table.Match("a.example", "/l/").MaxAttempts = 2
		g.table.Match("a.example", "/l/").Resumable = true
		serve("/l/1")
		Eventually(backend.received).Should(Equal([]priority.Level{1, 1}))
	})

	// Guards against a mechanism whose worth cannot be measured.
	It("are refused at once if the mechanism is disabled, and keep their level", func() {
		g.opts.Disabled.Priorities = true
		serve("/d/1")
		Eventually(backend.received).Should(HaveLen(1))
		occupy()
		Eventually(serve("/d/2")).Should(Receive(HaveField("Reason", "full")))
		Expect(held()).To(BeZero())
	})

	// Guards against a configuration with priorities that servers do not know.
	It("have priorities in range, and others are logged and counted once for a configuration", func() {
		core, observed := observer.New(zap.InfoLevel)
		g.opts.Logger, g.opts.Metrics = zap.New(core), metrics
		c := *g.snapshot.Config
		c.Version++
		c.Routes = []routing.Route{route("diagnosis", "/d/", -4), route("lookup", "/l/", 12)}
		for later := range catalog.Revision(2) {
			s := snapshot(6+later, server("i-1", "10.0.1.1:80", 2))
			s.Config, s.OperatorAsOf = &c, 6+later
			g.adopt(time.Now(), s, "platform")
		}
		Expect(observed.FilterMessage("priorities_out_of_range").Len()).To(Equal(1))
		Expect(metrics.Snapshot().Counters()["priorities_out_of_range+"].Value()).To(Equal(int64(2)))
	})
})
