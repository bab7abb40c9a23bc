package placement

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
)

// groupLife is how long the loads of a group of entries are believed: several
// of its digests, and the time until a lost one is replaced.
const groupLife = 4 * time.Second

// RegionLoad is the work that a group of entries has at all servers of a service
// in a region.
type RegionLoad struct {
	Service          fleet.ServiceName `cbor:"1,keyasint"`
	Region           fleet.Region      `cbor:"2,keyasint"`
	enginemodel.Work `cbor:"3,keyasint"`
}

// regionKey names the servers of a service in a region.
type regionKey struct {
	service fleet.ServiceName
	region  fleet.Region
}

// regions holds what other groups of entries have in each region.
//
// Told server by server, loads would grow with the fleet, and cross the links
// between regions many times a second. A group uses the servers of its own
// region, where it knows every load, and those of others only when its own are
// full; there the sum is enough to tell a region with room from one without.
type regions struct {
	groups map[string]groupLoads
	// servers counts those of a region, and shares is the work that the other
	// groups have at each of them on average.
	servers map[regionKey]int
	shares  map[regionKey]enginemodel.Work
}

type groupLoads struct {
	at    time.Time
	loads []RegionLoad
}

func newRegions() *regions {
	return &regions{
		groups:  make(map[string]groupLoads),
		servers: make(map[regionKey]int),
		shares:  make(map[regionKey]enginemodel.Work),
	}
}

// UpdateGroupLoads takes what a group of entries, other than this entry's, has
// together, as of a moment.
func (b *Balancer) UpdateGroupLoads(now, at time.Time, group string, loads []RegionLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.regions.groups[group]; ok && !at.After(known.at) {
		return
	}
	b.regions.groups[group] = groupLoads{at, loads}
	b.regions.share(now)
}

// RegionLoads returns what this entry and those that it hears have together.
func (b *Balancer) RegionLoads(now time.Time) []RegionLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others.endBeliefs(now)
	sums := make(map[regionKey]enginemodel.Work)
	for id, st := range b.servers {
		work := st.ownWork().Add(b.others.sums[id])
		if work != (enginemodel.Work{}) {
			key := st.regionKey()
			sums[key] = sums[key].Add(work)
		}
	}
	var loads []RegionLoad
	for key, work := range sums {
		loads = append(loads, RegionLoad{Service: key.service, Region: key.region, Work: work})
	}
	slices.SortFunc(loads, func(x, y RegionLoad) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Region, y.Region))
	})
	return loads
}

func (st *state) regionKey() regionKey { return regionKey{st.Service, st.Place.Region} }

// count takes the servers anew.
func (r *regions) count(now time.Time, servers map[fleet.InstanceID]*state) {
	clear(r.servers)
	for _, st := range servers {
		if !st.Leaving {
			r.servers[st.regionKey()]++
		}
	}
	r.share(now)
}

// share spreads what is believed of the groups evenly over the servers of each
// region.
func (r *regions) share(now time.Time) {
	clear(r.shares)
	sums := make(map[regionKey]enginemodel.Work)
	for name, g := range r.groups {
		if now.Sub(g.at) >= groupLife {
			delete(r.groups, name)
			continue
		}
		for _, l := range g.loads {
			key := regionKey{l.Service, l.Region}
			sums[key] = sums[key].Add(l.Work)
		}
	}
	for key, sum := range sums {
		r.shares[key] = sum.DividedBy(r.servers[key])
	}
}
