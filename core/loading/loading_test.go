package loading_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/policy"
)

var start = time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)

const (
	within = 8 * time.Second
	soon   = 500 * time.Millisecond
)

func at(d time.Duration) time.Time { return start.Add(d) }

func known(version uint64, since time.Duration) loading.NamedVersion {
	return loading.NamedVersion{Version: version, Since: at(since)}
}

var _ = Describe("NamedVersions", func() {
	// A process that has just started reports that a version is old, because it
	// does not know its age. A process that has followed the platform corrects this:
	// otherwise all engines with the previous version would leave service together.
	It("does not accept an assumed age for a version that was not present a moment ago", func() {
		reported := loading.NamedVersion{Version: 2, Since: at(-within), Assumed: true}
		now := loading.NamedVersion{Version: 2, Since: at(time.Second)}
		Expect(loading.NamedVersions{}.Reconcile(reported, now)).To(Equal(now))

		known3 := loading.NamedVersions{known(3, 500*time.Millisecond)}
		Expect(known3.Reconcile(reported, now)).To(Equal(loading.NamedVersion{Version: 2, Since: at(500 * time.Millisecond)}))

		started := loading.NamedVersions{{Version: 3, Since: at(-within), Assumed: true}}
		Expect(started.Reconcile(reported, now)).To(Equal(reported))
		both := loading.NamedVersions{reported, known(3, 0)}
		Expect(both.Reconcile(reported, now)).To(Equal(reported))
	})

	// Version 2 is named, and version 3 two seconds later while version 2 is still
	// being distributed. An engine with version 1 must leave service by the deadline
	// of version 2; judged by version 3, it would serve two seconds longer.
	It("judges an engine by the first version newer than its own", func() {
		names, _ := loading.NamedVersions{}.Add(known(2, 0), 0)
		names, _ = names.Add(known(3, 2*time.Second), 0)
		since, outdated := names.OutdatedSince(1)
		Expect(outdated).To(BeTrue())
		Expect(since).To(Equal(at(0)))
		since, _ = names.OutdatedSince(2)
		Expect(since).To(Equal(at(2 * time.Second)))
		_, outdated = names.OutdatedSince(3)
		Expect(outdated).To(BeFalse())
	})

	DescribeTable("determines when a version was named",
		func(have, add loading.NamedVersion, want time.Duration, changed bool) {
			names, _ := loading.NamedVersions{}.Add(have, 0)
			names, got := names.Add(add, 200*time.Millisecond)
			since, _ := names.OutdatedSince(1)
			Expect(since).To(Equal(at(want)))
			Expect(got).To(Equal(changed))
		},
		Entry("the earlier time replaces the later", known(2, time.Second), known(2, 0), time.Duration(0), true),
		Entry("the later time does not replace the earlier", known(2, 0), known(2, time.Second), time.Duration(0), false),
		Entry("nothing changes within the skew", known(2, 100*time.Millisecond), known(2, 0), 100*time.Millisecond, false),
		// An entry restarts during a change and assumes that the version was named long
		// before. If the other entries adopted that time, all of them would stop using
		// the engines that still serve, and no server would be left.
		Entry("an assumed time does not replace a known one",
			known(2, 0), loading.NamedVersion{Version: 2, Since: at(-within), Assumed: true}, time.Duration(0), false),
		Entry("a known time replaces an assumed one",
			loading.NamedVersion{Version: 2, Since: at(-within), Assumed: true}, known(2, 0), time.Duration(0), true),
	)

	It("does not modify a shared value", func() {
		first, _ := loading.NamedVersions{}.Add(known(2, 0), 0)
		_, _ = first.Add(known(1, 0), 0)
		Expect(first).To(HaveLen(1))
	})

	It("remembers a bounded number of versions", func() {
		var names loading.NamedVersions
		for version := range uint64(100) {
			names, _ = names.Add(known(version+1, 0), 0)
		}
		Expect(len(names)).To(BeNumerically("<", 20))
		Expect(names.Newest()).To(Equal(uint64(100)))
	})
})

