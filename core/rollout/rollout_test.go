package rollout_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/rollout"
)

func version(name string) fleet.Version {
	return fleet.Version{Name: name, Manifest: fleet.DigestOf([]byte(name))}
}

var (
	v1 = version("v1")
	v2 = version("v2")
	v3 = version("v3")
)

// staged returns a replica that serves v1 and waits for its turn for v2.
func staged(id fleet.InstanceID, edits ...func(*rollout.Replica)) rollout.Replica {
	r := rollout.Replica{
		ID: id, Place: fleet.Place{Zone: "z1", Region: "r1"},
		State: gossip.StateStaged, Serving: v1, Target: v2, Revision: 5,
	}
	for _, edit := range edits {
		edit(&r)
	}
	return r
}

func silent(r *rollout.Replica)   { r.Silent = true }
func listed(r *rollout.Replica)   { r.Silent = true; r.SilentFor = rollout.BlockedAfter + time.Second }
func leaving(r *rollout.Replica)  { r.Leaving = true }
func behind(r *rollout.Replica)   { r.Behind = true }
func late(r *rollout.Replica)     { r.Turn = 1 }
func first(r *rollout.Replica)    { r.Turn = 0 }
func changed(r *rollout.Replica)  { r.State = gossip.StateServing; r.Serving = v2 }
func changing(r *rollout.Replica) { r.State = gossip.StateChanging }
func oldText(r *rollout.Replica)  { r.Revision = 4 }
func former(r *rollout.Replica)   { r.Target = v1; r.State = gossip.StateServing }
func fetching(r *rollout.Replica) { r.State = gossip.StateFetching }
func fresh(r *rollout.Replica)    { r.State = gossip.StateFetching; r.Serving = fleet.Version{} }
func zone2(r *rollout.Replica)    { r.Zone = "z2" }
func region2(r *rollout.Replica)  { r.Zone = "z3"; r.Region = "r2" }

func ask(limit int, replicas ...rollout.Replica) rollout.Question {
	return rollout.Question{Self: "self", Target: v2, TargetSince: 5, Replicas: replicas, MaxUnavailable: limit}
}

var _ = Describe("Decide", func() {
	self := staged("self", late)

	// Each row is one other replica, or two, as the deciding one sees them;
	// the deciding one stands behind those with Turn 0 and before those with
	// Turn 2. A wrong yes takes one replica too many from its callers, a wrong
	// no holds the zone on the old version.
	DescribeTable("weighs one replica against another", func(limit int, goes bool, others ...rollout.Replica) {
		decision := rollout.Decide(ask(limit, append(others, self)...))
		Expect(decision.Go).To(Equal(goes), decision.Reason)
	},
		Entry("alone in its zone", 1, true),
		Entry("alone, with others in other zones", 1, true, staged("a", zone2), staged("b", zone2, changing)),
		Entry("behind one that has not changed", 1, false, staged("a", first)),
		Entry("behind one that has changed", 1, true, staged("a", first, changed)),
		Entry("behind one that changed under an older text", 1, false, staged("a", first, changed, oldText)),
		Entry("behind one that changed and died", 1, false, staged("a", first, changed, silent)),
		Entry("behind one of which a newer state exists", 1, false, staged("a", first, changed, behind)),
		Entry("before one that waits", 1, true, staged("a", func(r *rollout.Replica) { r.Turn = 2 })),
		Entry("before one that died", 1, false, staged("a", silent, func(r *rollout.Replica) { r.Turn = 2 })),
		Entry("before one that is leaving", 1, false, staged("a", leaving, func(r *rollout.Replica) { r.Turn = 2 })),
		Entry("before one that is out for an older target", 1, false, staged("a", changing, func(r *rollout.Replica) { r.Turn = 2 })),
		Entry("before one that still follows the former target", 1, false, staged("a", former, func(r *rollout.Replica) { r.Turn = 2 })),
		Entry("before a new instance that serves nothing yet", 1, false, staged("a", fresh, func(r *rollout.Replica) { r.Turn = 2 })),
		Entry("one dead, two may be out", 2, true, staged("a", first, silent)),
		Entry("one dead and one before it, two may be out", 2, false, staged("a", first, silent), staged("b", first)),
		Entry("a limit of 0 counts as 1", 0, true),
	)

	DescribeTable("does not let go", func(q rollout.Question, reason string) {
		decision := rollout.Decide(q)
		Expect(decision.Go).To(BeFalse())
		Expect(decision.Reason).To(Equal(reason))
	},
		Entry("without a target", rollout.Question{Self: "self", Replicas: []rollout.Replica{self}}, "no target"),
		Entry("one that nobody lists", ask(1, staged("a")), "this replica is not among the replicas"),
		Entry("one that is leaving", ask(1, staged("self", leaving)), "this replica is leaving"),
		Entry("one that has changed", ask(1, staged("self", changed)), "the target is served"),
	)

	It("lets a replica that serves nothing load at once", func() {
		q := ask(1, staged("self", fresh), staged("a", first), staged("b", changing))
		q.ServingNothing = true
		Expect(rollout.Decide(q).Go).To(BeTrue())
	})

	It("names those it waits for, and blocks on one that stays silent", func() {
		waiting := rollout.Decide(ask(1, self, staged("b", first), staged("a", silent)))
		Expect(waiting.Waiting).To(Equal([]fleet.InstanceID{"a", "b"}))
		Expect(waiting.Blocked).To(BeFalse())
		blocked := rollout.Decide(ask(1, self, staged("a", listed)))
		Expect(blocked.Blocked).To(BeTrue())
		Expect(blocked.Reason).To(Equal("blocked by silent replica, waiting for 1 replicas, at most 1 may be out: a silent"))
		Expect(rollout.Decide(ask(2, self, staged("a", listed))).Blocked).To(BeFalse())
	})

	// The text pins v2 at 2, v1 at 3, v2 at 4; self reads 2 and 4 only. The
	// other replica served v2 at 2 and has left it for v1 at 3. A process that
	// believes its target stood since 2 believes that too, goes, and two are
	// out. So whoever skips a revision takes the new one for TargetSince.
	It("does not believe what was said before a text that it skipped", func() {
		q := ask(1, self, staged("a", first, changed, func(r *rollout.Replica) { r.Revision = 2 }))
		q.TargetSince = 2
		Expect(rollout.Decide(q).Go).To(BeTrue())
		q.TargetSince = 4
		Expect(rollout.Decide(q).Go).To(BeFalse())
	})
})

