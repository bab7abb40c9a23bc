package gateway

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/placement"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/supply"
	"chivespindle.example/daemon/wire"
)

// replicaLife is how long an agent's word counts for more than the server's
// registration. An agent tells several times within it.
const replicaLife = 2 * time.Second

// ServeStream implements peer.Handler.
func (g *Gateway) ServeStream(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	switch kind {
	case peer.KindGossip:
		g.mesh.Serve(ctx, from, s)
	case peer.KindConfig:
		g.serveCatalog(ctx, s)
	default:
		s.Abort()
	}
}

// compose returns what another process is told.
func (g *Gateway) compose(now time.Time, to mesh.Peer, form mesh.Form) wire.Heartbeat {
	b := wire.Heartbeat{ID: g.opts.Self, Role: fleet.RoleEntry, Incarnation: g.opts.Incarnation, Brief: form == mesh.Brief}
	if to.SameGroup {
		if form == mesh.First {
			delete(g.sentLoads, to.ID)
		}
		b.LoadsComplete = g.sentLoads[to.ID] == 0
		b.Loads, g.sentLoads[to.ID] = g.scheduler.LoadsSince(g.sentLoads[to.ID])
	} else {
		delete(g.sentLoads, to.ID)
	}
	b.ConfigRevision = g.snapshot.ConfigRevision
	g.tellRegion(now, &b, to, form)
	if b.Brief {
		return b
	}
	b.Place = g.opts.Place
	b.CallerAddr = g.opts.CallerAddr
	b.Ready = g.table != nil && !g.leaving
	b.Leaving = g.leaving
	b.AsOf = g.snapshot.AsOf
	b.OperatorAsOf = g.snapshot.OperatorAsOf
	b.ReachesPlatform = g.contact.reaches(now)
	b.PlatformUnresponsive = g.isTurnedAway(now)
	b.Wanted = g.wantedNow(now)
	if form == mesh.First {
		g.manifests.lost(to.ID)
	}
	if to.Role == fleet.RoleAgent {
		b.Entries = g.mesh.LiveEntries(now, to.Region)
		g.composeForAgent(&b, to.ID, form == mesh.First)
		return b
	}
	b.Manifest = g.manifests.forEntry(to)
	b.Crashes = g.crashReportsFor(now, to, form)
	b.Limits = g.limitReportsFor(now, to, form)
	if to.SameGroup {
		b.Replicas = g.directReplicas(now)
	}
	return b
}

// directReplicas are the engines whose agents tell this entry of them.
func (g *Gateway) directReplicas(now time.Time) []wire.Replica {
	var all []wire.Replica
	for _, r := range g.replicas {
		if r.direct && now.Sub(r.reportedAt) < replicaLife {
			all = append(all, r.WithAge(now.Sub(r.reportedAt)))
		}
	}
	return all
}

// hasNews reports whether the own loads have changed since an entry was told.
func (g *Gateway) hasNews(to fleet.InstanceID) bool {
	return g.scheduler.HasChangedSince(g.sentLoads[to])
}

func (g *Gateway) wantedNow(now time.Time) []wire.WantedVersion {
	var all []wire.WantedVersion
	for model, names := range g.names {
		for _, n := range names {
			all = append(all, wire.WantedVersion{
				Model: model, Version: n.Version, AgeMS: now.Sub(n.Since).Milliseconds(), Assumed: n.Assumed})
		}
	}
	return all
}

// composeForAgent adds where the agent's weights come from and who else wants
// them. The list of members is sent when it has changed.
func (g *Gateway) composeForAgent(b *wire.Heartbeat, to fleet.InstanceID, first bool) {
	addr, err := netip.ParseAddr(string(to))
	if err != nil {
		return // no process of ours has such an id
	}
	plan, ok := supply.NewPlan(g.snapshot, g.opts.Regions, addr)
	if !ok {
		return
	}
	b.Supply = &plan.Supply
	b.Manifest = g.manifests.forAgent(to, plan.Supply.Model)
	if first || g.sentMembersDigest[to] != plan.Digest {
		b.Members = plan.Members
		g.sentMembersDigest[to] = plan.Digest
	}
}

