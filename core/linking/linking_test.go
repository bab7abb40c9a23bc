package linking_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/linking"
)

// entries returns n entries, spread evenly over the regions.
func entries(n, regions int) []linking.Member {
	all := make([]linking.Member, n)
	for i := range all {
		all[i] = linking.Member{
			ID:     fleet.InstanceID(fmt.Sprintf("10.%d.0.%d", i%regions, i)),
			Region: fleet.Region(fmt.Sprintf("region-%d", i%regions)),
		}
	}
	return all
}

func planOf(self linking.Member, all []linking.Member) linking.Plan {
	others := slices.DeleteFunc(slices.Clone(all), func(m linking.Member) bool { return m.ID == self.ID })
	return linking.NewPlan(self, others)
}

// reached returns the number of links between an entry and the farthest one,
// and the number of entries it reaches.
func reached(from linking.Member, all []linking.Member) (hops, count int) {
	distance := map[fleet.InstanceID]int{from.ID: 0}
	for todo := []linking.Member{from}; len(todo) > 0; todo = todo[1:] {
		plan := planOf(todo[0], all)
		for _, m := range all {
			if _, known := distance[m.ID]; !known && plan.Includes(m.ID) {
				distance[m.ID] = distance[todo[0].ID] + 1
				hops = max(hops, distance[m.ID])
				todo = append(todo, m)
			}
		}
	}
	return hops, len(distance)
}

var _ = Describe("Links between entries", func() {
	// With links between all entries, the traffic of an entry grows with the
	// size of the fleet, and the traffic between regions with its square. At 99
	// entries the heartbeats saturate the links between regions, which then
	// count as silent and are dialled again.
	DescribeTable("are limited independently of the size of the fleet",
		func(n, regions int) {
			all := entries(n, regions)
			var links, far int
			for _, m := range all {
				plan := planOf(m, all)
				links = max(links, len(plan.SameGroup)+len(plan.OtherGroups))
				far += len(plan.OtherGroups)
			}
			Expect(links).To(BeNumerically("<=", 45))
			Expect(far).To(BeNumerically("<=", 4*n), "on average")
			hops, count := reached(all[0], all)
			Expect(count).To(Equal(n))
			Expect(hops).To(BeNumerically("<=", 3))
		},
		Entry("15", 15, 5), Entry("31", 31, 3), Entry("99", 99, 5), Entry("410", 410, 3), Entry("1,000", 1000, 9))

	It("connect all entries of a small fleet", func() {
		all := entries(8, 3)
		Expect(planOf(all[0], all).SameGroup).To(HaveLen(7))
	})

	It("are planned by both ends", func() {
		all := entries(99, 5)
		for _, a := range all {
			plan := planOf(a, all)
			for _, b := range all {
				Expect(plan.Includes(b.ID)).To(Equal(planOf(b, all).Includes(a.ID)))
			}
		}
	})

	// An entry with a link between groups ends. The groups must choose another
	// one.
	It("connect the other entries when any entry ends", func() {
		all := entries(40, 5)
		for i := range all {
			rest := slices.Delete(slices.Clone(all), i, i+1)
			_, count := reached(rest[0], rest)
			Expect(count).To(Equal(len(rest)))
		}
	})

	It("remain for nearly all entries when an entry joins", func() {
		before, after := entries(410, 3), entries(411, 3)
		var links, kept int
		for _, m := range before {
			was, is := planOf(m, before), planOf(m, after)
			for id := range was.SameGroup {
				links++
				if is.Includes(id) {
					kept++
				}
			}
		}
		Expect(float64(kept)).To(BeNumerically(">", 0.9*float64(links)))
	})
})
