package gossip_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
)

func peer(g *group, at, of fleet.InstanceID) gossip.Peer {
	GinkgoHelper()
	p, known := g.tables[at].View(g.now).Peer(of)
	Expect(known).To(BeTrue(), "%s does not know %s", at, of)
	return p
}

// convergedGroup returns a group in which all processes hold each other's
// records.
func convergedGroup(each int, in []fleet.Place) *group {
	GinkgoHelper()
	g := newGroup(each, in)
	g.publish()
	for range 30 {
		g.tick()
		if g.converged() {
			return g
		}
	}
	Fail("the group did not agree in 30 ticks")
	return nil
}

var _ = Describe("Table", func() {
	It("sends a new neighbour complete records only on request", func() {
		now := time.Now()
		zone := places(1, 1)[0]
		a := gossip.New(gossip.Options{Self: member("a", zone)})
		b := gossip.New(gossip.Options{Self: member("b", zone)})
		c := gossip.New(gossip.Options{Self: member("c", zone)})
		a.Merge(now, "c", c.Delta(now, "a"))
		first := a.Delta(now, "b")
		Expect(first).To(HaveLen(2))
		Expect(first[1].IsHeartbeat()).To(BeTrue())
		b.Merge(now, "a", first)
		a.Acknowledge(now, "b", first)
		a.Merge(now, "b", b.Delta(now, "a"))
		Expect(b.Merge(now, "a", a.Delta(now, "b"))).To(ContainElement(fleet.InstanceID("c")))
		held, known := b.View(now).Peer("c")
		Expect(known).To(BeTrue())
		Expect(held.Serving).To(Equal(c.Self().Serving))
	})

	// A replica crashes. Its neighbours miss its heartbeats after
	// SilenceTimeout, the rest of the zone when no relayed heartbeat has
	// arrived either. The platform lists it for another minute. If it were not
	// found silent before that, callers would be sent to it and a rollout would
	// not count it as out.
	It("detects a crashed process of the zone as silent while it is still listed", func() {
		g := convergedGroup(6, places(1, 1))
		g.crashed[g.ids()[0]] = true
		crashed, at := fleet.InstanceID("i-region-0-zone-0-0000"), g.ids()[0]
		g.ticks(4)
		Expect(peer(g, at, crashed).Silent).To(BeFalse())
		g.ticks(4)
		for _, id := range g.ids() {
			Expect(peer(g, id, crashed).Silent).To(BeTrue())
			Expect(peer(g, id, crashed).Listed).To(BeTrue())
		}
	})

	// The process is paused for a minute and receives nothing meanwhile.
	// Without restartSilence its first view shows all 17 others silent and it
	// drops all its neighbours at once.
	It("does not consider the other processes silent after a pause of its own", func() {
		g := convergedGroup(2, places(3, 3))
		at := g.ids()[0]
		chosen := g.tables[at].Neighbours(g.now)
		g.frozen[at] = true
		g.ticks(60)
		delete(g.frozen, at)
		for _, p := range g.tables[at].View(g.now).Peers {
			Expect(p.Silent).To(BeFalse(), "%s", p.ID)
		}
		Expect(g.tables[at].Neighbours(g.now)).To(Equal(chosen))
		g.ticks(10)
		for _, p := range g.tables[at].View(g.now).Peers {
			Expect(p.Silent).To(BeFalse(), "%s", p.ID)
		}
	})

	// A backend server leaves while hundreds of other changes are queued for
	// the same link. If its record were queued behind them, entries would keep
	// sending it requests for as many seconds as it takes to drain the queue.
	It("sends records of leaving processes first", func() {
		now := time.Now()
		zone := places(1, 1)[0]
		a := gossip.New(gossip.Options{Self: member("a", zone), MaxRecords: 3})
		var all []gossip.Record
		for _, id := range []fleet.InstanceID{"b", "c", "d", "e", "f"} {
			r := member(id, zone)
			r.StateSeq = 1
			all = append(all, r)
		}
		a.Merge(now, "b", all)
		a.Acknowledge(now, "g", all)
		for i := range all {
			all[i].StateSeq = 2
			all[i].Leaving = all[i].ID == "f"
			all[i].State = gossip.StateChanging
		}
		a.Merge(now, "b", all)
		delta := a.Delta(now, "g")
		Expect(delta).To(HaveLen(3))
		Expect(delta[0].ID).To(Equal(fleet.InstanceID("f")))
		Expect(delta[0].Leaving).To(BeTrue())
	})

	// A process has crashed, and a neighbour deletes its record a little later
	// than this process. On a new connection the neighbour sends its copy
	// again. Without the tombstone the record is restored, not silent, and
	// relayed for as long as connections are re-established.
	It("rejects a deleted record, but accepts one of a restarted process", func() {
		g := convergedGroup(3, places(1, 1))
		crashed, at := g.ids()[0], g.ids()[1]
		old := g.tables[crashed].Self()
		g.crashed[crashed] = true
		g.list = g.list[1:]
		g.publish()
		g.ticks(70)
		_, known := g.tables[at].View(g.now).Peer(crashed)
		Expect(known).To(BeFalse())
		g.tables[at].Merge(g.now, g.ids()[1], []gossip.Record{old})
		_, known = g.tables[at].View(g.now).Peer(crashed)
		Expect(known).To(BeFalse())
		old.Incarnation++
		Expect(g.tables[at].Merge(g.now, crashed, []gossip.Record{old})).To(ConsistOf(crashed))
	})

	// Two processes run with one id, for example after a settings file was
	// copied. Each overwrites the other's record everywhere, and the fleet sees
	// one replica that alternates between two states. The process that started
	// first must detect it.
	It("reports a live process with the same id and never adopts its record", func() {
		g := convergedGroup(3, places(1, 1))
		at := g.ids()[0]
		own := g.tables[at].Self()
		other := own
		other.Incarnation++
		for range 20 {
			g.tick()
			other.HeartbeatSeq++
			g.tables[at].Merge(g.now, g.ids()[1], []gossip.Record{other})
		}
		found, duplicate := g.tables[at].Duplicate()
		Expect(duplicate).To(BeTrue())
		Expect(found.Incarnation).To(Equal(other.Incarnation))
		Expect(g.tables[at].Self().Incarnation).To(Equal(own.Incarnation))
	})

	// A process restarts with a clock that is behind that of its predecessor.
	// All processes hold the predecessor's record, which has the higher
	// incarnation and, being listed, is never deleted. Without
	// supersedePredecessor no process ever accepted the new record, and it
	// stayed silent permanently.
	It("supersedes an ended predecessor whose clock was ahead", func() {
		g := convergedGroup(3, places(1, 1))
		at := g.ids()[0]
		restarted := g.tables[at].Self()
		restarted.Incarnation -= 1000
		restarted.HeartbeatSeq = 0
		g.tables[at] = gossip.New(gossip.Options{Self: restarted})
		for _, id := range g.ids()[1:] {
			g.reset(pairOf(at, id))
		}
		g.publish()
		g.ticks(20)
		_, duplicate := g.tables[at].Duplicate()
		Expect(duplicate).To(BeFalse())
		Expect(g.converged()).To(BeTrue())
		Expect(peer(g, g.ids()[1], at).Silent).To(BeFalse())
	})

	// The regions are partitioned for ten minutes while replicas change. Each
	// region must stay consistent in itself, and after the partition every
	// change must be exchanged, although no process knows what the others
	// missed.
	It("stays consistent in each region of a partition and converges after it", func() {
		g := convergedGroup(2, places(2, 2))
		region := func(id fleet.InstanceID) fleet.Region { return g.tables[id].Self().Region }
		g.cut = func(a, b fleet.InstanceID) bool { return region(a) != region(b) }
		for range 600 / 4 {
			for _, id := range g.ids() {
				g.tables[id].UpdateSelf(func(r *gossip.Record) { r.State = flip(r.State) })
			}
			g.ticks(4)
		}
		for _, id := range g.ids() {
			for _, other := range g.ids() {
				if id != other && region(id) == region(other) {
					Expect(peer(g, id, other).Silent).To(BeFalse())
				}
			}
		}
		g.cut = func(_, _ fleet.InstanceID) bool { return false }
		g.ticks(60)
		Expect(g.converged()).To(BeTrue())
	})

	// A zone is partitioned into halves for five minutes while nothing else
	// changes. Each half replaces the other's members by its own and is
	// connected without them. Without the probe the halves never reconnect:
	// each sees the other as silent permanently, rollouts stop and a leaving
	// server is not noticed.
	It("reconnects the halves of a partitioned zone", func() {
		g := convergedGroup(12, places(1, 1))
		half := func(id fleet.InstanceID) bool { return id > "i-region-0-zone-0-0005" }
		g.cut = func(a, b fleet.InstanceID) bool { return half(a) != half(b) }
		g.ticks(300)
		Expect(g.connected()).To(BeFalse())
		g.cut = func(_, _ fleet.InstanceID) bool { return false }
		g.ticks(60)
		for _, id := range g.ids() {
			for _, p := range g.tables[id].View(g.now).Peers {
				Expect(p.Silent).To(BeFalse(), "%s at %s", p.ID, id)
			}
		}
	})

	// If neighbours are chosen by weight alone, a few processes may choose each
	// other and no others, whatever the number of neighbours. With one
	// neighbour each, the second of these prefixes gave such a partition. An
	// isolated part receives no changes from the rest of its zone.
	It("connects a zone by the ring alone", func() {
		for _, prefix := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			g := newGroupOf(12, places(1, 1), prefix, 1)
			g.publish()
			g.tick()
			Expect(g.connected()).To(BeTrue(), prefix)
		}
	})

	// A zone of 40 processes fails and stays listed. A process that holds the
	// region's link to it would try the 40 one by one, for five seconds each,
	// and receive nothing from the working zones for three minutes.
	It("does not try the members of a failed zone one by one", func() {
		zones := places(1, 3)
		g := convergedGroup(40, zones)
		for _, id := range g.ids() {
			g.crashed[id] = g.tables[id].Self().Zone == zones[1].Zone
		}
		g.ticks(20)
		for _, id := range g.ids() {
			Expect(g.linksBetween(id, zones[0].Zone, zones[2].Zone)).To(BeNumerically(">=", 1), "%s", id)
		}
	})

	// Relayed records have no configuration digest. If the old digest were kept
	// with the new revision, the reader would see two configurations with one
	// revision and raise an alarm at every configuration change.
	It("never combines a digest with another revision", func() {
		now := time.Now()
		a := gossip.New(gossip.Options{Self: member("a", places(1, 1)[0])})
		r := member("b", places(1, 1)[0])
		r.StateSeq = 1
		a.Merge(now, "b", []gossip.Record{r})
		a.Merge(now, "c", []gossip.Record{{ID: "b", Incarnation: r.Incarnation, StateSeq: 1, HeartbeatSeq: 1, Revision: r.Revision + 1}})
		held, _ := a.View(now).Peer("b")
		Expect(held.Revision).To(Equal(r.Revision + 1))
		Expect(held.ConfigDigest.IsZero()).To(BeTrue())
	})

	It("counts a listed process without a record as silent", func() {
		now := time.Now()
		a := gossip.New(gossip.Options{Self: member("a", places(1, 1)[0])})
		a.SetListed(now, []fleet.Instance{instance(member("b", places(1, 1)[0]))})
		replicas := a.View(now).ServiceZone("kielimalli", places(1, 1)[0].Zone)
		Expect(replicas).To(HaveLen(1))
		Expect(replicas[0].Silent && replicas[0].Listed).To(BeTrue())
		Expect(a.Neighbours(now)).To(HaveLen(1))
	})

	It("raises the state counter for a new state and the incarnation for a new address", func() {
		a := gossip.New(gossip.Options{Self: member("a", places(1, 1)[0])})
		before := a.Self()
		a.UpdateSelf(func(r *gossip.Record) { r.Revision++ })
		Expect(a.Self().StateSeq).To(Equal(before.StateSeq))
		a.UpdateSelf(func(r *gossip.Record) { r.RolloutOrder = r.Incarnation + 7; r.State = gossip.StateStaged })
		Expect(a.Self().StateSeq).To(Equal(before.StateSeq + 1))
		a.UpdateSelf(func(r *gossip.Record) { r.RolloutOrder = 0; r.ID = "x"; r.Incarnation = 1 })
		Expect(a.Self().RolloutOrder).To(Equal(before.Incarnation + 7))
		Expect(a.Self().ID).To(Equal(fleet.InstanceID("a")))
		a.UpdateSelf(func(r *gossip.Record) { r.CallerAddr = r.PeerAddr })
		Expect(a.Self().Incarnation).To(Equal(before.Incarnation + 1))
	})
})

