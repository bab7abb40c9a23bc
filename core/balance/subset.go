package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
)

// The shares of a subset that are taken from the entry's own zone and from the
// other zones of its region. The rest comes from the other regions, so that an
// entry that loses its zone or region still knows servers.
const (
	zoneShare   = 0.5
	regionShare = 0.25
)

// Subset returns the n servers that an entry subscribes to, in the order of
// servers; all of them if there are no more than n. It depends only on its
// arguments, and a server that joins or leaves changes the subset by at most
// one server: a changed list does not make every entry reconnect.
//
// It ignores the other entries, so the number of subscribers of a server is
// random: below an average of about fifteen, some servers have no subscriber
// and stay idle. Assign has no such limit.
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
	for tier, quota := range tierQuotas(sizes, n) {
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

type rankedServer struct {
	index int
	rank  uint64
}

// rankTiers returns the indexes of servers by tier, highest rank first.
func rankTiers(entryID fleet.InstanceID, self fleet.Place, servers []Server) [tierCount][]rankedServer {
	entry := xxhash.Sum64String(string(entryID))
	var tiers [tierCount][]rankedServer
	for i := range servers {
		tier := tierOf(self, servers[i].Place)
		rank := rendezvousRank(entry, xxhash.Sum64String(string(servers[i].ID)))
		tiers[tier] = append(tiers[tier], rankedServer{index: i, rank: rank})
	}
	for _, members := range tiers {
		slices.SortFunc(members, func(a, b rankedServer) int { return cmp.Compare(b.rank, a.rank) })
	}
	return tiers
}

// tierQuotas splits n over tiers of the given sizes by their shares, rounded in
// favour of the nearer ones. What a small tier cannot fill goes to the nearest
// tier that can.
func tierQuotas(sizes [tierCount]int, n int) [tierCount]int {
	zone := int(math.Ceil(zoneShare * float64(n)))
	region := min(n-zone, int(math.Ceil(regionShare*float64(n))))
	quotas := [tierCount]int{zone, region, n - zone - region}
	remaining := 0
	for tier := range quotas {
		if missing := quotas[tier] - sizes[tier]; missing > 0 {
			quotas[tier] -= missing
			remaining += missing
		}
	}
	for tier := range quotas {
		extra := min(remaining, sizes[tier]-quotas[tier])
		quotas[tier] += extra
		remaining -= extra
	}
	return quotas
}
