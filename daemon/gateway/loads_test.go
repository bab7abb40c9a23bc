package gateway

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
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

	// Guards against an engine that stays out of use after it was replaced.
	It("is used if it is of a later start, or of another server", func() {
		report(wire.Replica{Loaded: 1, Born: 1000, Reloading: true})
		register(start, 6, 2, 5000)
		Expect(usedAt(at(expired))).To(BeTrue())

		g.apply(at(expired), []catalog.Change{{Revision: 7, Removed: "i-1"}}, 7)
		listed(g, backend, at(expired))
		Expect(g.loads).To(BeEmpty())
	})
})
