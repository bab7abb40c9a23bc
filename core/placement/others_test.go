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

// A caller's request is refused, or waits behind others, when an entry counts
// work that has ended elsewhere, or misses work that is there. Entries are heard
// in any order, fall silent, come back and go; servers start anew meanwhile.
var _ = Describe("The work of the other entries", func() {
	const other = fleet.InstanceID("other")
	full := []placement.Load{{Server: id(0), Work: enginemodel.Work{Running: 60, PendingPrefill: 8000}}}

	isPlaced := func(b *placement.Balancer, now time.Time) bool {
		t, _ := b.Choose(now, small())
		if t != nil {
			t.End(now, placement.Abandoned)
		}
		return t != nil
	}

	It("counts again once an entry is heard that was silent", func() {
		b := board(1)
		b.UpdateEntryLoads(start, other, full)
		Expect(isPlaced(b, start)).To(BeFalse())
		later := start.Add(3 * time.Second)
		Expect(isPlaced(b, later)).To(BeTrue(), "it is silent")
		b.UpdateEntryLoads(later, other, nil)
		Expect(isPlaced(b, later)).To(BeFalse(), "what it said before holds")
	})

	It("stays out of the count when a silent entry goes", func() {
		b := board(1)
		b.UpdateEntryLoads(start, other, full)
		later := start.Add(3 * time.Second)
		Expect(isPlaced(b, later)).To(BeTrue())
		b.RemoveEntry(other)
		b.UpdateEntryLoads(later, "third", full)
		Expect(isPlaced(b, later)).To(BeFalse(), "the third one's is all there")
	})

	It("is as if added up anew, whatever happened before", func() {
		r := rand.New(rand.NewPCG(5, 8))
		b := board(3)
		said := map[fleet.InstanceID]map[fleet.InstanceID]enginemodel.Work{}
		for step := range 2000 {
			entry := fleet.InstanceID(fmt.Sprintf("entry-%d", r.IntN(5)))
			server := id(r.IntN(3))
			switch r.IntN(8) {
			case 0:
				b.RemoveEntry(entry)
				delete(said, entry)
			case 1:
				b.UpdateEntryLoads(start, entry, nil)
			default:
				load := placement.Load{Server: server, Work: enginemodel.Work{Running: r.IntN(4), PendingPrefill: r.IntN(900)}}
				b.UpdateEntryLoads(start, entry, []placement.Load{load})
				if said[entry] == nil {
					said[entry] = map[fleet.InstanceID]enginemodel.Work{}
				}
				said[entry][server] = load.Work
			}
			t, _ := b.Choose(start, placement.Request{Service: "pool", TimeLeft: time.Minute})
			if t == nil {
				continue // full
			}
			sum := enginemodel.Work{Running: 1}
			for _, loads := range said {
				sum = sum.Add(loads[t.Server.ID])
			}
			Expect(t.Work()).To(Equal(sum), "step %d", step)
			t.End(start, placement.Abandoned)
		}
	})
})

// BenchmarkChoose gives the time of one choice before 265 engines, by the number
// of the other entries that are heard.
func BenchmarkChoose(b *testing.B) {
	for _, others := range []int{8, 100, 410} {
		b.Run(fmt.Sprintf("others=%d", others), func(b *testing.B) {
			const engines = 265
			r := rand.New(rand.NewPCG(1, 2))
			board := placement.New(r, policy.Disabled{})
			board.SetSelf("self", fleet.Place{Zone: "a", Region: "r"})
			board.SetServers(start, servers(engines))
			for i := range others {
				loads := []placement.Load{{Server: id(r.IntN(engines)), Work: enginemodel.Work{Running: 1, Context: 900}}}
				board.UpdateEntryLoads(start, fleet.InstanceID(fmt.Sprintf("entry-%d", i)), loads)
			}
			for b.Loop() {
				if t, _ := board.Choose(start, ask()); t != nil {
					t.End(start, placement.Abandoned)
				}
			}
		})
	}
}

// BenchmarkSetServers gives the time in which a board takes a list, as it does
// whenever an engine changes.
func BenchmarkSetServers(b *testing.B) {
	for _, engines := range []int{15, 265} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			board := placement.New(rand.New(rand.NewPCG(1, 2)), policy.Disabled{})
			board.SetSelf("self", fleet.Place{Zone: "a", Region: "r"})
			list := servers(engines)
			for b.Loop() {
				board.SetServers(start, list)
			}
		})
	}
}
