package gateway

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("The catalog", func() {
	var g *Gateway
	var backend *rejectingBackend
	one, two := server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3)
	removeTwo := []catalog.Change{{Revision: 9, Removed: "i-2"}}
	broken := failure.Unavailable.New("refused")

	BeforeEach(func() {
		g, backend = newGateway()
		g.sourceResponded(start)
		g.adopt(start, snapshot(5, one, two), "platform")
	})

	It("drops a server whose registration ends", func() {
		g.apply(at(time.Second), removeTwo, 9)
		Expect(listed(g, backend, at(time.Second))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against servers that are dropped because their registrations lapsed during
	// an outage of the platform. Live servers are registered again within two seconds,
	// others never.
	It("keeps servers whose registration lapsed during an outage for a while", func() {
		g.sourceFailed(at(time.Second), broken)
		g.sourceResponded(at(6 * time.Second))
		g.apply(at(6*time.Second), removeTwo, 9)
		Expect(listed(g, backend, at(6*time.Second))).To(HaveLen(2))
		g.expireLapsed(at(9 * time.Second))
		Expect(listed(g, backend, at(9*time.Second))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against lapsed servers that are dropped for two seconds because another
	// entry got a response of the platform half a second earlier. Those servers are not
	// registered again yet.
	It("keeps them even if another entry got a response a moment earlier", func() {
		g.sourceFailed(at(time.Second), broken)
		other := beat("10.0.0.2")
		other.ReachesPlatform = true
		g.receive(at(5500*time.Millisecond), nearEntry, other)
		g.sourceResponded(at(6 * time.Second))
		g.apply(at(6*time.Second), removeTwo, 9)
		Expect(listed(g, backend, at(6*time.Second))).To(HaveLen(2))
	})

	It("immediately drops a lapsed server that had announced that it leaves", func() {
		g.sourceFailed(at(time.Second), broken)
		g.sourceResponded(at(6 * time.Second))
		leaving := two
		leaving.Draining = true
		leaving.Revision = 8
		g.apply(at(6*time.Second), []catalog.Change{{Revision: 8, Server: &leaving}, removeTwo[0]}, 9)
		Expect(listed(g, backend, at(6*time.Second))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against requests to a server that leaves just after the platform responds to
	// this entry again, while other entries had responses all the time: its removal is
	// not a lapse.
	It("keeps no lapsed servers if only this entry was cut off", func() {
		g.sourceFailed(at(time.Second), broken)
		other := beat("10.0.0.2")
		other.ReachesPlatform = true
		g.receive(at(2*time.Second), nearEntry, other)
		g.sourceResponded(at(6 * time.Second))
		g.apply(at(6*time.Second), removeTwo, 9)
		Expect(listed(g, backend, at(6*time.Second))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against live servers that are dropped because the platform returned from a copy
	// that is older than their registrations.
	It("keeps servers that an older copy lacks in use until they can be registered again", func() {
		const secondEra = catalog.Revision(1 << 40)
		g.adopt(at(time.Second), snapshot(secondEra+3, one), "platform")
		Expect(listed(g, backend, at(time.Second))).To(ConsistOf(one.ID, two.ID))
		g.expireLapsed(at(time.Second + lapsedRetention))
		Expect(listed(g, backend, at(time.Second+lapsedRetention))).To(ConsistOf(one.ID))
	})

	// Guards against an entry that misses a configuration of a peer of the release before, which
	// reports the revision only.
	It("is lacking if a peer has a newer version, or a newer revision and states no version", func() {
		g.snapshot.ConfigRevision = 4
		b := beat("10.0.0.2")
		b.ConfigRevision = 5
		Expect(g.lacksConfigOf(b)).To(BeTrue())
		b.ConfigVersion = g.snapshot.ConfigVersion()
		Expect(g.lacksConfigOf(b)).To(BeFalse())
		b.ConfigVersion++
		b.ConfigRevision = 0
		Expect(g.lacksConfigOf(b)).To(BeTrue())
	})

	It("never reverts to an older one", func() {
		newer := snapshot(20, one)
		newer.Config = config(7)
		g.adopt(at(time.Second), newer, "peer")
		g.adopt(at(2*time.Second), snapshot(10, one, two), "platform")
		Expect(g.table.Version()).To(Equal(int64(7)))
		stale := snapshot(25, one)
		g.adopt(at(3*time.Second), stale, "platform")
		Expect(g.table.Version()).To(Equal(int64(7)))
	})

	// Guards against access with a key that the operator dropped while the process was
	// paused for five seconds. If the entry accepted calls after a peer's report on
	// servers alone, it would still use the old configuration.
	It("is stale after a pause until the configuration has been read again", func() {
		g.publish(start)
		g.resumeAfterPause(at(5*time.Second), 5*time.Second)
		g.receiveFromReader(at(5*time.Second), wire.Heartbeat{
			Platform: &wire.PlatformState{}, Servers: &wire.ServerChanges{After: 5, AsOf: 9, Changes: removeTwo},
		})
		Expect(g.snapshot.AsOf).To(Equal(catalog.Revision(9)))
		g.publish(at(5 * time.Second))
		Expect(g.Ready()).To(BeFalse())
		Expect(g.shouldReadPlatform(at(5*time.Second), readersPerGroup)).To(BeTrue())
		g.sourceResponded(at(5 * time.Second))
		g.apply(at(5*time.Second), nil, 9)
		g.publish(at(5 * time.Second))
		Expect(g.Ready()).To(BeTrue())
		Expect(g.shouldReadPlatform(at(5*time.Second), readersPerGroup)).To(BeFalse())
	})

	// Guards against an outdated configuration if peers report a newer one and none sends
	// it, for example since their links are cut. The entry may not wait for longer than
	// the operator's bound allows.
	It("is read from the platform if no peer sends what is missing", func() {
		g.behindSince = at(time.Second)
		g.readerSeenAt, g.changesReadAt = at(2300*time.Millisecond), at(2300*time.Millisecond) // its readers report
		Expect(g.shouldReadPlatform(at(1900*time.Millisecond), readersPerGroup)).To(BeFalse())
		Expect(g.shouldReadPlatform(at(2100*time.Millisecond), readersPerGroup)).To(BeTrue())
		Expect(g.shouldReadPlatform(at(2100*time.Millisecond), readersPerGroup+1)).To(BeFalse())
		Expect(g.shouldReadPlatform(at(2300*time.Millisecond), readersPerGroup+1)).To(BeTrue())
	})

	It("keeps the active configuration if a newer one is invalid", func() {
		bad := config(8)
		bad.Routes[0].Prefix = "no slash"
		g.apply(at(time.Second), []catalog.Change{{Revision: 9, Config: bad}}, 9)
		Expect(g.table.Version()).To(Equal(int64(1)))
	})
})

var _ = Describe("Idle connections", func() {
	DescribeTable("are limited to this entry's share of what a server accepts",
		func(accepts, kept int) {
			g, backend := newGateway()
			s := snapshot(5, server("i-1", "10.0.1.1:80", 2))
			s.Config.Services[0].MaxConnections = accepts
			g.adopt(start, s, "platform")
			listed(g, backend, start)
			Expect(backend.listed[0].Connections).To(Equal(kept))
		},
		Entry("half of them, at a single entry", 48, 24),
		Entry("at least one", 1, 1),
		Entry("at most as many as are of use", 1000, 32),
		Entry("the same if the service has no limit", 0, 32),
	)
})

var _ = Describe("Wanted versions", func() {
	wanted := func(version uint64) catalog.Snapshot {
		s := snapshot(6, server("i-1", "10.0.1.1:80", 2))
		s.Wanted = []catalog.Wanted{{Model: "m", Version: version}}
		return s
	}

	// newFollower returns an entry whose catalog is from the platform.
	newFollower := func() *Gateway {
		g, _ := newGateway()
		g.sourceResponded(start)
		g.adopt(start, snapshot(5), "platform")
		g.sourceResponded(start)
		return g
	}

	It("are known since they were first reported", func() {
		g := newFollower()
		g.adopt(at(time.Second), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(time.Second)))
	})

	// A version is named while the platform is unavailable for five seconds, and all
	// entries learn of it when the platform returns. Callers that were refused return
	// then too, so engines change over the longer time that the operator allows.
	It("that were named during an outage count from when the platform is healthy again", func() {
		g := newFollower()
		g.sourceFailed(at(time.Second), failure.Unavailable.New("refused"))
		g.sourceResponded(at(6 * time.Second))
		g.adopt(at(6*time.Second), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(6*time.Second + 3*time.Second - maxRecoveryDelay)))
	})

	// Guards against engines used with outdated weights after the operator's time, at an
	// entry that detects the platform's return as late as possible.
	It("that were named during an outage count early enough, however late its end is detected", func() {
		returned := 6 * time.Second
		longestPause := time.Duration(0)
		for range 10_000 {
			longestPause = max(longestPause, backoff(maxBackoffDoublings+1, failure.Unavailable.New("reset")))
		}
		detected := returned + briefWatchWait + catalog.ResponseTimeout + longestPause + briefWatchWait
		g := newFollower()
		g.sourceFailed(at(time.Second), failure.Unavailable.New("reset"))
		g.sourceResponded(at(detected))
		g.adopt(at(detected), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(BeTemporally("<=", at(returned+g.opts.SoundTime)))
	})

	// Entries get responses again one after the other. One that has none yet may learn of
	// the version from one that has, which may just have started. The version was still
	// named during an outage.
	It("that a peer reports just before the platform responds here count as after an outage", func() {
		g := newFollower()
		g.sourceFailed(at(time.Second), failure.Unavailable.New("refused"))
		other := beat("10.0.0.2")
		other.ReachesPlatform = true
		other.Wanted = []wire.WantedVersion{{Model: "m", Version: 2, Assumed: true}}
		g.receive(at(6*time.Second), nearEntry, other)
		g.sourceResponded(at(6500 * time.Millisecond))
		g.adopt(at(6500*time.Millisecond), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(6*time.Second + 3*time.Second - maxRecoveryDelay)))
	})

	// Guards against an entry that learned of a version late and uses outdated weights
	// for longer than the entry that reported it.
	It("count from when the first of two entries learned of them", func() {
		g := newFollower()
		g.adopt(at(time.Second), wanted(2), "platform")
		other := beat("10.0.0.2")
		other.Wanted = []wire.WantedVersion{{Model: "m", Version: 2, AgeMS: 250}}
		g.receive(at(1100*time.Millisecond), nearEntry, other)
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(850 * time.Millisecond)))
	})

	// A single call failed because a connection was reset. The platform was healthy, so
	// the operator's time runs, even if other entries saw no failure at all.
	It("that are reported after one failed call count immediately", func() {
		g := newFollower()
		g.sourceFailed(at(time.Second), failure.Unavailable.New("reset"))
		g.sourceResponded(at(1200 * time.Millisecond))
		g.adopt(at(1200*time.Millisecond), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(1200 * time.Millisecond)))
	})

	// An entry starts during an outage and has its catalog from a peer. Only the other
	// entries know the length of the outage, so their time counts: an outage that seemed
	// short here would shorten the change for all.
	It("that an entry learns of in its first response count from the time known to its peers", func() {
		g, _ := newGateway()
		g.adopt(start, snapshot(5), "peer")
		g.sourceFailed(start, failure.Unavailable.New("busy"))
		g.sourceResponded(at(2 * time.Second))
		g.adopt(at(2*time.Second), wanted(2), "platform")
		other := beat("10.0.0.2")
		other.Wanted = []wire.WantedVersion{{Model: "m", Version: 2, AgeMS: -2000}}
		g.receive(at(2*time.Second), nearEntry, other)
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(4 * time.Second)))
	})

	// The platform refused this entry and responded to another. Only if it had failed for
	// all would the version get more time.
	It("that were named while only this entry was cut off count immediately", func() {
		g := newFollower()
		g.sourceFailed(at(time.Second), failure.Unavailable.New("refused"))
		other := beat("10.0.0.2")
		other.ReachesPlatform = true
		g.receive(at(2*time.Second), nearEntry, other)
		g.sourceResponded(at(6 * time.Second))
		g.adopt(at(6*time.Second), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(6 * time.Second)))
	})

	// An entry starts in the middle of a change and cannot know when the version was
	// named. It uses no engine with the old version, but must not make other entries stop
	// using them.
	It("that were known at the start count as old, at this entry only", func() {
		g, _ := newGateway()
		g.adopt(start, wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(-8 * time.Second)))
		report := g.compose(start, nearEntry, mesh.First)
		Expect(report.Wanted).To(HaveLen(1))
		Expect(report.Wanted[0].Assumed).To(BeTrue())
		other := beat("10.0.0.2")
		other.Wanted = []wire.WantedVersion{{Model: "m", Version: 2, AgeMS: 1000}}
		g.receive(start, nearEntry, other)
		since, _ = g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(-time.Second)))
	})

	// Guards against a service without engines for seconds if a version is named while
	// the platform is unavailable and an entry starts just as the platform returns. That
	// entry assumes that the version is old, and its report arrives before the platform's
	// response. Engines with the old version must stay in use, since they change in turn.
	It("that only a starting peer reports are new to an entry that had a catalog without them", func() {
		g := newFollower()
		other := beat("10.0.0.2")
		other.Wanted = []wire.WantedVersion{{Model: "m", Version: 2, AgeMS: 8000, Assumed: true}}
		g.receive(at(time.Second), nearEntry, other)
		g.adopt(at(2*time.Second), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(time.Second)))
		report := g.compose(at(2*time.Second), nearEntry, mesh.First)
		Expect(report.Wanted[0].Assumed).To(BeFalse())
	})
})