var _ = Describe("Plan", func() {
	var p *loading.Plan
	serving := loading.Engine{Loaded: 1}
	empty := loading.Engine{}

	BeforeEach(func() { p = loading.NewPlan("10.0.0.1", within, policy.Disabled{}) })

	It("is idle while no version is wanted", func() {
		Expect(p.Next(start, serving, loading.NotExpected)).To(Equal(loading.Idle))
	})

	// A version is named while three servers are leaving. If their agents fetch the
	// first chunks and exit half a second later, and the origin crashes before the
	// chunks are fetched again, no engine has the complete version in time.
	It("fetches and orders nothing while its server is leaving", func() {
		p.SetLeaving(true)
		p.AddWanted(known(2, 0))
		Expect(p.Next(at(time.Second), serving, soon)).To(Equal(loading.Idle))
		p.MarkStaged(start, 2)
		Expect(p.Next(at(within), serving, 0)).To(Equal(loading.Idle))
		p.SetLeaving(false)
		Expect(p.Next(at(within), serving, 0)).To(Equal(loading.Order))
	})

	// The time of a version ends relative to the first newer version. Judged by the
	// newest, an engine would never expire while versions follow each other.
	It("returns since when an engine's loaded version has expired", func() {
		_, isExpired := p.ExpiredSince(at(time.Hour), serving)
		Expect(isExpired).To(BeFalse(), "no version was named")
		p.AddWanted(known(2, 0))
		p.AddWanted(known(3, 2*time.Second))
		_, isExpired = p.ExpiredSince(at(within-time.Millisecond), serving)
		Expect(isExpired).To(BeFalse())
		end, isExpired := p.ExpiredSince(at(within), serving)
		Expect(isExpired).To(BeTrue())
		Expect(end).To(Equal(at(within)))
		_, isExpired = p.ExpiredSince(at(within), loading.Engine{Loaded: 2})
		Expect(isExpired).To(BeFalse(), "version 3 was named later")
		_, isExpired = p.ExpiredSince(at(time.Hour), loading.Engine{Loaded: 3})
		Expect(isExpired).To(BeFalse(), "it is the wanted version")
		_, isExpired = p.ExpiredSince(at(time.Hour), empty)
		Expect(isExpired).To(BeFalse(), "no version is loaded")
	})

	It("fetches, waits for its turn, and orders", func() {
		Expect(p.AddWanted(known(2, 0))).To(BeTrue())
		Expect(p.Next(start, serving, soon)).To(Equal(loading.Fetch))
		p.MarkStaged(start, 2)
		Expect(p.Next(start, serving, 0)).To(Equal(loading.Wait))
		Expect(p.Next(at(within), serving, 0)).To(Equal(loading.Order))
		Expect(p.Target(at(within), serving, 0)).To(Equal(uint64(2)))
	})

	It("lets an engine without weights load as soon as they are staged", func() {
		p.AddWanted(known(2, 0))
		p.MarkStaged(start, 2)
		Expect(p.Next(at(time.Millisecond), empty, 0)).To(Equal(loading.Order))
	})

	// If all engines of a service changed to a version at the same time, the service
	// would be unavailable for as long as one engine takes.
	It("spreads the turns of a service's engines evenly within the time", func() {
		turns := turnsOf(200, within, start)
		Expect(turns[199]).To(BeNumerically("<", within*90/100))
		Expect(turns[199] - turns[0]).To(BeNumerically(">", within*40/100))
		for i := range 199 {
			Expect(turns[i+1] - turns[i]).To(BeNumerically("<", 40*time.Millisecond))
		}
	})

	// 58 engines receive the chunks of a version only after more than half of its time,
	// because the bandwidth of the origin and between regions is low. Guards against
	// turns most of which have passed by then, so that 47 engines are out of service at
	// once. An engine is out of service for about 0.9 s.
	It("spreads the turns if the chunks arrive late", func() {
		const engines, within, outFor = 58, 10300 * time.Millisecond, 900 * time.Millisecond
		turns := turnsOf(engines, within, at(5500*time.Millisecond))
		mostMissing := 0
		for i := range turns {
			out := 0
			for _, other := range turns {
				if other <= turns[i] && turns[i]-other < outFor {
					out++
				}
			}
			mostMissing = max(mostMissing, out)
		}
		Expect(mostMissing).To(BeNumerically("<=", engines/3))
		Expect(turns[engines-1]).To(BeNumerically("<", within*90/100))
	})

	// Version 3 is named two seconds after version 2, and the origin fails at that
	// moment. Every engine would leave service as outdated although version 2 is
	// staged.
	It("loads the intermediate version if the wanted one does not arrive in time", func() {
		p.AddWanted(known(2, 0))
		p.MarkStaged(start, 2)
		p.AddWanted(known(3, 2*time.Second))
		Expect(p.Target(at(4*time.Second), serving, loading.NotExpected)).To(Equal(uint64(2)))
		Expect(p.Next(at(within*84/100), serving, loading.NotExpected)).To(Equal(loading.Order))
	})

	It("skips the intermediate version if the wanted one is about to arrive", func() {
		p.AddWanted(known(2, 0))
		p.MarkStaged(start, 2)
		p.AddWanted(known(3, 2*time.Second))
		Expect(p.Target(at(4*time.Second), serving, soon)).To(BeZero())
	})

	It("does not load an expired version", func() {
		p.AddWanted(known(2, 0))
		p.MarkStaged(start, 2)
		p.AddWanted(known(3, 0))
		Expect(p.Target(at(within), empty, loading.NotExpected)).To(BeZero())
	})

	It("repeats an order that has no effect", func() {
		p.AddWanted(known(2, 0))
		p.MarkStaged(start, 2)
		p.MarkOrdered(at(within), 2)
		Expect(p.IsReloading(serving)).To(BeTrue())
		Expect(p.Next(at(within+time.Second), serving, 0)).To(Equal(loading.Wait))
		Expect(p.Next(at(within+2*time.Second), serving, 0)).To(Equal(loading.Order))
	})

	It("keeps serving after a declined order and tries again", func() {
		p.AddWanted(known(2, 0))
		p.MarkStaged(start, 2)
		p.MarkOrdered(at(within), 2)
		p.MarkDeclined(at(within))
		Expect(p.IsReloading(serving)).To(BeFalse())
		Expect(p.Next(at(within), serving, 0)).To(Equal(loading.Wait))
		Expect(p.Next(at(within+time.Second), serving, 0)).To(Equal(loading.Order))
	})

	// The order got no response, and its acceptance became known long after it was sent.
	// Timed from when it was sent, it would be repeated while the engine starts to load.
	It("waits for an order from the time of its known acceptance", func() {
		p.AddWanted(known(2, 0))
		p.MarkStaged(start, 2)
		p.MarkOrdered(at(within), 2)
		p.MarkAccepted(at(within + 5*time.Second))
		Expect(p.Next(at(within+6*time.Second), serving, 0)).To(Equal(loading.Wait))
		Expect(p.Next(at(within+7*time.Second), serving, 0)).To(Equal(loading.Order))
		p.MarkRestarted()
		p.MarkAccepted(at(within + 7*time.Second)) // by the previous process
		Expect(p.Next(at(within+7*time.Second), empty, 0)).To(Equal(loading.Order))
	})

	It("is idle once the engine has loaded the wanted version", func() {
		p.AddWanted(known(2, 0))
		p.MarkStaged(start, 2)
		p.MarkOrdered(start, 2)
		done := loading.Engine{Loaded: 2}
		Expect(p.Next(at(time.Second), done, 0)).To(Equal(loading.Idle))
		Expect(p.IsReloading(done)).To(BeFalse())
	})

	// 58 agents read a manifest from an origin that accepts 48 connections, each agent
	// over its own connection, and some received it three seconds after the first. So
	// a few agents read immediately, and the others only if they receive nothing from
	// those.
	It("lets a few agents of each region read a manifest immediately while the others wait", func() {
		regions := make([][]fleet.InstanceID, 3)
		for i := range 58 {
			region := i % len(regions)
			regions[region] = append(regions[region], fleet.InstanceID(fmt.Sprintf("10.%d.0.%d", region, i)))
		}
		atOnce, last := 0, time.Duration(0)
		for _, members := range regions {
			atOnceHere := 0
			for _, id := range members {
				plan := loading.NewPlan(id, within, policy.Disabled{})
				plan.SetRegion(members)
				if plan.ManifestReadDelay(0) == 0 {
					atOnceHere++
				}
				last = max(last, plan.ManifestReadDelay(0))
			}
			Expect(atOnceHere).To(Equal(2), "in each region, since regions may discover each other late")
			atOnce += atOnceHere
		}
		Expect(atOnce).To(Equal(6))
		Expect(last).To(BeNumerically("<=", time.Second))
		Expect(loading.NewPlan("i", within, policy.Disabled{}).ManifestReadDelay(soon)).To(Equal(soon), "an agent that knows no others does not wait for any")
	})

	// The engine's process is replaced after the order and before the load. The order
	// is lost with the process; waiting for it leaves the engine without weights for a
	// second.
	It("repeats the order immediately after the engine restarts", func() {
		p := loading.NewPlan("i", within, policy.Disabled{})
		p.AddWanted(known(2, 0))
		p.MarkStaged(start, 2)
		p.MarkOrdered(at(time.Second), 2)
		before := loading.Engine{Born: 1000}
		now := at(1100 * time.Millisecond)
		Expect(p.Next(now, before, 0)).To(Equal(loading.Wait))
		restarted := loading.Engine{Born: 900}
		p.MarkRestarted()
		Expect(p.Next(now, restarted, 0)).To(Equal(loading.Order))
	})
})

