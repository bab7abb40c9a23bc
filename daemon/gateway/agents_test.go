package gateway

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("What agents tell", func() {
	var g *Gateway
	var backend *rejectingBackend
	addr := netip.MustParseAddr("10.0.1.1")

	BeforeEach(func() {
		g, backend = newGateway()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
	})

	tell := func(now time.Time, r wire.Replica) {
		g.heard(now, nearEntry, wire.Heartbeat{ID: "10.0.1.1", Role: fleet.RoleAgent, Replicas: []wire.Replica{r}})
	}

	It("goes before the registration, which lags", func() {
		tell(start, wire.Replica{Addr: addr, Incarnation: 1, Seq: 1, Loaded: 2, Reloading: true})
		listed(g, backend, start)
		Expect(backend.listed[0].LoadedVersion).To(Equal(placement.ModelVersion(2)))
		Expect(backend.listed[0].Reloading).To(BeTrue())
	})

	It("counts no more once the agent is silent", func() {
		tell(start, wire.Replica{Addr: addr, Incarnation: 1, Seq: 1, Loaded: 2})
		listed(g, backend, at(5*time.Second))
		Expect(backend.listed[0].LoadedVersion).To(Equal(placement.ModelVersion(1)))
	})

	It("does not go back to what was told before", func() {
		tell(start, wire.Replica{Addr: addr, Incarnation: 1, Seq: 5, Loaded: 3, AgeMS: 9000})
		tell(start, wire.Replica{Addr: addr, Incarnation: 1, Seq: 4, Loaded: 2, AgeMS: 8600})
		listed(g, backend, start)
		Expect(backend.listed[0].LoadedVersion).To(Equal(placement.ModelVersion(3)))
		tell(start, wire.Replica{Addr: addr, Incarnation: 2, Seq: 1, AgeMS: 100})
		listed(g, backend, start)
		Expect(backend.listed[0].LoadedVersion).To(BeZero())
	})

	// The agent's machine had its time of day set back, and the agent started
	// again: its incarnation, a time of day, is the lesser one. It is the younger
	// process all the same, and what it says holds at once.
	It("is believed of an agent that started again after its clock was set back", func() {
		tell(start, wire.Replica{Addr: addr, Incarnation: 9000, Seq: 7, Loaded: 1, AgeMS: 20_000})
		tell(at(time.Second), wire.Replica{Addr: addr, Incarnation: 7000, Seq: 1, AgeMS: 300})
		listed(g, backend, at(time.Second))
		Expect(backend.listed[0].LoadedVersion).To(BeZero())
		tell(at(1100*time.Millisecond), wire.Replica{Addr: addr, Incarnation: 9000, Seq: 8, Loaded: 1, AgeMS: 21_100})
		listed(g, backend, at(1100*time.Millisecond))
		Expect(backend.listed[0].LoadedVersion).To(BeZero(), "its predecessor's word may come late, through another entry")
	})

	// The engine crashed and started again under its id; its agent is cut off, and
	// what it told last would count for two seconds. The registration is of the
	// later start: the engine holds nothing.
	It("does not go before the registration of a later start of the server", func() {
		tell(start, wire.Replica{Addr: addr, Incarnation: 1, Seq: 1, Loaded: 1, Born: 1000})
		again := server("i-1", "10.0.1.1:80", 6)
		again.Born, again.Loaded = 5000, 0
		g.apply(start, []catalog.Change{{Revision: 6, Server: &again}}, 6)
		listed(g, backend, start)
		Expect(backend.listed[0].LoadedVersion).To(BeZero())
		Expect(backend.listed[0].Born).To(Equal(fleet.StartTime(5000)))
		tell(at(time.Second), wire.Replica{Addr: addr, Incarnation: 1, Seq: 2, Loaded: 1, Born: 5000})
		listed(g, backend, at(time.Second))
		Expect(backend.listed[0].LoadedVersion).To(Equal(placement.ModelVersion(1)))
	})

	// Guards against calls to the predecessor of a restarted server, which its successor
	// declines under its new ID: repeats used up the fleet's retry budget.
	It("takes the registration of an earlier start out of use", func() {
		earlier := server("i-1", "10.0.1.1:80", 6)
		earlier.Born = 1000
		g.apply(start, []catalog.Change{{Revision: 6, Server: &earlier}}, 6)
		g.sourceAnswered(start)
		tell(start, wire.Replica{Addr: addr, Incarnation: 1, Seq: 1, Loaded: 1, Born: 5000})
		listed(g, backend, start)
		Expect(backend.listed[0].Reloading).To(BeTrue())

		again := server("i-9", "10.0.1.1:80", 7)
		again.Born = 5000
		g.apply(start, []catalog.Change{{Revision: 7, Server: &again}}, 7)
		Expect(listed(g, backend, start)).To(ConsistOf(fleet.InstanceID("i-9")))
		Expect(backend.listed[0].Reloading).To(BeFalse())
	})

	// A server may also start again under its ID. Its registration does not change
	// while the platform is away, and it would stand idle for that time.
	It("uses a server that started again while the platform does not answer", func() {
		earlier := server("i-1", "10.0.1.1:80", 6)
		earlier.Born = 1000
		g.apply(start, []catalog.Change{{Revision: 6, Server: &earlier}}, 6)
		g.sourceAnswered(start)
		now := at(sureFor)
		tell(now, wire.Replica{Addr: addr, Incarnation: 1, Seq: 1, Loaded: 1, Born: 5000})
		listed(g, backend, now)
		Expect(backend.listed[0].Reloading).To(BeFalse())
	})

	// Guards against calls to engines that lost their weights with the power, and are
	// still listed with them when the entries are back.
	It("is waited for by an entry that has just started, once a registration proved wrong", func() {
		g, backend = newGatewayAtStart()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
		listed(g, backend, start)
		Expect(backend.listed[0].Reloading).To(BeFalse(), "the engines may have lived on")
		g.handleDeclined(start, backend.listed[0])
		listed(g, backend, start)
		Expect(backend.listed[0].Reloading).To(BeTrue())
		Expect(g.soonest(start)).To(HaveKey(fleet.ServiceName("pool")), "calls wait for it")
		tell(at(100*time.Millisecond), wire.Replica{Addr: addr, Incarnation: 1, Seq: 1, Loaded: 1})
		listed(g, backend, at(100*time.Millisecond))
		Expect(backend.listed[0].Reloading).To(BeFalse())
	})

	It("is not waited for since an engine declines that its agent has reported", func() {
		g, backend = newGatewayAtStart()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3)), "platform")
		tell(start, wire.Replica{Addr: addr, Incarnation: 1, Seq: 1, Loaded: 1})
		listed(g, backend, start)
		g.handleDeclined(start, backend.listed[0])
		listed(g, backend, start)
		Expect(backend.listed[1].Reloading).To(BeFalse())
	})

	// Guards against callers refused for want of any engine in the second in which all
	// engines load again after a loss of power.
	It("has calls wait for engines that load after a restart of all", func() {
		g, backend = newGatewayAtStart()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
		tell(start, wire.Replica{Addr: addr, Incarnation: 1, Seq: 1})
		listed(g, backend, start)
		now := at(allAgentsReportWithin)
		Expect(g.soonest(now)).To(HaveKeyWithValue(fleet.ServiceName("pool"), at(typicalLoadTime)))
		Expect(g.soonest(at(newEntryPeriod))).NotTo(HaveKey(fleet.ServiceName("pool")), "they do not come")

		tell(now, wire.Replica{Addr: addr, Incarnation: 1, Seq: 2, Loaded: 1})
		listed(g, backend, now)
		Expect(g.soonest(now)).NotTo(HaveKey(fleet.ServiceName("pool")), "one is there")
	})

	It("is not waited for any longer than it takes to hear of all agents", func() {
		g, backend = newGatewayAtStart()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
		listed(g, backend, start)
		g.handleDeclined(start, backend.listed[0])
		listed(g, backend, start)
		listed(g, backend, at(allAgentsReportWithin))
		Expect(backend.listed[0].Reloading).To(BeFalse())
	})

	// After a pause of the process the engines may all have changed.
	It("is forgotten when the process wakes up", func() {
		tell(start, wire.Replica{Addr: addr, Incarnation: 1, Seq: 1, Loaded: 2})
		g.resumeAfterPause(at(time.Second), 4*time.Second)
		listed(g, backend, at(time.Second))
		Expect(backend.listed[0].LoadedVersion).To(Equal(placement.ModelVersion(1)))
		Expect(g.Ready()).To(BeFalse())
		g.sourceAnswered(at(time.Second))
		g.publish(at(time.Second))
		Expect(g.Ready()).To(BeTrue())
	})
})
