package gossip

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// Contact is a neighbour to connect to.
type Contact struct {
	ID   fleet.InstanceID
	Addr netip.AddrPort
}

// Neighbours returns the processes to connect to, sorted by id. Connections
// opened by processes that chose this one come in addition.
//
// In its own availability zone a process takes the next member on a ring of all
// members and those with the highest rendezvous weights; in addition, one
// member of the next zone of its region and one of every other region. With
// equal views the rings connect each zone and each region, and every region has
// a link to every other region, so the graph is connected whatever the hashes
// are.
//
// A neighbour from which nothing is received is marked lost and replaced. One
// lost process at a time is probed, in addition to the working neighbours and
// not instead of one. Otherwise, two parts of a partition would alternately
// drop the links they still have, or never try to reach each other again.
func (t *Table) Neighbours(now time.Time) []Contact {
	t.advanceClock(now)
	groups := t.group(now)
	var chosen []*entry
	chosen = t.appendZoneNeighbours(chosen, groups.zone)
	chosen = appendBest(chosen, t.nextZone(groups))
	for _, members := range groups.regions {
		chosen = appendBest(chosen, members)
	}
	chosen = t.appendProbe(chosen, groups.lost)
	return t.setNeighbours(now, chosen)
}

type candidates struct {
	zone    []*entry                  // in the own zone
	region  map[fleet.Zone][]*entry   // in the other zones of the region
	regions map[fleet.Region][]*entry // in the other regions
	lost    []*entry
}

func (t *Table) group(now time.Time) candidates {
	own := t.self.rec.Place
	c := candidates{region: map[fleet.Zone][]*entry{}, regions: map[fleet.Region][]*entry{}}
	for _, e := range t.entries {
		if !t.eligible(e, now) {
			continue
		}
		place := e.place()
		if e.lost || t.unreachable(place.Zone) {
			c.lost = append(c.lost, e)
		}
		switch {
		case e.lost:
		case place.Zone == own.Zone:
			c.zone = append(c.zone, e)
		case place.Region == own.Region:
			c.region[place.Zone] = append(c.region[place.Zone], e)
		default:
			c.regions[place.Region] = append(c.regions[place.Region], e)
		}
	}
	return c
}

func (t *Table) eligible(e *entry, now time.Time) bool {
	if e.leaving() || !e.addr().IsValid() || now.Before(e.avoidUntil) {
		return false
	}
	return e.listed || e.hasRecord && !t.silent(e, now)
}

// appendProbe appends one lost process: the one that is already being probed,
// if any.
func (t *Table) appendProbe(chosen, lost []*entry) []*entry {
	if len(lost) == 0 {
		return chosen
	}
	probe := lost[t.opt.Rand.IntN(len(lost))]
	for _, e := range lost {
		if t.neighbours[e] {
			probe = e
		}
	}
	if slices.Contains(chosen, probe) {
		return chosen
	}
	return append(chosen, probe)
}

// appendZoneNeighbours appends the next member of the ring and the members with
// the highest weights.
func (t *Table) appendZoneNeighbours(chosen, members []*entry) []*entry {
	if len(members) == 0 || t.opt.ZoneNeighbours <= 0 {
		return chosen
	}
	next := slices.MinFunc(members, func(a, b *entry) int {
		// Unsigned subtraction is the distance on the ring.
		return cmp.Compare(a.ringPosition-t.self.ringPosition, b.ringPosition-t.self.ringPosition)
	})
	chosen = append(chosen, next)
	slices.SortFunc(members, compareWeight)
	wanted := t.opt.ZoneNeighbours
	for _, e := range members {
		if len(chosen) >= wanted {
			break
		}
		if e != next {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// maxFailures is how many members of a zone may be lost in a row before the
// next zone is used. Otherwise the members of a failed zone would be tried one
// by one while there is no link to any other zone.
const maxFailures = 2

// unreachable reports whether maxFailures neighbours in another zone were lost
// in a row.
func (t *Table) unreachable(zone fleet.Zone) bool {
	return zone != t.self.rec.Zone && t.zoneFailures[zone] >= maxFailures
}

// nextZone returns the members of the first reachable zone after the own one in
// name order.
func (t *Table) nextZone(c candidates) []*entry {
	names := slices.Sorted(maps.Keys(c.region))
	own, _ := slices.BinarySearch(names, t.self.rec.Zone)
	for _, name := range slices.Concat(names[own:], names[:own]) {
		if !t.unreachable(name) {
			return c.region[name]
		}
	}
	return nil
}

func appendBest(chosen, members []*entry) []*entry {
	if len(members) == 0 {
		return chosen
	}
	return append(chosen, slices.MinFunc(members, compareWeight))
}

// compareWeight orders by descending rendezvous weight.
func compareWeight(a, b *entry) int {
	if a.weight != b.weight {
		return cmp.Compare(b.weight, a.weight)
	}
	return cmp.Compare(a.id, b.id)
}

// setNeighbours stores the chosen neighbours and, for new ones, the time from
// which a heartbeat is expected.
func (t *Table) setNeighbours(now time.Time, chosen []*entry) []Contact {
	contacts := make([]Contact, 0, len(chosen))
	former := t.neighbours
	t.neighbours = make(map[*entry]bool, len(chosen))
	for _, e := range chosen {
		if !former[e] {
			e.chosenAt = now
		}
		t.neighbours[e] = true
		contacts = append(contacts, Contact{ID: e.id, Addr: e.addr()})
	}
	slices.SortFunc(contacts, func(a, b Contact) int { return cmp.Compare(a.ID, b.ID) })
	return contacts
}

func (e *entry) addr() netip.AddrPort {
	if e.hasRecord && e.rec.PeerAddr.IsValid() {
		return e.rec.PeerAddr
	}
	return e.instance.PeerAddr
}
