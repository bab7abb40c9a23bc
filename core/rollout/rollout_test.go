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

// staged returns a replica that serves v1 and waits for its turn to change to
// v2.
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

func silent(r *rollout.Replica) { r.Silent = true }
func longSilent(r *rollout.Replica) {
	r.Silent = true
	r.SilentFor = rollout.BlockedAfter + time.Second
}
func leaving(r *rollout.Replica)        { r.Leaving = true }
func outdated(r *rollout.Replica)       { r.Outdated = true }
func laterOrder(r *rollout.Replica)     { r.Order = 1 }
func first(r *rollout.Replica)          { r.Order = 0 }
func changed(r *rollout.Replica)        { r.State = gossip.StateServing; r.Serving = v2 }
func changing(r *rollout.Replica)       { r.State = gossip.StateChanging }
func oldRevision(r *rollout.Replica)    { r.Revision = 4 }
func previousTarget(r *rollout.Replica) { r.Target = v1; r.State = gossip.StateServing }
func fetching(r *rollout.Replica)       { r.State = gossip.StateFetching }
func servingNothing(r *rollout.Replica) { r.State = gossip.StateFetching; r.Serving = fleet.Version{} }
func zone2(r *rollout.Replica)          { r.Zone = "z2" }
func region2(r *rollout.Replica)        { r.Zone = "z3"; r.Region = "r2" }

func request(limit int, replicas ...rollout.Replica) rollout.Request {
	return rollout.Request{Self: "self", Target: v2, TargetSince: 5, Replicas: replicas, MaxUnavailable: limit}
}

var _ = Describe("Decide", func() {
	self := staged("self", laterOrder)

	// Each row has the other replicas as the deciding one sees them; the
	// deciding one is behind those with Order 0 and before those with Order 2.
	// A wrong yes takes one replica too many out of service, a wrong no keeps
	// the zone on the old version.
	DescribeTable("decides by the states of the other replicas", func(limit int, allowed bool, others ...rollout.Replica) {
		decision := rollout.Decide(request(limit, append(others, self)...))
		Expect(decision.Allowed).To(Equal(allowed), decision.Reason)
	},
		Entry("alone in its zone", 1, true),
		Entry("alone, with others in other zones", 1, true, staged("a", zone2), staged("b", zone2, changing)),
		Entry("behind one that has not changed", 1, false, staged("a", first)),
		Entry("behind one that has changed", 1, true, staged("a", first, changed)),
		Entry("behind one that changed under an older configuration", 1, false, staged("a", first, changed, oldRevision)),
		Entry("behind one that changed and crashed", 1, false, staged("a", first, changed, silent)),
		Entry("behind one whose known state is outdated", 1, false, staged("a", first, changed, outdated)),
		Entry("before one that waits", 1, true, staged("a", func(r *rollout.Replica) { r.Order = 2 })),
		Entry("before one that crashed", 1, false, staged("a", silent, func(r *rollout.Replica) { r.Order = 2 })),
		Entry("before one that is leaving", 1, false, staged("a", leaving, func(r *rollout.Replica) { r.Order = 2 })),
		Entry("before one that is out for an older target", 1, false, staged("a", changing, func(r *rollout.Replica) { r.Order = 2 })),
		Entry("before one that still follows the previous target", 1, false, staged("a", previousTarget, func(r *rollout.Replica) { r.Order = 2 })),
		Entry("before a new instance that serves nothing yet", 1, false, staged("a", servingNothing, func(r *rollout.Replica) { r.Order = 2 })),
		Entry("one crashed, two may be out", 2, true, staged("a", first, silent)),
		Entry("one crashed and one before it, two may be out", 2, false, staged("a", first, silent), staged("b", first)),
		Entry("a limit of 0 counts as 1", 0, true),
	)

	DescribeTable("refuses", func(q rollout.Request, reason string) {
		decision := rollout.Decide(q)
		Expect(decision.Allowed).To(BeFalse())
		Expect(decision.Reason).To(Equal(reason))
	},
		Entry("without a target", rollout.Request{Self: "self", Replicas: []rollout.Replica{self}}, "no target"),
		Entry("a replica that is not in the list", request(1, staged("a")), "this replica is not among the replicas"),
		Entry("a replica that is leaving", request(1, staged("self", leaving)), "this replica is leaving"),
		Entry("a replica that has changed", request(1, staged("self", changed)), "the target is served"),
	)

	It("allows a replica that serves nothing to load immediately", func() {
		q := request(1, staged("self", servingNothing), staged("a", first), staged("b", changing))
		q.ServingNothing = true
		Expect(rollout.Decide(q).Allowed).To(BeTrue())
	})

	It("names the replicas it waits for, and is blocked by one that stays silent", func() {
		waiting := rollout.Decide(request(1, self, staged("b", first), staged("a", silent)))
		Expect(waiting.WaitingFor).To(Equal([]fleet.InstanceID{"a", "b"}))
		Expect(waiting.Blocked).To(BeFalse())
		blocked := rollout.Decide(request(1, self, staged("a", longSilent)))
		Expect(blocked.Blocked).To(BeTrue())
		Expect(blocked.Reason).To(Equal("blocked by silent replica, waiting for 1 replicas, at most 1 may be out: a silent"))
		Expect(rollout.Decide(request(2, self, staged("a", longSilent))).Blocked).To(BeFalse())
	})

	// Revision 2 pins v2, 3 pins v1, 4 pins v2; self reads 2 and 4 only. The
	// other replica served v2 at 2 and has left it for v1 at 3. A process that
	// assumes its target was pinned since 2 trusts that state and goes out, so
	// that two replicas are out. Therefore a process that skips a revision sets
	// TargetSince to the new one.
	It("does not trust states reported before a revision that it skipped", func() {
		q := request(1, self, staged("a", first, changed, func(r *rollout.Replica) { r.Revision = 2 }))
		q.TargetSince = 2
		Expect(rollout.Decide(q).Allowed).To(BeTrue())
		q.TargetSince = 4
		Expect(rollout.Decide(q).Allowed).To(BeFalse())
	})
})

