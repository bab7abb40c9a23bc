package rollout

import (
	"fmt"

	"chivespindle.example/core/fleet"
)

// DependencyReady reports whether a dependent may change now: its dependency
// must serve the dependency's target on all but maxUnavailable of its live
// replicas, and on at least one. It considers the dependent's own zone; if the
// dependency has no live replica there, the region, and then the whole fleet.
//
// A dependency without a version is ready once a live replica serves. A
// dependency with no live replica at all is not ready, which delays changes
// only: the version served already is still served.
func DependencyReady(replicas []Replica, target fleet.Version, maxUnavailable int, own fleet.Place) (bool, string) {
	scope, where := nearest(replicas, own)
	if len(scope) == 0 {
		return false, "the dependency has no live replica"
	}
	ready := 0
	for _, r := range scope {
		if r.inService() && (target.IsZero() || r.Serving == target) {
			ready++
		}
	}
	needed := 1
	if !target.IsZero() {
		needed = max(1, len(scope)-maxUnavailable)
	}
	return ready >= needed, fmt.Sprintf("%d of %d live replicas of the dependency are ready in the %s, %d needed",
		ready, len(scope), where, needed)
}

// nearest returns the live replicas of the smallest of zone, region and fleet
// that has any, and its name.
func nearest(replicas []Replica, own fleet.Place) ([]Replica, string) {
	var zone, region, all []Replica
	for _, r := range replicas {
		if r.Silent || r.Leaving {
			continue
		}
		all = append(all, r)
		if r.Region == own.Region {
			region = append(region, r)
		}
		if r.Zone == own.Zone {
			zone = append(zone, r)
		}
	}
	switch {
	case len(zone) > 0:
		return zone, "zone"
	case len(region) > 0:
		return region, "region"
	default:
		return all, "fleet"
	}
}
