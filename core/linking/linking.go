// Package linking decides which entries hold a link with each other.
//
// Entries of a group are all linked and tell each other everything. Groups are
// linked by a few of their members, which pass on what the others need. So what
// an entry sends and receives depends on the size of a group and not on that of
// the fleet. Every entry decides by itself; with the same view of the fleet all
// come to the same links.
package linking

import (
	"cmp"
	"fmt"
	"slices"

	"chivespindle.example/core/fleet"
)

const (
	// smallFleet is the number of entries up to which all are linked: passing
	// on would add delay and save nothing.
	smallFleet = 12
	// groupMost is the most members of a group. A region with more entries has
	// several groups.
	groupMost = 32
	// bridges is the number of links between two groups, so that one that is
	// lost leaves another.
	bridges = 2
)

// Member is an entry that may be linked with.
type Member struct {
	ID     fleet.InstanceID
	Region fleet.Region
}

// Plan is whom an entry is to be linked with.
type Plan struct {
	// Group names the entry's own group.
	Group string
	// Near are the other members of the own group, Far those of other groups.
	Near, Far map[fleet.InstanceID]bool
}

// Wants reports whether the plan has a link with an entry.
func (p Plan) Wants(id fleet.InstanceID) bool { return p.Near[id] || p.Far[id] }

// For returns the plan of an entry that knows these others.
func For(self Member, others []Member) Plan {
	all := append(slices.Clone(others), self)
	if len(all) <= smallFleet {
		return Plan{Group: "all", Near: setOf(others)}
	}
	groups := groupsOf(all)
	own := slices.IndexFunc(groups, func(g group) bool { return g.has(self.ID) })
	p := Plan{Group: groups[own].name, Near: make(map[fleet.InstanceID]bool), Far: make(map[fleet.InstanceID]bool)}
	for _, m := range groups[own].members {
		if m.ID != self.ID {
			p.Near[m.ID] = true
		}
	}
	for i, other := range groups {
		if i == own {
			continue
		}
		for _, id := range linksOf(self.ID, groups[own], other) {
			p.Far[id] = true
		}
	}
	return p
}

func setOf(others []Member) map[fleet.InstanceID]bool {
	set := make(map[fleet.InstanceID]bool, len(others))
	for _, m := range others {
		set[m.ID] = true
	}
	return set
}

// group is entries of one region.
type group struct {
	name    string
	members []Member
}

func (g group) has(id fleet.InstanceID) bool {
	return slices.ContainsFunc(g.members, func(m Member) bool { return m.ID == id })
}

// groupsOf divides the entries by region, and large regions into even parts of
// an order by hash: one entry more or less moves few others to another part.
func groupsOf(all []Member) []group {
	byRegion := make(map[fleet.Region][]Member)
	for _, m := range all {
		byRegion[m.Region] = append(byRegion[m.Region], m)
	}
	var groups []group
	for region, members := range byRegion {
		parts := (len(members) + groupMost - 1) / groupMost
		sortBy(fleet.InstanceID(region), members)
		for i := range parts {
			part := members[i*len(members)/parts : (i+1)*len(members)/parts]
			groups = append(groups, group{name: fmt.Sprintf("%s/%d", region, i), members: part})
		}
	}
	return groups
}

// sortBy orders members by a hash that differs by name.
func sortBy(name fleet.InstanceID, members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(fleet.RendezvousRank(name, a.ID), fleet.RendezvousRank(name, b.ID)), cmp.Compare(a.ID, b.ID))
	})
}

// linksOf returns the members of another group with which self holds the links
// between the two. Both groups find the same ones, and each pair of groups has
// others, so that no member holds many.
func linksOf(self fleet.InstanceID, own, other group) []fleet.InstanceID {
	here := first(bridges, own.members, other.name)
	there := first(bridges, other.members, own.name)
	var ids []fleet.InstanceID
	for i := range max(len(here), len(there)) {
		if here[i%len(here)].ID == self {
			ids = append(ids, there[i%len(there)].ID)
		}
	}
	return ids
}

// first returns the members of least rank by a name, in that order.
func first(n int, members []Member, name string) []Member {
	ordered := slices.Clone(members)
	sortBy(fleet.InstanceID(name), ordered)
	return ordered[:min(n, len(ordered))]
}
