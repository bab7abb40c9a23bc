package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("The entries that read the platform for their region", func() {
	entry := func(id fleet.InstanceID, region fleet.Region) mesh.Entry {
		return mesh.Entry{ID: id, Place: fleet.Place{Region: region}, Ready: true, SameGroup: true}
	}
	others := []mesh.Entry{entry("a", "lagos"), entry("b", "kano"), entry("c", "lagos"), entry("e", "lagos"), entry("f", "lagos")}

	It("are the first two of each region, and the first reads closely", func() {
		Expect(rankIn(others, "d", "lagos", false)).To(Equal(2))
		Expect(rankIn(others, "g", "kano", false)).To(Equal(1))
		Expect(rankIn(others, "A", "lagos", false)).To(Equal(0))
		Expect(pauseAt(0)).To(Equal(gatherChanges))
		Expect(pauseAt(1)).To(Equal(gatherLonger))
	})

	// The first entries of a region are killed. The next ones read once the others
	// are silent.
	It("are none that are silent, leave or know nothing yet", func() {
		fewer := append([]mesh.Entry(nil), others...)
		fewer[0].Silent, fewer[2].Leaving, fewer[3].Ready = true, true, false
		Expect(rankIn(fewer, "g", "lagos", false)).To(Equal(1))
	})

	// A region of many entries has several groups, and the readers of one tell
	// nothing to the others.
	It("are so in each group of a region", func() {
		some := append([]mesh.Entry(nil), others...)
		some[0].SameGroup, some[2].SameGroup = false, false
		Expect(rankIn(some, "d", "lagos", false)).To(Equal(0))
	})

	// The platform turns the first entries of a region away. Those that it answers
	// read for them; while it answers none, the order is that of the ids.
	It("are those first that the platform answers", func() {
		some := append([]mesh.Entry(nil), others...)
		some[0].PlatformUnresponsive, some[2].PlatformUnresponsive = true, true
		Expect(rankIn(some, "d", "lagos", false)).To(Equal(0))
		Expect(rankIn(some, "d", "lagos", true)).To(Equal(4))
		some[3].PlatformUnresponsive, some[4].PlatformUnresponsive = true, true
		Expect(rankIn(some, "d", "lagos", true)).To(Equal(2))
	})

	// An entry that the platform turned away reads no more and cannot tell when it
	// would be answered again. If the others are turned away later, it must try.
	It("may be one again that was turned away, after a while", func() {
		g, _ := newGateway()
		g.sourceFailed(start, failure.Unavailable.New("turned away"))
		Expect(g.isTurnedAway(at(2 * time.Second))).To(BeTrue())
		Expect(g.isTurnedAway(at(4 * time.Second))).To(BeFalse())
	})
})

var _ = Describe("An entry without a catalog", func() {
	var g *Gateway
	started := at(0)

	BeforeEach(func() {
		g, _ = newGatewayAtStart()
	})

	// Guards against full links between regions after a restart of the whole fleet, when
	// every entry listed a large configuration at the same moment.
	It("waits for a peer's before it lists the platform's", func() {
		Expect(g.listDelay).To(BeNumerically("<=", maxListDelay))
		g.listDelay = maxListDelay
		Expect(g.reads(started, 0)).To(BeFalse())
		Expect(g.reads(started.Add(maxListDelay), 0)).To(BeTrue())
	})

	It("leaves the listing to others that start in its region, for a while", func() {
		entry := func(id fleet.InstanceID) mesh.Entry {
			return mesh.Entry{ID: id, Place: g.opts.Place, SameGroup: true}
		}
		rankAmong := func(region fleet.Region, others ...mesh.Entry) int {
			rank, _ := startingRank(others, "10.0.0.1", region)
			return rank
		}
		first, second := entry("10.0.0.0"), entry("10.0.0.00")
		Expect(rankAmong("lagos", first, second, entry("10.0.0.2"))).To(Equal(2))
		Expect(rankAmong("kano", first, second)).To(BeZero(), "they read for another region")
		first.PlatformUnresponsive = true
		Expect(rankAmong("lagos", first, second)).To(Equal(1), "the platform does not answer one of them")
		Expect(g.reads(started.Add(lowerRankDelay), 5)).To(BeTrue())
	})

	// Guards against callers refused by an entry that has just started, who came back
	// before any engine had loaded and had no retry left.
	It("has a call wait for its first configuration, for a part of the caller's time", func() {
		go func() {
			defer GinkgoRecover()
			g.adopt(started, snapshot(5), "peer")
			g.publish(started)
		}()
		v := g.currentView(context.Background(), &Call{Timeout: time.Minute})
		Expect(v).NotTo(BeNil())
		Expect(v.table).NotTo(BeNil())

		g, _ = newGatewayAtStart()
		Expect(g.currentView(context.Background(), &Call{Timeout: 3 * viewPollInterval})).To(BeNil())
	})

	It("lists no more once a peer has sent one", func() {
		call, end := g.reading.begin(context.Background())
		defer end()
		g.followAnew(&view{readsPlatform: true}, &view{readsPlatform: true, table: g.table})
		Expect(call.Err()).NotTo(HaveOccurred())
		g.adopt(started, snapshot(5), "peer")
		g.followAnew(&view{readsPlatform: true}, &view{readsPlatform: true, table: g.table})
		Expect(call.Err()).To(HaveOccurred())
	})
})

