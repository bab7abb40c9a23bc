package placement_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/policy"
)

var start = time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)

const (
	ms      = time.Millisecond
	aim     = 400 * ms
	service = fleet.ServiceName("spindle-pool")
)

func figures() *enginemodel.Profile {
	return &enginemodel.Profile{
		Slots: 16, StepTime: 9270 * time.Microsecond, StepTimePerSequence: 23 * time.Microsecond,
		StepTimePer1000Context: 32 * time.Microsecond, PrefillTokensPerSecond: 20700, PrefillTimePerMillionPairs: 1180 * time.Microsecond,
		StepsPerPass: 5, MeanPromptTokens: 979, MeanOutputTokens: 92, MemoryTokens: 317000,
	}
}

func id(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("i-%02d", i)) }

func servers(n int) []placement.Server {
	list := make([]placement.Server, n)
	for i := range list {
		list[i] = placement.Server{
			ID: id(i), Service: service, Slots: 16, LoadedVersion: 1,
			Addr:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Place: fleet.Place{Zone: "a", Region: "r"},
		}
	}
	return list
}

func board(n int) *placement.Balancer {
	b := placement.New(rand.New(rand.NewPCG(1, 2)), policy.Disabled{})
	b.SetServers(start, servers(n))
	return b
}

func ask() placement.Request {
	return placement.Request{
		Service: service, Engine: figures(), PromptTokens: 979, OutputTokens: 92, TargetLatency: aim, TimeLeft: 6 * time.Second,
		EntryPlace: fleet.Place{Zone: "a", Region: "r"},
	}
}

// small is a request whose prompt is read in a millisecond, so that engines
// are found busy by their places alone.
func small() placement.Request {
	a := ask()
	a.PromptTokens = 20
	return a
}

// fill places requests until one is refused, and returns how many were placed.
func fill(b *placement.Balancer, a placement.Request) int {
	for n := 0; ; n++ {
		if t, _ := b.Choose(start, a); t == nil {
			return n
		}
	}
}

