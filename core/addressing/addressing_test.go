package addressing_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chivespindle.example/core/addressing"
	"chivespindle.example/core/fleet"
)

var now = time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)

func newResolver(seed uint64) *addressing.Resolver {
	return addressing.New(addressing.Options{Rand: rand.New(rand.NewPCG(seed, 1))})
}

// entriesAt returns n entries in the zone. port is the port of the first; the tests
// identify entries by their ports.
func entriesAt(zone fleet.Zone, region fleet.Region, n int, port uint16) []addressing.Entry {
	entries := make([]addressing.Entry, n)
	for i := range entries {
		entries[i] = addressing.Entry{
			ID:    fleet.InstanceID(fmt.Sprintf("%s-%d", zone, i)),
			Place: fleet.Place{Zone: zone, Region: region},
			Addr:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port+uint16(i)),
		}
	}
	return entries
}

// countFirst counts how often each port comes first in a number of responses.
func countFirst(hint fleet.Place, entries []addressing.Entry, responses int) map[uint16]int {
	a := newResolver(1)
	counts := map[uint16]int{}
	for range responses {
		counts[a.Resolve(now, hint, entries).Addresses[0].Port()]++
	}
	return counts
}

func portsOf(result addressing.Result) []uint16 {
	ports := []uint16{}
	for _, address := range result.Addresses {
		ports = append(ports, address.Port())
	}
	return ports
}

var _ = Describe("Resolve", func() {
	lagos := fleet.Place{Zone: "apapa-1", Region: "lagos"}
	three := slices.Concat(
		entriesAt("apapa-1", "lagos", 2, 100),
		entriesAt("apapa-2", "lagos", 2, 200),
		entriesAt("sharada-1", "kano", 2, 300),
	)

	It("returns three addresses and the TTL", func() {
		result := newResolver(1).Resolve(now, lagos, three)
		Expect(result.Addresses).To(HaveLen(3))
		Expect(result.TTL).To(Equal(10 * time.Second))
		Expect(result.Expires).To(Equal(now.Add(10 * time.Second)))
	})

	It("lists nearer entries first", func() {
		for range 20 {
			ports := portsOf(newResolver(1).Resolve(now, lagos, three))
			Expect(ports[:2]).To(ConsistOf(uint16(100), uint16(101)))
			Expect(ports[2]).To(BeElementOf(uint16(200), uint16(201)))
		}
	})

	It("infers the region of a caller that gives only its zone", func() {
		hint := fleet.Place{Zone: "apapa-2"}
		Expect(portsOf(newResolver(1).Resolve(now, hint, three))[2]).To(BeElementOf(uint16(100), uint16(101)))
	})

	// Callers connect to the first address. If it were the same in every
	// response, that entry would be overloaded while the others idle.
	It("lists each entry of the nearest zone first equally often", func() {
		counts := countFirst(lagos, entriesAt("apapa-1", "lagos", 8, 100), 4000)
		Expect(counts).To(HaveLen(8))
		Expect(counts).To(HaveEach(BeNumerically("~", 500, 100)))
	})

	It("distributes callers without a place over all entries", func() {
		Expect(countFirst(fleet.Place{}, three, 3000)).To(HaveEach(BeNumerically("~", 500, 100)))
	})

	It("lists a loaded entry first less often", func() {
		entries := entriesAt("apapa-1", "lagos", 2, 100)
		entries[0].Load = 0.75
		Expect(countFirst(lagos, entries, 1000)[100]).To(BeNumerically("~", 200, 50))
	})

	// The only entry of a zone is overloaded by the callers of the zone while
	// the rest of the region has free capacity.
	It("lists an overloaded nearby entry last", func() {
		entries := slices.Concat(entriesAt("apapa-1", "lagos", 1, 100), entriesAt("sharada-1", "kano", 2, 300))
		entries[0].Load = 0.95
		ports := portsOf(newResolver(1).Resolve(now, lagos, entries))
		Expect(ports[2]).To(Equal(uint16(100)))
	})

	// When a zone fails, callers with a response that lists only entries of
	// this zone have no address to connect to until the response expires.
	It("includes an entry of another zone", func() {
		entries := slices.Concat(entriesAt("apapa-1", "lagos", 5, 100), entriesAt("sharada-1", "kano", 2, 300))
		for seed := range uint64(20) {
			ports := portsOf(newResolver(seed).Resolve(now, lagos, entries))
			Expect(ports[0]).To(BeNumerically("<", 200))
			Expect(ports[2]).To(BeNumerically(">=", 300))
		}
	})

	// A caller that gets the address of a leaving entry is rejected; with that
	// of a silent one, its connection attempt times out.
	DescribeTable("excludes",
		func(change func([]addressing.Entry), want []uint16) {
			entries := entriesAt("apapa-1", "lagos", 3, 100)
			change(entries)
			Expect(portsOf(newResolver(1).Resolve(now, lagos, entries))).To(ConsistOf(want))
		},
		Entry("a leaving entry", func(e []addressing.Entry) { e[1].Leaving = true }, []uint16{100, 102}),
		Entry("a silent entry", func(e []addressing.Entry) { e[0].Silent = true }, []uint16{101, 102}),
		Entry("a leaving entry even if the others are silent", func(e []addressing.Entry) {
			e[0].Leaving, e[1].Silent, e[2].Silent = true, true, true
		}, []uint16{101, 102}),
		Entry("all entries if all are leaving", func(e []addressing.Entry) {
			e[0].Leaving, e[1].Leaving, e[2].Leaving = true, true, true
		}, []uint16{}),
	)
})

