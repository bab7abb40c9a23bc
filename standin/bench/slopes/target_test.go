package slopes

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/bench/slopes/usage"
)

// closely matches a value that was calculated by hand to three digits.
func closely(want float64) OmegaMatcher { return BeNumerically("~", want, 0.005*want) }

var _ = Describe("the target", func() {
	It("has 27 watchers that call the platform often; the others call it rarely", func() {
		calls := CallsOf(Processes, Zones, ChangesPerDay)
		Expect(calls.List).To(closely(27.0/2 + 3883.0/30)) // 142.9
		Expect(calls.Reads).To(closely(3883.0 / 600))      // 6.47
		Expect(calls.Watches).To(closely(27.0 / 30))       // 0.9
		Expect(calls.Changes).To(closely(27 * 0.08912))    // 2.41
		Expect(calls.Sum()).To(closely(152.7))
	})

	It("makes every process a watcher in a fleet smaller than the number of watchers", func() {
		calls := CallsOf(9, Zones, 0)
		Expect(calls).To(Equal(Calls{List: 4.5, Reads: 0, Watches: 0.3, Changes: 0}))
	})

	It("reads the complete list once per change, or at each read if it changes more often", func() {
		changes := ListChangesPerDay(ReplacedPerDay, FailuresPerDay)
		Expect(changes).To(Equal(1308.0))
		Expect(ListTraffic(600_000, 30*time.Second, changes)).To(closely(9083))
		Expect(ListTraffic(600_000, 30*time.Second, 1e6)).To(closely(20_000))
	})

	It("divides the peak load among the nodes", func() {
		entry, agent := SharesOf(Entries), SharesOf(Servers)
		Expect(entry.Requests).To(closely(19.02))
		Expect(entry.Tokens).To(closely(7805))
		Expect(entry.Streams).To(closely(335.6)) // 19.02 per second, each 410.3 tokens of 43 ms
		Expect(agent.Requests).To(closely(2.229))
		Expect(agent.Streams).To(closely(39.31))
	})
})

var _ = Describe("a simulated fleet", func() {
	It("spreads entries and services over all zones", func() {
		entries, agents := map[fleet.Zone]int{}, map[fleet.Zone]map[fleet.ServiceName]int{}
		for _, i := range simInstances(Processes, manyServices) {
			if i.Role == fleet.RoleEntry {
				entries[i.Zone]++
				continue
			}
			if agents[i.Zone] == nil {
				agents[i.Zone] = map[fleet.ServiceName]int{}
			}
			agents[i.Zone][i.Service]++
		}
		Expect(entries).To(HaveLen(Zones))
		for zone, count := range entries {
			Expect(count).To(BeNumerically("~", Entries/Zones, 4), "%s", zone)
			Expect(agents[zone]).To(HaveLen(manyServices))
			for service, replicas := range agents[zone] {
				Expect(replicas).To(BeNumerically("~", BurstInstances/Zones, 6), "%s in %s", service, zone)
			}
		}
	})
})

var _ = Describe("a cost", func() {
	It("is the difference of two readings per second", func() {
		at := time.Date(2031, 4, 1, 8, 0, 0, 0, time.UTC)
		before := reading{at: at, bytes: 1000, used: usage.Reading{CPU: time.Second, RSS: 5}}
		after := reading{at: at.Add(4 * time.Second), bytes: 3000, used: usage.Reading{CPU: time.Second + 40*time.Millisecond, RSS: 7}}
		steady := after.since(before)
		Expect(steady).To(Equal(cost{CPU: 10, Bytes: 500, RSS: 7}))
		Expect(before.excessBytes(steady, at.Add(-time.Second))).To(Equal(500.0))
	})

	It("of an idle fleet counts frames in both directions", func() {
		at := time.Date(2031, 4, 1, 8, 0, 0, 0, time.UTC)
		before := idleReading{at: at, sent: 100, calls: 10}
		after := idleReading{at: at.Add(2 * time.Second), sent: 300, calls: 16, entries: usage.Reading{CPU: 6 * time.Millisecond, RSS: 9}}
		Expect(after.since(before, 27)).To(Equal(idleCost{size: 27, entry: cost{CPU: 3, RSS: 9}, frames: 200, calls: 3}))
	})

	It("is assigned to the series of its size", func() {
		outcomes := []outcome{
			{spec: simSpec{Role: fleet.RoleEntry, Fleet: 390, Services: 1}, followed: 30, quiet: cost{CPU: 1}},
			{spec: simSpec{Role: fleet.RoleEntry, Fleet: Processes, Services: 1}, followed: 34, quiet: cost{CPU: 2}},
			{spec: simSpec{Role: fleet.RoleEntry, Fleet: Processes, Services: manyServices}, followed: 230, quiet: cost{CPU: 3}},
			{spec: simSpec{Role: fleet.RoleEntry, Fleet: Processes, Services: 1, Subscribers: 32}, followed: 34, quiet: cost{CPU: 5}},
			{spec: simSpec{Role: fleet.RoleAgent, Fleet: Processes, Services: manyServices, Subscribers: 26}, quiet: cost{CPU: 4}},
		}
		slopes := simSlopes(outcomes)
		Expect(slopes[0]).To(Equal(Slope{Name: "entry_cpu", Of: "fleet_processes", Unit: "ms/s", Target: Processes, Budget: CPUBudget,
			Points: []Point{{390, 1}, {Processes, 2}}}))
		Expect(slopes[6]).To(Equal(Slope{Name: "entry_cpu", Of: "servers_followed", Unit: "ms/s", Target: 230, Budget: CPUBudget,
			Points: []Point{{34, 2}, {230, 3}}}))
		Expect(slopes[12].Points).To(Equal([]Point{{0, 2}, {32, 5}}))
		Expect(slopes[24].Points).To(Equal([]Point{{26, 4}}))
	})
})

var _ = Describe("a simulated zone", func() {
	It("measures the traffic of heartbeats and state changes per process", func() {
		slopes, err := ZoneGossip([]int{4, 8})
		Expect(err).NotTo(HaveOccurred())
		for _, s := range slopes {
			Expect(s.Points).To(HaveLen(2))
			for _, p := range s.Points {
				Expect(p.Value).To(BeNumerically(">", 0), "%s of %v", s.Name, p.Size)
			}
		}
	})
})
