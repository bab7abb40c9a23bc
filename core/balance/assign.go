package balance

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
)

// minSubscribers is the minimum number of entries that subscribe to a server's
// reports: two of its zone, one of its region and one of another region.
const minSubscribers = 4

// Entry is an entry instance as input of Assign.
type Entry struct {
	ID fleet.InstanceID
	fleet.Place
}

// Assign returns the servers that an entry subscribes to when the entries
// divide the servers among themselves: about n servers per entry, or more if a
// server would otherwise have fewer than four subscribers. It returns all
// servers if there are no more than n. entries are the live entries that are
// not leaving; self counts whether listed or not.
//
// Every server has the same number of subscribers, those that rank first for
// it, divided over the tiers of their places. So no server is left out, however
// small n is, and an entry that joins or leaves changes only the servers that
// it subscribes to. An entry in a zone with few entries may get more than n
// servers, but at most twice as many, since its budget for reports is bounded.
func Assign(self Entry, entries []Entry, servers []Server, n int) []Server {
	if len(servers) <= n {
		return slices.Clone(servers)
	}
	index := newEntryIndex(self, entries)
	subscribers := max(minSubscribers, (n*index.count+len(servers)-1)/len(servers))
	var subscribed []Server
	for i := range servers {
		if index.isSubscriber(&servers[i], subscribers) {
			subscribed = append(subscribed, servers[i])
		}
	}
	limit := 2 * max(n, subscribers*len(servers)/index.count)
	if len(subscribed) > limit {
		return Subset(self.ID, self.Place, subscribed, limit)
	}
	return subscribed
}

// entryIndex groups the entries by place.
type entryIndex struct {
	self    Entry
	hash    uint64
	count   int
	zones   map[fleet.Place][]uint64 // hashes of the entries' IDs, without self
	regions map[fleet.Region]int     // number of entries, including self
}

func newEntryIndex(self Entry, entries []Entry) *entryIndex {
	index := &entryIndex{
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
		index.count++
		index.zones[e.Place] = append(index.zones[e.Place], xxhash.Sum64String(string(e.ID)))
		index.regions[e.Region]++
	}
	return index
}

// isSubscriber reports whether self is among the subscribers of the server:
// among the highest ranked of the entries in the same tier around the server.
func (x *entryIndex) isSubscriber(server *Server, subscribers int) bool {
	tier := tierOf(server.Place, x.self.Place)
	quota := tierQuotas(x.tierSizes(server.Place), subscribers)[tier]
	key := xxhash.Sum64String(string(server.ID))
	ownRank := rendezvousRank(key, x.hash)
	for place, hashes := range x.zones {
		if tierOf(server.Place, place) != tier {
			continue
		}
		for _, hash := range hashes {
			if rendezvousRank(key, hash) <= ownRank {
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

// tierSizes returns the number of entries in each tier around place.
func (x *entryIndex) tierSizes(place fleet.Place) [tierCount]int {
	zone := len(x.zones[place])
	if x.self.Place == place {
		zone++
	}
	region := x.regions[place.Region]
	return [tierCount]int{zone, region - zone, x.count - region}
}
