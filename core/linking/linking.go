// Package linking decides which entries keep a link to each other.
//
// All entries of a group are linked and exchange all reports. Groups are linked
// by a few of their members, which relay what the others need. So the traffic
// of an entry depends on the size of its group and not on that of the fleet.
// Every entry decides for itself; with the same view of the fleet all choose
// the same links.
package linking

import (
	"cmp"
	"fmt"
	"slices"

	"chivespindle.example/core/fleet"
)

const (
	// fullMeshLimit is the number of entries up to which all are linked with
	// each other: relaying would add delay and save nothing.
	fullMeshLimit = 12
	// maxGroupSize is the maximum size of a group. A region with more entries
	// has several groups.
	maxGroupSize = 32
	// linksPerGroupPair is the number of links between two groups; if one is
	// lost, another remains.
	linksPerGroupPair = 2
)

// Member is an entry to which a link is possible.
type Member struct {
	ID     fleet.InstanceID
	Region fleet.Region
}

// Plan is the set of entries to which an entry keeps a link.
type Plan struct {
	// Group is the name of the entry's own group.
	Group string
	// SameGroup are the other members of the own group, OtherGroups the linked
	// members of other groups.
	SameGroup, OtherGroups map[fleet.InstanceID]bool
}

// Includes reports whether the plan has a link to an entry.
func (p Plan) Includes(id fleet.InstanceID) bool { return p.SameGroup[id] || p.OtherGroups[id] }

// NewPlan returns the plan of an entry that knows these others.
func NewPlan(self Member, others []Member) Plan {
	all := append(slices.Clone(others), self)
	if len(all) <= fullMeshLimit {
		return Plan{Group: "all", SameGroup: setOf(others)}
	}
	groups := groupsOf(all)
	own := slices.IndexFunc(groups, func(g group) bool { return g.contains(self.ID) })
	p := Plan{Group: groups[own].name, SameGroup: make(map[fleet.InstanceID]bool), OtherGroups: make(map[fleet.InstanceID]bool)}
	for _, m := range groups[own].members {
		if m.ID != self.ID {
			p.SameGroup[m.ID] = true
		}
	}
	for i, other := range groups {
		if i == own {
			continue
		}
		for _, id := range linkedMembers(self.ID, groups[own], other) {
			p.OtherGroups[id] = true
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

// group is a set of entries of one region.
type group struct {
	name    string
	members []Member
}

func (g group) contains(id fleet.InstanceID) bool {
	return slices.ContainsFunc(g.members, func(m Member) bool { return m.ID == id })
}

// groupsOf divides the entries by region, and large regions into equal parts of
// an order by hash: adding or removing one entry moves few others to another
// part.
func groupsOf(all []Member) []group {
	byRegion := make(map[fleet.Region][]Member)
	for _, m := range all {
		byRegion[m.Region] = append(byRegion[m.Region], m)
	}
	var groups []group
	for region, members := range byRegion {
		parts := (len(members) + maxGroupSize - 1) / maxGroupSize
		sortByRank(fleet.InstanceID(region), members)
		for i := range parts {
			part := members[i*len(members)/parts : (i+1)*len(members)/parts]
			groups = append(groups, group{name: fmt.Sprintf("%s/%d", region, i), members: part})
		}
	}
	return groups
}

// sortByRank sorts members by a hash that differs by name.
func sortByRank(name fleet.InstanceID, members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(fleet.RendezvousRank(name, a.ID), fleet.RendezvousRank(name, b.ID)), cmp.Compare(a.ID, b.ID))
	})
}

// linkedMembers returns the members of another group to which self keeps the
// links between the two groups. Both groups choose the same links, and each
// pair of groups has different members, so that no member has many links.
func linkedMembers(self fleet.InstanceID, own, other group) []fleet.InstanceID {
	here := lowestRanked(linksPerGroupPair, own.members, other.name)
	there := lowestRanked(linksPerGroupPair, other.members, own.name)
	var ids []fleet.InstanceID
	for i := range max(len(here), len(there)) {
		if here[i%len(here)].ID == self {
			ids = append(ids, there[i%len(there)].ID)
		}
	}
	return ids
}

// lowestRanked returns the n members of lowest rank for a name, in that order.
func lowestRanked(n int, members []Member, name string) []Member {
	ordered := slices.Clone(members)
	sortByRank(fleet.InstanceID(name), ordered)
	return ordered[:min(n, len(ordered))]
}
