package admission_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/admission"
	"chivespindle.example/core/fleet"
)

var _ = Describe("Nearest", func() {
	place := func(region, zone string) fleet.Place {
		return fleet.Place{Region: fleet.Region(region), Zone: fleet.Zone(zone)}
	}
	here := place("lagos", "hall-a")

	It("returns the entries of the same zone, then of the same region, then others", func() {
		others := []admission.Peer{
			{ID: "1-far", Place: place("kano", "hall-k")},
			{ID: "2-region", Place: place("lagos", "hall-b")},
			{ID: "3-zone", Place: here},
		}
		Expect(admission.Nearest("self", here, others, 1)).To(Equal([]fleet.InstanceID{"3-zone"}))
		Expect(admission.Nearest("self", here, others, 2)).To(Equal([]fleet.InstanceID{"3-zone", "2-region"}))
		Expect(admission.Nearest("self", here, others, 9)).To(HaveLen(3))
	})

	// A zone has more entries than each entry follows. If each followed the first by ID,
	// all streams of the zone would lead to the same few entries, and the demand of the
	// others would be unknown.
	It("distributes the choice over equally near entries", func() {
		const entries, limit = 100, 8
		followers := make(map[fleet.InstanceID]int)
		for self := range entries {
			var others []admission.Peer
			for other := range entries {
				if other != self {
					others = append(others, admission.Peer{ID: id(other), Place: here})
				}
			}
			chosen := admission.Nearest(id(self), here, others, limit)
			Expect(chosen).To(HaveLen(limit))
			for _, c := range chosen {
				followers[c]++
			}
		}
		Expect(len(followers)).To(BeNumerically(">", entries*95/100))
		for _, n := range followers {
			Expect(n).To(BeNumerically("<", 4*limit))
		}
	})
})

func id(n int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("entry-%03d", n)) }