// heard takes what another process tells.
func (g *Gateway) heard(now time.Time, from mesh.Peer, b wire.Heartbeat) {
	if b.Role == fleet.RoleEntry {
		g.heardLoads(now, from, b)
		g.heardReader(now, b)
		g.heardRevision(b)
		if b.Brief {
			return
		}
		if b.ReachesPlatform {
			g.contact.othersReach(now)
		}
		g.heardGroups(now, b.Digests)
		for _, w := range b.Wanted {
			g.heardWanted(now, w)
		}
		g.receiveCrashes(now, from, b.Crashes)
		g.receiveLimits(now, from, b.Limits)
	}
	if b.Manifest != nil {
		g.heardManifest(*b.Manifest, from.SameGroup)
	}
	for _, r := range b.Replicas {
		g.heardReplica(now, r, b.Role == fleet.RoleAgent)
	}
}

// heardLoads takes what another entry has at each server.
//
// Entries that start together are all near each other until they know of more
// than a small fleet. One that is in another group afterwards tells its loads no
// more: those that it told last would stay, and engines with room pass for full.
func (g *Gateway) heardLoads(now time.Time, from mesh.Peer, b wire.Heartbeat) {
	if !from.SameGroup || b.LoadsComplete {
		g.scheduler.RemoveEntry(b.ID)
	}
	if from.SameGroup {
		g.scheduler.UpdateEntryLoads(now, b.ID, b.Loads)
	}
}

// heardGroups takes what the entries of other groups have together.
func (g *Gateway) heardGroups(now time.Time, digests []wire.Digest) {
	for _, d := range digests {
		if d.Group != g.mesh.Group() {
			g.scheduler.UpdateGroupLoads(now, now.Add(-time.Duration(d.AgeMS)*time.Millisecond), d.Group, d.Loads)
		}
	}
}

// heardRevision takes up to which revision a peer knows what the operator wrote.
// If that holds no configuration that is missing here, it is known here too. The
// first word of one that is missing is logged: from it to config_in_force is
// what fetching it takes.
func (g *Gateway) heardRevision(b wire.Heartbeat) {
	if b.ConfigRevision <= g.snapshot.ConfigRevision {
		g.snapshot.OperatorAsOf = max(g.snapshot.OperatorAsOf, b.OperatorAsOf)
	}
	if b.ConfigRevision <= max(g.newestPeerRevision, g.snapshot.ConfigRevision) {
		return
	}
	g.newestPeerRevision = b.ConfigRevision
	g.opts.Logger.Info("config_heard", zap.Int64("revision", int64(b.ConfigRevision)), zap.String("peer", string(b.ID)))
}

// heardWanted takes a version that a peer knows of. The peer may have known it
// for longer than this process, which then stops to use the old one earlier.
//
// A peer that has just started takes what it finds for old. If it is the first
// to tell, this process knows better: its own catalog did not have the version.
func (g *Gateway) heardWanted(now time.Time, w wire.WantedVersion) {
	named := w.NamedVersion(now)
	if g.tableRevision != 0 {
		named = g.names[w.Model].Reconcile(named, g.heardNow(now, w.Version))
	}
	g.setWanted(w.Model, named)
}

// wantedSkew is the time on the way of a beat, within which two processes'
// knowledge counts as equally old.
const wantedSkew = 50 * time.Millisecond

func (g *Gateway) setWanted(model string, named loading.NamedVersion) {
	names, changed := g.names[model].Add(named, wantedSkew)
	if !changed {
		return
	}
	g.names[model] = names
	g.changed = true
	g.flushDue = true // agents heard of it 0.3 s later with their next heartbeat
	g.opts.Logger.Info("version_wanted", zap.String("model", model), zap.Uint64("version", named.Version),
		zap.Time("since", named.Since), zap.Bool("assumed", named.Assumed))
}