var _ = Describe("Choose", func() {
	It("spreads requests evenly", func() {
		b := board(8)
		counts := map[fleet.InstanceID]int{}
		for range 80 {
			t, _ := b.Choose(start, small())
			Expect(t).NotTo(BeNil())
			counts[t.Server.ID]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("~", 10, 2))
		}
	})

	It("counts what the other entries have there, as long as it is fresh", func() {
		b := board(2)
		b.UpdateEntryLoads(start, "other", []placement.Load{{Server: id(0), Work: enginemodel.Work{Running: 16, PendingPrefill: 8000}}})
		for range 5 {
			t, _ := b.Choose(start, small())
			Expect(t.Server.ID).To(Equal(id(1)))
		}
		later := start.Add(2 * time.Second)
		Expect(b.Loads()).NotTo(BeEmpty())
		t, _ := b.Choose(later, ask())
		Expect(t.Server.ID).To(Equal(id(0)))
	})

	// After a loss of power requests wait at four entries, and the first engine is
	// ready. All of them place at once, before any hears of the others; what they
	// place must fit the engine, or each of its streams begins seconds late.
	It("shares an engine that has just become ready with entries that are not heard of yet", func() {
		alone := fill(board(1), small())
		together := 0
		for range 4 {
			b := board(1)
			for _, other := range []fleet.InstanceID{"x", "y", "z"} {
				b.UpdateEntryLoads(start, other, nil)
			}
			together += fill(b, small())
		}
		Expect(together).To(BeNumerically("~", alone, 4))
	})

	// Guards against calls that wait at an engine when the time of its version
	// ends, or are written there: they would begin on weights that must not be used
	// any more, or be cut off.
	It("lets nothing wait at an engine whose version is about to be outdated", func() {
		const whole = 1100 * ms // of an answer of 92 tokens alone at the engine
		Expect(fill(board(1), outdatedFor(small(), whole-150*ms))).To(BeZero())
		Expect(fill(board(1), outdatedFor(small(), whole+200*ms))).To(And(BeNumerically(">", 0), BeNumerically("<=", 12)))
		Expect(fill(board(1), outdatedFor(small(), whole+400*ms))).To(BeNumerically("<=", 16))
		long := outdatedFor(small(), 2*whole)
		long.ExpectedTokens = 250
		Expect(fill(board(1), long)).To(BeZero())
	})

	// Guards against a request that only a later word of ours ends in time.
	It("tells an engine with an outdated version when to end its work", func() {
		t, _ := board(1).Choose(start, outdatedFor(small(), 3*time.Second))
		Expect(t.ServerTimeout).To(Equal(3 * time.Second))
		t, _ = board(1).Choose(start, small())
		Expect(t.ServerTimeout).To(BeZero())
		t, _ = board(1).Choose(start, outdatedFor(small(), time.Hour))
		Expect(t.ServerTimeout).To(BeZero(), "its own time is shorter")
	})

	It("uses an engine with an outdated version like any other while no time is short", func() {
		Expect(fill(board(1), outdatedFor(small(), time.Minute))).To(Equal(fill(board(1), small())))
	})

	It("forgets the load of an entry that has gone", func() {
		b := board(1)
		b.UpdateEntryLoads(start, "other", []placement.Load{{Server: id(0), Work: enginemodel.Work{Running: 60}}})
		t, refusal := b.Choose(start, ask())
		Expect(t).To(BeNil())
		Expect(refusal.Reason).To(Equal(placement.Full))
		b.RemoveEntry("other")
		t, _ = b.Choose(start, ask())
		Expect(t).NotTo(BeNil())
	})

	It("tells the other entries what it has", func() {
		b := board(2)
		t, _ := b.Choose(start, ask())
		Expect(b.Loads()).To(ConsistOf(placement.Load{
			Server: t.Server.ID, Work: enginemodel.Work{Running: 1, PendingPrefill: 979, Context: 979}}))
		t.AddTokens(5)
		Expect(b.Loads()[0].Work).To(Equal(enginemodel.Work{Running: 1, Context: 984}))
		t.End(start, placement.Succeeded)
		Expect(b.Loads()).To(BeEmpty())
	})

	DescribeTable("leaves out servers that cannot take the request",
		func(change func(*placement.Server), a placement.Request) {
			list := servers(2)
			change(&list[0])
			b := placement.New(rand.New(rand.NewPCG(1, 2)), policy.Disabled{})
			b.SetServers(start, list)
			for range 10 {
				t, _ := b.Choose(start, a)
				Expect(t.Server.ID).To(Equal(id(1)))
				t.End(start, placement.Succeeded)
			}
			b.SetServers(start, list[:1])
			t, refusal := b.Choose(start, a)
			Expect(t).To(BeNil())
			Expect(refusal.Reason).To(Equal(placement.NoServer))
		},
		Entry("one that leaves", func(s *placement.Server) { s.Leaving = true }, ask()),
		Entry("one that loads weights", func(s *placement.Server) { s.Reloading = true }, ask()),
		Entry("one that its agent cannot reach", func(s *placement.Server) { s.Unreachable = true }, ask()),
		Entry("one with another version", func(s *placement.Server) { s.LoadedVersion = 7 }, withVersions(ask())),
		Entry("one that had the request before", func(*placement.Server) {}, excluding(ask())),
	)

	It("prefers its own region while there is room", func() {
		list := servers(2)
		list[1].Place.Region = "far"
		b := placement.New(rand.New(rand.NewPCG(1, 2)), policy.Disabled{})
		b.SetServers(start, list)
		for range 10 {
			t, _ := b.Choose(start, ask())
			Expect(t.Server.ID).To(Equal(id(0)))
			t.End(start, placement.Succeeded)
		}
	})

	It("takes a slow engine for as slow as it reports", func() {
		list := servers(2)
		list[0].Slowdown = 4
		b := placement.New(rand.New(rand.NewPCG(1, 2)), policy.Disabled{})
		b.SetServers(start, list)
		t, _ := b.Choose(start, ask())
		Expect(t.Server.ID).To(Equal(id(1)))
	})

	It("does not send more to an engine than its memory holds", func() {
		b := board(1)
		a := ask()
		a.Engine.MemoryTokens = 3000
		Expect(fill(b, a)).To(Equal(2))
	})

	It("bounds what waits at a plain service", func() {
		b := board(2)
		a := ask()
		a.Engine = nil
		a.PromptTokens = 0
		a.TargetLatency = time.Hour
		Expect(fill(b, a)).To(Equal(2 * 16 * 3))
	})

	It("does with a route that has no aim", func() {
		a := ask()
		a.TargetLatency = 0
		t, _ := board(1).Choose(start, a)
		Expect(t).NotTo(BeNil())
	})

	It("refuses for a service that nobody knows", func() {
		a := ask()
		a.Service = "gone"
		t, refusal := board(1).Choose(start, a)
		Expect(t).To(BeNil())
		Expect(refusal.Reason).To(Equal(placement.NoServer))
	})
})