func entryAt(id, region, zone string) mesh.Entry {
	return mesh.Entry{
		ID: fleet.InstanceID(id), Place: fleet.Place{Region: fleet.Region(region), Zone: fleet.Zone(zone)},
		CallerAddr: netip.MustParseAddrPort(id + ":80"), Ready: true,
	}
}

var _ = Describe("Addresses", func() {
	It("are empty while no configuration is known", func() {
		g, _ := newGateway()
		g.publish(start)
		Expect(g.Addresses("a.example", fleet.Place{})).To(BeEmpty())
	})

	It("list entries near the caller first and omit those that leave", func() {
		g, _ := newGateway()
		g.adopt(start, snapshot(5), "platform")
		g.publish(start)
		seen := *g.view.Load()
		seen.entries = []mesh.Entry{
			entryAt("10.0.0.2", "kano", "quay"), entryAt("10.0.0.3", "lagos", "yard"), entryAt("10.0.0.4", "lagos", "hall"),
		}
		seen.entries[2].Leaving = true
		g.view.Store(&seen)
		addresses := g.Addresses("a.example", fleet.Place{Zone: "quay", Region: "kano"})
		Expect(addresses).To(HaveLen(3))
		Expect(addresses[0].Addr().String()).To(Equal("10.0.0.2"))
		addresses = g.Addresses("a.example", fleet.Place{Zone: "yard", Region: "lagos"})
		Expect(addresses[0].Addr().String()).To(Equal("10.0.0.3"))
		Expect(addresses[1].Addr().String()).To(Equal("10.0.0.1"))
	})

	It("omit this entry once it leaves", func() {
		g, _ := newGateway()
		g.adopt(start, snapshot(5), "platform")
		g.publish(start)
		Expect(g.Addresses("a.example", fleet.Place{})).To(HaveLen(1))
		g.leaving = true
		g.publish(start)
		Expect(g.Addresses("a.example", fleet.Place{})).To(BeEmpty())
		Expect(g.Ready()).To(BeFalse())
	})
})

