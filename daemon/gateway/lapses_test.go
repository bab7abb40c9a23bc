package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("The catalog, while calls to the platform fail,", func() {
	var g *Gateway
	var backend *rejectingBackend
	one, two := server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3)
	removeTwo := []catalog.Change{{Revision: 9, Removed: "i-2"}}
	broken := failure.Unavailable.New("platform refused the connection")

	BeforeEach(func() {
		g, backend = newGateway()
		g.sourceResponded(start)
		g.adopt(start, snapshot(5, one, two), "platform")
	})

	// removal returns another entry's report that the second server was removed.
	removal := func() wire.Heartbeat {
		b := beat("10.0.0.2")
		b.Servers = &wire.ServerChanges{After: 5, AsOf: 9, Changes: removeTwo}
		return b
	}

	// Guards against requests to a server that is gone, at an entry of which a single
	// call failed while the platform was healthy.
	It("drops a removed server immediately if only a single call failed", func() {
		g.sourceFailed(at(time.Second), broken)
		g.receive(at(1100*time.Millisecond), nearEntry, removal())
		Expect(listed(g, backend, at(1100*time.Millisecond))).To(ConsistOf(fleet.InstanceID("i-1")))
		g.sourceResponded(at(1300 * time.Millisecond))
		g.expireLapsed(at(1300 * time.Millisecond))
		Expect(listed(g, backend, at(1300*time.Millisecond))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against requests to a server that left while the process was paused.
	It("drops a removed server immediately if a peer reports it after a pause of the process", func() {
		g.resumeAfterPause(at(5*time.Second), 5*time.Second)
		g.receive(at(5100*time.Millisecond), nearEntry, removal())
		Expect(listed(g, backend, at(5100*time.Millisecond))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against a service without servers for two seconds, at an entry that receives
	// lapses from a peer before the platform answers the entry itself.
	It("keeps lapsed servers if a peer reports them before the platform answers", func() {
		g.sourceFailed(at(time.Second), broken)
		g.receive(at(6*time.Second), nearEntry, removal())
		Expect(listed(g, backend, at(6*time.Second))).To(HaveLen(2))
		g.sourceResponded(at(6500 * time.Millisecond))
		g.expireLapsed(at(8 * time.Second))
		Expect(listed(g, backend, at(8*time.Second))).To(HaveLen(2))
		g.expireLapsed(at(6500*time.Millisecond + lapsedRetention))
		Expect(listed(g, backend, at(6500*time.Millisecond+lapsedRetention))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against a failed call just after an outage that discards the record of the
	// outage, so that live servers are dropped.
	It("keeps lapsed servers if a call fails after the outage", func() {
		g.sourceFailed(at(time.Second), broken)
		g.sourceResponded(at(6 * time.Second))
		g.sourceFailed(at(6300*time.Millisecond), broken)
		g.receive(at(6400*time.Millisecond), nearEntry, removal())
		Expect(listed(g, backend, at(6400*time.Millisecond))).To(HaveLen(2))
		g.sourceResponded(at(6500 * time.Millisecond))
		g.expireLapsed(at(7 * time.Second))
		Expect(listed(g, backend, at(7*time.Second))).To(HaveLen(2))
	})

	// Guards against servers that are gone staying listed longer with each call that
	// fails after an outage.
	It("does not keep lapsed servers longer if a call fails after the outage", func() {
		g.sourceFailed(at(time.Second), broken)
		g.sourceResponded(at(6 * time.Second))
		g.apply(at(6*time.Second), removeTwo, 9)
		g.sourceFailed(at(8*time.Second), broken)
		g.expireLapsed(at(6*time.Second + lapsedRetention))
		Expect(listed(g, backend, at(6*time.Second+lapsedRetention))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against a failed call after which the next removal no longer counts as a
	// lapse.
	It("keeps a lapsed server whose removal is read after another failed call", func() {
		g.sourceFailed(at(time.Second), broken)
		g.sourceResponded(at(6 * time.Second))
		g.sourceFailed(at(6300*time.Millisecond), broken)
		g.sourceResponded(at(6500 * time.Millisecond))
		g.apply(at(6500*time.Millisecond), removeTwo, 9)
		Expect(listed(g, backend, at(6500*time.Millisecond))).To(HaveLen(2))
	})
})
