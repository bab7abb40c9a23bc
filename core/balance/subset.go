package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
)

// The shares of a subset that come from the entry's own zone and from the
// other zones of its region; the rest comes from the other regions, so that
// an entry that loses its zone or region still knows servers.
const (
	zoneShare   = 0.5
	regionShare = 0.25
)

// Subset returns the n servers that an entry keeps detail of, in the order of
// servers; all of them if there are no more than n. It depends on nothing but
// its arguments, and a server that comes or goes changes it by at most that
// one: a changed list does not make every entry connect anew.
//
// It does not look at the other entries, so how many of them keep a server is
// left to chance: with less than about fifteen on average some servers are
// kept by none and idle. Assign has no such bound.
func Subset(entryID fleet.InstanceID, self fleet.Place, servers []Server, n int) []Server {
	if n <= 0 {
		return nil
	}
	if len(servers) <= n {
		return slices.Clone(servers)
	}
	tiers := rankTiers(entryID, self, servers)
	var sizes [tierCount]int
	for tier, members := range tiers {
		sizes[tier] = len(members)
	}
	var chosen []int
	for tier, quota := range quotasOf(sizes, n) {
		for _, c := range tiers[tier][:quota] {
			chosen = append(chosen, c.index)
		}
	}
	slices.Sort(chosen)
	subset := make([]Server, 0, n)
	for _, i := range chosen {
		subset = append(subset, servers[i])
	}
	return subset
}

type ranked struct {
	index int
	rank  uint64
}

// rankTiers returns the indexes of servers for each tier, highest rank first.
func rankTiers(entryID fleet.InstanceID, self fleet.Place, servers []Server) [tierCount][]ranked {
	entry := xxhash.Sum64String(string(entryID))
	var tiers [tierCount][]ranked
	for i := range servers {
		tier := tierOf(self, servers[i].Place)
		rank := rankOf(entry, xxhash.Sum64String(string(servers[i].ID)))
		tiers[tier] = append(tiers[tier], ranked{index: i, rank: rank})
	}
	for _, members := range tiers {
		slices.SortFunc(members, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	}
	return tiers
}

// quotasOf splits n over tiers of the given sizes by their shares, rounded in
// favour of the nearer ones; what a small tier cannot fill goes to the nearest
// that can.
func quotasOf(sizes [tierCount]int, n int) [tierCount]int {
	zone := int(math.Ceil(zoneShare * float64(n)))
	region := min(n-zone, int(math.Ceil(regionShare*float64(n))))
	quotas := [tierCount]int{zone, region, n - zone - region}
	left := 0
	for tier := range quotas {
		if short := quotas[tier] - sizes[tier]; short > 0 {
			quotas[tier] -= short
			left += short
		}
	}
	for tier := range quotas {
		more := min(left, sizes[tier]-quotas[tier])
		quotas[tier] += more
		left -= more
	}
	return quotas
}
