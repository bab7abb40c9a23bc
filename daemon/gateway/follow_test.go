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
	broken := failure.Unavailable.New("turned away")

	BeforeEach(func() {
		g, backend = newGateway()
		g.sourceAnswered(start)
		g.adopt(start, snapshot(5, one, two), "platform")
	})

	It("drops a server whose registration ends", func() {
		g.apply(at(time.Second), removeTwo, 9)
		Expect(listed(g, backend, at(time.Second))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// The platform was down for all. Registrations lapsed meanwhile; those of
	// servers that live are back within two seconds, the others never.
	It("keeps servers for a while whose registration lapsed while the platform was down", func() {
		g.sourceFailed(at(time.Second), broken)
		g.sourceAnswered(at(6 * time.Second))
		g.apply(at(6*time.Second), removeTwo, 9)
		Expect(listed(g, backend, at(6*time.Second))).To(HaveLen(2))
		g.endLapses(at(9 * time.Second))
		Expect(listed(g, backend, at(9*time.Second))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// The platform is back, and another entry was answered half a second earlier.
	// Servers whose registration lapsed are not back yet; dropped here, they
	// would be missing for two seconds.
	It("keeps them also when another entry was answered a moment earlier", func() {
		g.sourceFailed(at(time.Second), broken)
		other := beat("10.0.0.2")
		other.ReachesPlatform = true
		g.heard(at(5500*time.Millisecond), nearEntry, other)
		g.sourceAnswered(at(6 * time.Second))
		g.apply(at(6*time.Second), removeTwo, 9)
		Expect(listed(g, backend, at(6*time.Second))).To(HaveLen(2))
	})

	It("drops one at once that said that it leaves, also then", func() {
		g.sourceFailed(at(time.Second), broken)
		g.sourceAnswered(at(6 * time.Second))
		leaving := two
		leaving.Draining = true
		leaving.Revision = 8
		g.apply(at(6*time.Second), []catalog.Change{{Revision: 8, Server: &leaving}, removeTwo[0]}, 9)
		Expect(listed(g, backend, at(6*time.Second))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// The platform turned this entry away and served the others. A server that
	// leaves just after its return must get nothing more: it is no lapse.
	It("finds no lapses after it was cut off alone", func() {
		g.sourceFailed(at(time.Second), broken)
		other := beat("10.0.0.2")
		other.ReachesPlatform = true
		g.heard(at(2*time.Second), nearEntry, other)
		g.sourceAnswered(at(6 * time.Second))
		g.apply(at(6*time.Second), removeTwo, 9)
		Expect(listed(g, backend, at(6*time.Second))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	It("never goes back to an older one", func() {
		newer := snapshot(20, one)
		newer.Config, newer.ConfigRevision = config(7), 18
		g.adopt(at(time.Second), newer, "peer")
		g.adopt(at(2*time.Second), snapshot(10, one, two), "platform")
		Expect(g.table.Version()).To(Equal(int64(7)))
		stale := snapshot(25, one)
		g.adopt(at(3*time.Second), stale, "platform")
		Expect(g.table.Version()).To(Equal(int64(7)))
	})

	// The process stood still for five seconds, and the operator dropped a key
	// meanwhile. First a peer tells of servers only: taking callers on it, the
	// entry would let the key in.
	It("is doubted after a pause until the configuration has been read again", func() {
		g.publish(start)
		g.resumeAfterPause(at(5*time.Second), 5*time.Second)
		g.heardReader(at(5*time.Second), wire.Heartbeat{
			Platform: &wire.PlatformState{}, Servers: &wire.ServerChanges{After: 5, AsOf: 9, Changes: removeTwo},
		})
		Expect(g.snapshot.AsOf).To(Equal(catalog.Revision(9)))
		g.publish(at(5 * time.Second))
		Expect(g.Ready()).To(BeFalse())
		Expect(g.reads(at(5*time.Second), regionReaders)).To(BeTrue())
		g.sourceAnswered(at(5 * time.Second))
		g.apply(at(5*time.Second), nil, 9)
		g.publish(at(5 * time.Second))
		Expect(g.Ready()).To(BeTrue())
		Expect(g.reads(at(5*time.Second), regionReaders)).To(BeFalse())
	})

	// Peers say that they have a newer configuration, and none gives it: their
	// links are cut, say. The entry waits no longer than the operator's bound allows.
	It("is read from the platform when no peer gives what it is ahead by", func() {
		g.behindSince = at(time.Second)
		g.readerSeenAt, g.changesReadAt = at(2300*time.Millisecond), at(2300*time.Millisecond) // its readers are heard
		Expect(g.reads(at(1900*time.Millisecond), regionReaders)).To(BeFalse())
		Expect(g.reads(at(2100*time.Millisecond), regionReaders)).To(BeTrue())
		Expect(g.reads(at(2100*time.Millisecond), regionReaders+1)).To(BeFalse())
		Expect(g.reads(at(2300*time.Millisecond), regionReaders+1)).To(BeTrue())
	})

	It("keeps the configuration in force when a newer one breaks a rule", func() {
		bad := config(8)
		bad.Routes[0].Prefix = "no slash"
		g.apply(at(time.Second), []catalog.Change{{Revision: 9, Config: bad}}, 9)
		Expect(g.table.Version()).To(Equal(int64(1)))
	})
})

var _ = Describe("Unused connections", func() {
	DescribeTable("are this entry's part of what a server accepts",
		func(accepts, kept int) {
			g, backend := newGateway()
			s := snapshot(5, server("i-1", "10.0.1.1:80", 2))
			s.Config.Services[0].MaxConnections = accepts
			g.adopt(start, s, "platform")
			listed(g, backend, start)
			Expect(backend.listed[0].Connections).To(Equal(kept))
		},
		Entry("half, at a single entry", 48, 24),
		Entry("one at least", 1, 1),
		Entry("no more than are of use", 1000, 32),
		Entry("the same where the service tells no limit", 0, 32),
	)
})

var _ = Describe("Versions", func() {
	wanted := func(version uint64) catalog.Snapshot {
		s := snapshot(6, server("i-1", "10.0.1.1:80", 2))
		s.Wanted = []catalog.Wanted{{Model: "m", Version: version}}
		return s
	}

	// following returns an entry whose catalog is from the platform.
	following := func() *Gateway {
		g, _ := newGateway()
		g.sourceAnswered(start)
		g.adopt(start, snapshot(5), "platform")
		g.sourceAnswered(start)
		return g
	}

	It("are known since they were first heard of", func() {
		g := following()
		g.adopt(at(time.Second), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(time.Second)))
	})

	// The platform is away for five seconds, a version is named meanwhile, and
	// all entries hear of it when it is back. Callers that were refused are back
	// then too, so engines change over the longer time that the operator gives.
	It("that were named during an outage count from when the platform is sound again", func() {
		g := following()
		g.sourceFailed(at(time.Second), failure.Unavailable.New("turned away"))
		g.sourceAnswered(at(6 * time.Second))
		g.adopt(at(6*time.Second), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(6*time.Second + 3*time.Second - noticedWithin)))
	})

	// Guards against engines used with outdated weights after the operator's time,
	// at an entry that notices the platform's return as late as it can.
	It("that were named during an outage count in time, however late its end is noticed", func() {
		returned := 6 * time.Second
		paused := time.Duration(0)
		for range 10_000 {
			paused = max(paused, pauseAfter(maxDoublings+1, failure.Unavailable.New("reset")))
		}
		noticed := returned + watchBriefly + catalog.ResponseTimeout + paused + watchBriefly
		g := following()
		g.sourceFailed(at(time.Second), failure.Unavailable.New("reset"))
		g.sourceAnswered(at(noticed))
		g.adopt(at(noticed), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(BeTemporally("<=", at(returned+g.opts.SoundTime)))
	})

	// Entries are answered again one after the other. One that is not yet hears
	// of the version from one that is, which may just have started: the outage
	// was one for all the same.
	It("that a peer tells of a moment before the platform answers here count as after an outage", func() {
		g := following()
		g.sourceFailed(at(time.Second), failure.Unavailable.New("turned away"))
		other := beat("10.0.0.2")
		other.ReachesPlatform = true
		other.Wanted = []wire.WantedVersion{{Model: "m", Version: 2, Assumed: true}}
		g.heard(at(6*time.Second), nearEntry, other)
		g.sourceAnswered(at(6500 * time.Millisecond))
		g.adopt(at(6500*time.Millisecond), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(6*time.Second + 3*time.Second - noticedWithin)))
	})

	// Guards against an entry that heard of a version late and uses outdated weights
	// for longer than the entry that told it.
	It("count from when the first of two entries heard of them", func() {
		g := following()
		g.adopt(at(time.Second), wanted(2), "platform")
		other := beat("10.0.0.2")
		other.Wanted = []wire.WantedVersion{{Model: "m", Version: 2, AgeMS: 250}}
		g.heard(at(1100*time.Millisecond), nearEntry, other)
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(850 * time.Millisecond)))
	})

	// One call failed: a connection was reset. The platform was sound, so the
	// operator's time runs, also where other entries saw no failure at all.
	It("that are heard of after one failed call count at once", func() {
		g := following()
		g.sourceFailed(at(time.Second), failure.Unavailable.New("reset"))
		g.sourceAnswered(at(1200 * time.Millisecond))
		g.adopt(at(1200*time.Millisecond), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(1200 * time.Millisecond)))
	})

	// An entry starts during an outage and has its catalog from a peer. For how
	// long the platform has been away only the others know, so theirs counts:
	// an outage that seemed short here would shorten the change for all.
	It("that an entry hears of in its first answer count as its peers know", func() {
		g, _ := newGateway()
		g.adopt(start, snapshot(5), "peer")
		g.sourceFailed(start, failure.Unavailable.New("busy"))
		g.sourceAnswered(at(2 * time.Second))
		g.adopt(at(2*time.Second), wanted(2), "platform")
		other := beat("10.0.0.2")
		other.Wanted = []wire.WantedVersion{{Model: "m", Version: 2, AgeMS: -2000}}
		g.heard(at(2*time.Second), nearEntry, other)
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(4 * time.Second)))
	})

	// The platform turned this entry away and answered another. Had it failed
	// for all, the version would have more time; it has not.
	It("that were named while this entry alone was cut off count at once", func() {
		g := following()
		g.sourceFailed(at(time.Second), failure.Unavailable.New("turned away"))
		other := beat("10.0.0.2")
		other.ReachesPlatform = true
		g.heard(at(2*time.Second), nearEntry, other)
		g.sourceAnswered(at(6 * time.Second))
		g.adopt(at(6*time.Second), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(6 * time.Second)))
	})

	// An entry starts in the middle of a change and cannot know when the version
	// was named. It uses no old engine, and does not make the others leave them.
	It("that were there at the start count as old, here only", func() {
		g, _ := newGateway()
		g.adopt(start, wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(-8 * time.Second)))
		told := g.compose(start, nearEntry, mesh.First)
		Expect(told.Wanted).To(HaveLen(1))
		Expect(told.Wanted[0].Assumed).To(BeTrue())
		other := beat("10.0.0.2")
		other.Wanted = []wire.WantedVersion{{Model: "m", Version: 2, AgeMS: 1000}}
		g.heard(start, nearEntry, other)
		since, _ = g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(-time.Second)))
	})

	// The platform is away while a version is named, and an entry starts just as
	// it comes back. It takes the version for old, and its word is here before
	// the platform's. Old engines must stay in use: they change in turns, and
	// left at once the service would stand still for seconds.
	It("that only a starting peer tells of are new to an entry that had a catalog without them", func() {
		g := following()
		other := beat("10.0.0.2")
		other.Wanted = []wire.WantedVersion{{Model: "m", Version: 2, AgeMS: 8000, Assumed: true}}
		g.heard(at(time.Second), nearEntry, other)
		g.adopt(at(2*time.Second), wanted(2), "platform")
		since, _ := g.names["m"].OutdatedSince(1)
		Expect(since).To(Equal(at(time.Second)))
		told := g.compose(at(2*time.Second), nearEntry, mesh.First)
		Expect(told.Wanted[0].Assumed).To(BeFalse())
	})
})

