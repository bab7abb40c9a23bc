package spread_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
)

// alone returns the plan of a member that is the only one, with so many chunks.
func alone(chunks int, settings spread.Settings) *spread.Plan {
	manifest := weights.Manifest{Model: "m"}
	for i := range chunks {
		manifest.Chunks = append(manifest.Chunks, weights.Chunk{Index: i, Bytes: 1000})
	}
	self := spread.Member{ID: "a", Place: fleet.Place{Zone: "z", Region: "r"}}
	settings.OriginRate = 1000
	plan := spread.New(spread.Options{
		Self: self, Manifest: manifest, Settings: settings, Rand: rand.New(rand.NewPCG(1, 2)), Start: begin})
	plan.SetMembers(begin, nil)
	return plan
}

// run steps a plan whose draws end as told, and returns when it was complete
// and the longest pause between two draws.
func run(p *spread.Plan, limit time.Duration, draw func(now time.Duration, f spread.Fetch) (spread.Reason, bool)) (done, pause time.Duration) {
	last := time.Duration(0)
	for d := time.Duration(0); d < limit; d += 50 * time.Millisecond {
		now := begin.Add(d)
		for _, f := range p.Next(now) {
			pause = max(pause, d-last)
			last = d
			if reason, fails := draw(d, f); fails {
				p.Failed(now, f.ID, reason, 0)
			} else {
				p.Done(now, f.ID)
			}
		}
		if p.Complete() {
			return d, pause
		}
	}
	return limit, pause
}

var _ = Describe("Where there is only the origin", func() {
	// The origin fails for a while. A version has seconds, so whoever draws from
	// it asks again soon after its return, and never a store that is not there.
	It("a member asks it again within the longest pause that is set", func() {
		plan := alone(4, spread.Settings{NoStore: true, SourcePauseMax: 700 * time.Millisecond})
		const outage = 20 * time.Second
		done, _ := run(plan, 2*outage, func(now time.Duration, f spread.Fetch) (spread.Reason, bool) {
			Expect(f.Source).To(Equal(spread.SourceOrigin))
			return spread.ReasonUnavailable, now < outage
		})
		Expect(done).To(BeNumerically("<", outage+10*time.Second))
	})

	// Every draw of a chunk is cut again and again and counts against the quota.
	// Without draws beyond it the version would never become whole.
	It("a member goes on slowly once its quota is used up", func() {
		plan := alone(4, spread.Settings{NoStore: true, OriginCopies: 1, SourcePauseMax: time.Second})
		draws := 0
		done, _ := run(plan, time.Hour, func(time.Duration, spread.Fetch) (spread.Reason, bool) {
			draws++
			return spread.ReasonGone, draws <= 12
		})
		Expect(plan.Complete()).To(BeTrue())
		Expect(done).To(BeNumerically("<", time.Hour))
	})
})

// drawnBy returns when each chunk has left the origin, and how many were drawn,
// in a fleet that hears of every draw at once.
func drawnBy(members, chunks int, settings spread.Settings) (last time.Duration, draws int) {
	manifest := weights.Manifest{Model: "m"}
	for i := range chunks {
		manifest.Chunks = append(manifest.Chunks, weights.Chunk{Index: i, Bytes: 1000})
	}
	var fleetOf []spread.Member
	for i := range members {
		fleetOf = append(fleetOf, spread.Member{ID: fleet.InstanceID(fmt.Sprintf("10.0.0.%d", i))})
	}
	var plans []*spread.Plan
	for _, self := range fleetOf {
		p := spread.New(spread.Options{
			Self: self, Manifest: manifest, Settings: settings, Rand: rand.New(rand.NewPCG(1, 2)), Start: begin})
		p.SetMembers(begin, fleetOf)
		plans = append(plans, p)
	}
	seen := weights.NewSet(chunks)
	for d := time.Duration(0); seen.Count() < chunks && d < time.Minute; d += 10 * time.Millisecond {
		for _, p := range plans {
			p.PeerSeen(begin.Add(d), seen)
			for _, f := range p.Next(begin.Add(d)) {
				p.Done(begin.Add(d), f.ID)
				seen.Add(f.Chunk)
				draws++
				last = d
			}
		}
	}
	return last, draws
}

var _ = Describe("The first in rank", func() {
	// Chunks fall to members by hash, to some more than their part of the quota.
	// If such a member left the rest to the next in rank, they would come a
	// takeover later; an origin that fails in between delays the whole version.
	It("draws what falls to it, also beyond its quota", func() {
		const members, chunks = 24, 48
		settings := spread.Settings{
			NoStore: true, OriginCopies: 1, OriginRate: 40 * 1000, Takeover: 700 * time.Millisecond,
			ListenTime: 10 * time.Millisecond,
		}
		last, draws := drawnBy(members, chunks, settings)
		Expect(draws).To(Equal(chunks))
		Expect(last).To(BeNumerically("<", 1300*time.Millisecond)) // 48 chunks, 40 a second
	})
})

