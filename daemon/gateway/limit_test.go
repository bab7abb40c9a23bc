package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
)

// limitedEngines answer at once. Some name a limit. They are shared by all entries.
type limitedEngines struct {
	mu      sync.Mutex
	limits  map[fleet.InstanceID]float64
	reached map[fleet.InstanceID]int
}

func (*limitedEngines) Keep([]placement.Server) {}

func (*limitedEngines) Check(context.Context, netip.AddrPort) Liveness { return Alive }

func (e *limitedEngines) Send(_ context.Context, _ *Call, o Order) (Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reached[o.Server.ID]++
	perSecond, named := e.limits[o.Server.ID]
	return limitedAnswer{limit: ServerLimit{Named: named, PerSecond: perSecond}}, nil
}

func (e *limitedEngines) reachedAt(id fleet.InstanceID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reached[id]
}

type limitedAnswer struct {
	emptyAnswer
	limit ServerLimit
}

func (a limitedAnswer) Limit() ServerLimit { return a.limit }

// followedBy starts entries of one region in front of engines that backend stands for.
func followedBy(backend Backend, entries, engineCount int) *fleetOf {
	p := newPublisher(manyRoutes(1, 1))
	for i := range engineCount {
		p.register(&catalog.Server{ID: fleet.InstanceID(fmt.Sprintf("i-%d", i)), Service: "pool", Zone: "sharada", Slots: 16,
			Loaded: 1, Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.9.%d:80", i+1))})
	}
	region := startRegion(p, entries)
	region.haveInForce(1)
	for _, m := range region.members {
		_ = m.loop.Do(context.Background(), func(time.Time) { m.gateway.opts.Backend = backend })
	}
	return region
}

var _ = Describe("A server that names a limit to twelve entries", func() {
	const entries, perSecond, requests = 12, 1.0, 10
	const allowed = 1.5*4*perSecond + 5 // in any four seconds

	// Guards against entries that keep to a limit one by one and exceed it together.
	It("gets no more than it takes from all of them together", func() {
		backend := &limitedEngines{limits: map[fleet.InstanceID]float64{"i-0": perSecond}, reached: make(map[fleet.InstanceID]int)}
		region := followedBy(backend, entries, 2)
		path := manyRoutes(1, 1).Routes[1].Prefix
		for _, m := range region.members {
			Eventually(func() bool {
				m.ask(path, "told")
				_, known := m.gateway.limits.Of("i-0")
				return known
			}, "10s").Should(BeTrue())
		}
		before := backend.reachedAt("i-0")
		for range requests {
			for _, m := range region.members {
				Expect(m.ask(path, "then")).To(Equal(Verdict{}))
			}
		}
		Expect(float64(backend.reachedAt("i-0") - before)).To(BeNumerically("<=", allowed))
	})
})