var _ = Describe("Heartbeats", func() {
	It("send an agent what it needs, and the list of members only when it changes", func() {
		g, _ := newGateway()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3)), "platform")
		first := g.compose(start, anAgent, mesh.First)
		Expect(first.Supply.Model).To(Equal("m"))
		Expect(first.Supply.Layers).To(Equal(4))
		Expect(first.Supply.Chunks).To(Equal(6))
		Expect(first.Supply.ChunkBytes).To(Equal(4096))
		Expect(first.Members).To(HaveLen(2))
		Expect(g.compose(start, anAgent, mesh.Complete).Members).To(BeEmpty())
		g.apply(start, []catalog.Change{{Revision: 9, Removed: "i-2"}}, 9)
		Expect(g.compose(start, anAgent, mesh.Complete).Members).To(HaveLen(1))
	})

	It("send another entry only the loads that have changed", func() {
		g, _ := newGateway()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
		g.publish(start)
		Expect(g.compose(start, nearEntry, mesh.First).Loads).To(BeEmpty())
		assignment, _ := g.balancer.Choose(start, placement.Request{Service: "pool", TimeLeft: time.Second})
		Expect(g.hasNewLoads("10.0.0.2")).To(BeTrue())
		Expect(g.compose(start, nearEntry, mesh.Brief).Loads).To(HaveLen(1))
		Expect(g.hasNewLoads("10.0.0.2")).To(BeFalse())
		Expect(g.compose(start, nearEntry, mesh.Brief).Loads).To(BeEmpty())
		assignment.End(start, placement.Succeeded)
		report := g.compose(start, nearEntry, mesh.Brief).Loads
		Expect(report).To(HaveLen(1))
		Expect(report[0].Running).To(BeZero())
	})

	// Guards against callers that are refused for ten seconds while engines are half
	// empty. After a power failure, entries know few others, count them as their group
	// and send them their loads. Seconds later they know more entries and belong to other
	// groups, but the last loads that they sent are kept.
	Context("from an entry that reported a full engine", func() {
		var g *Gateway
		full := wire.Heartbeat{ID: "10.0.0.2", Role: fleet.RoleEntry, Brief: true, Loads: []placement.Load{
			{Server: "i-1", Work: enginemodel.Work{Running: 90}},
		}}
		isPlaced := func() bool {
			t, _ := g.balancer.Choose(start, placement.Request{Service: "pool", TimeLeft: time.Second})
			return t != nil
		}

		BeforeEach(func() {
			g, _ = newGateway()
			g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
			g.publish(start)
			g.receive(start, nearEntry, full)
			Expect(isPlaced()).To(BeFalse())
		})

		It("discard that report once the entry is in another group", func() {
			g.receive(start, mesh.Peer{ID: "10.0.0.2", Role: fleet.RoleEntry}, beat("10.0.0.2"))
			Expect(isPlaced()).To(BeTrue())
		})

		It("discard that report if they contain all loads", func() {
			g.receive(start, nearEntry, wire.Heartbeat{ID: "10.0.0.2", Role: fleet.RoleEntry, Brief: true, LoadsComplete: true})
			Expect(isPlaced()).To(BeTrue())
		})
	})

	It("send all loads again over a new link, and to an entry that has been in another group", func() {
		g, _ := newGateway()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
		g.publish(start)
		_, refusal := g.balancer.Choose(start, placement.Request{Service: "pool", TimeLeft: time.Second})
		Expect(refusal.Reason).To(BeEmpty())
		Expect(g.compose(start, nearEntry, mesh.First).LoadsComplete).To(BeTrue())
		Expect(g.compose(start, nearEntry, mesh.Brief).LoadsComplete).To(BeFalse())
		otherGroup := mesh.Peer{ID: "10.0.0.2", Role: fleet.RoleEntry}
		Expect(g.compose(start, otherGroup, mesh.Complete).Loads).To(BeEmpty())
		resent := g.compose(start, nearEntry, mesh.Brief)
		Expect(resent.LoadsComplete).To(BeTrue())
		Expect(resent.Loads).To(HaveLen(1))
	})
})
