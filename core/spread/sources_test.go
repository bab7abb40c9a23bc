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

// newSinglePlan returns the plan of the only member of a fleet for a manifest of the
// given number of chunks.
func newSinglePlan(chunks int, settings spread.Settings) *spread.Plan {
	manifest := weights.Manifest{Model: "m"}
	for i := range chunks {
		manifest.Chunks = append(manifest.Chunks, weights.Chunk{Index: i, Bytes: 1000})
	}
	self := spread.Member{ID: "a", Place: fleet.Place{Zone: "z", Region: "r"}}
	settings.OriginRate = 1000
	plan := spread.New(spread.Options{
		Self: self, Manifest: manifest, Settings: settings, Rand: rand.New(rand.NewPCG(1, 2)), Start: startTime})
	plan.SetMembers(startTime, nil)
	return plan
}

// runPlan steps a plan, with draw as the outcome of each upstream fetch, and returns
// when the plan completed and the longest pause between two fetches.
func runPlan(p *spread.Plan, limit time.Duration, draw func(now time.Duration, f spread.Fetch) (spread.Reason, bool)) (done, pause time.Duration) {
	last := time.Duration(0)
	for d := time.Duration(0); d < limit; d += 50 * time.Millisecond {
		now := startTime.Add(d)
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

var _ = Describe("With the origin as the only upstream source", func() {
	// The origin fails for a while. A version has a deadline of seconds, so a member
	// must retry soon after the origin recovers, and must never use a store that does
	// not exist.
	It("a member retries within the configured maximum pause", func() {
		plan := newSinglePlan(4, spread.Settings{NoStore: true, SourcePauseMax: 700 * time.Millisecond})
		const outage = 20 * time.Second
		done, _ := runPlan(plan, 2*outage, func(now time.Duration, f spread.Fetch) (spread.Reason, bool) {
			Expect(f.Source).To(Equal(spread.SourceOrigin))
			return spread.ReasonUnavailable, now < outage
		})
		Expect(done).To(BeNumerically("<", outage+10*time.Second))
	})

	// Every fetch of a chunk is aborted repeatedly and counts against the quota.
	// Without fetches beyond it the version would never be complete.
	It("a member continues at a low rate once its quota is used up", func() {
		plan := newSinglePlan(4, spread.Settings{NoStore: true, OriginCopies: 1, SourcePauseMax: time.Second})
		draws := 0
		done, _ := runPlan(plan, time.Hour, func(time.Duration, spread.Fetch) (spread.Reason, bool) {
			draws++
			return spread.ReasonGone, draws <= 12
		})
		Expect(plan.Complete()).To(BeTrue())
		Expect(done).To(BeNumerically("<", time.Hour))
	})
})

// simulateOriginFetches returns when the last chunk was fetched from the origin and the
// number of fetches, in a fleet in which every member learns of each fetch immediately.
func simulateOriginFetches(members, chunks int, settings spread.Settings) (last time.Duration, draws int) {
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
			Self: self, Manifest: manifest, Settings: settings, Rand: rand.New(rand.NewPCG(1, 2)), Start: startTime})
		p.SetMembers(startTime, fleetOf)
		plans = append(plans, p)
	}
	seen := weights.NewSet(chunks)
	for d := time.Duration(0); seen.Count() < chunks && d < time.Minute; d += 10 * time.Millisecond {
		for _, p := range plans {
			p.MergeSeen(startTime.Add(d), seen)
			for _, f := range p.Next(startTime.Add(d)) {
				p.Done(startTime.Add(d), f.ID)
				seen.Add(f.Chunk)
				draws++
				last = d
			}
		}
	}
	return last, draws
}

var _ = Describe("The first-ranked member", func() {
	// Chunks are assigned to members by hash, so some members get more than their
	// quota. If such a member left the rest to the next in rank, these chunks would
	// arrive a takeover time later; an origin that fails meanwhile delays the whole
	// version.
	It("fetches its assigned chunks even beyond its quota", func() {
		const members, chunks = 24, 48
		settings := spread.Settings{
			NoStore: true, OriginCopies: 1, OriginRate: 40 * 1000, TakeoverDelay: 700 * time.Millisecond,
			ReportWait: 10 * time.Millisecond,
		}
		last, draws := simulateOriginFetches(members, chunks, settings)
		Expect(draws).To(Equal(chunks))
		Expect(last).To(BeNumerically("<", 1300*time.Millisecond)) // 48 chunks at 40 per second
	})
})

