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

// adoptList takes of a whole catalog what is not older than the own one.
func (g *Gateway) adoptList(now time.Time, s catalog.Snapshot, r reading) {
	g.stale = false
	before := g.snapshot
	if err := s.CheckList(); err != nil {
		g.readings.refused(err, r, s.AsOf, before.AsOf)
	}
	g.snapshot = g.snapshot.Merge(s)
	if g.snapshot.AsOf > before.AsOf {
		g.feed.restart(g.snapshot.AsOf)
	}
	g.noteReading(now, before.AsOf, s.AsOf, r, zap.Bool("whole", true), zap.Int("servers", len(s.Servers)))
	for _, old := range before.Servers {
		if current, ok := findServer(g.snapshot.Servers, old.ID); !ok {
			g.removed(now, old)
		} else if current.Draining && !old.Draining {
			g.readings.leaving(current)
		}
	}
	g.settle(now, r)
}

// adoptChanges takes changes that are complete up to asOf. Some may be known from a
// peer; applied again they change nothing, since the last one of a thing decides.
func (g *Gateway) adoptChanges(now time.Time, changes []catalog.Change, asOf catalog.Revision, r reading) {
	g.adoptServers(now, changes, asOf, r)
	g.snapshot.OperatorAsOf = max(g.snapshot.OperatorAsOf, asOf)
}

// adoptServers takes changes that are complete for the servers only.
func (g *Gateway) adoptServers(now time.Time, changes []catalog.Change, asOf catalog.Revision, r reading) {
	if asOf <= 0 {
		g.readings.refused(catalog.CheckOrder(g.snapshot.AsOf, asOf), r, asOf, g.snapshot.AsOf)
		return
	}
	slices.SortStableFunc(changes, func(a, b catalog.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	g.feed.note(changes, asOf)
	g.noteReading(now, g.snapshot.AsOf, asOf, r, zap.Bool("whole", false), zap.Int("changes", len(changes)))
	if len(changes) == 0 {
		g.snapshot.AsOf = max(g.snapshot.AsOf, asOf)
		return
	}
	before := g.snapshot
	if err := before.CheckRemovals(changes); err != nil {
		g.readings.refused(err, r, asOf, before.AsOf)
	}
	next, gone := g.snapshot.ApplyServers(changes, asOf)
	g.snapshot = next
	for _, old := range gone {
		g.removed(now, old)
	}
	g.noteLeaving(before, changes)
	g.groupFlushDue = g.groupFlushDue || r.origin == fromStore
	g.settle(now, r)
}

// removed notes a registration that ended. If it may only have lapsed, the
// server is kept, unless it said that it leaves.
func (g *Gateway) removed(now time.Time, s catalog.Server) {
	keep := g.contact.mayHaveLapsed(now) && !s.Draining
	if keep {
		g.lapsed[s.ID] = s
	}
	g.opts.Logger.Info("server_removed", zap.String("server", string(s.ID)), zap.String("service", string(s.Service)),
		zap.Bool("kept", keep))
}

func (g *Gateway) endLapses(now time.Time) {
	if len(g.lapsed) == 0 {
		return
	}
	over := !g.contact.mayHaveLapsed(now)
	for id := range g.lapsed {
		if over || hasServer(g.snapshot.Servers, id) {
			delete(g.lapsed, id)
			g.changed = true
		}
	}
}

// settle draws the conclusions from a changed catalog.
func (g *Gateway) settle(now time.Time, r reading) {
	g.changed = true
	g.noteWanted(now)
	if g.snapshot.Config == nil || g.snapshot.ConfigRevision == g.tableRevision {
		return
	}
	table, err := routing.NewTable(*g.snapshot.Config)
	if err != nil {
		g.opts.Logger.Error("config_refused", zap.Int64("version", g.snapshot.Config.Version), zap.Error(err))
		g.opts.Metrics.Counter("config_refused").Inc(1)
		return
	}
	g.table = table
	g.tableRevision = g.snapshot.ConfigRevision
	g.opts.Logger.Info("config_in_force", zap.Int64("version", table.Version()), zap.String("from", r.giver()),
		zap.Int64("revision", int64(g.tableRevision)), zap.Int("routes", len(g.snapshot.Config.Routes)))
	if r.origin == fromStore {
		// The others of the region wait for this one's word; at the next beat it
		// would reach them up to half a second later.
		g.mesh.FlushGroup(now)
	}
}

// noteWanted keeps when each version was first heard of. A process that has
// just started cannot know it and believes whichever peer says otherwise; with
// no catalog from a peer it takes what it finds for old.
func (g *Gateway) noteWanted(now time.Time) {
	for _, w := range g.snapshot.Wanted {
		if g.names[w.Model].Newest() >= w.Version {
			continue
		}
		named := g.heardNow(now, w.Version)
		if g.tableRevision == 0 {
			named.Since = now.Add(-g.opts.VersionTime)
		}
		g.setWanted(w.Model, named)
	}
}

// heardNow is a version that was not named when this process last knew.
func (g *Gateway) heardNow(now time.Time, version uint64) loading.NamedVersion {
	return loading.NamedVersion{
		Version: version,
		Since:   g.contact.newSince(now, g.opts.SoundTime),
		Assumed: !g.contact.knowsChanges(),
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
