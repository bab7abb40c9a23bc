package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

// fromRestore is the source of a release that nobody reported: the platform returned from
// an older copy and has lacked the evacuation since.
const fromRestore = "restore"

// adoptEvacuations applies the evacuations of a snapshot of the catalog. Only the
// platform's lists all evacuated zones; a peer's contains the state of each zone.
func (g *Gateway) adoptEvacuations(now time.Time, s catalog.Snapshot, r reading) {
	if r.origin != fromStore {
		g.handleEvacuations(now, g.evacuations.ApplyReport(now, s.Evacuations, s.EvacuationsAsOf), r.sourceName())
		return
	}
	g.handleEvacuations(now, g.evacuations.ApplyList(now, s.Evacuations, s.AsOf), r.sourceName())
	for _, kept := range g.evacuations.Kept() {
		g.opts.Logger.Warn("evacuation_kept", zap.String("zone", string(kept.Zone)), zap.Stringer("revision", kept.Revision),
			zap.Stringer("as_of", s.AsOf))
	}
}

// takeEvacuations applies the evacuations among the platform's changes, which are complete
// up to asOf, and returns the other changes.
func (g *Gateway) takeEvacuations(now time.Time, changes []catalog.Change, asOf catalog.Revision, r reading) []catalog.Change {
	var evacuations []catalog.Evacuation
	others := slices.DeleteFunc(slices.Clone(changes), func(c catalog.Change) bool {
		if c.Evacuation != nil {
			evacuations = append(evacuations, *c.Evacuation)
		}
		return c.Evacuation != nil
	})
	g.handleEvacuations(now, g.evacuations.ApplyChanges(now, evacuations, asOf), r.sourceName())
	return others
}

// receiveEvacuations applies what a peer reports in a complete heartbeat.
func (g *Gateway) receiveEvacuations(now time.Time, b wire.Heartbeat) {
	source := reading{origin: fromPeer, from: string(b.ID)}.sourceName()
	g.handleEvacuations(now, g.evacuations.ApplyReport(now, b.Evacuations, b.EvacuationsAsOf), source)
}

// addEvacuations adds the state of all zones to a complete heartbeat for an entry. Agents
// need none: they load weights in evacuated zones too.
func (g *Gateway) addEvacuations(b *wire.Heartbeat, to mesh.Peer) {
	if to.Role == fleet.RoleEntry {
		b.Evacuations, b.EvacuationsAsOf = g.evacuations.Records(), g.evacuations.AsOf()
	}
}

// expireEvacuations releases zones whose evacuation the platform has lost.
func (g *Gateway) expireEvacuations(now time.Time) {
	g.handleEvacuations(now, g.evacuations.Expire(now), fromRestore)
}

// handleEvacuations makes changed states of zones effective and reports them to all peers:
// the next heartbeat would reach other regions half a second later.
func (g *Gateway) handleEvacuations(now time.Time, changed []catalog.Evacuation, source string) {
	if ignored := g.evacuations.Ignored(); ignored > g.evacuationsIgnored {
		g.opts.Metrics.Counter("evacuations_ignored").Inc(int64(ignored - g.evacuationsIgnored))
		g.opts.Logger.Warn("evacuations_ignored", zap.Int("count", ignored-g.evacuationsIgnored), zap.String("source", source))
		g.evacuationsIgnored = ignored
	}
	for _, e := range changed {
		g.changed = true
		g.flushDue = true
		gauge := g.opts.Metrics.Tagged(map[string]string{"zone": string(e.Zone)}).Gauge("zone_evacuated")
		fields := []zap.Field{zap.String("zone", string(e.Zone)), zap.String("source", source), zap.Stringer("revision", e.Revision)}
		if e.Released {
			g.evacuationEnds[e.Zone] = now
			gauge.Update(0)
			g.opts.Logger.Info("zone_released", fields...)
			continue
		}
		gauge.Update(1)
		g.opts.Logger.Info("zone_evacuated", fields...)
		if _, known := g.opts.Regions[e.Zone]; !known {
			g.opts.Metrics.Counter("evacuations_unknown_zone").Inc(1)
			g.opts.Logger.Warn("evacuation_unknown_zone", fields...)
		}
	}
}

// coldAfterEvacuation returns until when a server counts as cold because the evacuation of
// its zone ended, zero if it does not: all entries ramp up their traffic to the zone.
func (g *Gateway) coldAfterEvacuation(s catalog.Server) time.Time {
	ended, ok := g.evacuationEnds[s.Zone]
	if !ok || g.table == nil {
		return time.Time{}
	}
	service := g.table.Service(s.Service)
	if service == nil || service.ColdStart == nil {
		return time.Time{}
	}
	return ended.Add(service.ColdStart.Duration)
}

// heldCatalog returns the catalog for a peer.
func (g *Gateway) heldCatalog() catalog.Snapshot {
	held := g.snapshot
	held.Evacuations, held.EvacuationsAsOf = g.evacuations.Records(), g.evacuations.AsOf()
	return held
}

// operatorAsOf returns the revision up to which all is known that the operator wrote. A
// peer of an earlier release reports how far it knows the rest, but not the evacuations.
func (g *Gateway) operatorAsOf() catalog.Revision {
	return min(g.snapshot.OperatorAsOf, g.evacuations.AsOf())
}

// lacksEvacuations reports whether the catalog came from peers of an earlier release, so
// that evacuations have to be read from the platform.
func (g *Gateway) lacksEvacuations() bool { return g.evacuations.AsOf() == 0 }
