package gossip

import (
	"cmp"
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

// Neighbours returns whom the process should be connected to, sorted by id.
// Those who choose it come on top.
//
// In the own availability zone it takes the next on a ring of all members and
// the highest rendezvous weights; one in the next zone of the region; one in
// every other region. With equal views the rings connect each zone and each
// region, and every region has a link to every other, so that the graph is
// connected whatever the hashes give. A neighbour that cannot be heard is left
// out for a while.
func (t *Table) Neighbours(now time.Time) []Contact {
	t.observe(now)
	groups := t.group(now)
	var chosen []*entry
	chosen = t.chooseZone(chosen, groups.zone)
	chosen = appendBest(chosen, t.nextZone(groups.region))
	for _, members := range groups.regions {
		chosen = appendBest(chosen, members)
	}
	return t.choose(now, chosen)
}

type candidates struct {
	zone    []*entry
	region  map[fleet.Zone][]*entry
	regions map[fleet.Region][]*entry
}

func (t *Table) group(now time.Time) candidates {
	own := t.self.rec.Place
	c := candidates{region: map[fleet.Zone][]*entry{}, regions: map[fleet.Region][]*entry{}}
	for _, e := range t.entries {
		if !t.eligible(e, now) {
			continue
		}
		place := e.place()
		switch {
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
	return e.listed || e.heard && !t.silent(e, now)
}

// chooseZone appends the next member of the ring and the highest weights.
func (t *Table) chooseZone(chosen, members []*entry) []*entry {
	if len(members) == 0 || t.opt.ZoneNeighbours <= 0 {
		return chosen
	}
	next := slices.MinFunc(members, func(a, b *entry) int {
		// Unsigned subtraction is the distance on the ring.
		return cmp.Compare(a.ringPlace-t.self.ringPlace, b.ringPlace-t.self.ringPlace)
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

// nextZone returns the members of the zone that follows the own one by name.
func (t *Table) nextZone(zones map[fleet.Zone][]*entry) []*entry {
	var names []fleet.Zone
	for name := range zones {
		names = append(names, name)
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	for _, name := range names {
		if name > t.self.rec.Zone {
			return zones[name]
		}
	}
	return zones[names[0]]
}

func appendBest(chosen, members []*entry) []*entry {
	if len(members) == 0 {
		return chosen
	}
	return append(chosen, slices.MinFunc(members, compareWeight))
}

// compareWeight puts the highest rendezvous weight first.
func compareWeight(a, b *entry) int {
	if a.weight != b.weight {
		return cmp.Compare(b.weight, a.weight)
	}
	return cmp.Compare(a.id, b.id)
}

// choose notes since when each neighbour has been expected to be heard.
func (t *Table) choose(now time.Time, chosen []*entry) []Contact {
	contacts := make([]Contact, 0, len(chosen))
	wanted := make(map[*entry]bool, len(chosen))
	for _, e := range chosen {
		wanted[e] = true
		if e.chosenAt.IsZero() {
			e.chosenAt = now
		}
		contacts = append(contacts, Contact{ID: e.id, Addr: e.addr()})
	}
	for _, e := range t.entries {
		if !wanted[e] {
			e.chosenAt = time.Time{}
		}
	}
	slices.SortFunc(contacts, func(a, b Contact) int { return cmp.Compare(a.ID, b.ID) })
	return contacts
}

func (e *entry) addr() netip.AddrPort {
	if e.heard && e.rec.PeerAddr.IsValid() {
		return e.rec.PeerAddr
	}
	return e.instance.PeerAddr
}
