package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/policy"
)

// Guards against requests that are refused or queued because an entry counts work
// that has ended elsewhere, or misses work that exists. Reports arrive in any
// order; entries fall silent, resume and leave, and servers restart meanwhile.
var _ = Describe("The reported work of other entries", func() {
	const other = fleet.InstanceID("other")
	full := []placement.Load{{Server: id(0), Work: enginemodel.Work{Running: 60, PendingPrefill: 8000}}}

	isPlaced := func(b *placement.Balancer, now time.Time) bool {
		t, _ := b.Choose(now, smallRequest())
		if t != nil {
			t.End(now, placement.Abandoned)
		}
		return t != nil
	}

	It("counts again when reports of a silent entry resume", func() {
		b := newBalancer(1)
		b.UpdateEntryLoads(start, other, full)
		Expect(isPlaced(b, start)).To(BeFalse())
		later := start.Add(3 * time.Second)
		Expect(isPlaced(b, later)).To(BeTrue(), "its reports have expired")
		b.UpdateEntryLoads(later, other, nil)
		Expect(isPlaced(b, later)).To(BeFalse(), "its earlier reports count again")
	})

	It("does not count when a silent entry is removed", func() {
		b := newBalancer(1)
		b.UpdateEntryLoads(start, other, full)
		later := start.Add(3 * time.Second)
		Expect(isPlaced(b, later)).To(BeTrue())
		b.RemoveEntry(other)
		b.UpdateEntryLoads(later, "third", full)
		Expect(isPlaced(b, later)).To(BeFalse(), "only the work of the third entry counts")
	})

	It("equals the sum of the latest reports after any sequence of updates", func() {
		r := rand.New(rand.NewPCG(5, 8))
		b := newBalancer(3)
		reported := map[fleet.InstanceID]map[fleet.InstanceID]enginemodel.Work{}
		for step := range 2000 {
			entry := fleet.InstanceID(fmt.Sprintf("entry-%d", r.IntN(5)))
			server := id(r.IntN(3))
			switch r.IntN(8) {
			case 0:
				b.RemoveEntry(entry)
				delete(reported, entry)
			case 1:
				b.UpdateEntryLoads(start, entry, nil)
			default:
				load := placement.Load{Server: server, Work: enginemodel.Work{Running: r.IntN(4), PendingPrefill: r.IntN(900)}}
				b.UpdateEntryLoads(start, entry, []placement.Load{load})
				if reported[entry] == nil {
					reported[entry] = map[fleet.InstanceID]enginemodel.Work{}
				}
				reported[entry][server] = load.Work
			}
			t, _ := b.Choose(start, placement.Request{Service: "pool", TimeLeft: time.Minute})
			if t == nil {
				continue // full
			}
			sum := enginemodel.Work{Running: 1}
			for _, loads := range reported {
				sum = sum.Add(loads[t.Server.ID])
			}
			Expect(t.Work()).To(Equal(sum), "step %d", step)
			t.End(start, placement.Abandoned)
		}
	})
})

// BenchmarkChoose measures one choice among 265 engines, by the number of other
// entries that report loads.
func BenchmarkChoose(b *testing.B) {
	for _, others := range []int{8, 100, 410} {
		b.Run(fmt.Sprintf("others=%d", others), func(b *testing.B) {
			const engines = 265
			r := rand.New(rand.NewPCG(1, 2))
			balancer := placement.New(r, policy.Disabled{})
			balancer.SetSelf("self", fleet.Place{Zone: "a", Region: "r"})
			balancer.SetServers(start, servers(engines))
			for i := range others {
				loads := []placement.Load{{Server: id(r.IntN(engines)), Work: enginemodel.Work{Running: 1, Context: 900}}}
				balancer.UpdateEntryLoads(start, fleet.InstanceID(fmt.Sprintf("entry-%d", i)), loads)
			}
			for b.Loop() {
				if t, _ := balancer.Choose(start, newRequest()); t != nil {
					t.End(start, placement.Abandoned)
				}
			}
		})
	}
}

// BenchmarkSetServers measures the processing of a list of servers, which happens
// whenever an engine changes.
func BenchmarkSetServers(b *testing.B) {
	for _, engines := range []int{15, 265} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			balancer := placement.New(rand.New(rand.NewPCG(1, 2)), policy.Disabled{})
			balancer.SetSelf("self", fleet.Place{Zone: "a", Region: "r"})
			list := servers(engines)
			for b.Loop() {
				balancer.SetServers(start, list)
			}
		})
	}
}
