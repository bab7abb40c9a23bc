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
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
)

// fragileEngines crash on calls to one path. They are shared by all entries.
type fragileEngines struct {
	mu      sync.Mutex
	crashed map[netip.AddrPort]bool
	reached int // engines that a crashing call was sent to
}

const crashingPath = "/pool/crash"

func (*fragileEngines) Keep([]placement.Server) {}

func (e *fragileEngines) IsDown(_ context.Context, addr netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed[addr]
}

func (e *fragileEngines) Send(_ context.Context, call *Call, o Order) (Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed[o.Server.Addr] {
		return nil, failure.WithOutcome(failure.Unavailable.New("connection refused"), failure.NotRun)
	}
	if call.Path != crashingPath {
		return emptyAnswer{}, nil
	}
	e.crashed[o.Server.Addr] = true
	e.reached++
	return nil, failure.WithOutcome(failure.Unavailable.New("unexpected EOF"), failure.Unknown)
}

func (e *fragileEngines) reachedBy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reached
}

// ask has an entry serve one call and returns how it was refused; nothing for
// one that was answered.
func (m *member) ask(path, id string) Verdict {
	caller := make(refusals, 1)
	m.gateway.Serve(context.Background(), &Call{
		ID: id, Host: "relay.example", Path: path, Target: path, Arrived: time.Now(), Patience: 6 * time.Second, LastEvent: -1,
	}, caller)
	select {
	case v := <-caller:
		return v
	default:
		return Verdict{}
	}
}

var _ = Describe("A call that crashes the engines that run it, at entries in turn", func() {
	const entries, engineCount, allowed = 5, 20, 3

	// Guards against each entry's crashing of engines anew by a call that others have seen do so.
	It("is refused by every entry once it has crashed three engines", func() {
		backend := &fragileEngines{crashed: make(map[netip.AddrPort]bool)}
		c := manyRoutes(1, 1)
		route := &c.Routes[len(c.Routes)-1]
		route.Prefix = "/pool/"
		route.MaxAttempts = 1
		p := newPublisher(c)
		for i := range engineCount {
			p.register(&catalog.Server{ID: fleet.InstanceID(fmt.Sprintf("i-%d", i)), Service: "pool", Zone: "sharada", Slots: 16,
				Loaded: 1, Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.9.%d:80", i+1))})
		}
		region := startRegion(p, entries)
		region.haveInForce(1)
		for _, m := range region.members {
			_ = m.loop.Do(context.Background(), func(time.Time) { m.gateway.opts.Backend = backend })
			Eventually(m.ask, "10s").WithArguments("/pool/other", "before").Should(Equal(Verdict{}))
		}
		for i := range allowed {
			region.members[i].ask(crashingPath, fmt.Sprintf("first-%d", i))
		}
		Expect(backend.reachedBy()).To(Equal(allowed))
		for _, m := range region.members {
			refused := func() Code { return m.ask(crashingPath, "again").Code }
			Eventually(refused, "5s", "200ms").Should(Equal(Unavailable))
		}
		Expect(backend.reachedBy()).To(BeNumerically("<=", 2*allowed))
		for _, m := range region.members {
			Expect(m.ask("/pool/other", "other")).To(Equal(Verdict{}))
		}
	})
})
