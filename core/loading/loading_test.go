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

func known(version uint64, since time.Duration) loading.Named {
	return loading.Named{Version: version, Since: at(since)}
}

var _ = Describe("Names", func() {
	// A process that has just started tells that a version is old, since it
	// cannot know better. One that followed the platform does: left at once, all
	// engines with the version before would be out of service together.
	It("take no assumed age for a version that was not there a moment ago", func() {
		told := loading.Named{Version: 2, Since: at(-within), Assumed: true}
		heard := loading.Named{Version: 2, Since: at(time.Second)}
		Expect(loading.Names{}.Correct(told, heard)).To(Equal(heard))

		three := loading.Names{known(3, 500*time.Millisecond)}
		Expect(three.Correct(told, heard)).To(Equal(loading.Named{Version: 2, Since: at(500 * time.Millisecond)}))

		started := loading.Names{{Version: 3, Since: at(-within), Assumed: true}}
		Expect(started.Correct(told, heard)).To(Equal(told))
		both := loading.Names{told, known(3, 0)}
		Expect(both.Correct(told, heard)).To(Equal(told))
	})

	// Version 2 is named, and version 3 two seconds later while 2 still spreads.
	// An engine that holds version 1 must be out of service by the time of
	// version 2: judged by the newest, it would answer two seconds longer.
	It("judges an engine by the first version that is newer than its own", func() {
		names, _ := loading.Names{}.Add(known(2, 0), 0)
		names, _ = names.Add(known(3, 2*time.Second), 0)
		since, outdated := names.OutdatedSince(1)
		Expect(outdated).To(BeTrue())
		Expect(since).To(Equal(at(0)))
		since, _ = names.OutdatedSince(2)
		Expect(since).To(Equal(at(2 * time.Second)))
		_, outdated = names.OutdatedSince(3)
		Expect(outdated).To(BeFalse())
	})

	DescribeTable("settles when a version was named",
		func(have, add loading.Named, want time.Duration, changed bool) {
			names, _ := loading.Names{}.Add(have, 0)
			names, got := names.Add(add, 200*time.Millisecond)
			since, _ := names.OutdatedSince(1)
			Expect(since).To(Equal(at(want)))
			Expect(got).To(Equal(changed))
		},
		Entry("the earlier counts", known(2, time.Second), known(2, 0), time.Duration(0), true),
		Entry("the later does not", known(2, 0), known(2, time.Second), time.Duration(0), false),
		Entry("within the skew nothing changes", known(2, 100*time.Millisecond), known(2, 0), 100*time.Millisecond, false),
		// An entry restarts in the middle of a change and takes the version for
		// long known. Told to the others, all of them would leave the engines
		// that still serve, and no server would be left.
		Entry("an assumed age does not replace a known one",
			known(2, 0), loading.Named{Version: 2, Since: at(-within), Assumed: true}, time.Duration(0), false),
		Entry("a known age replaces an assumed one",
			loading.Named{Version: 2, Since: at(-within), Assumed: true}, known(2, 0), time.Duration(0), true),
	)

	It("leaves names alone that are shared", func() {
		first, _ := loading.Names{}.Add(known(2, 0), 0)
		_, _ = first.Add(known(1, 0), 0)
		Expect(first).To(HaveLen(1))
	})

	It("remembers no more than it needs", func() {
		var names loading.Names
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

	It("rests while no version is wanted", func() {
		Expect(p.Next(start, serving, loading.Far)).To(Equal(loading.Rest))
	})

	// A version is named while three servers leave. Their agents drew the first
	// chunks and ended half a second later; the origin crashed before the chunks
	// were drawn again, and no engine had the version whole in its time.
	It("gathers and orders nothing while its server leaves", func() {
		p.SetLeaving(true)
		p.Want(known(2, 0))
		Expect(p.Next(at(time.Second), serving, soon)).To(Equal(loading.Rest))
		p.Staged(start, 2)
		Expect(p.Next(at(within), serving, 0)).To(Equal(loading.Rest))
		p.SetLeaving(false)
		Expect(p.Next(at(within), serving, 0)).To(Equal(loading.Order))
	})

	// A version counts from the first newer one. Judged by the newest, an engine
	// would be told of as in time for as long as versions follow each other.
	It("tells since when the version that an engine holds is out of time", func() {
		_, isOver := p.OutOfTime(at(time.Hour), serving)
		Expect(isOver).To(BeFalse(), "nothing was named")
		p.Want(known(2, 0))
		p.Want(known(3, 2*time.Second))
		_, isOver = p.OutOfTime(at(within-time.Millisecond), serving)
		Expect(isOver).To(BeFalse())
		end, isOver := p.OutOfTime(at(within), serving)
		Expect(isOver).To(BeTrue())
		Expect(end).To(Equal(at(within)))
		_, isOver = p.OutOfTime(at(within), loading.Engine{Loaded: 2})
		Expect(isOver).To(BeFalse(), "version 3 was named later")
		_, isOver = p.OutOfTime(at(time.Hour), loading.Engine{Loaded: 3})
		Expect(isOver).To(BeFalse(), "it is the wanted one")
		_, isOver = p.OutOfTime(at(time.Hour), empty)
		Expect(isOver).To(BeFalse(), "it holds none")
	})

	It("gathers, waits for its turn, and orders", func() {
		Expect(p.Want(known(2, 0))).To(BeTrue())
		Expect(p.Next(start, serving, soon)).To(Equal(loading.Gather))
		p.Staged(start, 2)
		Expect(p.Next(start, serving, 0)).To(Equal(loading.Wait))
		Expect(p.Next(at(within), serving, 0)).To(Equal(loading.Order))
		Expect(p.Target(at(within), serving, 0)).To(Equal(uint64(2)))
	})

	It("lets an engine without weights load as soon as they are staged", func() {
		p.Want(known(2, 0))
		p.Staged(start, 2)
		Expect(p.Next(at(time.Millisecond), empty, 0)).To(Equal(loading.Order))
	})

	// All engines of a service change to a version. If they did so at once, the
	// service would stand still for as long as one engine needs.
	It("spreads the turns of a service's engines in equal steps, all within the time", func() {
		turns := turnsOf(200, within, start)
		Expect(turns[199]).To(BeNumerically("<", within*90/100))
		Expect(turns[199] - turns[0]).To(BeNumerically(">", within*40/100))
		for i := range 199 {
			Expect(turns[i+1] - turns[i]).To(BeNumerically("<", 40*time.Millisecond))
		}
	})

	// 58 engines have the bytes of a version only after more than half of its
	// time: the origin and the links between regions are narrow. By then most
	// turns had passed, and 47 engines were out of service at once. An engine is
	// out for some 0.9 s.
	It("spreads the turns also when the bytes come late", func() {
		const engines, within, outFor = 58, 10300 * time.Millisecond, 900 * time.Millisecond
		turns := turnsOf(engines, within, at(5500*time.Millisecond))
		most := 0
		for i := range turns {
			out := 0
			for _, other := range turns {
				if other <= turns[i] && turns[i]-other < outFor {
					out++
				}
			}
			most = max(most, out)
		}
		Expect(most).To(BeNumerically("<=", engines/3))
		Expect(turns[engines-1]).To(BeNumerically("<", within*90/100))
	})

	// Version 3 is named two seconds after version 2, and the origin fails just
	// then. Every engine would leave service as outdated although version 2 lies
	// staged beside it.
	It("loads the version between if the wanted one does not come in time", func() {
		p.Want(known(2, 0))
		p.Staged(start, 2)
		p.Want(known(3, 2*time.Second))
		Expect(p.Target(at(4*time.Second), serving, loading.Far)).To(Equal(uint64(2)))
		Expect(p.Next(at(within*84/100), serving, loading.Far)).To(Equal(loading.Order))
	})

	It("passes over the version between if the wanted one is about to come", func() {
		p.Want(known(2, 0))
		p.Staged(start, 2)
		p.Want(known(3, 2*time.Second))
		Expect(p.Target(at(4*time.Second), serving, soon)).To(BeZero())
	})

	It("does not load a version that is out of time itself", func() {
		p.Want(known(2, 0))
		p.Staged(start, 2)
		p.Want(known(3, 0))
		Expect(p.Target(at(within), empty, loading.Far)).To(BeZero())
	})

	It("orders again if an order shows no effect", func() {
		p.Want(known(2, 0))
		p.Staged(start, 2)
		p.Ordered(at(within), 2)
		Expect(p.Changing(serving)).To(BeTrue())
		Expect(p.Next(at(within+time.Second), serving, 0)).To(Equal(loading.Wait))
		Expect(p.Next(at(within+2*time.Second), serving, 0)).To(Equal(loading.Order))
	})

	It("serves on after an order that was declined, and tries again", func() {
		p.Want(known(2, 0))
		p.Staged(start, 2)
		p.Ordered(at(within), 2)
		p.Declined(at(within))
		Expect(p.Changing(serving)).To(BeFalse())
		Expect(p.Next(at(within), serving, 0)).To(Equal(loading.Wait))
		Expect(p.Next(at(within+time.Second), serving, 0)).To(Equal(loading.Order))
	})

	// The order got no answer and was found to be taken long after it was given. Told
	// from then, it would be given again while the engine begins to load.
	It("waits for an order from when it is known to be taken", func() {
		p.Want(known(2, 0))
		p.Staged(start, 2)
		p.Ordered(at(within), 2)
		p.Accepted(at(within + 5*time.Second))
		Expect(p.Next(at(within+6*time.Second), serving, 0)).To(Equal(loading.Wait))
		Expect(p.Next(at(within+7*time.Second), serving, 0)).To(Equal(loading.Order))
		p.StartedAnew()
		p.Accepted(at(within + 7*time.Second)) // by the process before
		Expect(p.Next(at(within+7*time.Second), empty, 0)).To(Equal(loading.Order))
	})

	It("rests once the engine holds the wanted version", func() {
		p.Want(known(2, 0))
		p.Staged(start, 2)
		p.Ordered(start, 2)
		done := loading.Engine{Loaded: 2}
		Expect(p.Next(at(time.Second), done, 0)).To(Equal(loading.Rest))
		Expect(p.Changing(done)).To(BeFalse())
	})

	// 58 agents read a manifest at an origin of 48 connections, each over one of
	// its own, and some had it three seconds after the first. A few read at once;
	// the others only if they hear nothing from those.
	It("has a few agents of each region read a manifest at once and the others wait", func() {
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
				if plan.ReadAfter(0) == 0 {
					atOnceHere++
				}
				last = max(last, plan.ReadAfter(0))
			}
			Expect(atOnceHere).To(Equal(2), "in each region: regions may find each other late")
			atOnce += atOnceHere
		}
		Expect(atOnce).To(Equal(6))
		Expect(last).To(BeNumerically("<=", time.Second))
		Expect(loading.NewPlan("i", within, policy.Disabled{}).ReadAfter(soon)).To(Equal(soon), "one that knows of no other waits for none")
	})

	// The engine was ordered to load and its process was replaced before it had.
	// The order is gone with it; waited for, the engine stood empty for a second.
	It("orders at once again when the engine started anew", func() {
		p := loading.NewPlan("i", within, policy.Disabled{})
		p.Want(known(2, 0))
		p.Staged(start, 2)
		p.Ordered(at(time.Second), 2)
		before := loading.Engine{Born: 1000}
		now := at(1100 * time.Millisecond)
		Expect(p.Next(now, before, 0)).To(Equal(loading.Wait))
		anew := loading.Engine{Born: 900}
		p.StartedAnew()
		Expect(p.Next(now, anew, 0)).To(Equal(loading.Order))
	})
})

