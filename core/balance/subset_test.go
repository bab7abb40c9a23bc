package balance_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/balance"
	"chivespindle.example/core/fleet"
)

// The target size: 410 entries in front of 3,500 servers in 3 regions with 3
// zones each.
const (
	targetEntries = 410
	targetServers = 3500
	targetZones   = 9
	subsetSize    = 128
)

func placeOf(i int) fleet.Place {
	zone := i % targetZones
	return fleet.Place{
		Zone:   fleet.Zone(fmt.Sprintf("zone-%d", zone)),
		Region: fleet.Region(fmt.Sprintf("region-%d", zone/3)),
	}
}

func targetFleet() []balance.Server {
	servers := make([]balance.Server, targetServers)
	for i := range servers {
		servers[i] = balance.Server{
			ID:      fleet.InstanceID(fmt.Sprintf("server-%d", i)),
			Place:   placeOf(i),
			Service: spindle,
		}
	}
	return servers
}

func entryID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("entry-%d", i)) }

var _ = Describe("Subset", func() {
	It("covers every server of the target fleet evenly", func() {
		servers := targetFleet()
		entriesOf := map[fleet.InstanceID]int{}
		for i := range targetEntries {
			subset := balance.Subset(entryID(i), placeOf(i), servers, subsetSize)
			Expect(subset).To(HaveLen(subsetSize))
			for _, server := range subset {
				entriesOf[server.ID]++
			}
		}
		counts := make([]int, 0, len(servers))
		for _, server := range servers {
			counts = append(counts, entriesOf[server.ID])
		}
		slices.Sort(counts)
		mean := float64(targetEntries*subsetSize) / targetServers
		AddReportEntry("entries of a server", fmt.Sprintf("min %d p1 %d mean %.1f p99 %d max %d",
			counts[0], counts[targetServers/100], mean, counts[targetServers*99/100], counts[targetServers-1]))
		Expect(counts[0]).To(BeNumerically(">=", 2))
		Expect(counts[targetServers/100]).To(BeNumerically(">=", mean/3))
		Expect(counts[targetServers*99/100]).To(BeNumerically("<=", 2*mean))
	})

	It("takes half from its own zone and some from every region", func() {
		zones, regions := map[fleet.Zone]int{}, map[fleet.Region]int{}
		for _, server := range balance.Subset("entry-1", placeOf(1), targetFleet(), subsetSize) {
			zones[server.Zone]++
			regions[server.Region]++
		}
		Expect(zones[placeOf(1).Zone]).To(Equal(subsetSize / 2))
		Expect(regions[placeOf(1).Region]).To(Equal(subsetSize * 3 / 4))
		Expect(regions).To(HaveLen(3))
	})

	// A restart of one server must not make hundreds of entries reconnect.
	It("changes by one server when one leaves", func() {
		servers := targetFleet()
		before := idsOf(balance.Subset("entry-1", placeOf(1), servers, subsetSize))
		for i := range 50 {
			after := idsOf(balance.Subset("entry-1", placeOf(1), slices.Delete(slices.Clone(servers), i, i+1), subsetSize))
			lost := slices.DeleteFunc(slices.Clone(before), func(id fleet.InstanceID) bool { return slices.Contains(after, id) })
			Expect(len(lost)).To(BeNumerically("<=", 1))
		}
	})

	DescribeTable("takes servers from other tiers if one has too few",
		func(near, region, far, n, want int) {
			servers := slices.Concat(serversAt(apapa, near, 0), serversAt(apapa2, region, 0), serversAt(kano, far, 0))
			Expect(balance.Subset("entry-1", apapa, servers, n)).To(HaveLen(want))
		},
		Entry("fewer than requested", 2, 2, 2, 10, 6),
		Entry("none near", 0, 0, 20, 10, 10),
		Entry("all near", 20, 0, 0, 10, 10),
		Entry("few near", 1, 1, 20, 10, 10),
		Entry("none requested", 5, 5, 5, 0, 0),
	)
})

func targetFleetEntries(n int) []balance.Entry {
	entries := make([]balance.Entry, n)
	for i := range entries {
		entries[i] = balance.Entry{ID: entryID(i), Place: placeOf(i)}
	}
	return entries
}

var _ = Describe("Assign", func() {
	// With the small subsets that a node's budget for reports allows, random
	// selection would leave a few hundred servers without any subscriber: they
	// would be idle while the others are overloaded.
	DescribeTable("gives every server of the target fleet the same number of entries",
		func(n, subscribers int) {
			servers, entries := targetFleet(), targetFleetEntries(targetEntries)
			subscribersOf := map[fleet.InstanceID]int{}
			var sizes []int
			for _, e := range entries {
				subscribed := balance.Assign(e, entries, servers, n)
				sizes = append(sizes, len(subscribed))
				for _, server := range subscribed {
					subscribersOf[server.ID]++
				}
			}
			slices.Sort(sizes)
			mean := float64(subscribers*targetServers) / targetEntries
			AddReportEntry("servers of an entry", fmt.Sprintf("min %d mean %.1f max %d", sizes[0], mean, sizes[len(sizes)-1]))
			Expect(subscribersOf).To(HaveLen(targetServers))
			Expect(subscribersOf).To(HaveEach(subscribers))
			Expect(float64(sizes[0])).To(BeNumerically(">", mean/3))
			Expect(float64(sizes[len(sizes)-1])).To(BeNumerically("<", 2*mean))
		},
		Entry("few entries", 24, 4),
		Entry("many entries", 128, 15),
	)

	It("changes only the servers of an entry that leaves", func() {
		servers, entries := targetFleet(), targetFleetEntries(targetEntries)
		removed := idsOf(balance.Assign(entries[7], entries, servers, 24))
		for _, e := range entries[100:120] {
			before := idsOf(balance.Assign(e, entries, servers, 24))
			after := idsOf(balance.Assign(e, slices.Concat(entries[:7], entries[8:]), servers, 24))
			for _, id := range after {
				Expect(slices.Contains(before, id) || slices.Contains(removed, id)).To(BeTrue())
			}
			Expect(len(after)).To(BeNumerically(">=", len(before)))
		}
	})

	It("leaves no server out when zones have few entries or none", func() {
		servers := targetFleet()[:300]
		entries := targetFleetEntries(13)[7:]
		seen := map[fleet.InstanceID]bool{}
		for _, e := range entries {
			subscribed := balance.Assign(e, entries, servers, 24)
			Expect(len(subscribed)).To(BeNumerically("<=", 2*4*300/6))
			for _, server := range subscribed {
				seen[server.ID] = true
			}
		}
		Expect(seen).To(HaveLen(300))
	})

	It("gives all servers of a small fleet to every entry", func() {
		servers := targetFleet()[:16]
		Expect(balance.Assign(targetFleetEntries(1)[0], targetFleetEntries(8), servers, 24)).To(Equal(servers))
		Expect(balance.Assign(targetFleetEntries(1)[0], nil, targetFleet()[:100], 24)).To(HaveLen(100))
	})
})

func idsOf(servers []balance.Server) []fleet.InstanceID {
	ids := make([]fleet.InstanceID, len(servers))
	for i := range servers {
		ids[i] = servers[i].ID
	}
	return ids
}
