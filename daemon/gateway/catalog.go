package gateway

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/routing"
)

// adoptSnapshot merges a complete snapshot of the catalog into the known one. Parts that
// are older than the known ones are ignored.
func (g *Gateway) adoptSnapshot(now time.Time, s catalog.Snapshot, r reading) {
	g.stale = g.stale && r.origin == fromStore && r.readAt.Before(g.resumedAt)
	before := g.snapshot
	if err := s.CheckList(); err != nil {
		g.readings.refused(err, r, s.AsOf, before.AsOf)
	}
	g.adoptEvacuations(now, s, r)
	g.snapshot = g.snapshot.Merge(s)
	if g.snapshot.AsOf > before.AsOf {
		g.feed.reset(g.snapshot.AsOf)
	}
	if before.AsOf != 0 && g.snapshot.AsOf.Era() != before.AsOf.Era() {
		g.contact.recordRestore(now)
	}
	g.recordReading(now, before.AsOf, s.AsOf, r, zap.Bool("whole", true), zap.Int("servers", len(s.Servers)))
	for _, old := range before.Servers {
		if current, ok := findServer(g.snapshot.Servers, old.ID); !ok {
			g.handleRemoved(now, old)
		} else if current.Draining && !old.Draining {
			g.readings.leaving(current)
		}
	}
	g.observeDepartures(now)
	g.handleCatalogChange(now, r)
}

// adoptChanges applies changes that are complete up to asOf. Some may be known from a
// peer already; applying them again has no effect, since the latest change of an item
// decides.
func (g *Gateway) adoptChanges(now time.Time, changes []catalog.Change, asOf catalog.Revision, r reading) {
	g.adoptServerChanges(now, g.takeEvacuations(now, changes, asOf, r), asOf, r)
	g.snapshot.OperatorAsOf = max(g.snapshot.OperatorAsOf, asOf)
}

