package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/policy"
)

// An engine crashes and restarts under its ID within seconds. Guards against a
// restarted engine that stays idle because the entries still count the requests of
// its predecessor, or keep it ejected for the failures of its predecessor.
var _ = Describe("A server that restarted under the same ID", func() {
	const before, after = 1764720000000, 1764720004000

	startedAt := func(born fleet.StartTime) []placement.Server {
		list := servers(1)
		list[0].Born = born
		return list
	}

	It("has no load from before", func() {
		b := newBalancer(1)
		b.SetServers(start, startedAt(before))
		b.UpdateEntryLoads(start, "other", []placement.Load{{Server: id(0), Work: enginemodel.Work{Running: 9}}})
		full := fill(b, smallRequest())
		_, revision := b.LoadsSince(0)
		b.SetServers(start.Add(time.Second), startedAt(after))
		Expect(fill(b, smallRequest())).To(BeNumerically(">=", full))
		changed, _ := b.LoadsSince(revision)
		Expect(changed).To(HaveLen(1), "the change is reported to the other entries")
	})

	It("is reported without load to the other entries", func() {
		b := newBalancer(1)
		b.SetServers(start, startedAt(before))
		fill(b, smallRequest())
		_, revision := b.LoadsSince(0)
		b.SetServers(start.Add(time.Second), startedAt(after))
		changed, _ := b.LoadsSince(revision)
		Expect(changed).To(Equal([]placement.Load{{Server: id(0)}}))
	})

	It("is not ejected for the failures of its predecessor", func() {
		b := placement.New(constantRand{}, policy.Disabled{})
		list := func(born fleet.StartTime) []placement.Server {
			all := servers(2)
			all[0].Born = born
			return all
		}
		b.SetServers(start, list(before))
		for {
			t, _ := b.Choose(start, smallRequest())
			Expect(t).NotTo(BeNil())
			if t.Server.ID == id(0) {
				t.End(start, placement.TimedOut)
				break
			}
		}
		b.SetServers(start, list(after))
		Expect(countPlacements(b)).To(HaveKey(id(0)))
	})

	It("is unaffected by the results of its predecessor's requests", func() {
		b := newBalancer(1)
		b.SetServers(start, startedAt(before))
		old, _ := b.Choose(start, smallRequest())
		b.SetServers(start, startedAt(after))
		held, _ := b.Choose(start, smallRequest())
		old.End(start, placement.TimedOut)
		Expect(b.Loads()).To(HaveLen(1))
		held.End(start, placement.Succeeded)
		Expect(b.Loads()).To(BeEmpty())
	})

	It("keeps its state while its start time is unknown", func() {
		b := newBalancer(1)
		b.SetServers(start, startedAt(0))
		fill(b, smallRequest())
		b.SetServers(start, startedAt(after))
		Expect(b.Loads()).NotTo(BeEmpty())
	})
})

// constantRand returns the same number always, so that the random part of the cost
// is equal for all servers.
type constantRand struct{}

func (constantRand) Float64() float64 { return 0.5 }

// countPlacements places requests until one is refused, and returns their number by
// server.
func countPlacements(b *placement.Balancer) map[fleet.InstanceID]int {
	counts := make(map[fleet.InstanceID]int)
	for {
		t, _ := b.Choose(start, smallRequest())
		if t == nil {
			return counts
		}
		counts[t.Server.ID]++
	}
}
