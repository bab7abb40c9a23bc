package gateway

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/daemon/mesh"
)

// limitedEngines respond immediately. Some advertise a limit. They are shared by all entries.
type limitedEngines struct {
	mu      sync.Mutex
	limits  map[fleet.InstanceID]float64
	reached map[fleet.InstanceID]int
}

func (*limitedEngines) Retain([]placement.Server) {}

func (*limitedEngines) CheckLiveness(context.Context, netip.AddrPort) Liveness { return Alive }

func (e *limitedEngines) Send(_ context.Context, _ *Call, o SendOptions) (Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reached[o.Server.ID]++
	perSecond, isLimited := e.limits[o.Server.ID]
	return limitedResponse{limit: ServerLimit{Advertised: isLimited, PerSecond: perSecond}}, nil
}

func (e *limitedEngines) reachedAt(id fleet.InstanceID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reached[id]
}

type limitedResponse struct {
	emptyResponse
	limit       ServerLimit
	misdirected bool
	status      int // 200 if it is 0
}

func (r limitedResponse) Status() int { return cmp.Or(r.status, http.StatusOK) }

func (r limitedResponse) Misdirected() bool { return r.misdirected }

func (r limitedResponse) State() ServerState { return ServerState{Limit: r.limit} }

var _ = Describe("A server that advertises a limit to twelve entries", func() {
	const entries, perSecond, requests = 12, 1.0, 10
	const allowed = 1.5*4*perSecond + 5 // in any four seconds

	// Guards against entries that each keep to a limit and exceed it together.
	It("gets no more than its limit from all of them together", func() {
		backend := &limitedEngines{limits: map[fleet.InstanceID]float64{"i-0": perSecond}, reached: make(map[fleet.InstanceID]int)}
		c := manyRoutes(1, 1)
		path := c.Routes[1].Prefix
		region := startRegionWith(backend, c, entries, 2)
		for _, m := range region.members {
			Eventually(func() bool {
				m.serveCall(path, "before")
				return len(m.gateway.limits.All(time.Now())) > 0
			}, "10s").Should(BeTrue())
		}
		for _, m := range region.members {
			_ = m.loop.Do(context.Background(), func(now time.Time) { m.gateway.publish(now) })
		}
		before := backend.reachedAt("i-0")
		for range requests {
			for _, m := range region.members {
				Expect(m.serveCall(path, "then")).To(Equal(ErrorResponse{}))
			}
		}
		Expect(float64(backend.reachedAt("i-0") - before)).To(BeNumerically("<=", allowed))
	})
})

var _ = Describe("The limit that a response advertises", func() {
	var g *Gateway
	const advertised = 1.5

	recordLimit := func(sent time.Time, response limitedResponse) {
		call := &Call{ID: "c"}
		j := &job{g: g, call: call, reply: newReply(g, call, nil)}
		j.recordServerState(sent, placement.Server{ID: "i-1"}, response)
	}
	limit := func() float64 { return g.limits.All(time.Now())["i-1"] }

	BeforeEach(func() {
		g, _ = newGateway()
		recordLimit(time.Now(), limitedResponse{limit: ServerLimit{Advertised: true, PerSecond: advertised}})
		Expect(limit()).To(Equal(advertised))
	})

	// Guards against an overloaded server whose limit is dropped because of the response
	// of another server.
	DescribeTable("is kept", func(response limitedResponse) {
		recordLimit(time.Now().Add(time.Second), response)
		Expect(limit()).To(Equal(advertised))
	},
		Entry("after a malformed one", limitedResponse{limit: ServerLimit{Malformed: "soon"}}),
		Entry("after a response of another server", limitedResponse{misdirected: true}),
		Entry("after a response to a call that did not run", limitedResponse{status: http.StatusServiceUnavailable}),
	)

	It("ends with a response without one to a later request", func() {
		recordLimit(time.Now().Add(-time.Second), limitedResponse{})
		Expect(limit()).To(Equal(advertised))
		recordLimit(time.Now().Add(time.Second), limitedResponse{})
		Expect(limit()).To(BeZero())
	})

	It("is reported to other entries and merged from them", func() {
		report := g.compose(time.Now(), nearEntry, mesh.First)
		Expect(report.Limits).To(HaveLen(1))
		other, _ := newGateway()
		other.receive(time.Now(), nearEntry, report)
		Expect(other.limits.All(time.Now())).To(HaveKeyWithValue(fleet.InstanceID("i-1"), advertised))
		Expect(g.compose(time.Now(), nearEntry, mesh.Complete).Limits).To(BeEmpty())
	})
})

// Guards against callers that wait for a server that this entry may not use yet.
var _ = Describe("A call for which only servers with an exhausted limit are left", func() {
	It("is refused immediately as not run", func() {
		g, _ := newGateway()
		now := time.Now()
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2))
		s.Config.Routes[0].Timeout = time.Minute
		g.adopt(now, s, "platform")
		g.limits.RecordAdvertised(now, "i-1", 1)
		g.publish(now)
		caller := make(refusalRecorder, 1)
		g.Serve(context.Background(), &Call{ID: "c", Host: "a.example", Path: "/", Arrived: now, Timeout: time.Minute, LastEvent: -1}, caller)
		Expect(caller).To(Receive(And(HaveField("Code", Unavailable), HaveField("Reason", "limited"), HaveField("RetryAfter", BeNumerically(">", 0)))))
	})
})

// Guards against a limited server that gets all requests until the control loop runs, which
// may take long on a busy machine.
var _ = Describe("A limit that a response advertises", func() {
	It("applies to the next call", func() {
		g, _ := newGateway()
		now := time.Now()
		g.adopt(now, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
		g.publish(now)
		call := &Call{ID: "c"}
		j := &job{g: g, call: call, reply: newReply(g, call, nil)}
		j.recordServerState(now, placement.Server{ID: "i-1"}, limitedResponse{limit: ServerLimit{Advertised: true, PerSecond: 1}})
		assignment, refusal := g.balancer.Choose(time.Now(), placement.Request{Service: "pool", TimeLeft: time.Minute})
		Expect(assignment).To(BeNil())
		Expect(refusal.Reason).To(Equal(placement.Limited))
	})
})
