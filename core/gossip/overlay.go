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

// Neighbours returns whom the process should be connected to, sorted by id.
// Those who choose it come on top.
//
// In the own availability zone it takes the next on a ring of all members and
// the highest rendezvous weights; one in the next zone of the region; one in
// every other region. With equal views the rings connect each zone and each
// region, and every region has a link to every other, so that the graph is
// connected whatever the hashes give.
//
// A neighbour that cannot be heard is lost and replaced. One of the lost is
// tried at a time, beside the others and not in place of one that works: two
// parts that have lost each other would else take turns in dropping the links
// that they still have, or never look for each other again.
func (t *Table) Neighbours(now time.Time) []Contact {
	t.observe(now)
	groups := t.group(now)
	var chosen []*entry
	chosen = t.chooseZone(chosen, groups.zone)
	chosen = appendBest(chosen, t.nextZone(groups))
	for _, members := range groups.regions {
		chosen = appendBest(chosen, members)
	}
	chosen = t.appendProbe(chosen, groups.lost)
	return t.choose(now, chosen)
}

type candidates struct {
	zone    []*entry                  // of the own zone
	region  map[fleet.Zone][]*entry   // of the other zones of the region
	regions map[fleet.Region][]*entry // of the other regions
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
	return e.listed || e.heard && !t.silent(e, now)
}

// appendProbe appends one of the lost: the one being tried already, if any.
func (t *Table) appendProbe(chosen, lost []*entry) []*entry {
	if len(lost) == 0 {
		return chosen
	}
	probe := lost[t.opt.Rand.IntN(len(lost))]
	for _, e := range lost {
		if t.chosen[e] {
			probe = e
		}
	}
	if slices.Contains(chosen, probe) {
		return chosen
	}
	return append(chosen, probe)
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

// maxFailures is how many members of a zone may be lost in a row before the
// next zone is taken: a zone that is down would else be tried member by member
// while there is no link to any other.
const maxFailures = 2

// unreachable reports whether no member of a zone could be heard lately.
func (t *Table) unreachable(zone fleet.Zone) bool {
	return zone != t.self.rec.Zone && t.zoneFailures[zone] >= maxFailures
}

// nextZone returns the members of the zone that follows the own one by name
// and can be reached.
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
	former := t.chosen
	t.chosen = make(map[*entry]bool, len(chosen))
	for _, e := range chosen {
		if !former[e] {
			e.chosenAt = now
		}
		t.chosen[e] = true
		contacts = append(contacts, Contact{ID: e.id, Addr: e.addr()})
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
