package rollout

import (
	"fmt"

	"chivespindle.example/core/fleet"
)

// DependencyReady says whether a dependent may change now: what it depends on
// must serve its target on all but maxUnavailable of its live replicas, and on
// one at least. It looks at the dependent's own zone; if the dependency has no
// live replica there, at the region, and then at the whole fleet.
//
// A dependency without a version is ready once a live replica serves. A
// dependency with no live replica at all is not ready, which holds up changes
// only: what is served already goes on being served.
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

// nearest returns the live replicas of the smallest place that has any.
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