// TestMergeNeverGoesBack merges records of one process in any order, in any
// form and any number of times. The record held must never become older: a
// delayed message would otherwise show a replica as serving a version that it
// no longer serves.
func TestMergeNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		zone := places(1, 1)[0]
		table := gossip.New(gossip.Options{Self: member("a", zone)})
		var last gossip.Record
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			r := member("b", zone)
			r.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			r.StateSeq = rapid.Uint64Range(1, 4).Draw(t, "change")
			r.HeartbeatSeq = rapid.Uint64Range(0, 6).Draw(t, "beat")
			r.RolloutOrder = r.StateSeq
			switch rapid.IntRange(0, 2).Draw(t, "form") {
			case 0:
				r = gossip.Record{ID: r.ID, Incarnation: r.Incarnation, StateSeq: r.StateSeq, HeartbeatSeq: r.HeartbeatSeq}
			case 1:
				r.Role = ""
			}
			table.Merge(now, "c", []gossip.Record{r})
			held, known := table.View(now).Peer("b")
			if !known {
				continue
			}
			if before(held.Record, last) {
				t.Fatalf("went back from %+v to %+v", last, held.Record)
			}
			if held.RolloutOrder != held.StateSeq {
				t.Fatalf("state of change %d shown under change %d", held.RolloutOrder, held.StateSeq)
			}
			last = held.Record
		}
	})
}