// turnsOf returns when the engines of a service that have a version staged from
// some time on are ordered to load it, in order.
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
		p.Want(known(2, 0))
		p.Staged(stagedAt, 2)
		turns[i] = turnOf(p, serving, within)
	}
	slices.Sort(turns)
	return turns
}

// turnOf finds when a plan orders first.
func turnOf(p *loading.Plan, e loading.Engine, within time.Duration) time.Duration {
	for d := time.Duration(0); d <= within; d += 10 * time.Millisecond {
		if p.Next(at(d), e, 0) == loading.Order {
			return d
		}
	}
	return within
}

// A version is named two seconds after another, and the origin fails half a
// second later, for six. By what each agent held itself, the first was given up
// with four fifths of it in the fleet, and no engine could be used for the last
// five seconds until the second came.
var _ = Describe("A version that a newer one follows", func() {
	const most, little = 0.2, 0.7
	var plan *loading.Plan

	BeforeEach(func() {
		plan = loading.NewPlan("10.0.0.1", within, policy.Disabled{})
		plan.Want(known(2, 0))
		plan.Want(known(3, 2*time.Second))
	})

	It("is finished if most of it has left the origin, however little is here", func() {
		Expect(plan.GivesUp(most)).To(BeFalse())
		Expect(plan.FinishesFirst(at(2*time.Second), 2, most)).To(BeTrue())
	})

	It("is given up if little has left it", func() {
		Expect(plan.GivesUp(little)).To(BeTrue())
		Expect(plan.FinishesFirst(at(2*time.Second), 2, little)).To(BeFalse())
	})

	It("does not hold the newer one back once all of it has left the origin", func() {
		Expect(plan.GivesUp(0)).To(BeFalse())
		Expect(plan.FinishesFirst(at(2*time.Second), 2, 0)).To(BeFalse())
	})

	// The origin is back after six seconds. The first version would be of use for
	// two more, and the second come later by as much as its rest takes.
	It("is not finished late, when it is of little use", func() {
		Expect(plan.FinishesFirst(at(8500*time.Millisecond), 2, most)).To(BeFalse())
	})
})