func (g *Gateway) heardReplica(now time.Time, r wire.Replica, direct bool) {
	known, ok := g.replicas[r.Addr]
	if ok && !r.IsNewer(known.Replica, now.Sub(known.reportedAt)) && !r.IsSameReport(known.Replica) {
		return
	}
	g.replicas[r.Addr] = replica{Replica: r, reportedAt: now, direct: direct || known.direct && r.IsSameReport(known.Replica)}
	if r.ReadyInMS > 0 {
		g.readyAt[r.Addr] = now.Add(time.Duration(r.ReadyInMS) * time.Millisecond)
	} else {
		delete(g.readyAt, r.Addr)
	}
	if !ok || !r.HasSameEngineState(known.Replica) {
		g.changed = true
		g.groupFlushDue = g.groupFlushDue || direct
		g.opts.Logger.Info("replica", zap.String("addr", r.Addr.String()), zap.Uint64("loaded", r.Loaded),
			zap.Bool("changing", r.Reloading), zap.Bool("down", r.Unreachable), zap.Int("pace_percent", r.SlowdownPercent), zap.Bool("direct", direct))
	}
}

// publishEvery is the longest pause between two views. What a view holds beside
// the catalog is known to no more than that: entries that fell silent, say. Made
// at each tick, views of a hundred entries cost more than all calls.
const publishEvery = 100 * time.Millisecond

// publishDue gives calls a new view if anything has changed that must be in
// force at once, or it is time.
func (g *Gateway) publishDue(now time.Time) {
	v := g.view.Load()
	isSame := v != nil && !g.changed && !g.limitsChanged && v.table == g.table && v.leaving == g.leaving && v.stale == g.stale
	if isSame && now.Sub(g.published) < publishEvery {
		return
	}
	g.publish(now)
}

// publish gives calls a new view.
func (g *Gateway) publish(now time.Time) {
	g.published = now
	g.quarantine.DropExpired(now)
	entries := g.mesh.Entries(now)
	g.publishServers(now, 1+len(entries))
	g.publishLimits(now, entries)
	g.opts.Metrics.Gauge("calls_in_flight").Update(float64(g.inFlight.Load()))
	if slices.ContainsFunc(entries, func(e mesh.Entry) bool { return e.ReachesPlatform && !e.Silent }) {
		g.contact.othersReach(now)
	}
	rank := g.rank(now, entries)
	v := &view{
		table:           g.table,
		names:           maps.Clone(g.names),
		entries:         entries,
		rank:            rank,
		readsPlatform:   g.reads(now, rank),
		asOf:            g.snapshot.AsOf,
		operatorAsOf:    g.snapshot.OperatorAsOf,
		leaving:         g.leaving,
		isNew:           g.isNew(now),
		stale:           g.stale,
		nextEngineReady: g.soonest(now),
		isCurrent:       g.contact.recent(now) || g.mesh.HasLiveEntry(now),
	}
	g.followAnew(g.view.Swap(v), v)
	slack := g.slack()
	g.callsMu.Lock()
	defer g.callsMu.Unlock()
	for _, w := range g.budgets {
		w.SetSlack(slack)
	}
}

// soonest returns for each service when the first engine is expected to be
// ready that is not yet. An entry that has just started takes them for ready
// soon: it has not heard of them, or they have lost their weights with the power
// and load.
func (g *Gateway) soonest(now time.Time) map[fleet.ServiceName]time.Time {
	soonest := make(map[fleet.ServiceName]time.Time)
	note := func(service fleet.ServiceName, at time.Time) {
		if known, ok := soonest[service]; !ok || at.Before(known) {
			soonest[service] = at
		}
	}
	for _, s := range g.snapshot.Servers {
		if at, ok := g.readyAt[s.Addr.Addr()]; ok {
			note(s.Service, at)
		}
		switch {
		case !g.knowsAllAgents(now):
			note(s.Service, g.started.Add(allAgentsReportWithin))
		case g.isNew(now) && !g.scheduler.HasAvailableEngine(s.Service):
			note(s.Service, g.expectedLoadTime(now))
		}
	}
	return soonest
}