func withVersions(a placement.Request) placement.Request {
	a.Versions = func(v placement.ModelVersion) (placement.Eligibility, time.Duration) {
		if v != 1 {
			return placement.Ineligible, 0
		}
		return placement.Eligible, 0
	}
	return a
}

// outdatedFor is a request at a time at which all versions are outdated and may
// answer for so long.
func outdatedFor(a placement.Request, left time.Duration) placement.Request {
	a.Versions = func(placement.ModelVersion) (placement.Eligibility, time.Duration) {
		return placement.EligibleOutdated, left
	}
	return a
}

func excluding(a placement.Request) placement.Request {
	a.Exclude = []fleet.InstanceID{id(0)}
	return a
}

var _ = Describe("Refusals", func() {
	// Under lasting overload engines are as busy as the most patient request
	// lets them be. Judged by their own aims or sizes, all others would find them
	// too busy for ever: a kind with an aim of 500 ms served nine in ten while one
	// of 400 ms got four.
	It("come at the same load for all kinds and sizes", func() {
		short, long := ask(), ask()
		short.PromptTokens, long.PromptTokens = 100, 4000
		const engines = 4 // one more each may be found by chance
		b := board(engines)
		fill(b, short)
		Expect(fill(b, long)).To(BeNumerically("<=", engines))
		b = board(engines)
		fill(b, long)
		Expect(fill(b, short)).To(BeNumerically("<=", engines))
	})

	// After an outage callers come back by the hundred. Late already, they must
	// not fill the engines so far that new requests are late too.
	It("come earlier for late requests, so that others are still placed", func() {
		b := board(4)
		late := small()
		late.Late = true
		Expect(fill(b, late)).To(BeNumerically(">", 4*10))
		Expect(fill(b, small())).To(BeNumerically(">=", 4*2))
	})

	// A caller comes back with a second left, and its answer would take three.
	// Placed, it would see the stream break off after a third, and a place would
	// be taken from a request that can be whole.
	It("come at once for late requests whose answers would not be whole in time", func() {
		late := small()
		late.Late = true
		late.TimeLeft = time.Second
		late.ExpectedTokens = 250 // 50 passes of some 60 ms
		ticket, refusal := board(4).Choose(start, late)
		Expect(ticket).To(BeNil())
		Expect(refusal.Reason).To(Equal(placement.TooLong))

		late.ExpectedTokens = 50
		ticket, _ = board(4).Choose(start, late)
		Expect(ticket).NotTo(BeNil())
	})

	// Estimates are often far off. A request that has all its time is given the
	// chance, and so is one whose caller told no estimate.
	It("do not come for an estimate alone", func() {
		long := small()
		long.TimeLeft = time.Second
		long.ExpectedTokens = 250
		ticket, _ := board(4).Choose(start, long)
		Expect(ticket).NotTo(BeNil())
		unknown := long
		unknown.Late = true
		unknown.ExpectedTokens = 0
		ticket, _ = board(4).Choose(start, unknown)
		Expect(ticket).NotTo(BeNil())
	})

	It("do not come while half of the places are free", func() {
		b := board(4)
		a := ask()
		a.PromptTokens = 200
		Expect(fill(b, a)).To(BeNumerically(">=", 4*8))
	})

	It("spread the return of their callers over the third of the time that callers wait", func() {
		b := board(1)
		fill(b, ask())
		lowest, highest := time.Hour, time.Duration(0)
		for range 200 {
			_, refusal := b.Choose(start, ask())
			lowest, highest = min(lowest, refusal.RetryAfter), max(highest, refusal.RetryAfter)
		}
		Expect(highest).To(BeNumerically("<=", 2*time.Second))
		Expect(lowest).To(BeNumerically("<", time.Second))
		Expect(highest - lowest).To(BeNumerically(">", time.Second))
	})

	It("send callers away for as long as they wait when no server is there", func() {
		b := placement.New(rand.New(rand.NewPCG(1, 2)), policy.Disabled{})
		_, refusal := b.Choose(start, ask())
		Expect(refusal.RetryAfter).To(Equal(2 * time.Second))
	})
})