var _ = Describe("NextOrder", func() {
	It("moves behind replicas that have their chunks, and never ahead", func() {
		ready := staged("a", laterOrder)
		Expect(rollout.NextOrder(request(1, staged("self", fetching), ready))).To(Equal(uint64(2)))
		Expect(rollout.NextOrder(request(1, staged("self", fetching, func(r *rollout.Replica) { r.Order = 3 }), ready))).To(Equal(uint64(3)))
		Expect(rollout.NextOrder(request(1, staged("self", laterOrder), staged("a")))).To(Equal(uint64(1)))
		Expect(rollout.NextOrder(request(1, staged("self", changing), ready))).To(BeZero())
		Expect(rollout.NextOrder(request(1, staged("self", fetching), staged("a", laterOrder, silent)))).To(BeZero())
	})
})

var _ = Describe("DependencyReady", func() {
	own := fleet.Place{Zone: "z1", Region: "r1"}
	plain := func(edits ...func(*rollout.Replica)) rollout.Replica {
		return staged("p", append(edits, func(r *rollout.Replica) { r.Serving, r.State = fleet.Version{}, gossip.StateServing })...)
	}

	// A dependent that changes before its dependency would send requests of the
	// new version to replicas that still serve the old one. A dependent that
	// waits for replicas that are gone, or in another region, would never
	// change.
	DescribeTable("considers the nearest live replicas", func(target fleet.Version, limit int, ready bool, replicas ...rollout.Replica) {
		got, reason := rollout.DependencyReady(replicas, target, limit, own)
		Expect(got).To(Equal(ready), reason)
	},
		Entry("no replica", v2, 1, false),
		Entry("only crashed replicas", v2, 1, false, staged("a", changed, silent)),
		Entry("all replicas changed", v2, 1, true, staged("a", changed), staged("b", changed)),
		Entry("all replicas but one changed", v2, 1, true, staged("a", changed), staged("b", changing)),
		Entry("all replicas but two changed", v2, 1, false, staged("a", changed), staged("b"), staged("c")),
		Entry("the only replica has not changed", v2, 1, false, staged("a")),
		Entry("crashed replicas do not count", v2, 0, true, staged("a", changed), staged("b", silent)),
		Entry("the own zone first", v2, 0, true, staged("a", changed), staged("b", zone2)),
		Entry("then the region", v2, 0, false, staged("a", zone2), staged("b", region2, changed)),
		Entry("then the fleet", v2, 0, true, staged("a", region2, changed)),
		Entry("a plain service that serves", fleet.Version{}, 0, true, plain(), plain(changing)),
		Entry("a plain service without live replicas", fleet.Version{}, 0, false, plain(silent)),
	)
})

var _ = Describe("ReplicasOf", func() {
	It("includes the own replica, replicas with a record and replicas that are only listed", func() {
		now := time.Now()
		own := gossip.Record{
			ID: "self", Incarnation: 1, Role: fleet.RoleAgent, Service: "s",
			Place: fleet.Place{Zone: "z1"}, State: gossip.StateStaged, Serving: v1, Target: v2,
		}
		table := gossip.New(gossip.Options{Self: own})
		other := own
		other.ID, other.StateSeq, other.RolloutOrder = "a", 1, 4
		table.Merge(now, "a", []gossip.Record{other})
		table.SetListed(now, []fleet.Instance{{ID: "b", Role: fleet.RoleAgent, Service: "s", Place: own.Place}})
		now = now.Add(3 * time.Second)
		replicas := rollout.ReplicasOf(table.View(now), "s")
		Expect(replicas).To(HaveLen(3))
		Expect(replicas[0].ID).To(Equal(fleet.InstanceID("self")))
		Expect(replicas[1]).To(Equal(rollout.Replica{
			ID: "a", Place: own.Place, State: gossip.StateStaged, Serving: v1, Target: v2, Order: 4,
		}))
		Expect(rollout.ServedVersions(replicas, "self")).To(Equal([]fleet.Version{v1}))
		Expect(rollout.ServedVersions(replicas, "a")).To(Equal([]fleet.Version{v1}))
		Expect(rollout.ServedVersions(replicas[2:], "self")).To(BeEmpty())
		Expect(replicas[2].Silent).To(BeTrue())
		Expect(replicas[2].SilentFor).To(Equal(3 * time.Second))
	})
})