var _ = Describe("A chunk of another region", func() {
	here := fleet.Place{Zone: "z", Region: "r"}
	far := spread.Member{ID: "far", Place: fleet.Place{Zone: "x", Region: "q"}}
	const chunks = 40

	// member returns the plan of one of two members of a region. The far member
	// holds everything, and nothing is to be had from the origin.
	member := func(self, other fleet.InstanceID) *spread.Plan {
		manifest := weights.Manifest{Model: "m"}
		for i := range chunks {
			manifest.Chunks = append(manifest.Chunks, weights.Chunk{Index: i, Bytes: 1000})
		}
		all := weights.NewSet(chunks)
		for i := range chunks {
			all.Add(i)
		}
		p := spread.New(spread.Options{
			Self: spread.Member{ID: self, Place: here}, Manifest: manifest, Rand: rand.New(rand.NewPCG(1, 2)), Start: begin,
			Settings: spread.Settings{NearFirst: true, NoStore: true, OriginCopies: 1, ListenTime: time.Hour, MaxFetches: chunks, PerPeer: chunks},
		})
		p.SetMembers(begin, []spread.Member{{ID: self, Place: here}, {ID: other, Place: here}, far})
		p.PeerUp(begin, far)
		p.PeerHas(begin, far.ID, all)
		return p
	}
	fetched := func(p *spread.Plan, now time.Time) map[int]bool {
		set := make(map[int]bool)
		for _, f := range p.Next(now) {
			set[f.Chunk] = true
		}
		return set
	}

	// Both members of a region see the same new chunks far away. Fetched by each,
	// every chunk would cross the link between the regions twice.
	It("is fetched by one member of a region", func() {
		one, two := fetched(member("a", "b"), begin), fetched(member("b", "a"), begin)
		Expect(len(one) + len(two)).To(Equal(chunks))
		Expect(len(one)).To(BeNumerically(">", chunks/5))
		Expect(len(two)).To(BeNumerically(">", chunks/5))
		for chunk := range one {
			Expect(two[chunk]).To(BeFalse())
		}
	})

	// The one that was to fetch it is gone or slow. The others do not wait on.
	It("is fetched by the others too once it is late", func() {
		p := member("a", "b")
		at := begin
		first := fetched(p, at)
		Expect(len(first)).To(BeNumerically("<", chunks))
		rest := fetched(p, at.Add(2*time.Second))
		Expect(len(first) + len(rest)).To(Equal(chunks))
	})

	It("is left to a member of the region that holds it", func() {
		p := member("a", "b")
		p.PeerUp(begin, spread.Member{ID: "b", Place: here})
		held := weights.SetOf(chunks, 0, 1, 2, 3)
		p.PeerHas(begin, "b", held)
		for _, f := range p.Next(begin) {
			if held.Has(f.Chunk) {
				Expect(f.Peer).To(Equal(fleet.InstanceID("b")))
			}
		}
	})
})

var _ = Describe("NearFirst", func() {
	// Two regions share a narrow link. A member takes what its own region holds
	// before a chunk that is rarer and elsewhere.
	DescribeTable("chooses between a near chunk and a rarer far one",
		func(nearFirst bool, want []fleet.InstanceID) {
			plan := alone(4, spread.Settings{NearFirst: nearFirst, MaxFetches: 1})
			near := spread.Member{ID: "near", Place: fleet.Place{Zone: "y", Region: "r"}}
			near2 := spread.Member{ID: "near2", Place: fleet.Place{Zone: "y", Region: "r"}}
			far := spread.Member{ID: "far", Place: fleet.Place{Zone: "x", Region: "q"}}
			plan.SetMembers(begin, []spread.Member{near, near2, far})
			for _, m := range []spread.Member{near, near2, far} {
				plan.PeerUp(begin, m)
			}
			plan.PeerHas(begin, "near", weights.SetOf(4, 0))
			plan.PeerHas(begin, "near2", weights.SetOf(4, 0))
			plan.PeerHas(begin, "far", weights.SetOf(4, 3))
			var peers []fleet.InstanceID
			for _, f := range plan.Next(begin) {
				if f.Source == spread.SourcePeer {
					peers = append(peers, f.Peer)
				}
			}
			Expect(peers).NotTo(BeEmpty())
			Expect(want).To(ContainElement(peers[0]))
		},
		Entry("near first", true, []fleet.InstanceID{"near", "near2"}),
		Entry("rarest first", false, []fleet.InstanceID{"far"}),
	)
})
