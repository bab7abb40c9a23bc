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
	ms            = time.Millisecond
	targetLatency = 400 * ms
	service       = fleet.ServiceName("spindle-pool")
)

func profile() *enginemodel.Profile {
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

func newBalancer(n int) *placement.Balancer {
	b := placement.New(rand.New(rand.NewPCG(1, 2)), policy.Disabled{})
	b.SetServers(start, servers(n))
	return b
}

func newRequest() placement.Request {
	return placement.Request{
		Service: service, Engine: profile(), PromptTokens: 979, OutputTokens: 92, TargetLatency: targetLatency, TimeLeft: 6 * time.Second,
		EntryPlace: fleet.Place{Zone: "a", Region: "r"},
	}
}

// smallRequest returns a request with a prefill of about a millisecond, so that
// only the slots limit the load of an engine.
func smallRequest() placement.Request {
	a := newRequest()
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
	It("distributes requests evenly", func() {
		b := newBalancer(8)
		counts := map[fleet.InstanceID]int{}
		for range 80 {
			t, _ := b.Choose(start, smallRequest())
			Expect(t).NotTo(BeNil())
			counts[t.Server.ID]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("~", 10, 2))
		}
	})

	It("counts the load reported by other entries until it expires", func() {
		b := newBalancer(2)
		b.UpdateEntryLoads(start, "other", []placement.Load{{Server: id(0), Work: enginemodel.Work{Running: 16, PendingPrefill: 8000}}})
		for range 5 {
			t, _ := b.Choose(start, smallRequest())
			Expect(t.Server.ID).To(Equal(id(1)))
		}
		later := start.Add(2 * time.Second)
		Expect(b.Loads()).NotTo(BeEmpty())
		t, _ := b.Choose(later, newRequest())
		Expect(t.Server.ID).To(Equal(id(0)))
	})

	// After a power failure, requests wait at four entries when the first engine
	// becomes ready. All entries place requests at the same time, before any report
	// arrives. Guards against more requests in total than the engine can hold, with
	// which each of its streams would start seconds late.
	It("shares an engine that has just become ready with entries whose reports have not arrived yet", func() {
		alone := fill(newBalancer(1), smallRequest())
		together := 0
		for range 4 {
			b := newBalancer(1)
			for _, other := range []fleet.InstanceID{"x", "y", "z"} {
				b.UpdateEntryLoads(start, other, nil)
			}
			together += fill(b, smallRequest())
		}
		Expect(together).To(BeNumerically("~", alone, 4))
	})

	// Guards against calls that are still queued or decoding at an engine when the
	// time of its version ends: they would start on weights that must no longer be
	// used, or be cut off.
	It("queues no request at an engine whose version expires before it could finish", func() {
		const total = 1100 * ms // of an output of 92 tokens, alone at the engine
		Expect(fill(newBalancer(1), withOutdatedVersions(smallRequest(), total-150*ms))).To(BeZero())
		Expect(fill(newBalancer(1), withOutdatedVersions(smallRequest(), total+200*ms))).To(And(BeNumerically(">", 0), BeNumerically("<=", 12)))
		Expect(fill(newBalancer(1), withOutdatedVersions(smallRequest(), total+400*ms))).To(BeNumerically("<=", 16))
		long := withOutdatedVersions(smallRequest(), 2*total)
		long.ExpectedTokens = 250
		Expect(fill(newBalancer(1), long)).To(BeZero())
	})

	// Guards against a request that only a later cancellation would end in time.
	It("sets a server timeout for an engine with an outdated version", func() {
		t, _ := newBalancer(1).Choose(start, withOutdatedVersions(smallRequest(), 3*time.Second))
		Expect(t.ServerTimeout).To(Equal(3 * time.Second))
		t, _ = newBalancer(1).Choose(start, smallRequest())
		Expect(t.ServerTimeout).To(BeZero())
		t, _ = newBalancer(1).Choose(start, withOutdatedVersions(smallRequest(), time.Hour))
		Expect(t.ServerTimeout).To(BeZero(), "its own deadline is earlier")
	})

	It("uses an engine with an outdated version without restriction while its time is not short", func() {
		Expect(fill(newBalancer(1), withOutdatedVersions(smallRequest(), time.Minute))).To(Equal(fill(newBalancer(1), smallRequest())))
	})

	It("drops the load of a removed entry", func() {
		b := newBalancer(1)
		b.UpdateEntryLoads(start, "other", []placement.Load{{Server: id(0), Work: enginemodel.Work{Running: 60}}})
		t, refusal := b.Choose(start, newRequest())
		Expect(t).To(BeNil())
		Expect(refusal.Reason).To(Equal(placement.Full))
		b.RemoveEntry("other")
		t, _ = b.Choose(start, newRequest())
		Expect(t).NotTo(BeNil())
	})

	It("returns its own load for reports to other entries", func() {
		b := newBalancer(2)
		t, _ := b.Choose(start, newRequest())
		Expect(b.Loads()).To(ConsistOf(placement.Load{
			Server: t.Server.ID, Work: enginemodel.Work{Running: 1, PendingPrefill: 979, Context: 979}}))
		t.AddTokens(5)
		Expect(b.Loads()[0].Work).To(Equal(enginemodel.Work{Running: 1, Context: 984}))
		t.End(start, placement.Succeeded)
		Expect(b.Loads()).To(BeEmpty())
	})

	DescribeTable("excludes servers that cannot serve the request",
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
		Entry("a leaving server", func(s *placement.Server) { s.Leaving = true }, newRequest()),
		Entry("a server that loads weights", func(s *placement.Server) { s.Reloading = true }, newRequest()),
		Entry("a server that its agent cannot reach", func(s *placement.Server) { s.Unreachable = true }, newRequest()),
		Entry("a server with another version", func(s *placement.Server) { s.LoadedVersion = 7 }, withVersions(newRequest())),
		Entry("a server that received the request before", func(*placement.Server) {}, excluding(newRequest())),
	)

	It("prefers its own region while there is room", func() {
		list := servers(2)
		list[1].Place.Region = "far"
		b := placement.New(rand.New(rand.NewPCG(1, 2)), policy.Disabled{})
		b.SetServers(start, list)
		for range 10 {
			t, _ := b.Choose(start, newRequest())
			Expect(t.Server.ID).To(Equal(id(0)))
			t.End(start, placement.Succeeded)
		}
	})

	It("scales the prediction for an engine by its reported slowdown", func() {
		list := servers(2)
		list[0].Slowdown = 4
		b := placement.New(rand.New(rand.NewPCG(1, 2)), policy.Disabled{})
		b.SetServers(start, list)
		t, _ := b.Choose(start, newRequest())
		Expect(t.Server.ID).To(Equal(id(1)))
	})

	It("does not exceed the memory of an engine", func() {
		b := newBalancer(1)
		a := newRequest()
		a.Engine.MemoryTokens = 3000
		Expect(fill(b, a)).To(Equal(2))
	})

	It("limits the queue of a plain service", func() {
		b := newBalancer(2)
		a := newRequest()
		a.Engine = nil
		a.PromptTokens = 0
		a.TargetLatency = time.Hour
		Expect(fill(b, a)).To(Equal(2 * 16 * 3))
	})

	It("places requests of a route without a target latency", func() {
		a := newRequest()
		a.TargetLatency = 0
		t, _ := newBalancer(1).Choose(start, a)
		Expect(t).NotTo(BeNil())
	})

	It("refuses requests for an unknown service", func() {
		a := newRequest()
		a.Service = "gone"
		t, refusal := newBalancer(1).Choose(start, a)
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

// withOutdatedVersions returns the request at a time when all versions are outdated
// and may be used for the given time.
func withOutdatedVersions(a placement.Request, left time.Duration) placement.Request {
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
	// Under lasting overload, engines are as busy as the request with the longest
	// acceptable wait allows. Guards against limits by each request's own target or
	// size, with which requests with a shorter target always find the engines too
	// busy: a kind with a target of 500 ms has nine in ten requests served while
	// one with 400 ms has four.
	It("start at the same load for all kinds and sizes", func() {
		short, long := newRequest(), newRequest()
		short.PromptTokens, long.PromptTokens = 100, 4000
		const engines = 4 // one more each may be placed by chance
		b := newBalancer(engines)
		fill(b, short)
		Expect(fill(b, long)).To(BeNumerically("<=", engines))
		b = newBalancer(engines)
		fill(b, long)
		Expect(fill(b, short)).To(BeNumerically("<=", engines))
	})

	// After an outage, hundreds of callers retry. These late requests must not fill
	// the engines so far that new requests become late too.
	It("start at a lower load for late requests, so that others are still placed", func() {
		b := newBalancer(4)
		late := smallRequest()
		late.Late = true
		Expect(fill(b, late)).To(BeNumerically(">", 4*10))
		Expect(fill(b, smallRequest())).To(BeNumerically(">=", 4*2))
	})

	// A caller retries with one second left, and its response would take three. If
	// the request were placed, its stream would break off after a third, and the
	// slot would be lost for a request that can complete.
	It("are immediate for late requests whose responses would not be complete in time", func() {
		late := smallRequest()
		late.Late = true
		late.TimeLeft = time.Second
		late.ExpectedTokens = 250 // 50 passes of some 60 ms
		assignment, refusal := newBalancer(4).Choose(start, late)
		Expect(assignment).To(BeNil())
		Expect(refusal.Reason).To(Equal(placement.TooLong))

		late.ExpectedTokens = 50
		assignment, _ = newBalancer(4).Choose(start, late)
		Expect(assignment).NotTo(BeNil())
	})

	// Estimates are often far off. A request with all of its time left is placed
	// anyway, and so is one without an estimate.
	It("are not based on an estimate alone", func() {
		long := smallRequest()
		long.TimeLeft = time.Second
		long.ExpectedTokens = 250
		assignment, _ := newBalancer(4).Choose(start, long)
		Expect(assignment).NotTo(BeNil())
		unknown := long
		unknown.Late = true
		unknown.ExpectedTokens = 0
		assignment, _ = newBalancer(4).Choose(start, unknown)
		Expect(assignment).NotTo(BeNil())
	})

	It("do not occur while half of the slots are free", func() {
		b := newBalancer(4)
		a := newRequest()
		a.PromptTokens = 200
		Expect(fill(b, a)).To(BeNumerically(">=", 4*8))
	})

	It("spread the retries of callers over a third of the time left", func() {
		b := newBalancer(1)
		fill(b, newRequest())
		lowest, highest := time.Hour, time.Duration(0)
		for range 200 {
			_, refusal := b.Choose(start, newRequest())
			lowest, highest = min(lowest, refusal.RetryAfter), max(highest, refusal.RetryAfter)
		}
		Expect(highest).To(BeNumerically("<=", 2*time.Second))
		Expect(lowest).To(BeNumerically("<", time.Second))
		Expect(highest - lowest).To(BeNumerically(">", time.Second))
	})

	It("have the longest retry delay when there is no server", func() {
		b := placement.New(rand.New(rand.NewPCG(1, 2)), policy.Disabled{})
		_, refusal := b.Choose(start, newRequest())
		Expect(refusal.RetryAfter).To(Equal(2 * time.Second))
	})
})
