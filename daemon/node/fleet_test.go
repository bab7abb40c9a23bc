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

var _ = Describe("The fleet", func() {
	// An instance was replaced under its old id while its process still runs, on
	// an address that nobody lists any more. Both tell a neighbour of themselves.
	// The older one learns from it that a newer one lives and ends; the newer one
	// is told nothing. Were both told, an instance could be left without a
	// process, and with neither told, two would give one engine orders.
	It("ends the older of two processes with one id", func() {
		third := start("entry-9", fleet.RoleEntry, nil)
		self := fleet.Instance{ID: "agent-1", Role: fleet.RoleAgent, Place: daemontest.Here}
		older := startAs(self, 1000, nil)
		newer := startAs(self, 2000, nil)
		older.List.Set(third.Self)
		newer.List.Set(third.Self)
		third.List.Set(newer.Self)
		var other gossip.Record
		Eventually(older.Duplicates).Should(Receive(&other))
		Expect(other.Incarnation).To(BeEquivalentTo(2000))
		Expect(newer.Duplicates).NotTo(Receive())
	})

	// A process is stopped without a word. Its neighbours notice that it is
	// silent, and those that it was the only way to find others by other ways.
	It("notices a process that says nothing any more", func() {
		a, b, c := start("agent-1", fleet.RoleAgent, nil), start("agent-2", fleet.RoleAgent, nil), start("agent-3", fleet.RoleAgent, nil)
		introduce(a, b, c)
		Eventually(a.hears(c)).Should(BeTrue())
		Eventually(b.hears(c)).Should(BeTrue())
		c.Stop()
		Eventually(a.hears(c)).Should(BeFalse())
		Eventually(b.hears(c)).Should(BeFalse())
		Eventually(a.hears(b)).Should(BeTrue())
	})

	// A process begins its planned stop. The list, which lags, goes on showing it
	// as live; the neighbours know it from the process's own record.
	It("hears at once that a process leaves", func() {
		a, b := start("agent-1", fleet.RoleAgent, nil), start("agent-2", fleet.RoleAgent, nil)
		introduce(a, b)
		Eventually(a.hears(b)).Should(BeTrue())
		b.OnLoop(func(now time.Time) {
			b.Node.UpdateSelf(now, func(r *gossip.Record) { r.Leaving = true })
		})
		Eventually(func() bool {
			p, known := a.Node.View().Peer(b.Self.ID)
			return known && p.Leaving && !p.ListedLeaving
		}).Should(BeTrue())
	})

	// A process was paused and must not act on what it knew before. It counts as
	// having heard of the world once the platform answers or a neighbour speaks
	// after the pause; what was heard before it does not count.
	It("counts as heard after a pause only by what came since", func() {
		alone := start("agent-1", fleet.RoleAgent, nil)
		Expect(alone.Node.Reread(context.Background(), time.Now())).To(BeFalse(), "nobody is there")

		other := start("agent-2", fleet.RoleAgent, nil)
		introduce(alone, other)
		var since time.Time
		alone.OnLoop(func(now time.Time) { since = now })
		Eventually(func() bool { return alone.Node.Reread(context.Background(), since) }).Should(BeTrue())
		other.Stop()
		Eventually(alone.hears(other)).Should(BeFalse())
		alone.OnLoop(func(now time.Time) { since = now })
		Expect(alone.Node.Reread(context.Background(), since)).To(BeFalse(), "the neighbour is gone")

		alone.Text.Set(1, textWith(1))
		alone.Text.SetDown(false)
		Expect(alone.Node.Reread(context.Background(), since)).To(BeTrue(), "the platform answers")
	})
})