// adoptServerChanges applies changes that are complete up to asOf for servers only.
func (g *Gateway) adoptServerChanges(now time.Time, changes []catalog.Change, asOf catalog.Revision, r reading) {
	if asOf <= 0 {
		g.readings.refused(catalog.CheckOrder(g.snapshot.AsOf, asOf), r, asOf, g.snapshot.AsOf)
		return
	}
	slices.SortStableFunc(changes, func(a, b catalog.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	g.feed.add(changes, asOf)
	g.recordReading(now, g.snapshot.AsOf, asOf, r, zap.Bool("whole", false), zap.Int("changes", len(changes)))
	if len(changes) == 0 {
		g.snapshot.AsOf = max(g.snapshot.AsOf, asOf)
		return
	}
	before := g.snapshot
	if err := before.CheckRemovals(changes); err != nil {
		g.readings.refused(err, r, asOf, before.AsOf)
	}
	next, removed := g.snapshot.ApplyServers(changes, asOf)
	g.snapshot = next
	for _, old := range removed {
		g.handleRemoved(now, old)
	}
	g.departures.ObserveChanges(now, changes, before.AsOf)
	g.logLeaving(before, changes)
	g.groupFlushDue = g.groupFlushDue || r.origin == fromStore
	g.handleCatalogChange(now, r)
}

// handleRemoved handles the end of a server's registration. If it may only have lapsed,
// the server stays in use, unless it had announced that it leaves.
func (g *Gateway) handleRemoved(now time.Time, s catalog.Server) {
	leaving := g.isLeaving(now, s)
	keep := g.contact.mayHaveLapsed(now) && !leaving
	if keep {
		g.lapsed[s.ID] = s
	}
	if isStated := s.Revision.Era() == g.snapshot.AsOf.Era(); isStated || !keep {
		g.departures.RecordRemoved(now, s, leaving)
	}
	g.opts.Logger.Info("server_removed", zap.String("server", string(s.ID)), zap.String("service", string(s.Service)),
		zap.Bool("kept", keep))
}

// isLeaving reports whether a server is leaving according to the platform, to its agent or
// to its own responses. It may be unable to reach the platform, or the platform may have
// lost that.
func (g *Gateway) isLeaving(now time.Time, s catalog.Server) bool {
	r, reported := g.replicas[s.Addr.Addr()]
	isReported := reported && r.Leaving && !predatesRegistration(r.Replica, s)
	return s.Draining || isReported || g.balancer.StatesLeaving(s.ID) || g.departures.Standing(now, s) != catalog.Current
}

// observeDepartures records the servers that are leaving. After a return of the platform
// from an older copy, it logs those that the copy lists with an outdated state.
func (g *Gateway) observeDepartures(now time.Time) {
	if !g.departures.Observe(now, g.snapshot) {
		return
	}
	for _, s := range g.snapshot.Servers {
		if standing := g.departures.Standing(now, s); standing != catalog.Current {
			g.readings.outdated(s, standing)
		}
	}
}

// updateHolding makes the servers effective that count again once a copy of the platform
// lists no servers any more that have ended.
func (g *Gateway) updateHolding(now time.Time) {
	isHolding := g.departures.IsHolding(now)
	g.changed = g.changed || g.isHolding && !isHolding
	g.isHolding = isHolding
}

func (g *Gateway) expireLapsed(now time.Time) {
	if len(g.lapsed) == 0 {
		return
	}
	over := !g.contact.mayHaveLapsed(now)
	for id, s := range g.lapsed {
		isListed := hasServer(g.snapshot.Servers, id)
		if !over && !isListed {
			continue
		}
		if !isListed {
			g.departures.RecordRemoved(now, s, false)
		}
		delete(g.lapsed, id)
		g.changed = true
	}
}

// handleCatalogChange updates the state that is derived from the catalog. A new
// configuration becomes active, unless it is invalid.
func (g *Gateway) handleCatalogChange(now time.Time, r reading) {
	g.changed = true
	g.recordWantedVersions(now)
	if g.snapshot.Config == nil || g.table != nil && g.table.Version() == g.snapshot.ConfigVersion() {
		return
	}
	table, err := routing.NewTable(*g.snapshot.Config)
	if err != nil {
		g.opts.Logger.Error("config_refused", zap.Int64("version", g.snapshot.Config.Version), zap.Error(err))
		g.opts.Metrics.Counter("config_refused").Inc(1)
		return
	}
	g.table = table
	g.checkPriorities()
	g.opts.Logger.Info("config_in_force", zap.Int64("version", table.Version()), zap.String("from", r.sourceName()),
		zap.Stringer("revision", g.snapshot.OperatorAsOf), zap.Int("routes", len(g.snapshot.Config.Routes)))
	g.reportUnknownRegions()
	if r.origin == fromStore {
		// The other entries of the region wait for this one's report. The next heartbeat
		// would delay it by up to half a second.
		g.mesh.FlushGroup(now)
	}
}

// recordWantedVersions records when each wanted version was first reported. A process
// that has just started cannot know the time and accepts that of any peer. Without a
// catalog from a peer, it assumes that the versions it finds were named VersionTime ago.
func (g *Gateway) recordWantedVersions(now time.Time) {
	for _, w := range g.snapshot.Wanted {
		if g.names[w.Model].Newest() >= w.Version {
			continue
		}
		named := g.newlyNamedVersion(now, w.Version)
		if g.table == nil {
			named.Since = now.Add(-g.opts.VersionTime)
		}
		g.addWantedVersion(w.Model, named)
	}
}

// newlyNamedVersion returns the record of a version that was not named when this process
// last knew the catalog.
func (g *Gateway) newlyNamedVersion(now time.Time, version uint64) loading.NamedVersion {
	return loading.NamedVersion{
		Version: version,
		Since:   g.contact.namedSince(now, g.opts.SoundTime),
		Assumed: !g.contact.canDateChanges(),
	}
}

func hasServer(list []catalog.Server, id fleet.InstanceID) bool {
	_, ok := findServer(list, id)
	return ok
}

func findServer(list []catalog.Server, id fleet.InstanceID) (catalog.Server, bool) {
	for _, s := range list {
		if s.ID == id {
			return s, true
		}
	}
	return catalog.Server{}, false
}
