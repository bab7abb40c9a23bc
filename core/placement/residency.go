package placement

import (
	"slices"

	"chivespindle.example/core/fleet"
)

// isAllowed reports whether the request may be served in the region of a server.
func (r Request) isAllowed(st *serverState) bool { return r.AllowedRegions.Allows(st.Place.Region) }

// refusalForResidency returns the refusal of a request that no server in its allowed regions
// can accept; false if its regions are not restricted or the service has no servers.
func (g *serverGroup) refusalForResidency(req Request) (Refusal, bool) {
	if !req.AllowedRegions.IsRestricted() || len(g.states) == 0 {
		return Refusal{}, false
	}
	return Refusal{Reason: NoAllowedServer, RetryAfter: maxRetryAfter(req.TimeLeft), Regions: g.otherRegions(req)}, true
}

// otherRegions returns the regions with servers in service that the request may not use.
func (g *serverGroup) otherRegions(req Request) []fleet.Region {
	var regions []fleet.Region
	for _, st := range g.states {
		inService := !st.Leaving && !st.Reloading && !st.Unreachable
		if inService && !req.isAllowed(st) && !slices.Contains(regions, st.Place.Region) {
			regions = append(regions, st.Place.Region)
		}
	}
	slices.Sort(regions)
	return regions
}
