package gateway

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("The registration of an engine whose agent is silent", func() {
	var g *Gateway
	var backend *rejectingBackend
	const expired = replicaReportTTL + time.Second

	BeforeEach(func() {
		g, backend = newGateway()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
	})

	report := func(reports ...wire.Replica) {
		for n, r := range reports {
			r.Addr, r.Incarnation, r.Seq = netip.MustParseAddr("10.0.1.1"), 1, uint64(n+1)
			g.receive(start, anAgent, wire.Heartbeat{ID: "10.0.1.1", Role: fleet.RoleAgent, Replicas: []wire.Replica{r}})
		}
	}
	register := func(now time.Time, revision catalog.Revision, loaded uint64, born fleet.StartTime) {
		s := server("i-1", "10.0.1.1:80", revision)
		s.Loaded, s.Born = loaded, born
		g.apply(now, []catalog.Change{{Revision: revision, Server: &s}}, revision)
	}
	usedAt := func(now time.Time) bool {
		Expect(listed(g, backend, now)).To(HaveLen(1))
		return !backend.listed[0].Reloading
	}

	// Guards against calls to a load that the agent did not live to verify.
	DescribeTable("is used only if it names the load that was ready last",
		func(registered uint64, used bool, reports ...wire.Replica) {
			report(reports...)
			register(start, 6, registered, 0)
			Expect(usedAt(start.Add(expired))).To(Equal(used))
		},
		Entry("ready", uint64(1), true, wire.Replica{Loaded: 1}),
		Entry("another version", uint64(2), false, wire.Replica{Loaded: 1}),
		Entry("ready before the reload", uint64(1), true, wire.Replica{Loaded: 1}, wire.Replica{Loaded: 1, Reloading: true}),
		Entry("loaded after the last report", uint64(2), false, wire.Replica{Loaded: 1}, wire.Replica{Loaded: 1, Reloading: true}),
		Entry("loaded and not verified", uint64(2), false, wire.Replica{Loaded: 1}, wire.Replica{Loaded: 2, Reloading: true}),
		Entry("replaced by a load that is not verified", uint64(1), false, wire.Replica{Loaded: 1}, wire.Replica{Loaded: 2, Reloading: true}),
		Entry("loaded again and not verified", uint64(1), false, wire.Replica{Loaded: 1}, wire.Replica{Reloading: true}, wire.Replica{Loaded: 1, Reloading: true}),
		Entry("loaded by a later process and not verified", uint64(1), false, wire.Replica{Loaded: 1, Born: 1}, wire.Replica{Loaded: 1, Born: 2, Reloading: true}),
		Entry("loaded again by an order and not verified", uint64(1), false,
			wire.Replica{Loaded: 1, HasOrders: true}, wire.Replica{Loaded: 1, HasOrders: true, Orders: 1, Reloading: true}),
		Entry("lost", uint64(1), false, wire.Replica{Loaded: 1}, wire.Replica{}),
		Entry("ready before the engine was out of reach", uint64(1), true, wire.Replica{Loaded: 1}, wire.Replica{Unreachable: true}),
		Entry("never reported", uint64(2), true),
		Entry("never reached by its agent", uint64(2), true, wire.Replica{Unreachable: true}),
	)

	It("is used again once it or an agent names the load that is ready", func() {
		report(wire.Replica{Loaded: 1}, wire.Replica{Loaded: 2, Reloading: true})
		register(start, 6, 2, 0)
		Expect(usedAt(at(expired))).To(BeFalse())
		r := wire.Replica{Addr: netip.MustParseAddr("10.0.1.1"), Incarnation: 2, Seq: 1, Loaded: 2}
		g.receive(at(expired), anAgent, wire.Heartbeat{ID: "10.0.1.1", Role: fleet.RoleAgent, Replicas: []wire.Replica{r}})
		Expect(usedAt(at(expired))).To(BeTrue())
		Expect(usedAt(at(2 * expired))).To(BeTrue())
	})

	// Guards against calls to a load that is not verified, before an agent has reported again
	// to an entry that was paused.
	It("is used after a pause of the entry only if it names the load that was ready last", func() {
		report(wire.Replica{Loaded: 1}, wire.Replica{Loaded: 1, Reloading: true})
		g.resumeAfterPause(start, 4*time.Second)
		Expect(usedAt(start)).To(BeTrue())
		register(start, 6, 2, 0)
		Expect(usedAt(start)).To(BeFalse())
	})

	// Guards against calls to a load that is not verified, by a report that was forwarded late.
	It("is not used because an earlier report arrives after the last one has expired", func() {
		report(wire.Replica{Loaded: 1}, wire.Replica{Loaded: 2, Reloading: true})
		register(start, 6, 1, 0)
		Expect(usedAt(at(expired))).To(BeFalse())
		r := wire.Replica{Addr: netip.MustParseAddr("10.0.1.1"), Incarnation: 1, Seq: 1, Loaded: 1}
		g.receive(at(expired), nearEntry, wire.Heartbeat{ID: "10.0.0.2", Role: fleet.RoleEntry, Replicas: []wire.Replica{r}})
		Expect(usedAt(at(2 * expired))).To(BeFalse())
	})

	// Guards against an engine that stays out of use after it was replaced.
	It("is used if it is of a later start, or of another server", func() {
		report(wire.Replica{Loaded: 1, Born: 1000, Reloading: true}, wire.Replica{Unreachable: true})
		register(start, 6, 2, 5000)
		Expect(usedAt(at(expired))).To(BeTrue())

		report(wire.Replica{Loaded: 1, Born: 5000})
		g.apply(start, []catalog.Change{{Revision: 7, Removed: "i-1"}}, 7)
		listed(g, backend, start)
		Expect(g.loads).To(HaveLen(1), "an entry that starts has no catalog yet")
		listed(g, backend, at(expired))
		Expect(g.loads).To(BeEmpty())
	})
})