func entryAt(id, region, zone string) mesh.Entry {
	return mesh.Entry{
		ID: fleet.InstanceID(id), Place: fleet.Place{Region: fleet.Region(region), Zone: fleet.Zone(zone)},
		CallerAddr: netip.MustParseAddrPort(id + ":80"), Ready: true,
	}
}

var _ = Describe("Addresses", func() {
	It("are none while no configuration is known", func() {
		g, _ := newGateway()
		g.publish(start)
		Expect(g.Addresses(fleet.Place{})).To(BeEmpty())
	})

	It("name those near the caller first, and those that leave not at all", func() {
		g, _ := newGateway()
		g.adopt(start, snapshot(5), "platform")
		g.publish(start)
		seen := *g.view.Load()
		seen.entries = []mesh.Entry{
			entryAt("10.0.0.2", "kano", "quay"), entryAt("10.0.0.3", "lagos", "yard"), entryAt("10.0.0.4", "lagos", "hall"),
		}
		seen.entries[2].Leaving = true
		g.view.Store(&seen)
		addresses := g.Addresses(fleet.Place{Zone: "quay", Region: "kano"})
		Expect(addresses).To(HaveLen(3))
		Expect(addresses[0].Addr().String()).To(Equal("10.0.0.2"))
		addresses = g.Addresses(fleet.Place{Zone: "yard", Region: "lagos"})
		Expect(addresses[0].Addr().String()).To(Equal("10.0.0.3"))
		Expect(addresses[1].Addr().String()).To(Equal("10.0.0.1"))
	})

	It("leave out an entry that leaves", func() {
		g, _ := newGateway()
		g.adopt(start, snapshot(5), "platform")
		g.publish(start)
		Expect(g.Addresses(fleet.Place{})).To(HaveLen(1))
		g.leaving = true
		g.publish(start)
		Expect(g.Addresses(fleet.Place{})).To(BeEmpty())
		Expect(g.Ready()).To(BeFalse())
	})
})