var _ = Describe("Turn", func() {
	It("moves behind those that have their chunks, and never ahead", func() {
		ready := staged("a", late)
		Expect(rollout.Turn(ask(1, staged("self", fetching), ready))).To(Equal(uint64(2)))
		Expect(rollout.Turn(ask(1, staged("self", fetching, func(r *rollout.Replica) { r.Turn = 3 }), ready))).To(Equal(uint64(3)))
		Expect(rollout.Turn(ask(1, staged("self", late), staged("a")))).To(Equal(uint64(1)))
		Expect(rollout.Turn(ask(1, staged("self", changing), ready))).To(BeZero())
		Expect(rollout.Turn(ask(1, staged("self", fetching), staged("a", late, silent)))).To(BeZero())
	})
})

var _ = Describe("DependencyReady", func() {
	own := fleet.Place{Zone: "z1", Region: "r1"}
	plain := func(edits ...func(*rollout.Replica)) rollout.Replica {
		return staged("p", append(edits, func(r *rollout.Replica) { r.Serving, r.State = fleet.Version{}, gossip.StateServing })...)
	}

	// A dependent that changes before what it depends on would ask the new of
	// those that still answer the old. One that waits for replicas that are
	// gone, or far away, would never change.
	DescribeTable("looks at the nearest live replicas", func(target fleet.Version, limit int, ready bool, replicas ...rollout.Replica) {
		got, reason := rollout.DependencyReady(replicas, target, limit, own)
		Expect(got).To(Equal(ready), reason)
	},
		Entry("no replica", v2, 1, false),
		Entry("only dead ones", v2, 1, false, staged("a", changed, silent)),
		Entry("all changed", v2, 1, true, staged("a", changed), staged("b", changed)),
		Entry("all but one", v2, 1, true, staged("a", changed), staged("b", changing)),
		Entry("all but two", v2, 1, false, staged("a", changed), staged("b"), staged("c")),
		Entry("the only one not", v2, 1, false, staged("a")),
		Entry("the dead do not count", v2, 0, true, staged("a", changed), staged("b", silent)),
		Entry("own zone first", v2, 0, true, staged("a", changed), staged("b", zone2)),
		Entry("then the region", v2, 0, false, staged("a", zone2), staged("b", region2, changed)),
		Entry("then the fleet", v2, 0, true, staged("a", region2, changed)),
		Entry("a plain service that serves", fleet.Version{}, 0, true, plain(), plain(changing)),
		Entry("a plain service that is gone", fleet.Version{}, 0, false, plain(silent)),
	)
})

var _ = Describe("ReplicasOf", func() {
	It("shows the own replica and those heard or only listed", func() {
		now := time.Now()
		own := gossip.Record{
			ID: "self", Incarnation: 1, Role: fleet.RoleAgent, Service: "s",
			Place: fleet.Place{Zone: "z1"}, State: gossip.StateStaged, Serving: v1, Target: v2,
		}
		table := gossip.New(gossip.Options{Self: own})
		other := own
		other.ID, other.Change, other.Turn = "a", 1, 4
		table.Merge(now, "a", []gossip.Record{other})
		table.SetListed(now, []fleet.Instance{{ID: "b", Role: fleet.RoleAgent, Service: "s", Place: own.Place}})
		now = now.Add(3 * time.Second)
		replicas := rollout.ReplicasOf(table.View(now), "s")
		Expect(replicas).To(HaveLen(3))
		Expect(replicas[0].ID).To(Equal(fleet.InstanceID("self")))
		Expect(replicas[1]).To(Equal(rollout.Replica{
			ID: "a", Place: own.Place, State: gossip.StateStaged, Serving: v1, Target: v2, Turn: 4,
		}))
		Expect(rollout.Served(replicas, "self")).To(Equal([]fleet.Version{v1}))
		Expect(rollout.Served(replicas, "a")).To(Equal([]fleet.Version{v1}))
		Expect(rollout.Served(replicas[2:], "self")).To(BeEmpty())
		Expect(replicas[2].Silent).To(BeTrue())
		Expect(replicas[2].SilentFor).To(Equal(3 * time.Second))
	})
})
