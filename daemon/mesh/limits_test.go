package mesh_test

import (
	"context"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

// madeUpEntries returns states of entries at loopback addresses where nothing listens.
func madeUpEntries(third byte, n int, place fleet.Place) []wire.EntryState {
	var all []wire.EntryState
	for i := range n {
		addr := netip.AddrFrom4([4]byte{127, 1, third + byte(i>>8), byte(i)})
		all = append(all, wire.EntryState{Addr: addr, Place: place, Ready: true})
	}
	return all
}

// openGossip opens a stream of heartbeats from an address where no process of the fleet runs.
func openGossip(from string, to *node, port uint16) *peer.Stream {
	GinkgoHelper()
	store, err := keys.Ephemeral(keys.Identity{ID: mesh.IDOf(netip.MustParseAddr(from)), Role: fleet.RoleEntry})
	Expect(err).NotTo(HaveOccurred())
	endpoint, err := peer.New(peer.Options{Listen: netip.MustParseAddrPort(from + ":0"), Keys: store})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(endpoint.Close)
	stream, err := endpoint.Open(context.Background(), netip.AddrPortFrom(netip.MustParseAddr(string(to.id)), port), to.id, peer.KindGossip)
	Expect(err).NotTo(HaveOccurred())
	return stream
}

var _ = Describe("A mesh with a peer that reports entries that do not exist", func() {
	const address, stranger, late = "127.0.5.1", "127.0.5.8", "127.0.5.2"
	place := fleet.Place{Zone: "hall", Region: "lagos"}
	var port uint16
	var one *node
	var stream *peer.Stream

	BeforeEach(func() {
		port = freePort()
		one = start(port, fleet.RoleEntry, address)
		stream = openGossip(stranger, one, port)
	})

	report := func(entries []wire.EntryState) {
		self := netip.MustParseAddr(stranger)
		Expect(stream.Send(wire.Heartbeat{
			ID: mesh.IDOf(self), Role: fleet.RoleEntry, Place: place, Ready: true,
			Digests: []wire.Digest{{Reporter: self, Group: "made up", Version: uint64(len(entries)), Entries: entries}},
		})).To(Succeed())
	}

	known := func() int {
		n := 0
		_ = one.loop.Do(context.Background(), func(now time.Time) { n = len(one.mesh.Entries(now)) })
		return n
	}

	// Guards against memory that grows with every entry that any peer mentions, and against
	// an entry that is not found any more because of them.
	It("knows a bounded number of them, and finds an entry that starts later", func() {
		report(madeUpEntries(0, 3000, place))
		Eventually(known, eventualTimeout).Should(BeNumerically(">=", mesh.MaxContacts))
		report(madeUpEntries(100, 2999, place))
		two := start(port, fleet.RoleEntry, late, address)
		Eventually(one.liveEntries, eventualTimeout).Should(ContainElement(two.id))
		Eventually(two.liveEntries, eventualTimeout).Should(ContainElement(one.id))
		Expect(known()).To(BeNumerically("<=", mesh.MaxContacts+2)) // the stranger and the late entry
	})

	// Guards against memory that is taken by names of any length.
	It("leaves out entries whose zone has a long name", func() {
		long := madeUpEntries(0, 3, fleet.Place{Zone: fleet.Zone(strings.Repeat("z", 1<<10))})
		report(append(long, madeUpEntries(9, 2, place)...))
		Eventually(known, eventualTimeout).Should(Equal(3)) // the stranger and two of them
	})
})

// Guards against a single heartbeat from which on the reports of all others about an entry are
// ignored, and by which an entry that does not exist is live for ever.
var _ = It("A mesh with a peer that reports states of the future does not keep them", func() {
	const address, stranger, other, madeUp = "127.0.5.1", "127.0.5.8", "127.0.5.9", "127.0.5.7"
	const future = -int64(time.Hour / time.Millisecond)
	port := freePort()
	one := start(port, fleet.RoleEntry, address)
	report := func(from string, ageMS int64, isReady bool) {
		self := netip.MustParseAddr(from)
		state := wire.EntryState{Addr: netip.MustParseAddr(madeUp), Place: one.place, Ready: isReady}
		Expect(openGossip(from, one, port).Send(wire.Heartbeat{
			ID: mesh.IDOf(self), Role: fleet.RoleEntry, Place: one.place, Ready: true,
			Digests: []wire.Digest{{Reporter: self, Group: "made up", Version: 1, AgeMS: ageMS, Entries: []wire.EntryState{state}}},
		})).To(Succeed())
	}
	isReady := func() bool {
		e, _ := one.liveEntry(mesh.IDOf(netip.MustParseAddr(madeUp)))
		return e.Ready
	}
	isLive := func() bool {
		_, live := one.liveEntry(mesh.IDOf(netip.MustParseAddr(madeUp)))
		return live
	}
	report(stranger, future, false)
	Eventually(isLive, eventualTimeout).Should(BeTrue())
	report(other, 0, true)
	Eventually(isReady, eventualTimeout).Should(BeTrue())
	Eventually(isLive, eventualTimeout).Should(BeFalse())
})
