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

// replicaReportTTL is how long an agent's report takes precedence over the server's
// registration. An agent reports several times within it.
const replicaReportTTL = 2 * time.Second

// Bounds on what is remembered of peers' reports, above what the largest fleet has, which is
// 3,500 engines and 9 models. Engines that the catalog lists are remembered in any case.
const (
	maxReplicas  = 8192
	maxModels    = 1024
	maxNameBytes = 256
)

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

// compose returns the message for another process.
func (g *Gateway) compose(now time.Time, to mesh.Peer, form mesh.Form) wire.Heartbeat {
	b := wire.Heartbeat{ID: g.opts.Self, Role: fleet.RoleEntry, Incarnation: g.opts.Incarnation, Brief: form == mesh.Brief}
	if to.SameGroup {
		if form == mesh.First {
			delete(g.sentLoads, to.ID)
		}
		b.LoadsComplete = g.sentLoads[to.ID] == 0
		b.Loads, g.sentLoads[to.ID] = g.balancer.LoadsSince(g.sentLoads[to.ID])
	} else {
		delete(g.sentLoads, to.ID)
	}
	b.ConfigVersion, b.ConfigRevision = g.snapshot.ConfigVersion(), g.snapshot.ConfigRevision
	g.addPlatformReport(now, &b, to, form)
	if b.Brief {
		return b
	}
	b.Place = g.opts.Place
	b.CallerAddr = g.opts.CallerAddr
	b.Ready = g.table != nil && !g.leaving
	b.Leaving = g.leaving
	b.AsOf = g.snapshot.AsOf
	b.OperatorAsOf = g.snapshot.OperatorAsOf
	b.ReachesPlatform = g.contact.isReachable(now)
	b.PlatformUnresponsive = g.isRefused(now)
	b.Wanted = g.wantedVersions(now)
	if form == mesh.First {
		g.manifests.reset(to.ID)
	}
	if to.Role == fleet.RoleAgent {
		b.Entries = g.mesh.LiveEntries(now, to.Region)
		g.composeForAgent(&b, to.ID, form == mesh.First)
		return b
	}
	g.addEvacuations(&b, to)
	b.Manifest = g.manifests.forEntry(to)
	b.Crashes = g.crashReportsFor(now, to, form)
	b.Limits = g.limitReportsFor(now, to, form)
	if to.SameGroup {
		b.Replicas = g.directReplicas(now)
	}
	return b
}

// directReplicas returns the engines whose agents report to this entry directly.
func (g *Gateway) directReplicas(now time.Time) []wire.Replica {
	var all []wire.Replica
	for _, r := range g.replicas {
		if r.direct && now.Sub(r.reportedAt) < replicaReportTTL {
			all = append(all, r.WithAge(now.Sub(r.reportedAt)))
		}
	}
	return all
}

// hasNewLoads reports whether the own loads have changed since they were last sent to an
// entry.
func (g *Gateway) hasNewLoads(to fleet.InstanceID) bool {
	return g.balancer.HasChangedSince(g.sentLoads[to])
}

func (g *Gateway) wantedVersions(now time.Time) []wire.WantedVersion {
	var all []wire.WantedVersion
	for model, names := range g.names {
		for _, n := range names {
			all = append(all, wire.WantedVersion{
				Model: model, Version: n.Version, AgeMS: now.Sub(n.Since).Milliseconds(), Assumed: n.Assumed})
		}
	}
	return all
}

