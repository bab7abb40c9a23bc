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

// An engine crashes and starts again under its id, within seconds. Callers see
// its place idle for as long as the entries count what its predecessor ran, or
// leave it out for what that one failed: nothing of it holds for the new start.
var _ = Describe("A server that started anew under its id", func() {
	const before, after = 1764720000000, 1764720004000

	bornAt := func(born fleet.StartTime) []placement.Server {
		list := servers(1)
		list[0].Born = born
		return list
	}

	It("is free, whatever its predecessor had", func() {
		b := board(1)
		b.SetServers(start, bornAt(before))
		b.Heard(start, "other", []placement.Load{{Server: id(0), Work: enginemodel.Work{Running: 9}}})
		full := fill(b, small())
		_, told := b.LoadsSince(0)
		b.SetServers(start.Add(time.Second), bornAt(after))
		Expect(fill(b, small())).To(BeNumerically(">=", full))
		changed, _ := b.LoadsSince(told)
		Expect(changed).To(HaveLen(1), "the other entries hear of it")
	})

	It("is told as without load to the other entries", func() {
		b := board(1)
		b.SetServers(start, bornAt(before))
		fill(b, small())
		_, told := b.LoadsSince(0)
		b.SetServers(start.Add(time.Second), bornAt(after))
		changed, _ := b.LoadsSince(told)
		Expect(changed).To(Equal([]placement.Load{{Server: id(0)}}))
	})

	It("is not left out for what its predecessor failed", func() {
		b := placement.New(chanceOfHalf{}, policy.Off{})
		list := func(born fleet.StartTime) []placement.Server {
			all := servers(2)
			all[0].Born = born
			return all
		}
		b.SetServers(start, list(before))
		for {
			t, _ := b.Choose(start, small())
			Expect(t).NotTo(BeNil())
			if t.Server.ID == id(0) {
				t.End(start, placement.Silent)
				break
			}
		}
		b.SetServers(start, list(after))
		Expect(placedAt(b)).To(HaveKey(id(0)))
	})

	It("is not touched by what its predecessor's requests end with", func() {
		b := board(1)
		b.SetServers(start, bornAt(before))
		old, _ := b.Choose(start, small())
		b.SetServers(start, bornAt(after))
		held, _ := b.Choose(start, small())
		old.End(start, placement.Silent)
		Expect(b.Loads()).To(HaveLen(1))
		held.End(start, placement.Succeeded)
		Expect(b.Loads()).To(BeEmpty())
	})

	It("is the same server while its start is not known", func() {
		b := board(1)
		b.SetServers(start, bornAt(0))
		fill(b, small())
		b.SetServers(start, bornAt(after))
		Expect(b.Loads()).NotTo(BeEmpty())
	})
})

// chanceOfHalf makes all servers cost alike.
type chanceOfHalf struct{}

func (chanceOfHalf) Float64() float64 { return 0.5 }

// placedAt places requests until one is refused and returns where.
func placedAt(b *placement.Board) map[fleet.InstanceID]int {
	counts := make(map[fleet.InstanceID]int)
	for {
		t, _ := b.Choose(start, small())
		if t == nil {
			return counts
		}
		counts[t.Server.ID]++
	}
}