// turnsOf returns, in ascending order, when the engines of a service are ordered to
// load a version that is staged from stagedAt on.
func turnsOf(engines int, within time.Duration, stagedAt time.Time) []time.Duration {
	serving := loading.Engine{Loaded: 1}
	members := make([]fleet.InstanceID, engines)
	for i := range members {
		members[i] = fleet.InstanceID(fmt.Sprintf("10.0.0.%d", i))
	}
	turns := make([]time.Duration, engines)
	for i, id := range members {
		p := loading.NewPlan(id, within, policy.Disabled{})
		p.SetMembers(members)
		p.AddWanted(known(2, 0))
		p.MarkStaged(stagedAt, 2)
		turns[i] = turnOf(p, serving, within)
	}
	slices.Sort(turns)
	return turns
}

// turnOf returns when a plan first returns Order.
func turnOf(p *loading.Plan, e loading.Engine, within time.Duration) time.Duration {
	for d := time.Duration(0); d <= within; d += 10 * time.Millisecond {
		if p.Next(at(d), e, 0) == loading.Order {
			return d
		}
	}
	return within
}

// A second version is named two seconds after the first, and half a second later the
// origin fails for six seconds. If each agent decides by its own chunks alone, the
// first version is abandoned although the fleet holds four fifths of it, and no engine
// is usable for the last five seconds before the second version arrives.
var _ = Describe("A version followed by a newer one", func() {
	const mostMissing, little = 0.2, 0.7
	var plan *loading.Plan

	BeforeEach(func() {
		plan = loading.NewPlan("10.0.0.1", within, policy.Disabled{})
		plan.AddWanted(known(2, 0))
		plan.AddWanted(known(3, 2*time.Second))
	})

	It("is finished if most of it has been fetched from the origin, however little of it locally", func() {
		Expect(plan.ShouldAbandon(mostMissing)).To(BeFalse())
		Expect(plan.ShouldFinishFirst(at(2*time.Second), 2, mostMissing)).To(BeTrue())
	})

	It("is abandoned if little of it has been fetched", func() {
		Expect(plan.ShouldAbandon(little)).To(BeTrue())
		Expect(plan.ShouldFinishFirst(at(2*time.Second), 2, little)).To(BeFalse())
	})

	It("does not delay the newer version once all of it has been fetched", func() {
		Expect(plan.ShouldAbandon(0)).To(BeFalse())
		Expect(plan.ShouldFinishFirst(at(2*time.Second), 2, 0)).To(BeFalse())
	})

	// The origin recovers after six seconds. The first version would be of use for two
	// more seconds, and fetching the rest of it would delay the second.
	It("is not finished late, when it would be of little use", func() {
		Expect(plan.ShouldFinishFirst(at(8500*time.Millisecond), 2, mostMissing)).To(BeFalse())
	})
})