// composeForAgent adds the source of the agent's weights, the members that load the same ones
// and what a predecessor of the agent reported. The list of members is sent only when it has
// changed.
func (g *Gateway) composeForAgent(b *wire.Heartbeat, to fleet.InstanceID, first bool) {
	addr, err := netip.ParseAddr(string(to))
	if err != nil {
		return // no agent has such an id
	}
	if first {
		b.LastReady = g.lastReady(addr)
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

// receive handles the message of another process.
func (g *Gateway) receive(now time.Time, from mesh.Peer, b wire.Heartbeat) {
	if b.Role == fleet.RoleEntry {
		g.receiveLoads(now, from, b)
		g.receiveEvacuations(now, b)
		g.receiveFromReader(now, b)
		g.receiveOperatorState(b)
		if b.Brief {
			return
		}
		if b.ReachesPlatform {
			g.contact.recordOthersAnswered(now)
		}
		g.receiveGroupLoads(now, b.Digests)
		for _, w := range b.Wanted {
			g.receiveWantedVersion(now, w)
		}
		g.receiveCrashes(now, from, b.Crashes)
		g.receiveLimits(now, from, b.Limits)
	}
	if b.Manifest != nil {
		g.receiveManifest(*b.Manifest, from.SameGroup)
	}
	for _, r := range b.Replicas {
		g.receiveReplica(now, r, b.Role == fleet.RoleAgent)
	}
}

// receiveLoads updates the load of another entry at each server.
//
// Entries that start together are all in one group until they know more than a small
// fleet. An entry that is in another group afterwards no longer sends its loads: if the
// last ones were kept, engines with free slots would count as full.
func (g *Gateway) receiveLoads(now time.Time, from mesh.Peer, b wire.Heartbeat) {
	if !from.SameGroup || b.LoadsComplete {
		g.balancer.RemoveEntry(b.ID)
	}
	if from.SameGroup {
		g.balancer.UpdateEntryLoads(now, b.ID, b.Loads)
	}
}

// receiveGroupLoads updates the total loads of the entries of other groups.
func (g *Gateway) receiveGroupLoads(now time.Time, digests []wire.Digest) {
	for _, d := range digests {
		if d.Group != g.mesh.Group() {
			g.balancer.UpdateGroupLoads(now, fleet.Ago(now, d.AgeMS), d.Group, d.Loads)
		}
	}
}

// receiveOperatorState updates the revision up to which the operator's configuration is known:
// if a peer has no configuration that is missing here, all that it knows is known here
// too. The first report of a missing configuration is logged: the time from that line to
// config_in_force is the time to fetch it.
func (g *Gateway) receiveOperatorState(b wire.Heartbeat) {
	if !g.lacksConfigOf(b) {
		g.snapshot.OperatorAsOf = max(g.snapshot.OperatorAsOf, b.OperatorAsOf)
	}
	if b.ConfigVersion <= max(g.newestPeerConfig, g.snapshot.ConfigVersion()) {
		return
	}
	g.newestPeerConfig = b.ConfigVersion
	g.opts.Logger.Info("config_heard", zap.Int64("version", b.ConfigVersion), zap.String("peer", string(b.ID)))
}

// lacksConfigOf reports whether a peer has a newer configuration. A peer of an earlier
// release reports the revision only.
func (g *Gateway) lacksConfigOf(b wire.Heartbeat) bool {
	if b.ConfigVersion == 0 {
		return b.ConfigRevision > g.snapshot.ConfigRevision
	}
	return b.ConfigVersion > g.snapshot.ConfigVersion()
}

// receiveWantedVersion handles a version that a peer reports. The peer may have known it
// for longer than this process, which then stops using the previous version earlier.
//
// A peer that has just started assumes that the versions it finds are old. If it is the
// first to report one, this process knows better, since its own catalog did not have the
// version.
func (g *Gateway) receiveWantedVersion(now time.Time, w wire.WantedVersion) {
	if _, isKnown := g.names[w.Model]; !isKnown && (len(g.names) >= maxModels || len(w.Model) > maxNameBytes) {
		g.opts.Metrics.Counter("reports_left_out").Inc(1)
		return
	}
	named := w.NamedVersion(now)
	if g.table != nil {
		named = g.names[w.Model].Reconcile(named, g.newlyNamedVersion(now, w.Version))
	}
	g.addWantedVersion(w.Model, named)
}

// wantedSkew is the transit time of a heartbeat. Times at which two processes learned of
// a version count as equal within it.
const wantedSkew = 50 * time.Millisecond

func (g *Gateway) addWantedVersion(model string, named loading.NamedVersion) {
	names, changed := g.names[model].Add(named, wantedSkew)
	if !changed {
		return
	}
	g.names[model] = names
	g.changed = true
	g.flushDue = true // the next heartbeat would reach agents 0.3 s later
	g.opts.Logger.Info("version_wanted", zap.String("model", model), zap.Uint64("version", named.Version),
		zap.Time("since", named.Since), zap.Bool("assumed", named.Assumed))
}

// mayRemember reports whether a report about another engine may be remembered.
func (g *Gateway) mayRemember(addr netip.Addr) bool {
	if len(g.replicas) < maxReplicas {
		return addr.Zone() == "" // which could be a text of any length
	}
	return slices.ContainsFunc(g.snapshot.Servers, func(s catalog.Server) bool { return s.Addr.Addr() == addr })
}

func (g *Gateway) receiveReplica(now time.Time, r wire.Replica, direct bool) {
	known, ok := g.replicas[r.Addr]
	if !ok && !g.mayRemember(r.Addr) {
		g.opts.Metrics.Counter("reports_left_out").Inc(1)
		return
	}
	if ok && !r.IsNewer(known.Replica, now.Sub(known.reportedAt)) && !r.IsSameReport(known.Replica) {
		return
	}
	g.replicas[r.Addr] = replica{Replica: r, reportedAt: now, direct: direct || known.direct && r.IsSameReport(known.Replica)}
	g.recordLoad(r)
	if r.ReadyInMS > 0 {
		g.readyAt[r.Addr] = now.Add(fleet.Span(r.ReadyInMS))
	} else {
		delete(g.readyAt, r.Addr)
	}
	if !ok || !r.HasSameEngineState(known.Replica) {
		g.changed = true
		g.groupFlushDue = g.groupFlushDue || direct
		g.opts.Logger.Info("replica", zap.String("addr", r.Addr.String()), zap.Uint64("loaded", r.Loaded),
			zap.Bool("changing", r.Reloading), zap.Bool("down", r.Unreachable), zap.Bool("leaving", r.Leaving), zap.Int("pace_percent", r.SlowdownPercent), zap.Bool("direct", direct))
	}
}

// publishInterval is the maximum time between two views. The parts of a view that are not
// from the catalog, such as which entries are silent, are not known more precisely.
// Computed at each tick, views of a hundred entries cost more than all calls.
const publishInterval = 100 * time.Millisecond

// publishIfDue publishes a new view if something has changed that must take effect
// immediately, or if the last view is older than publishInterval.
func (g *Gateway) publishIfDue(now time.Time) {
	v := g.view.Load()
	isSame := v != nil && !g.changed && !g.limitsChanged && v.table == g.table && v.leaving == g.leaving && v.stale == g.stale
	if isSame && now.Sub(g.published) < publishInterval {
		return
	}
	g.publish(now)
}

// publish publishes a new view for calls.
func (g *Gateway) publish(now time.Time) {
	g.published = now
	g.quarantine.DropExpired(now)
	entries := g.mesh.Entries(now)
	g.publishServers(now, 1+len(entries))
	g.publishLimits(now, entries)
	g.publishColdQuotas(now, entries)
	g.opts.Metrics.Gauge("calls_in_flight").Update(float64(g.inFlight.Load()))
	g.opts.Metrics.Gauge("memory_held_bytes").Update(float64(g.opts.Memory.Held()))
	if slices.ContainsFunc(entries, func(e mesh.Entry) bool { return e.ReachesPlatform && !e.Silent }) {
		g.contact.recordOthersAnswered(now)
	}
	rank := g.rank(now, entries)
	v := &view{
		table:           g.table,
		names:           maps.Clone(g.names),
		entries:         entries,
		rank:            rank,
		readsPlatform:   g.shouldReadPlatform(now, rank),
		asOf:            g.snapshot.AsOf,
		operatorAsOf:    g.operatorAsOf(),
		leaving:         g.leaving,
		isNew:           g.isNew(now),
		stale:           g.stale,
		nextEngineReady: g.nextReadyTimes(now),
		coldEntries:     g.cold.entries,
		isCurrent:       g.contact.isRecent(now) || g.mesh.HasLiveEntry(now),
		publishedAt:     now,
	}
	g.cancelObsoleteCall(g.view.Swap(v), v)
	sharing := g.budgetEntries()
	g.callsMu.Lock()
	defer g.callsMu.Unlock()
	for _, w := range g.budgets {
		w.SetEntries(sharing)
	}
}

// nextReadyTimes returns for each service and region when the next engine is expected to
// become ready. An entry that has just started expects engines to be ready soon: it has not
// received their reports, or they lost their weights in a power failure and load them
// again.
func (g *Gateway) nextReadyTimes(now time.Time) readyTimes {
	next := make(readyTimes)
	for _, s := range g.snapshot.Servers {
		if g.isLeaving(now, s) || g.evacuations.IsEvacuated(s.Zone) {
			continue
		}
		if at, ok := g.readyAt[s.Addr.Addr()]; ok {
			next.add(s.Service, g.opts.Regions[s.Zone], at)
		}
		switch {
		case !g.knowsAllAgents(now):
			next.add(s.Service, g.opts.Regions[s.Zone], g.started.Add(allAgentsReportWithin))
		case g.isNew(now) && !g.balancer.HasAvailableEngine(s.Service):
			next.add(s.Service, g.opts.Regions[s.Zone], g.expectedLoadTime(now))
		}
	}
	return next
}

// publishServers passes the servers to the balancer if one of them has changed. entries
// is the number of entries in the fleet.
func (g *Gateway) publishServers(now time.Time, entries int) {
	for addr, r := range g.replicas {
		if now.Sub(r.reportedAt) > replicaReportTTL {
			delete(g.replicas, addr)
			g.changed = true
		}
	}
	knowsAll := g.knowsAllAgents(now)
	if !g.changed && knowsAll == g.knewAllAgents {
		return
	}
	g.changed = false
	g.knewAllAgents = knowsAll
	var list []placement.Server
	for _, s := range g.snapshot.Servers {
		switch g.departures.Standing(now, s) {
		case catalog.Gone:
			continue
		case catalog.Leaving:
			s.Draining = true
		}
		list = append(list, g.placementServer(now, s, entries))
	}
	for id, lapsed := range g.lapsed {
		if !hasServer(g.snapshot.Servers, id) {
			list = append(list, g.placementServer(now, lapsed, entries))
		}
	}
	g.dropUnlistedLoads(list)
	g.applyColdTimes(now, list)
	g.detectReplaced(now, list)
	g.balancer.SetServers(now, list)
	g.limitsChanged = true // limits of servers that are listed again
	g.limits.DropUnlisted(now, func(id fleet.InstanceID) bool {
		return slices.ContainsFunc(list, func(s placement.Server) bool { return s.ID == id })
	})
	g.opts.Backend.Retain(list)
}

const (
	// idleConnectionShare is the share of the connections accepted by a server that all
	// entries together may keep idle. The rest is for connections in use.
	idleConnectionShare = 0.5
	// maxIdleConnections bounds the idle connections of one entry to a server whose limit
	// is high or unknown: as many as the requests that it is sent at once.
	maxIdleConnections = 32
)

// idleConnections returns how many idle connections this entry may keep to a server.
func (g *Gateway) idleConnections(service fleet.ServiceName, entries int) int {
	if g.table == nil {
		return maxIdleConnections
	}
	s := g.table.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return maxIdleConnections
	}
	return min(maxIdleConnections, max(1, int(idleConnectionShare*float64(s.MaxConnections))/entries))
}

// placementServer combines the registration of a server with its agent's report, which is
// newer. Once a registration has proved wrong, the reports of all agents are awaited. After a
// report has expired, the registration counts if it names the load that was reported as ready.
func (g *Gateway) placementServer(now time.Time, s catalog.Server, entries int) placement.Server {
	out := placement.Server{
		ID: s.ID, Service: s.Service, Addr: s.Addr, Slots: s.Slots,
		Connections:   g.idleConnections(s.Service, entries),
		Place:         fleet.Place{Zone: s.Zone, Region: g.opts.Regions[s.Zone]},
		LoadedVersion: placement.ModelVersion(s.Loaded),
		Leaving:       s.Draining,
		Born:          s.Born,
		Evacuated:     g.evacuations.IsEvacuated(s.Zone),
		ColdUntil:     g.coldAfterEvacuation(s),
	}
	if !g.isEngine(s.Service) {
		return out
	}
	r, reported := g.replicas[s.Addr.Addr()]
	switch {
	case !reported:
		out.Reloading = g.suspectsRegistrations && !g.knowsAllAgents(now) || g.isUnverified(s)
	case predatesRegistration(r.Replica, s):
	case g.isSuperseded(now, r.Replica, s):
		out.Reloading = true
	default:
		out.Born = max(r.Born, s.Born)
		out.LoadedVersion = placement.ModelVersion(r.Loaded)
		out.Leaving = s.Draining || r.Leaving
		out.Reloading = r.Reloading
		out.Unreachable = r.Unreachable
		out.Slowdown = float64(r.SlowdownPercent) / 100
	}
	return out
}

// isSuperseded reports whether a registration is of an earlier start of the server than
// its agent reports. The server may have another ID by now and would decline calls for
// its predecessor, so while the platform responds, the next registration is awaited.
func (g *Gateway) isSuperseded(now time.Time, r wire.Replica, s catalog.Server) bool {
	return s.Born != 0 && r.Born > s.Born && g.contact.isRecent(now) && !g.contact.mayHaveLapsed(now)
}

// predatesRegistration reports whether an agent's report is of a start of the server
// before the registered one. This happens if the agent is cut off and its last report has
// not expired yet.
func predatesRegistration(r wire.Replica, s catalog.Server) bool {
	return r.Born != 0 && r.Born < s.Born
}

func (g *Gateway) isEngine(name fleet.ServiceName) bool {
	if g.table == nil {
		return false
	}
	service := g.table.Service(name)
	return service != nil && service.Engine != nil
}
