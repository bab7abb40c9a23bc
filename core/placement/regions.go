package placement

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
)

// groupLoadTTL is how long the loads of a group of entries are counted: several
// digest intervals, plus the time until a lost digest is replaced.
const groupLoadTTL = 4 * time.Second

// Bounds on the reports of other groups. The largest fleet, of 410 entries and nine
// services, has at most as many groups as regions and thirteen more.
const (
	maxGroups     = 256
	maxGroupLoads = 1024
	maxNameBytes  = 256
)

// RegionLoad is the total work of a group of entries at all servers of a service in
// a region.
type RegionLoad struct {
	Service          fleet.ServiceName `cbor:"1,keyasint"`
	Region           fleet.Region      `cbor:"2,keyasint"`
	enginemodel.Work `cbor:"3,keyasint"`
}

// regionKey identifies the servers of a service in a region.
type regionKey struct {
	service fleet.ServiceName
	region  fleet.Region
}

// regionLoads holds the load of other groups of entries in each region.
//
// If loads were reported for each server, the reports would grow with the fleet and
// cross the links between regions many times a second. A group mostly uses the
// servers of its own region, where it knows every load, and those of other regions
// only when its own are full; for these the sum is enough to tell a region with
// free capacity from one without.
type regionLoads struct {
	groups map[string]groupLoads
	// servers is the number of servers of a region that are neither leaving nor evacuated. shares is
	// the average work of the other groups at each of them.
	servers map[regionKey]int
	shares  map[regionKey]enginemodel.Work
}

type groupLoads struct {
	reportedAt time.Time
	loads      []RegionLoad
}

func newRegionLoads() *regionLoads {
	return &regionLoads{
		groups:  make(map[string]groupLoads),
		servers: make(map[regionKey]int),
		shares:  make(map[regionKey]enginemodel.Work),
	}
}

// UpdateGroupLoads records the total load of another group of entries, as of a
// point in time. Reports that are not newer than the last one are ignored.
func (b *Balancer) UpdateGroupLoads(now, at time.Time, group string, loads []RegionLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.regions.groups[group]
	if ok && !at.After(known.reportedAt) || !ok && len(b.regions.groups) >= maxGroups || !isBounded(group, loads) {
		return
	}
	b.regions.groups[group] = groupLoads{at, loads}
	b.regions.distribute(now)
}

// isBounded reports whether a report is within the bounds of its size.
func isBounded(group string, loads []RegionLoad) bool {
	return len(group) <= maxNameBytes && len(loads) <= maxGroupLoads && !slices.ContainsFunc(loads, func(l RegionLoad) bool {
		return len(l.Service) > maxNameBytes || len(l.Region) > maxNameBytes
	})
}

// RegionLoads returns the total load of this entry and of the entries whose reports
// it receives.
func (b *Balancer) RegionLoads(now time.Time) []RegionLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remote.expire(now)
	sums := make(map[regionKey]enginemodel.Work)
	for id, st := range b.servers {
		work := st.ownWork().Add(b.remote.sums[id])
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

func (st *serverState) regionKey() regionKey { return regionKey{st.Service, st.Place.Region} }

// recount recounts the servers of each region.
func (r *regionLoads) recount(now time.Time, servers map[fleet.InstanceID]*serverState) {
	clear(r.servers)
	for _, st := range servers {
		if !st.Leaving && !st.Evacuated {
			r.servers[st.regionKey()]++
		}
	}
	r.distribute(now)
}

// distribute divides the current load of the groups evenly among the servers of
// each region.
func (r *regionLoads) distribute(now time.Time) {
	clear(r.shares)
	sums := make(map[regionKey]enginemodel.Work)
	for name, g := range r.groups {
		if now.Sub(g.reportedAt) >= groupLoadTTL {
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
