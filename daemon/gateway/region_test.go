package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/routing"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/mesh"
)

// publisher stands for the platform: it publishes a catalog, and counts how many
// copies of the configuration it has handed out since the last publish.
type publisher struct {
	mu      sync.Mutex
	now     catalog.Snapshot
	changed chan struct{}
	copies  int
	// happened is what happened to servers.
	happened []catalog.Change
	// slow lists last until their caller gives them up; running counts those.
	slow    bool
	running int
}

func (p *publisher) slowDown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = true
}

func (p *publisher) listsRunning() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

func (p *publisher) countRunning(more int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += more
}

func (p *publisher) isSlow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slow
}

func newPublisher(c *routing.Config) *publisher {
	return &publisher{now: catalog.Snapshot{AsOf: 1, Config: c, ConfigRevision: 1}, changed: make(chan struct{})}
}

func (p *publisher) publish(c *routing.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now.AsOf++
	p.now.Config, p.now.ConfigRevision = c, p.now.AsOf
	p.copies = 0
	close(p.changed)
	p.changed = make(chan struct{})
}

// register publishes a server.
func (p *publisher) register(s *catalog.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change := catalog.Change{Revision: p.now.AsOf + 1, Server: s}
	p.happened = append(p.happened, change)
	p.now, _ = p.now.ApplyServers([]catalog.Change{change}, change.Revision)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *publisher) copiesGiven() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.copies
}

