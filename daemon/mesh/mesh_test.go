package mesh_test

import (
	"context"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

// patience bounds what must happen soon.
const patience = 15 * time.Second

// node is a process with a mesh, on an address of this machine.
type node struct {
	id       fleet.InstanceID
	place    fleet.Place
	loop     *control.Loop
	endpoint *peer.Endpoint
	mesh     *mesh.Mesh
	heard    map[fleet.InstanceID]wire.Heartbeat // belongs to the loop
	beats    map[fleet.InstanceID]int
	lost     map[fleet.InstanceID]int
	leaving  bool
	stop     func()
}

type handler struct{ node *node }

func (h handler) ServeStream(ctx context.Context, from keys.Identity, _ peer.Kind, s *peer.Stream) {
	h.node.mesh.Serve(ctx, from, s)
}

func freePort() uint16 {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	return uint16(c.LocalAddr().(*net.UDPAddr).Port)
}

func start(port uint16, role fleet.Role, address string, seeds ...string) *node {
	return startIn(fleet.Place{Zone: "hall", Region: "lagos"}, port, role, address, seeds...)
}

func startIn(place fleet.Place, port uint16, role fleet.Role, address string, seeds ...string) *node {
	addr := netip.MustParseAddr(address)
	n := &node{
		id: mesh.IDOf(addr), place: place, loop: control.New(control.Options{Every: 10 * time.Millisecond}),
		heard: map[fleet.InstanceID]wire.Heartbeat{}, beats: map[fleet.InstanceID]int{}, lost: map[fleet.InstanceID]int{},
	}
	store, err := keys.Ephemeral(keys.Identity{ID: n.id, Role: role})
	Expect(err).NotTo(HaveOccurred())
	n.endpoint, err = peer.New(peer.Options{
		Listen: netip.AddrPortFrom(addr, port), Keys: store, Handler: handler{n},
		IdleTimeout: 4 * time.Second, KeepAlive: time.Second, HandshakeTimeout: 500 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var seedAddrs []netip.Addr
	for _, seed := range seeds {
		seedAddrs = append(seedAddrs, netip.MustParseAddr(seed))
	}
	n.mesh = mesh.New(ctx, time.Now(), mesh.Options{
		Self: n.id, Role: role, Place: place, PeerPort: port, Seeds: seedAddrs,
		Loop: n.loop, Endpoint: n.endpoint, Logger: zap.NewNop(), Metrics: tally.NoopScope,
		Compose: func(now time.Time, to mesh.Peer, form mesh.Form) wire.Heartbeat {
			b := wire.Heartbeat{ID: n.id, Role: role, Brief: form == mesh.Brief, Ready: true, Leaving: n.leaving, Place: place}
			if to.Role == fleet.RoleAgent && !b.Brief {
				b.Entries = n.mesh.LiveEntries(now, to.Region)
			}
			return b
		},
		GroupLoads:  func(time.Time) []placement.RegionLoad { return nil },
		HasChanges:  func(fleet.InstanceID) bool { return false },
		OnHeartbeat: func(_ time.Time, _ mesh.Peer, b wire.Heartbeat) { n.heard[b.ID] = b; n.beats[b.ID]++ },
		OnLost:      func(_ time.Time, id fleet.InstanceID) { n.lost[id]++ },
	})
	n.loop.AddTicker(n.mesh)
	ended := make(chan struct{})
	go func() { defer close(ended); _ = n.loop.Run(ctx) }()
	go func() { _ = n.endpoint.Run(ctx) }()
	stopped := false
	n.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		<-ended
		_ = n.endpoint.Close()
	}
	DeferCleanup(n.stop)
	return n
}

// live returns the entries that a process hears.
func (n *node) live() []fleet.InstanceID {
	var ids []fleet.InstanceID
	_ = n.loop.Do(context.Background(), func(now time.Time) {
		for _, e := range n.mesh.Entries(now) {
			if !e.Silent {
				ids = append(ids, e.ID)
			}
		}
	})
	return ids
}

var _ = Describe("Mesh", func() {
	const a, b, c, agent = "127.0.3.1", "127.0.3.2", "127.0.3.3", "127.0.3.9"
	var port uint16

	BeforeEach(func() { port = freePort() })

	It("links entries that know only one seed", func() {
		one := start(port, fleet.RoleEntry, a)
		two := start(port, fleet.RoleEntry, b, a)
		three := start(port, fleet.RoleEntry, c, a)
		Eventually(one.live, patience).Should(ConsistOf(two.id, three.id))
		Eventually(two.live, patience).Should(ConsistOf(one.id, three.id))
		Eventually(three.live, patience).Should(ConsistOf(one.id, two.id))
	})

	// The seeds are stale: one is dead, one is the process itself.
	It("does with seeds of which only one lives", func() {
		one := start(port, fleet.RoleEntry, a, a, "127.0.3.77", b)
		two := start(port, fleet.RoleEntry, b, "127.0.3.77")
		Eventually(one.live, patience).Should(ConsistOf(two.id))
		Eventually(two.live, patience).Should(ConsistOf(one.id))
	})

	It("has an agent find entries beyond its seed, and another when one goes", func() {
		one := start(port, fleet.RoleEntry, a)
		two := start(port, fleet.RoleEntry, b, a)
		side := start(port, fleet.RoleAgent, agent, a)
		Eventually(side.live, patience).Should(ConsistOf(one.id, two.id))
		one.stop()
		three := start(port, fleet.RoleEntry, c, b)
		Eventually(side.live, patience).Should(ConsistOf(two.id, three.id))
	})

	// Guards against an agent that changes its links with each beat, as an entry does
	// not name itself among those that are near.
	It("has an agent keep the links that it has", func() {
		const enough = 12
		entries := []*node{start(port, fleet.RoleEntry, a), start(port, fleet.RoleEntry, b, a), start(port, fleet.RoleEntry, c, a)}
		for _, n := range entries {
			Eventually(n.live, patience).Should(HaveLen(len(entries) - 1))
		}
		side := start(port, fleet.RoleAgent, agent, a, b, c)
		Eventually(side.links, patience).Should(Equal(2))
		lost := func() (total int) {
			for _, n := range entries {
				_ = n.loop.Do(context.Background(), func(time.Time) { total += n.lost[agent] })
			}
			return total
		}
		before := lost()
		Eventually(func() (beats int) {
			_ = side.loop.Do(context.Background(), func(time.Time) {
				for _, n := range entries {
					beats += side.beats[n.id]
				}
			})
			return beats
		}, patience).Should(BeNumerically(">=", enough))
		Expect(lost() - before).To(BeZero())
	})

	// A process is killed and started again at its address. Its links from before
	// lead nowhere and close nothing.
	It("links again with a process that was started anew", func() {
		one := start(port, fleet.RoleEntry, a)
		two := start(port, fleet.RoleEntry, b, a)
		Eventually(one.live, patience).Should(ConsistOf(two.id))
		two.stop()
		Eventually(one.live, patience).Should(BeEmpty())
		again := start(port, fleet.RoleEntry, b, a)
		Eventually(one.live, patience).Should(ConsistOf(again.id))
		Eventually(again.live, patience).Should(ConsistOf(one.id))
	})

	It("takes everyone for silent after a pause, until they are heard again", func() {
		one := start(port, fleet.RoleEntry, a)
		two := start(port, fleet.RoleEntry, b, a)
		Eventually(one.live, patience).Should(ConsistOf(two.id))
		var after []mesh.Entry
		Expect(one.loop.Do(context.Background(), func(now time.Time) {
			one.mesh.ResetAfterPause(now)
			after = one.mesh.Entries(now)
		})).To(Succeed())
		Expect(after).To(HaveLen(1))
		Expect(after[0].Silent).To(BeTrue())
		Eventually(one.live, patience).Should(ConsistOf(two.id))
	})

	It("passes on at once that a process leaves", func() {
		one := start(port, fleet.RoleEntry, a)
		two := start(port, fleet.RoleEntry, b, a)
		Eventually(one.live, patience).Should(ConsistOf(two.id))
		Expect(two.loop.Do(context.Background(), func(now time.Time) {
			two.leaving = true
			two.mesh.Flush(now)
		})).To(Succeed())
		Eventually(func() bool {
			var leaving bool
			_ = one.loop.Do(context.Background(), func(time.Time) { leaving = one.heard[two.id].Leaving })
			return leaving
		}, patience).Should(BeTrue())
	})
})