var _ = Describe("A chunk of another region", func() {
	here := fleet.Place{Zone: "z", Region: "r"}
	far := spread.Member{ID: "far", Place: fleet.Place{Zone: "x", Region: "q"}}
	const chunks = 40

	// member returns the plan of one of two members of a region. The far member holds
	// every chunk, and ReportWait keeps the plan from using the origin.
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
			Self: spread.Member{ID: self, Place: here}, Manifest: manifest, Rand: rand.New(rand.NewPCG(1, 2)), Start: startTime,
			Settings: spread.Settings{NearFirst: true, NoStore: true, OriginCopies: 1, ReportWait: time.Hour, MaxFetches: chunks, PerPeer: chunks},
		})
		p.SetMembers(startTime, []spread.Member{{ID: self, Place: here}, {ID: other, Place: here}, far})
		p.PeerUp(startTime, far)
		p.SetPeerChunks(startTime, far.ID, all)
		return p
	}
	fetched := func(p *spread.Plan, now time.Time) map[int]bool {
		set := make(map[int]bool)
		for _, f := range p.Next(now) {
			set[f.Chunk] = true
		}
		return set
	}

	// Both members of a region see the same new chunks in another region. If each
	// fetched them, every chunk would cross the link between the regions twice.
	It("is fetched by one member of a region", func() {
		one, two := fetched(member("a", "b"), startTime), fetched(member("b", "a"), startTime)
		Expect(len(one) + len(two)).To(Equal(chunks))
		Expect(len(one)).To(BeNumerically(">", chunks/5))
		Expect(len(two)).To(BeNumerically(">", chunks/5))
		for chunk := range one {
			Expect(two[chunk]).To(BeFalse())
		}
	})

	// The responsible member has left or is slow. The others stop waiting for it.
	It("is fetched by the other members once it is late", func() {
		p := member("a", "b")
		at := startTime
		first := fetched(p, at)
		Expect(len(first)).To(BeNumerically("<", chunks))
		rest := fetched(p, at.Add(2*time.Second))
		Expect(len(first) + len(rest)).To(Equal(chunks))
	})

	It("is copied from a member of the region that holds it", func() {
		p := member("a", "b")
		p.PeerUp(startTime, spread.Member{ID: "b", Place: here})
		held := weights.SetOf(chunks, 0, 1, 2, 3)
		p.SetPeerChunks(startTime, "b", held)
		for _, f := range p.Next(startTime) {
			if held.Has(f.Chunk) {
				Expect(f.Peer).To(Equal(fleet.InstanceID("b")))
			}
		}
	})
})

var _ = Describe("NearFirst", func() {
	// Two regions share a narrow link. A member fetches chunks held in its own region
	// before rarer chunks held elsewhere.
	DescribeTable("chooses between a near chunk and a rarer far one",
		func(nearFirst bool, want []fleet.InstanceID) {
			plan := newSinglePlan(4, spread.Settings{NearFirst: nearFirst, MaxFetches: 1})
			near := spread.Member{ID: "near", Place: fleet.Place{Zone: "y", Region: "r"}}
			near2 := spread.Member{ID: "near2", Place: fleet.Place{Zone: "y", Region: "r"}}
			far := spread.Member{ID: "far", Place: fleet.Place{Zone: "x", Region: "q"}}
			plan.SetMembers(startTime, []spread.Member{near, near2, far})
			for _, m := range []spread.Member{near, near2, far} {
				plan.PeerUp(startTime, m)
			}
			plan.SetPeerChunks(startTime, "near", weights.SetOf(4, 0))
			plan.SetPeerChunks(startTime, "near2", weights.SetOf(4, 0))
			plan.SetPeerChunks(startTime, "far", weights.SetOf(4, 3))
			var peers []fleet.InstanceID
			for _, f := range plan.Next(startTime) {
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
