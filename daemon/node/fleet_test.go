package node_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/daemon/internal/daemontest"
)

var _ = Describe("The fleet view", func() {
	// An instance was replaced under the same ID while its old process still
	// runs, on an address that is no longer listed. Both send records to a
	// neighbour. The older process learns from it that a newer one is running,
	// and ends; the newer one gets no notification. If both were notified, an
	// instance could be left without a process; if neither was, two processes
	// would give orders to one engine.
	It("reports a duplicate ID only to the older of two processes", func() {
		third := start("entry-9", fleet.RoleEntry, nil)
		self := fleet.Instance{ID: "agent-1", Role: fleet.RoleAgent, Place: daemontest.LocalPlace}
		older := startAs(self, 1000, nil)
		newer := startAs(self, 2000, nil)
		older.Instances.Set(third.Self)
		newer.Instances.Set(third.Self)
		third.Instances.Set(newer.Self)
		var other gossip.Record
		Eventually(older.Duplicates).Should(Receive(&other))
		Expect(other.Incarnation).To(BeEquivalentTo(2000))
		Expect(newer.Duplicates).NotTo(Receive())
	})

	// A process stops without announcing it. Its neighbours detect that it is
	// silent, and processes that were connected only through it find each other
	// in other ways.
	It("shows a stopped process as silent", func() {
		a, b, c := start("agent-1", fleet.RoleAgent, nil), start("agent-2", fleet.RoleAgent, nil), start("agent-3", fleet.RoleAgent, nil)
		listEachOther(a, b, c)
		Eventually(a.sees(c)).Should(BeTrue())
		Eventually(b.sees(c)).Should(BeTrue())
		c.Stop()
		Eventually(a.sees(c)).Should(BeFalse())
		Eventually(b.sees(c)).Should(BeFalse())
		Eventually(a.sees(b)).Should(BeTrue())
	})

	// A process begins its planned stop. The instance list lags and still shows
	// it as live; the neighbours learn of the stop from the process's own
	// record.
	It("shows at once that a process is leaving", func() {
		a, b := start("agent-1", fleet.RoleAgent, nil), start("agent-2", fleet.RoleAgent, nil)
		listEachOther(a, b)
		Eventually(a.sees(b)).Should(BeTrue())
		b.OnLoop(func(now time.Time) {
			b.Node.UpdateSelf(now, func(r *gossip.Record) { r.Leaving = true })
		})
		Eventually(func() bool {
			p, known := a.Node.View().Peer(b.Self.ID)
			return known && p.Leaving && !p.ListedLeaving
		}).Should(BeTrue())
	})

	// A process was paused and must not act on what it knew before. It counts as
	// in contact once the platform responds or a neighbour sends a message after
	// the pause; earlier messages do not count.
	It("confirms contact after a pause only by later messages", func() {
		alone := start("agent-1", fleet.RoleAgent, nil)
		Expect(alone.Node.ConfirmContact(context.Background(), time.Now())).To(BeFalse(), "no platform and no neighbour")

		other := start("agent-2", fleet.RoleAgent, nil)
		listEachOther(alone, other)
		var since time.Time
		alone.OnLoop(func(now time.Time) { since = now })
		Eventually(func() bool { return alone.Node.ConfirmContact(context.Background(), since) }).Should(BeTrue())
		other.Stop()
		Eventually(alone.sees(other)).Should(BeFalse())
		alone.OnLoop(func(now time.Time) { since = now })
		Expect(alone.Node.ConfirmContact(context.Background(), since)).To(BeFalse(), "the neighbour is gone")

		alone.Config.Set(1, configWith(1))
		alone.Config.SetDown(false)
		Expect(alone.Node.ConfirmContact(context.Background(), since)).To(BeTrue(), "the platform responds")
	})
})
