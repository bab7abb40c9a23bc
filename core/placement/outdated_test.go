package placement_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/policy"
)

// Calls wait at 44 entries for an engine, which is ready 2.3 s before the time of
// its version ends. All entries find it at the same moment, and what they place
// there is more than it can begin in that time.
var _ = Describe("An engine that is ready shortly before its version is out of time", func() {
	const (
		entries   = 44
		waiting   = 3 // calls at each entry
		untilOver = 2260 * ms
		margin    = 400 * ms // that entries leave
	)

	// place has each entry place what waits there, without hearing of the others.
	place := func(a placement.Request) []*placement.Assignment {
		var all []*placement.Assignment
		for i := range entries {
			b := placement.New(rand.New(rand.NewPCG(1, uint64(i))), policy.Disabled{})
			b.SetSelf(fleet.InstanceID(fmt.Sprintf("entry-%d", i)), fleet.Place{Zone: "a", Region: "r"})
			for other := range entries {
				if other != i {
					b.UpdateEntryLoads(start, fleet.InstanceID(fmt.Sprintf("entry-%d", other)), nil)
				}
			}
			b.SetServers(start, servers(1))
			for range waiting {
				if t, _ := b.Choose(start, a); t != nil {
					all = append(all, t)
				}
			}
		}
		return all
	}

	// begunLate runs the engine, which hears no close, and returns how many calls it
	// begins after the time of its version. tells is false if it is not told when to
	// end.
	begunLate := func(tickets []*placement.Assignment, tells bool) int {
		e := &engine{}
		var all []*request
		for _, t := range tickets {
			r := &request{prompt: ask().PromptTokens, left: ask().OutputTokens / figures().StepsPerPass}
			if tells {
				r.until = t.ServerTimeout
			}
			all = append(all, r)
		}
		e.queued = append(e.queued, all...)
		for len(e.running)+len(e.queued) > 0 {
			e.pass()
		}
		late := 0
		for _, r := range all {
			if r.first > untilOver {
				late++
			}
		}
		return late
	}

	// Guards against calls that begin on outdated weights after a burst of all
	// entries, if no word that takes them back arrives.
	It("begins nothing after that time", func() {
		tickets := place(outdatedFor(ask(), untilOver-margin))
		Expect(tickets).NotTo(BeEmpty())
		Expect(begunLate(tickets, false)).NotTo(BeZero(), "the burst is more than the engine can begin in time")
		Expect(begunLate(tickets, true)).To(BeZero())
	})
})