// Guards against an agent that restarts and has to take its engine out of use, since it
// cannot tell a load that its predecessor verified from another.
var _ = DescribeTable("The first heartbeat to an agent that replaced another contains the load that was ready last",
	func(want *wire.LastReady, reports ...wire.Replica) {
		g, backend := newGateway()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
		for n, r := range reports {
			r.Addr, r.Seq = netip.MustParseAddr("10.0.1.1"), uint64(n+1)
			g.receive(at(time.Duration(n)*time.Millisecond), anAgent, encoded(wire.Heartbeat{ID: "10.0.1.1", Role: fleet.RoleAgent, Replicas: []wire.Replica{r}}))
		}
		g.resumeAfterPause(start, time.Second)
		listed(g, backend, at(replicaReportTTL+time.Second))
		Expect(encoded(g.compose(start, anAgent, mesh.First)).LastReady).To(Equal(want))
		Expect(g.compose(start, anAgent, mesh.Complete).LastReady).To(BeNil(), "sent once on a link")
		Expect(g.compose(start, nearEntry, mesh.First).LastReady).To(BeNil(), "not for entries")
	},
	Entry("none", nil),
	Entry("and no later one", &wire.LastReady{Incarnation: 7, Loaded: 2, Born: 5, HasOrders: true, Orders: 3},
		wire.Replica{Incarnation: 7, Loaded: 2, Born: 5, HasOrders: true, Orders: 3}),
	Entry("before any order", &wire.LastReady{Incarnation: 7, Loaded: 2, HasOrders: true}, wire.Replica{Incarnation: 7, Loaded: 2, HasOrders: true}),
	Entry("according to an agent of an earlier release", &wire.LastReady{Incarnation: 7, Loaded: 2}, wire.Replica{Incarnation: 7, Loaded: 2}),
	Entry("and which agent began another", &wire.LastReady{Incarnation: 7, Loaded: 2, ReloadingBy: 8},
		wire.Replica{Incarnation: 7, Loaded: 2}, wire.Replica{Incarnation: 8, Loaded: 2, Reloading: true}, wire.Replica{Incarnation: 9, Loaded: 2, Reloading: true}),
	Entry("and that it was replaced", &wire.LastReady{Incarnation: 7, Loaded: 2, HasOrders: true, ReloadingBy: 7, IsReplaced: true},
		wire.Replica{Incarnation: 7, Loaded: 2, HasOrders: true}, wire.Replica{Incarnation: 7, Loaded: 2, HasOrders: true, Orders: 1, Reloading: true}),
	Entry("after a verified reload", &wire.LastReady{Incarnation: 7, Loaded: 3},
		wire.Replica{Incarnation: 7, Loaded: 2}, wire.Replica{Incarnation: 7, Loaded: 3, Reloading: true}, wire.Replica{Incarnation: 7, Loaded: 3}),
	Entry("or only that one has begun", &wire.LastReady{ReloadingBy: 7}, wire.Replica{Incarnation: 7, Loaded: 2, Reloading: true}),
	Entry("none, from an agent that has never reached its engine", nil, wire.Replica{Incarnation: 7, Unreachable: true}),
)

// encoded returns a heartbeat as its receiver decodes it.
func encoded(b wire.Heartbeat) (received wire.Heartbeat) {
	packed, err := cbor.Marshal(b)
	Expect(err).NotTo(HaveOccurred())
	Expect(cbor.Unmarshal(packed, &received)).To(Succeed())
	return received
}