// A caller is rejected by a leaving entry if it got the address from an entry that
// had not yet received the announcement, cached the response for the whole TTL and
// connects at the last moment. The leaving entry must still serve at that moment.
func TestLeaveAfterExceedsResponseTTL(t *testing.T) {
	const maxAnnounceTime = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		ttl := time.Duration(rapid.IntRange(1, 60).Draw(t, "ttl")) * time.Second
		a := addressing.New(addressing.Options{TTL: ttl, Rand: rand.New(rand.NewPCG(1, 1))})
		entries := entriesAt("apapa-1", "lagos", 1, 100)
		announced := now
		requestedAt := announced.Add(time.Duration(rapid.Int64Range(0, int64(maxAnnounceTime)).Draw(t, "asked")))
		result := a.Resolve(requestedAt, fleet.Place{}, entries)
		g.Expect(result.Addresses).To(HaveLen(1))
		g.Expect(result.Expires.Before(announced.Add(addressing.LeaveAfter(ttl)))).To(BeTrue())
	})
}

func TestResolveInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var entries []addressing.Entry
		for i := range rapid.IntRange(0, 20).Draw(t, "entries") {
			zone := rapid.IntRange(0, 4).Draw(t, "zone")
			e := entriesAt(fleet.Zone(fmt.Sprint(zone)), fleet.Region(fmt.Sprint(zone/2)), 1, uint16(100+i))[0]
			e.Leaving = rapid.Bool().Draw(t, "leaving")
			e.Silent = rapid.Bool().Draw(t, "silent")
			e.Load = rapid.Float64Range(0, 2).Draw(t, "load")
			entries = append(entries, e)
		}
		hint := fleet.Place{Zone: fleet.Zone(fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "hint")))}
		ports := portsOf(newResolver(rapid.Uint64().Draw(t, "seed")).Resolve(now, hint, entries))
		g.Expect(len(ports)).To(BeNumerically("<=", addressing.DefaultMaxAddresses))
		seen := map[uint16]bool{}
		live := slices.ContainsFunc(entries, func(e addressing.Entry) bool { return !e.Leaving && !e.Silent })
		for _, port := range ports {
			e := entries[port-100]
			g.Expect(seen[port]).To(BeFalse(), "address listed twice")
			g.Expect(e.Leaving).To(BeFalse())
			g.Expect(e.Silent && live).To(BeFalse())
			seen[port] = true
		}
		g.Expect(len(ports) > 0 || !live).To(BeTrue())
	})
}