func before(a, b gossip.Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	if a.StateSeq != b.StateSeq {
		return a.StateSeq < b.StateSeq
	}
	return a.HeartbeatSeq < b.HeartbeatSeq
}

// TestOverlayConnected crashes arbitrary processes of arbitrary fleets,
// including whole zones. The remaining ones must be connected again and agree
// on every change; a part isolated by the choice of neighbours would receive no
// leaving server and no new configuration. With few neighbours each,
// connectivity depends on the rings alone.
//
// With the member of highest weight in all other zones in place of the next
// zone, the test failed after 77 tries.
func TestOverlayConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(1, 3).Draw(t, "regions")
		zones := places(regions, rapid.IntRange(1, 6-regions).Draw(t, "zones"))
		prefix := rapid.StringMatching("[a-z]{4}").Draw(t, "prefix")
		each := rapid.IntRange(1, max(2, 12/len(zones))).Draw(t, "each")
		g := newGroupOf(each, zones, prefix, rapid.IntRange(1, 2).Draw(t, "neighbours"))
		g.publish()
		g.ticks(12)
		for _, id := range g.ids() {
			g.crashed[id] = rapid.IntRange(0, 3).Draw(t, "dies") == 0
		}
		if down := rapid.IntRange(-1, len(zones)-1).Draw(t, "zone down"); down >= 0 {
			for _, id := range g.ids() {
				g.crashed[id] = g.crashed[id] || g.tables[id].Self().Zone == zones[down].Zone
			}
		}
		g.ticks(60)
		for _, id := range g.ids() {
			g.tables[id].UpdateSelf(func(r *gossip.Record) { r.State = flip(r.State) })
		}
		g.ticks(30)
		if !g.connected() {
			t.Fatalf("links do not join the %d live processes", len(g.ids()))
		}
		if !g.converged() {
			t.Fatalf("the live processes do not agree")
		}
	})
}