// publishServers gives the board the servers if one of them has changed, in a
// fleet of so many entries.
func (g *Gateway) publishServers(now time.Time, entries int) {
	for addr, r := range g.replicas {
		if now.Sub(r.reportedAt) > replicaLife {
			delete(g.replicas, addr)
			g.changed = true
		}
	}
	hearsAll := g.knowsAllAgents(now)
	if !g.changed && hearsAll == g.knewAllAgents {
		return
	}
	g.changed = false
	g.knewAllAgents = hearsAll
	var list []placement.Server
	for _, s := range g.snapshot.Servers {
		list = append(list, g.server(now, s, entries))
	}
	for id, lapsed := range g.lapsed {
		if !hasServer(g.snapshot.Servers, id) {
			list = append(list, g.server(now, lapsed, entries))
		}
	}
	g.noteReplaced(now, list)
	g.scheduler.SetServers(now, list)
	g.limitsChanged = true // those of servers that are listed anew
	g.limits.DropUnlisted(now, func(id fleet.InstanceID) bool {
		return slices.ContainsFunc(list, func(s placement.Server) bool { return s.ID == id })
	})
	g.opts.Backend.Retain(list)
}

const (
	// keptShare is the part of the connections that a server accepts that all
	// entries together may keep unused. The rest is for those in use.
	keptShare = 0.5
	// keptMost bounds the unused connections of one entry to a server whose limit
	// is high or not told: as many as it is given requests at once.
	keptMost = 32
)

// keptConnections is this entry's part of the unused connections to a server.
func (g *Gateway) keptConnections(service fleet.ServiceName, entries int) int {
	if g.table == nil {
		return keptMost
	}
	s := g.table.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return keptMost
	}
	return min(keptMost, max(1, int(keptShare*float64(s.MaxConnections))/entries))
}

// server puts together what the platform and the agent tell of a server. What
// the agent says is newer, and is waited for once a registration has proved wrong.
func (g *Gateway) server(now time.Time, s catalog.Server, entries int) placement.Server {
	out := placement.Server{
		ID: s.ID, Service: s.Service, Addr: s.Addr, Slots: s.Slots,
		Connections:   g.keptConnections(s.Service, entries),
		Place:         fleet.Place{Zone: s.Zone, Region: g.opts.Regions[s.Zone]},
		LoadedVersion: placement.ModelVersion(s.Loaded),
		Leaving:       s.Draining,
		Born:          s.Born,
	}
	if !g.isEngine(s.Service) {
		return out
	}
	r, reported := g.replicas[s.Addr.Addr()]
	switch {
	case !reported:
		out.Reloading = g.suspectsRegistrations && !g.knowsAllAgents(now)
	case isOfEarlierStart(r.Replica, s):
	case g.isSuperseded(now, r.Replica, s):
		out.Reloading = true
	default:
		out.Born = max(r.Born, s.Born)
		out.LoadedVersion = placement.ModelVersion(r.Loaded)
		out.Reloading = r.Reloading
		out.Unreachable = r.Unreachable
		out.Slowdown = float64(r.SlowdownPercent) / 100
	}
	return out
}

// isSuperseded reports whether a registration is of an earlier start of the server
// than its agent reports. The server may have another ID by now and would decline
// what is meant for its predecessor, so its next registration is waited for while the
// platform answers.
func (g *Gateway) isSuperseded(now time.Time, r wire.Replica, s catalog.Server) bool {
	return s.Born != 0 && r.Born > s.Born && g.contact.recent(now) && !g.contact.mayHaveLapsed(now)
}

// isOfEarlierStart reports whether the agent's word is of a start of the server
// before the registered one: the agent is cut off, say, and what it told last
// counts on for a while.
func isOfEarlierStart(r wire.Replica, s catalog.Server) bool { return r.Born != 0 && r.Born < s.Born }

func (g *Gateway) isEngine(name fleet.ServiceName) bool {
	if g.table == nil {
		return false
	}
	service := g.table.Service(name)
	return service != nil && service.Engine != nil
}
