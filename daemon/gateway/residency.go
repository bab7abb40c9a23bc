package gateway

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/addressing"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/residency"
)

// readyTimes holds for each service and region when the next engine is expected to become
// ready.
type readyTimes map[fleet.ServiceName]map[fleet.Region]time.Time

// add records that an engine is expected to become ready.
func (t readyTimes) add(service fleet.ServiceName, region fleet.Region, at time.Time) {
	if t[service] == nil {
		t[service] = make(map[fleet.Region]time.Time)
	}
	if known, ok := t[service][region]; !ok || at.Before(known) {
		t[service][region] = at
	}
}

// next returns when the next engine of a service in the allowed regions is expected to become
// ready; false if none is.
func (t readyTimes) next(service fleet.ServiceName, allowed residency.Regions) (time.Time, bool) {
	var first time.Time
	found := false
	for region, at := range t[service] {
		if allowed.Allows(region) && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}

// listedSilenceMargin is added to the time after which the platform counts as lost: within
// both, every entry has noticed that another one ended.
const listedSilenceMargin = 3 * time.Second

// maxListedSilence returns how long ago an entry may last have been seen to be listed for
// callers; 0 for no bound.
func maxListedSilence(soundTime time.Duration) time.Duration {
	if soundTime <= 0 {
		return 0
	}
	return soundTime + listedSilenceMargin
}

// Addresses returns the entries that accept requests, this one included, for a client at
// a place that asks for a host. An entry is not listed once its planned stop is known. If
// routes of the host are restricted to regions, only entries of the client's region and of
// regions that all of these routes allow are listed, unless none of them is alive.
func (g *Gateway) Addresses(host string, near fleet.Place) []netip.AddrPort {
	v := g.view.Load()
	if v == nil {
		return nil
	}
	var allowed residency.Regions
	if v.table != nil {
		allowed = v.table.HostRegions(host)
	}
	if allowed.IsRestricted() && near.Region == "" {
		near.Region = g.opts.Regions[near.Zone]
	}
	addresses, anyRegion := g.answerer.ResolveAll(near, g.listableEntries(time.Now(), v), allowed)
	if anyRegion && len(addresses) > 0 {
		g.opts.Metrics.Counter("resolved_any_region").Inc(1)
	}
	return addresses
}

// listableEntries returns the entries that have a configuration. The view may date from
// before a pause of the process; its age counts as time in which no entry was seen.
func (g *Gateway) listableEntries(now time.Time, v *view) []addressing.Entry {
	var entries []addressing.Entry
	if v.table != nil && !v.leaving {
		entries = append(entries, addressing.Entry{ID: g.opts.Self, Place: g.opts.Place, Addr: g.opts.CallerAddr})
	}
	age := max(0, now.Sub(v.publishedAt))
	for _, e := range v.entries {
		if e.Ready {
			entries = append(entries, addressing.Entry{
				ID: e.ID, Place: e.Place, Addr: e.CallerAddr, Leaving: e.Leaving, Silent: e.Silent, SeenAgo: e.SeenAgo + age})
		}
	}
	return entries
}

// reportUnknownRegions logs the regions of the active configuration that the settings do not
// name. No server is known to be there, so they allow nothing.
func (g *Gateway) reportUnknownRegions() {
	unknown := residency.Unknown(g.opts.Regions, g.table.RegionLists()...)
	if len(unknown) == 0 {
		return
	}
	g.opts.Metrics.Counter("regions_unknown").Inc(int64(len(unknown)))
	g.opts.Logger.Warn("regions_unknown", zap.Int64("version", g.table.Version()), zap.String("regions", residency.Join(unknown)))
}

// countResidency counts a refusal because of the regions in which the call may be served.
func (l *requestLog) countResidency(j *job, r placement.Refusal) {
	if r.Reason == placement.NoAllowedServer {
		l.metrics.Tagged(map[string]string{"service": string(j.service.Name)}).Counter("residency_refusals").Inc(1)
	}
}

// residencyFields returns the fields of a call that is restricted to regions: those that are
// allowed and, if no server there could accept it, the others with servers in service.
func residencyFields(j *job, r placement.Refusal) []zap.Field {
	if !j.allowed.IsRestricted() {
		return nil
	}
	fields := []zap.Field{zap.Stringer("allowed", j.allowed)}
	if r.Reason == placement.NoAllowedServer {
		fields = append(fields, zap.String("regions", residency.Join(r.Regions)))
	}
	return fields
}