var _ = Describe("An entry that does not read the platform", func() {
	one, two := server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3)
	var g *Gateway
	var backend *rejectingBackend

	// told is what one that reads it tells.
	told := func(when time.Time, c wire.PlatformState, news wire.ServerChanges) {
		b := beat("10.0.0.2")
		b.Platform, b.Servers = &c, &news
		g.heard(when, nearEntry, b)
	}
	reads := func() { g.view.Store(&view{readsPlatform: true}) }
	removeTwo := []catalog.Change{{Revision: 9, Removed: "i-2"}}

	BeforeEach(func() {
		g, backend = newGateway()
		g.adopt(start, snapshot(5, one, two), "platform")
		g.view.Store(&view{readsPlatform: false})
	})

	It("follows the servers by what it is told", func() {
		told(at(time.Second), wire.PlatformState{}, wire.ServerChanges{After: 5, AsOf: 9, Changes: removeTwo})
		Expect(listed(g, backend, at(time.Second))).To(ConsistOf(fleet.InstanceID("i-1")))
		told(at(time.Second), wire.PlatformState{}, wire.ServerChanges{After: 4, AsOf: 7, Changes: []catalog.Change{{Revision: 3, Server: &two}}})
		Expect(listed(g, backend, at(time.Second))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// What it was told before was lost with a link. It asks for the whole list
	// then: with a part left out, it would go on using a server that has gone.
	It("takes no changes that leave a part out", func() {
		told(at(time.Second), wire.PlatformState{}, wire.ServerChanges{After: 8, AsOf: 9, Changes: removeTwo})
		Expect(g.snapshot.AsOf).To(Equal(catalog.Revision(5)))
	})

	// Guards against calls to the predecessors of restarted servers: after a restart of
	// the whole fleet entries have listed the servers at different moments, and the
	// changes of their reader do not follow on what they know.
	It("lacks servers once it is told of changes that do not follow on what it knows", func() {
		Expect(g.lacksServers(at(100 * time.Millisecond))).To(BeFalse())
		told(at(100*time.Millisecond), wire.PlatformState{}, wire.ServerChanges{After: 8, AsOf: 9})
		Expect(g.lacksServers(at(100 * time.Millisecond))).To(BeTrue())
		g.adopt(at(200*time.Millisecond), snapshot(9, one), "peer")
		Expect(g.lacksServers(at(200 * time.Millisecond))).To(BeFalse())
	})

	// Guards against a change that is lost where a reader tells that it no longer has the
	// changes since, and the list that was taken meanwhile lies between.
	It("does not count as up to date by a message that only asks it to take the whole list", func() {
		reader, _ := newGateway()
		reader.adopt(start, snapshot(7, one, two), "platform")
		reader.apply(start, removeTwo, 9)
		b := beat("10.0.0.2")
		b.Servers = reader.newsFor(start, mesh.Peer{ID: g.opts.Self, Role: fleet.RoleEntry, SameGroup: true, AsOf: 5})
		g.adopt(start, snapshot(8, one, two), "peer")
		g.heard(start, nearEntry, b)
		Expect(g.snapshot.AsOf == 8 && g.lacksServers(start) || !hasServer(g.snapshot.Servers, "i-2")).To(BeTrue())
	})

	// Guards against a reader that tells of an old reading as new after a pause that its
	// clock did not count.
	It("counts a pause of the process in the age of its reading", func() {
		g.resumeAfterPause(at(time.Second), 3*time.Second)
		reads()
		peer := mesh.Peer{ID: "10.0.0.2", Role: fleet.RoleEntry, SameGroup: true, Region: "lagos", AsOf: 5}
		Expect(g.compose(at(time.Second), peer, mesh.Complete).Platform.ReadAgoMS).To(Equal(int64(4000)))
	})

	// Guards against servers that are used by an old reading where no reader is left, and
	// against calls of all entries of a region whose reader is answered late.
	It("reads the platform itself once what it knows is old, and no reader is heard", func() {
		old := at(readingMaxAge + time.Millisecond)
		Expect(g.reads(old, regionReaders)).To(BeTrue(), "no reader is heard")
		g.newestPeerRevision = 9
		Expect(g.reads(old, regionReaders)).To(BeFalse(), "it would read a configuration that its readers have read")
		g.newestPeerRevision = 0
		Expect(g.reads(old, regionReaders)).To(BeTrue())
		b := beat("10.0.0.2")
		b.AsOf, b.Platform = 7, &wire.PlatformState{}
		g.heard(old, nearEntry, b)
		Expect(g.reads(old, regionReaders)).To(BeFalse(), "its reader is heard")
		b.AsOf = 5
		g.heard(old, nearEntry, b)
		Expect(g.reads(old, regionReaders)).To(BeFalse(), "it knows as much as its reader")
		b.AsOf, b.Platform = 7, &wire.PlatformState{LastResponseAgoMS: readingMaxAge.Milliseconds(), ReadAgoMS: readingMaxAge.Milliseconds()}
		g.heard(old.Add(readingMaxAge), nearEntry, b)
		Expect(g.reads(old.Add(readingMaxAge), regionReaders)).To(BeFalse(), "the platform answers nobody")
	})

	// The platform was away for six seconds, and registrations lapsed there though
	// their servers live. Left out, all servers would be gone at its return.
	It("keeps servers that lapsed while the platform was away", func() {
		back := wire.PlatformState{RegainedAgoMS: 20, SilentMS: 6000}
		told(at(7*time.Second), back, wire.ServerChanges{After: 5, AsOf: 9, Changes: removeTwo})
		Expect(listed(g, backend, at(7*time.Second))).To(HaveLen(2))
		g.endLapses(at(7*time.Second + lapseTime))
		Expect(listed(g, backend, at(7*time.Second+lapseTime))).To(HaveLen(1))
	})

	// Guards against requests to a server that left, at all entries of a region of
	// whose reader one call failed.
	It("drops a server that leaves while a single call of its reader fails", func() {
		failing := wire.PlatformState{LastResponseAgoMS: 300, Failing: true}
		told(at(time.Second), failing, wire.ServerChanges{After: 5, AsOf: 9, Changes: removeTwo})
		Expect(listed(g, backend, at(time.Second))).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	It("is told of what happened after what it knows, once", func() {
		reads()
		g.apply(at(time.Second), removeTwo, 9)
		peer := mesh.Peer{ID: "10.0.0.2", Role: fleet.RoleEntry, SameGroup: true, Region: "lagos", AsOf: 5}
		b := g.compose(at(time.Second), peer, mesh.Brief)
		Expect(b.Servers).To(Equal(&wire.ServerChanges{After: 5, AsOf: 9, Changes: removeTwo}))
		Expect(b.Platform).NotTo(BeNil())
		Expect(g.compose(at(time.Second), peer, mesh.Brief).Servers).To(BeNil())
		peer.ID, peer.Region = "10.0.0.3", "kano"
		Expect(g.compose(at(time.Second), peer, mesh.Complete).Servers).To(BeNil(), "its own region has readers")
		peer.ID, peer.Region, peer.AsOf = "10.0.0.4", "lagos", 4
		Expect(g.compose(at(time.Second), peer, mesh.Complete).Servers).To(Equal(&wire.ServerChanges{After: 9, AsOf: 9}), "it asks for the whole list")
	})
})

// impatient is a platform that fails one watch and answers the others, and tells
// for how long they wait.
type impatient struct {
	catalog.Source
	fails int
	waits chan time.Duration
}

func (s *impatient) Watch(ctx context.Context, after catalog.Revision, wait time.Duration) ([]catalog.Change, catalog.Revision, error) {
	select {
	case s.waits <- wait:
	case <-ctx.Done():
	}
	s.fails--
	if s.fails == 0 {
		return nil, 0, failure.Unavailable.New("reset")
	}
	return nil, after, nil
}

var _ = Describe("A watch", func() {
	// Guards against a return of the platform that is noticed only at the end of a
	// watch: what counts from it, the time of a version, would count too late.
	It("waits for changes only once the platform has just answered", func() {
		platform := &impatient{waits: make(chan time.Duration), fails: 3}
		g, _ := newGateway()
		g.opts.Source = platform
		g.adopt(start, snapshot(5), "peer")
		reads := view{readsPlatform: true, table: g.table, asOf: 5, operatorAsOf: 5}
		g.view.Store(&reads)
		// turn tells the turns of the loop that makes the calls from each other.
		turn := func() time.Time {
			g.reading.mu.Lock()
			defer g.reading.mu.Unlock()
			return g.reading.began
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = g.Follow(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			<-ended
		})
		brief := Equal(watchBriefly)
		Eventually(platform.waits, "10s").Should(Receive(brief), "the first")
		Eventually(platform.waits, "10s").Should(Receive(Equal(watchWait)), "after an answer")
		Eventually(platform.waits, "10s").Should(Receive(Equal(watchWait)), "the one that fails")
		Eventually(platform.waits, "10s").Should(Receive(brief), "after a failure")
		Eventually(platform.waits, "10s").Should(Receive(Equal(watchWait)), "after an answer")
		g.view.Store(&view{table: g.table, asOf: 5, operatorAsOf: 5})
		for range 2 { // the first of these turns may have begun before
			last := turn()
			Eventually(turn, "10s").ShouldNot(Equal(last))
		}
		g.view.Store(&reads)
		Eventually(platform.waits, "10s").Should(Receive(brief), "after a time without calls")
	})
})
