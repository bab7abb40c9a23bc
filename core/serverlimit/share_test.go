package serverlimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/policy"
	"chivespindle.example/core/serverlimit"
)

func entryIDs(n int) []fleet.InstanceID {
	ids := make([]fleet.InstanceID, n)
	for i := range ids {
		ids[i] = fleet.InstanceID(fmt.Sprintf("10.0.%d.%d", i/250, i%250))
	}
	return ids
}

func without(ids []fleet.InstanceID, i int) []fleet.InstanceID {
	return append(append([]fleet.InstanceID(nil), ids[:i]...), ids[i+1:]...)
}

// saturatingEntries are entries that send to a limited server as many requests as their
// shares allow.
type saturatingEntries struct {
	boards []*placement.Balancer
	sent   []time.Duration
}

func newSaturatingEntries(perSecond float64, ids []fleet.InstanceID, othersOf func(i int) []fleet.InstanceID) *saturatingEntries {
	entries := &saturatingEntries{}
	for i, self := range ids {
		b := placement.New(rand.New(rand.NewPCG(1, uint64(i))), policy.Disabled{})
		b.SetServers(start, []placement.Server{{ID: server, Service: "pool", Slots: 16}})
		b.SetLimits(start, map[fleet.InstanceID]float64{server: serverlimit.Share(perSecond, server, self, othersOf(i))})
		entries.boards = append(entries.boards, b)
	}
	return entries
}

func (g *saturatingEntries) run(span, step time.Duration) {
	for t := time.Duration(0); t < span; t += step {
		for _, b := range g.boards {
			for {
				ticket, _ := b.Choose(at(t), placement.Request{Service: "pool", TargetLatency: time.Second, TimeLeft: time.Second})
				if ticket == nil {
					break
				}
				ticket.End(at(t), placement.Succeeded)
				g.sent = append(g.sent, t)
			}
		}
	}
}

// maxWithin returns the highest number of requests in any window.
func (g *saturatingEntries) maxWithin(window time.Duration) int {
	most, first := 0, 0
	for i, t := range g.sent {
		for t-g.sent[first] > window {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

var _ = Describe("Shares of a server limit", func() {
	const window = 4 * time.Second
	allowed := func(perSecond float64) int { return int(1.5*perSecond*window.Seconds() + 5) }

	// Guards against entries that together exceed a limit, however many there are and
	// however low it is, and against shares that no entry uses.
	DescribeTable("together stay within the limit and use it", func(perSecond float64) {
		for _, size := range []int{1, 2, 8, 100, 410} {
			ids := entryIDs(size)
			entries := newSaturatingEntries(perSecond, ids, func(i int) []fleet.InstanceID { return without(ids, i) })
			span := max(20*time.Second, time.Duration(10/perSecond*float64(time.Second)))
			entries.run(span, span/1000)
			Expect(entries.maxWithin(window)).To(BeNumerically("<=", allowed(perSecond)), "%d entries", size)
			Expect(float64(len(entries.sent))).To(BeNumerically(">=", 0.7*perSecond*span.Seconds()), "%d entries", size)
		}
	},
		Entry("of 0.1 per second", 0.1), Entry("of 1 per second", 1.0), Entry("of 1.8 per second", 1.8),
		Entry("of 10 per second", 10.0), Entry("of 45 per second", 45.0), Entry("of 500 per second", 500.0),
	)

	// Guards against a limit whose end is never noticed because no entry sends requests to
	// the server.
	It("are not zero for every entry", func() {
		ids := entryIDs(8)
		entries := newSaturatingEntries(0, ids, func(i int) []fleet.InstanceID { return without(ids, i) })
		entries.run(60*time.Second, 100*time.Millisecond)
		Expect(entries.sent).NotTo(BeEmpty())
		Expect(entries.maxWithin(window)).To(BeNumerically("<=", allowed(0)))
	})

	// Entries that have lost contact to some others, or do not know new ones yet, rank
	// themselves among fewer entries.
	It("stay within the limit while entries know different sets of others", func() {
		ids := entryIDs(8)
		for _, perSecond := range []float64{1, 1.8, 10} {
			entries := newSaturatingEntries(perSecond, ids, func(i int) []fleet.InstanceID {
				others := without(ids, i)
				lost := i % len(others)
				return slices.Delete(others, lost, lost+1)
			})
			entries.run(20*time.Second, 20*time.Millisecond)
			Expect(entries.maxWithin(window)).To(BeNumerically("<=", allowed(perSecond)), "%v per second", perSecond)
		}
	})
})
