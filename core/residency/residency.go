// Package residency decides in which regions a request may be served.
package residency

import (
	"slices"
	"strings"

	"chivespindle.example/core/fleet"
)

// Regions are the regions in which a request may be served. The zero value allows all.
type Regions struct {
	restricted bool
	allowed    []fleet.Region
}

// Of returns the regions that all of the lists allow. An empty list allows all regions.
func Of(lists ...[]fleet.Region) Regions {
	var r Regions
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !r.restricted:
			r = Regions{restricted: true, allowed: list}
		default:
			r.allowed = intersect(r.allowed, list)
		}
	}
	return r
}

func intersect(a, b []fleet.Region) []fleet.Region {
	var both []fleet.Region
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both
}

// IsRestricted reports whether any region is excluded.
func (r Regions) IsRestricted() bool { return r.restricted }

// String returns the regions as they are logged: "all", "none" or a list.
func (r Regions) String() string {
	switch {
	case !r.restricted:
		return "all"
	case len(r.allowed) == 0:
		return "none"
	default:
		return Join(r.allowed)
	}
}

// Join returns the names of regions as they are logged.
func Join(regions []fleet.Region) string {
	names := make([]string, len(regions))
	for i, region := range regions {
		names[i] = string(region)
	}
	return strings.Join(names, ",")
}

// Lists reports whether the directory lists an entry of a region to a client, given the
// regions that all restricted routes of the client's host allow. The entry that the client
// connects to receives the request's body, so it must be in the client's own region or in an
// allowed one. Either region is empty if it is not known.
func (r Regions) Lists(entry, client fleet.Region) bool {
	return !r.restricted || entry != "" && entry == client || r.Allows(entry)
}

// Unknown returns the regions of the lists that are not among the known ones, sorted and
// without duplicates. No request is served there, since no server is in such a region.
func Unknown(known map[fleet.Zone]fleet.Region, lists ...[]fleet.Region) []fleet.Region {
	isKnown := make(map[fleet.Region]bool, len(known))
	for _, region := range known {
		isKnown[region] = region != ""
	}
	var unknown []fleet.Region
	for _, list := range lists {
		for _, region := range list {
			if !isKnown[region] {
				unknown = append(unknown, region)
			}
		}
	}
	slices.Sort(unknown)
	return slices.Compact(unknown)
}

// Allows reports whether a request may be served in a region. Restricted requests may not be
// served in a region that is not known.
func (r Regions) Allows(region fleet.Region) bool {
	return !r.restricted || region != "" && slices.Contains(r.allowed, region)
}
