package balance

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
)

// minKeepers is the least number of entries that keep a server: two of its
// zone, one of its region and one of another.
const minKeepers = 4

// Entry is an entry instance as the assignment of servers sees it.
type Entry struct {
	ID fleet.InstanceID
	fleet.Place
}

// Assign returns the servers that an entry keeps detail of when entries share
// them out: about n for each entry, or more if a server would be kept by
// fewer than four. All of them if there are no more than n. entries are the
// live ones that are not leaving; self counts whether listed or not.
//
// Every server is kept by equally many entries, those that rank first for it,
// by the shares of their places. So none is left out, however small n, and an
// entry that comes or goes changes only the servers that it keeps. An entry
// of a zone with few entries may be given more than n; it keeps at most twice
// as many, since its budget of reports is bounded.
func Assign(self Entry, entries []Entry, servers []Server, n int) []Server {
	if len(servers) <= n {
		return slices.Clone(servers)
	}
	r := newRoll(self, entries)
	keepers := max(minKeepers, (n*r.count+len(servers)-1)/len(servers))
	var kept []Server
	for i := range servers {
		if r.keeps(&servers[i], keepers) {
			kept = append(kept, servers[i])
		}
	}
	most := 2 * max(n, keepers*len(servers)/r.count)
	if len(kept) > most {
		return Subset(self.ID, self.Place, kept, most)
	}
	return kept
}

// roll is the list of entries, sorted by place.
type roll struct {
	self    Entry
	hash    uint64
	count   int
	zones   map[fleet.Place][]uint64 // hashes of the entries there, without self
	regions map[fleet.Region]int     // numbers of entries, self included
}

func newRoll(self Entry, entries []Entry) *roll {
	r := &roll{
		self:    self,
		hash:    xxhash.Sum64String(string(self.ID)),
		count:   1,
		zones:   map[fleet.Place][]uint64{},
		regions: map[fleet.Region]int{self.Region: 1},
	}
	for _, e := range entries {
		if e.ID == self.ID {
			continue
		}
		r.count++
		r.zones[e.Place] = append(r.zones[e.Place], xxhash.Sum64String(string(e.ID)))
		r.regions[e.Region]++
	}
	return r
}

// keeps reports whether self is among the keepers of the server: first of the
// entries that are as near to the server as it is.
func (r *roll) keeps(server *Server, keepers int) bool {
	tier := tierOf(server.Place, r.self.Place)
	quota := quotasOf(r.sizes(server.Place), keepers)[tier]
	key := xxhash.Sum64String(string(server.ID))
	own := rankOf(key, r.hash)
	for place, hashes := range r.zones {
		if tierOf(server.Place, place) != tier {
			continue
		}
		for _, hash := range hashes {
			if rankOf(key, hash) <= own {
				continue
			}
			quota--
			if quota <= 0 {
				return false
			}
		}
	}
	return quota > 0
}

// sizes are the numbers of entries in each tier around place.
func (r *roll) sizes(place fleet.Place) [tierCount]int {
	zone := len(r.zones[place])
	if r.self.Place == place {
		zone++
	}
	region := r.regions[place.Region]
	return [tierCount]int{zone, region - zone, r.count - region}
}