// List implements catalog.Source.
func (p *publisher) List(ctx context.Context) (catalog.Snapshot, error) {
	if p.isSlow() {
		p.countRunning(1)
		defer p.countRunning(-1)
		<-ctx.Done()
		return catalog.Snapshot{}, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copies++
	return p.now, nil
}

// Watch implements catalog.Source.
func (p *publisher) Watch(ctx context.Context, after catalog.Revision, wait time.Duration) ([]catalog.Change, catalog.Revision, error) {
	p.await(ctx, after, wait)
	if ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []catalog.Change
	for _, c := range p.happened {
		if c.Revision > after {
			changes = append(changes, c)
		}
	}
	if p.now.ConfigRevision > after {
		p.copies++
		changes = append(changes, catalog.Change{Revision: p.now.ConfigRevision, Config: p.now.Config})
	}
	return changes, p.now.AsOf, nil
}

func (p *publisher) await(ctx context.Context, after catalog.Revision, wait time.Duration) {
	p.mu.Lock()
	known, changed := p.now.AsOf <= after, p.changed
	p.mu.Unlock()
	if !known {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// source is the platform as one entry sees it.
type source struct {
	*publisher
	// silent watches of everything bring nothing and do not end.
	silent atomic.Bool
	// watches counts the calls.
	watches atomic.Int64
}

// Watch implements catalog.Source.
func (s *source) Watch(ctx context.Context, after catalog.Revision, wait time.Duration) ([]catalog.Change, catalog.Revision, error) {
	s.watches.Add(1)
	changes, asOf, err := s.publisher.Watch(ctx, after, wait)
	if s.silent.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return changes, asOf, err
}

// member is one entry of a region, with links of its own to the others.
type member struct {
	gateway *Gateway
	loop    *control.Loop
	stop    func() // returns when it has ended
}

// version returns that of the configuration in force, 0 for none.
func (m *member) version() int64 {
	var version int64
	_ = m.loop.Do(context.Background(), func(time.Time) {
		if m.gateway.table != nil {
			version = m.gateway.table.Version()
		}
	})
	return version
}

// isLeaving reports whether it knows that a server leaves.
func (m *member) isLeaving(id fleet.InstanceID) bool {
	var leaving bool
	_ = m.loop.Do(context.Background(), func(time.Time) {
		s, ok := findServer(m.gateway.snapshot.Servers, id)
		leaving = ok && s.Draining
	})
	return leaving
}

// watches is how many calls for changes it has made.
func (m *member) watches() int64 { return m.gateway.opts.Source.(*source).watches.Load() }

// knownReady returns how many other entries it knows to be ready.
func (m *member) knownReady() int {
	n := 0
	_ = m.loop.Do(context.Background(), func(time.Time) {
		if v := m.gateway.view.Load(); v != nil {
			n = readyOf(v.entries)
		}
	})
	return n
}

func readyOf(entries []mesh.Entry) int {
	n := 0
	for _, e := range entries {
		if e.Ready && !e.Silent {
			n++
		}
	}
	return n
}

// fleetOf is entries of one region that follow p.
type fleetOf struct {
	p       *publisher
	port    uint16
	members []*member
}

func startRegion(p *publisher, size int) *fleetOf {
	probe, err := net.ListenPacket("udp", "127.0.3.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fleetOf{p: p, port: netip.MustParseAddrPort(probe.LocalAddr().String()).Port()}
	_ = probe.Close()
	for i := range size {
		f.start(memberAddr(i))
	}
	DeferCleanup(func() {
		for _, m := range f.members {
			m.stop()
		}
	})
	for _, m := range f.members {
		Eventually(m.knownReady, "10s").Should(Equal(size - 1))
	}
	return f
}

func (f *fleetOf) haveInForce(version int64) {
	GinkgoHelper()
	for _, m := range f.members {
		Eventually(m.version, "20s").Should(Equal(version))
	}
}

// takeReaders returns the members that read for the others, and takes them out.
func (f *fleetOf) takeReaders() []*member {
	var readers, others []*member
	for _, m := range f.members {
		if v := m.gateway.view.Load(); v.readsPlatform {
			readers = append(readers, m)
		} else {
			others = append(others, m)
		}
	}
	f.members = others
	return readers
}

type handlerOf struct{ peer.Handler }

func memberAddr(i int) netip.Addr { return netip.MustParseAddr(fmt.Sprintf("127.0.3.%d", i+1)) }

// start starts one entry more.
func (f *fleetOf) start(addr netip.Addr) *member {
	ctx, cancel := context.WithCancel(context.Background())
	id := fleet.InstanceID(addr.String())
	store, err := keys.Ephemeral(keys.Identity{ID: id, Role: fleet.RoleEntry})
	Expect(err).NotTo(HaveOccurred())
	m := &member{loop: control.New(control.Options{TickInterval: 20 * time.Millisecond})}
	handler := &handlerOf{}
	endpoint, err := peer.New(peer.Options{Listen: netip.AddrPortFrom(addr, f.port), Keys: store, Handler: handler})
	Expect(err).NotTo(HaveOccurred())
	m.gateway = New(ctx, time.Now(), Options{
		Self: id, Addr: addr, Incarnation: 1, Place: fleet.Place{Zone: "sharada", Region: "kano"},
		CallerAddr: netip.AddrPortFrom(addr, 80), PeerPort: f.port, Seeds: []netip.Addr{netip.MustParseAddr("127.0.3.1")},
		Regions: map[fleet.Zone]fleet.Region{"sharada": "kano"}, Loop: m.loop, Endpoint: endpoint, Source: &source{publisher: f.p},
		Backend: &rejectingBackend{}, Budget: RetryBudget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		VersionTime: 8 * time.Second, SoundTime: 3 * time.Second, Logger: zap.NewNop(), Metrics: tally.NoopScope,
	})
	handler.Handler = m.gateway
	m.loop.AddTicker(m.gateway)
	var running sync.WaitGroup
	running.Go(func() { defer GinkgoRecover(); _ = m.loop.Run(ctx) })
	running.Go(func() { defer GinkgoRecover(); _ = m.gateway.Follow(ctx) })
	running.Go(func() { defer GinkgoRecover(); _ = endpoint.Run(ctx) })
	m.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
		_ = endpoint.Close()
	})
	f.members = append(f.members, m)
	return m
}

// manyRoutes is a configuration of the size at which the operators saw the
// fault: names are drawn at random, as theirs are.
func manyRoutes(version int64, routes int) *routing.Config {
	chance := rand.New(rand.NewPCG(7, 11))
	c := config(version)
	for i := range routes {
		c.Routes = append(c.Routes, routing.Route{
			Name: fmt.Sprintf("r-%08x", chance.Uint32()), Host: "relay.example",
			Prefix: fmt.Sprintf("/%05x%d/%04x/", chance.Uint32()>>12, i, chance.Uint32()>>16),
			Kind:   routing.Stream, Timeout: 6 * time.Second, TargetLatency: 500 * time.Millisecond,
			TargetPause: 400 * time.Millisecond, MaxAttempts: 2, Resumable: true,
			Targets: []routing.Target{{Service: "pool", Weight: 1}},
		})
	}
	return c
}

var _ = Describe("A region of twelve entries", func() {
	const size, routes = 12, 1650
	// allowed is how many entries of a region may read a configuration from the
	// platform: one, and another in case the first is lost at that moment.
	const allowed = 2
	var p *publisher
	var region *fleetOf

	BeforeEach(func() {
		p = newPublisher(manyRoutes(1, routes))
		region = startRegion(p, size)
		region.haveInForce(1)
	})

	// The operator added 1,400 routes and then took away a key every 1.3 s. Each
	// of the fifteen entries of a region read each configuration whole, 260 KB, over
	// a link of 4 MB/s: a second of the link for each change. Reads that took longer
	// than 0.8 s were given up with all that had come and begun again, so the link
	// was full of bytes that nobody kept, and callers with a dropped key were served
	// 3.3 s after the change was confirmed:
	//
	//	platform_lost error="answer of the store: context deadline exceeded"
	//	peer_catalog_failed error="receive: no progress in time"
	It("reads a change of the configuration over its link once or twice, and all have it in force", func() {
		p.publish(manyRoutes(2, routes))
		region.haveInForce(2)
		Expect(p.copiesGiven()).To(BeNumerically("<=", allowed))
	})

	// Both entries that read for the region are killed, and the operator writes a
	// configuration. The next ones in rank read it: others that waited for the
	// first two would serve callers by the old one.
	It("has a change in force also when those that read it are lost", func() {
		lost := region.takeReaders()
		Expect(lost).To(HaveLen(allowed))
		for _, m := range lost {
			m.stop()
		}
		p.publish(manyRoutes(2, routes))
		region.haveInForce(2)
	})

	// The connections of the two readers to the platform have gone silent. They
	// live, and wait; the others are told that they hear nothing.
	It("has a change in force also when those that read it hear nothing", func() {
		for _, m := range region.takeReaders() {
			m.gateway.opts.Source.(*source).silent.Store(true)
		}
		p.publish(manyRoutes(2, routes))
		region.haveInForce(2)
	})

	// Each entry watched the servers by itself, and each registration woke them all
	// for a call: calls to the platform grew with the entries, and the changes
	// crossed the link between two regions once for each of them.
	It("has two entries call the platform, and all know of a server that leaves", func() {
		readers := region.takeReaders()
		Expect(readers).To(HaveLen(allowed))
		var before []int64
		for _, m := range region.members {
			before = append(before, m.watches())
		}
		p.register(&catalog.Server{ID: "i-1", Service: "pool", Addr: netip.MustParseAddrPort("10.0.9.1:80"), Draining: true})
		for i, m := range region.members {
			Eventually(m.isLeaving, "20s").WithArguments(fleet.InstanceID("i-1")).Should(BeTrue())
			Expect(m.watches()).To(Equal(before[i]))
		}
	})

	// Both entries that read for the region are killed as a server begins to leave.
	// The others must send it no more requests, though nobody tells them of it.
	It("knows of a server that leaves also when those that read are lost", func() {
		for _, m := range region.takeReaders() {
			m.stop()
		}
		p.register(&catalog.Server{ID: "i-1", Service: "pool", Addr: netip.MustParseAddrPort("10.0.9.1:80"), Draining: true})
		for _, m := range region.members {
			Eventually(m.isLeaving, "20s").WithArguments(fleet.InstanceID("i-1")).Should(BeTrue())
		}
	})

	// A third of the entries were killed and came back together. Each read 430 KB
	// from the platform that its neighbours had, over a link that was full:
	//
	//	platform_lost error="list brought no byte for 800ms"
	It("gives an entry that starts the catalog, though the platform is slow", func() {
		first := region.members[0]
		region.members = region.members[1:]
		first.stop()
		p.slowDown()
		Eventually(region.start(memberAddr(0)).version, "10s").Should(Equal(int64(1)))
		Eventually(p.listsRunning, "10s").Should(BeZero())
		p.publish(manyRoutes(2, routes))
		region.haveInForce(2)
	})
})

var _ = Describe("A region of three entries", func() {
	// The operator's text may be 1 MB, about 5,600 routes. Sent within one message,
	// it was over the limit of a message, and no peer could give it.
	It("passes on a configuration as large as the platform takes", func() {
		const routes = 5600
		p := newPublisher(manyRoutes(1, routes))
		region := startRegion(p, 3)
		region.haveInForce(1)
		p.publish(manyRoutes(2, routes))
		region.haveInForce(2)
		Expect(p.copiesGiven()).To(BeNumerically("<=", regionReaders))
	})
})