var _ = Describe("Beats", func() {
	It("tell an agent what it needs, and its neighbours only when they change", func() {
		g, _ := newGateway()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3)), "platform")
		first := g.compose(start, anAgent, mesh.First)
		Expect(first.Supply.Model).To(Equal("m"))
		Expect(first.Supply.Layers).To(Equal(4))
		Expect(first.Members).To(HaveLen(2))
		Expect(g.compose(start, anAgent, mesh.Complete).Members).To(BeEmpty())
		g.apply(start, []catalog.Change{{Revision: 9, Removed: "i-2"}}, 9)
		Expect(g.compose(start, anAgent, mesh.Complete).Members).To(HaveLen(1))
	})

	It("tell another entry only the loads that have changed", func() {
		g, _ := newGateway()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
		g.publish(start)
		Expect(g.compose(start, nearEntry, mesh.First).Loads).To(BeEmpty())
		ticket, _ := g.scheduler.Choose(start, placement.Request{Service: "pool", TimeLeft: time.Second})
		Expect(g.hasNews("10.0.0.2")).To(BeTrue())
		Expect(g.compose(start, nearEntry, mesh.Brief).Loads).To(HaveLen(1))
		Expect(g.hasNews("10.0.0.2")).To(BeFalse())
		Expect(g.compose(start, nearEntry, mesh.Brief).Loads).To(BeEmpty())
		ticket.End(start, placement.Succeeded)
		told := g.compose(start, nearEntry, mesh.Brief).Loads
		Expect(told).To(HaveLen(1))
		Expect(told[0].Running).To(BeZero())
	})

	// All power is lost. Entries that come back know of few others at first, take
	// them for near and tell them what they have; seconds later they know more and
	// belong to other groups. What was told last stayed: callers were refused for
	// ten seconds before engines that were half empty.
	Context("of an entry that had an engine full", func() {
		var g *Gateway
		full := wire.Heartbeat{ID: "10.0.0.2", Role: fleet.RoleEntry, Brief: true, Loads: []placement.Load{
			{Server: "i-1", Work: enginemodel.Work{Running: 90}},
		}}
		isPlaced := func() bool {
			t, _ := g.scheduler.Choose(start, placement.Request{Service: "pool", TimeLeft: time.Second})
			return t != nil
		}

		BeforeEach(func() {
			g, _ = newGateway()
			g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
			g.publish(start)
			g.heard(start, nearEntry, full)
			Expect(isPlaced()).To(BeFalse())
		})

		It("void that once it is in another group", func() {
			g.heard(start, mesh.Peer{ID: "10.0.0.2", Role: fleet.RoleEntry}, beat("10.0.0.2"))
			Expect(isPlaced()).To(BeTrue())
		})

		It("void that when they tell of all loads anew", func() {
			g.heard(start, nearEntry, wire.Heartbeat{ID: "10.0.0.2", Role: fleet.RoleEntry, Brief: true, LoadsComplete: true})
			Expect(isPlaced()).To(BeTrue())
		})
	})

	It("tell all loads anew on a new link, and to an entry that has been in another group", func() {
		g, _ := newGateway()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
		g.publish(start)
		_, refusal := g.scheduler.Choose(start, placement.Request{Service: "pool", TimeLeft: time.Second})
		Expect(refusal.Reason).To(BeEmpty())
		Expect(g.compose(start, nearEntry, mesh.First).LoadsComplete).To(BeTrue())
		Expect(g.compose(start, nearEntry, mesh.Brief).LoadsComplete).To(BeFalse())
		far := mesh.Peer{ID: "10.0.0.2", Role: fleet.RoleEntry}
		Expect(g.compose(start, far, mesh.Complete).Loads).To(BeEmpty())
		again := g.compose(start, nearEntry, mesh.Brief)
		Expect(again.LoadsComplete).To(BeTrue())
		Expect(again.Loads).To(HaveLen(1))
	})
})
