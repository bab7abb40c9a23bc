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

var _ = Describe("The catalog, around calls that fail,", func() {
	var g *Gateway
	var backend *noBackend
	one, two := server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3)
	removeTwo := []catalog.Change{{Revision: 9, Removed: "i-2"}}
	broken := failure.Unavailable.New("turned away")

	BeforeEach(func() {
		g, backend = newGateway()
		g.sourceAnswered(start)
		g.adopt(start, snapshot(5, one, two), "platform")
	})

	// removal is what another entry tells of the second server's end.
	removal := func() wire.Beat {
		b := beat("10.0.0.2")
		b.Servers = &wire.ServerNews{After: 5, AsOf: 9, Changes: removeTwo}
		return b
	}

	// Guards against requests to a server that left without a word, at an entry
	// of which one call failed while the platform was sound.
	It("drops one at once that leaves while a single call fails", func() {
		g.sourceFailed(at(time.Second), broken)
		g.heard(at(1100*time.Millisecond), nearEntry, removal())
		Expect(listed(g, backend, at(1100*time.Millisecond))).To(ConsistOf(fleet.InstanceID("i-1")))
		g.sourceAnswered(at(1300 * time.Millisecond))
		g.endLapses(at(1300 * time.Millisecond))
		Expect(listed(g, backend, at(1300*time.Millisecond))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against requests to a server that left while the process stood still.
	It("drops one at once that a peer tells of after a pause", func() {
		g.woke(at(5*time.Second), 5*time.Second)
		g.heard(at(5100*time.Millisecond), nearEntry, removal())
		Expect(listed(g, backend, at(5100*time.Millisecond))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against a service without servers for two seconds, at an entry that
	// hears of lapses from a peer before the platform answers here.
	It("keeps those that lapsed also when a peer tells of it first", func() {
		g.sourceFailed(at(time.Second), broken)
		g.heard(at(6*time.Second), nearEntry, removal())
		Expect(listed(g, backend, at(6*time.Second))).To(HaveLen(2))
		g.sourceAnswered(at(6500 * time.Millisecond))
		g.endLapses(at(8 * time.Second))
		Expect(listed(g, backend, at(8*time.Second))).To(HaveLen(2))
		g.endLapses(at(6500*time.Millisecond + lapseTime))
		Expect(listed(g, backend, at(6500*time.Millisecond+lapseTime))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against a failed call just after an outage that ends what was known of
	// the outage: live servers would be dropped.
	It("keeps those that lapsed also when a call fails after the return", func() {
		g.sourceFailed(at(time.Second), broken)
		g.sourceAnswered(at(6 * time.Second))
		g.sourceFailed(at(6300*time.Millisecond), broken)
		g.heard(at(6400*time.Millisecond), nearEntry, removal())
		Expect(listed(g, backend, at(6400*time.Millisecond))).To(HaveLen(2))
		g.sourceAnswered(at(6500 * time.Millisecond))
		g.endLapses(at(7 * time.Second))
		Expect(listed(g, backend, at(7*time.Second))).To(HaveLen(2))
	})

	// Guards against servers that are gone staying listed for longer with each call
	// that fails after an outage.
	It("keeps none for longer because a call fails after the return", func() {
		g.sourceFailed(at(time.Second), broken)
		g.sourceAnswered(at(6 * time.Second))
		g.apply(at(6*time.Second), removeTwo, 9)
		g.sourceFailed(at(8*time.Second), broken)
		g.endLapses(at(6*time.Second + lapseTime))
		Expect(listed(g, backend, at(6*time.Second+lapseTime))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against a failed call that makes the next removal a lapse no more.
	It("keeps one that lapsed whose end is read after a further failed call", func() {
		g.sourceFailed(at(time.Second), broken)
		g.sourceAnswered(at(6 * time.Second))
		g.sourceFailed(at(6300*time.Millisecond), broken)
		g.sourceAnswered(at(6500 * time.Millisecond))
		g.apply(at(6500*time.Millisecond), removeTwo, 9)
		Expect(listed(g, backend, at(6500*time.Millisecond))).To(HaveLen(2))
	})
})
