package gateway

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/coldstart"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/routing"
	"chivespindle.example/daemon/mesh"
)

const (
	// entryRetention is how long an entry that is no longer known keeps its share of the
	// cold servers. It may run on behind a partition. One that has announced that it leaves
	// keeps its share for the grace period of its stop, during which it still sends.
	entryRetention = 5 * time.Minute
	// uninformedPeriod is how long after its start an entry that has seeds counts as
	// uninformed: the lists of entries that it has by then may be of entries that have
	// just started as well.
	uninformedPeriod = time.Second
	// minLoggedExtension is by how much later a cold time must end to be logged again.
	minLoggedExtension = 500 * time.Millisecond
	// sourceEvacuation is the source of a cold time that no observation of the server
	// explains: its zone was evacuated.
	sourceEvacuation coldstart.Source = "evacuation"
)

// coldServers is the state of an entry concerning cold servers. Only registry may be used
// outside the control loop.
type coldServers struct {
	registry *coldstart.Registry
	// byID holds the servers of the latest list that are cold.
	byID map[fleet.InstanceID]coldServer
	// sharesUntil is until when each other entry keeps its share.
	sharesUntil map[fleet.InstanceID]time.Time
	entries     coldstart.Entries
	// changed is true until the quotas have been recomputed.
	changed bool
	seeds   []netip.Addr
}

type coldServer struct {
	placement.Server
	source coldstart.Source
	rate   coldstart.Rate
}

func newColdServers(seeds []netip.Addr) coldServers {
	return coldServers{
		registry: coldstart.NewRegistry(), seeds: seeds,
		byID: make(map[fleet.InstanceID]coldServer), sharesUntil: make(map[fleet.InstanceID]time.Time),
	}
}

// coldStartOf returns how the servers of a service start; nil if they are never cold.
func coldStartOf(table *routing.Table, service fleet.ServiceName) *routing.ColdStart {
	if table == nil {
		return nil
	}
	if s := table.Service(service); s != nil {
		return s.ColdStart
	}
	return nil
}

// hasColdStarts reports whether any service has servers that are cold after their start.
func hasColdStarts(table *routing.Table) bool {
	return table != nil && slices.ContainsFunc(table.Services(), func(s routing.Service) bool { return s.ColdStart != nil })
}

func (g *Gateway) coldRate(c *routing.ColdStart) coldstart.Rate {
	return coldstart.Rate{PerSecond: c.PerSecond, Overage: g.opts.ColdOverage, Slack: g.opts.ColdSlack}
}

// applyColdTimes sets until when the servers of a list are cold. It keeps a later time that
// is set already.
func (g *Gateway) applyColdTimes(now time.Time, list []placement.Server) {
	g.observeColdStarts(now, list)
	g.cold.changed = true
	before := g.cold.byID
	g.cold.byID = make(map[fleet.InstanceID]coldServer)
	for i := range list {
		s := &list[i]
		settings := coldStartOf(g.table, s.Service)
		if settings == nil {
			s.ColdUntil = time.Time{}
			continue
		}
		source := sourceEvacuation
		if until, from := g.cold.registry.Until(s.ID); until.After(s.ColdUntil) {
			s.ColdUntil, source = until, from
		}
		if !now.Before(s.ColdUntil) {
			continue
		}
		g.cold.byID[s.ID] = coldServer{Server: *s, source: source, rate: g.coldRate(settings)}
		if known, ok := before[s.ID]; !ok || s.ColdUntil.Sub(known.ColdUntil) > minLoggedExtension {
			g.log.serverCold(*s, source)
		}
	}
	for id, s := range before {
		if _, isCold := g.cold.byID[id]; !isCold {
			g.log.serverColdEnded(s.Server)
		}
	}
}

// observeColdStarts records the starts and the registrations of the listed servers. A
// server that its agent reports to have restarted has not registered since, so that its
// registration states nothing about this start.
func (g *Gateway) observeColdStarts(now time.Time, list []placement.Server) {
	if g.snapshot.AsOf == 0 || !hasColdStarts(g.table) {
		return
	}
	born := make(map[fleet.InstanceID]fleet.StartTime, len(list))
	for _, s := range list {
		born[s.ID] = s.Born
	}
	observed := slices.Clone(g.snapshot.Servers)
	for i := range observed {
		s := &observed[i]
		if known, ok := born[s.ID]; ok && known != s.Born {
			s.Born, s.StatesColdLeft = known, false
		}
	}
	durationOf := func(service fleet.ServiceName) time.Duration {
		if c := coldStartOf(g.table, service); c != nil {
			return c.Duration
		}
		return 0
	}
	for _, s := range g.cold.registry.Update(now, observed, durationOf) {
		if coldStartOf(g.table, s.Service) != nil {
			g.log.invalidRegisteredCold(s)
		}
	}
}

// publishColdQuotas passes this entry's quotas for the cold servers to the balancer. They
// are computed only when the known entries or the cold servers have changed.
func (g *Gateway) publishColdQuotas(now time.Time, others []mesh.Entry) {
	if !hasColdStarts(g.table) {
		return
	}
	for id, s := range g.cold.byID {
		if !now.Before(s.ColdUntil) {
			delete(g.cold.byID, id)
			g.log.serverColdEnded(s.Server)
			g.cold.changed = true
		}
	}
	g.opts.Metrics.Gauge("servers_cold").Update(float64(len(g.cold.byID)))
	g.updateColdEntries(now, others)
	if !g.cold.changed {
		return
	}
	g.cold.changed = false
	quotas := make(map[fleet.InstanceID]coldstart.Quota, len(g.cold.byID))
	for id, s := range g.cold.byID {
		quotas[id] = g.cold.entries.Quota(id, s.rate)
	}
	g.balancer.SetColdQuotas(now, quotas)
}

// updateColdEntries updates the entries among which the cold servers are shared.
func (g *Gateway) updateColdEntries(now time.Time, others []mesh.Entry) {
	for _, e := range others {
		until, hasShare := g.cold.sharesUntil[e.ID]
		switch {
		case !e.Leaving:
			g.cold.sharesUntil[e.ID] = now.Add(entryRetention)
		case hasShare && until.Sub(now) > g.opts.GracePeriod:
			g.cold.sharesUntil[e.ID] = now.Add(g.opts.GracePeriod)
		}
	}
	maps.DeleteFunc(g.cold.sharesUntil, func(_ fleet.InstanceID, until time.Time) bool { return !now.Before(until) })
	age := now.Sub(g.started)
	hasSeeds := slices.ContainsFunc(g.cold.seeds, func(addr netip.Addr) bool { return addr != g.opts.Addr })
	current := coldstart.Entries{
		Self:         g.opts.Self,
		Others:       slices.Sorted(maps.Keys(g.cold.sharesUntil)),
		IsNew:        age < coldstart.StartupPeriod,
		IsUninformed: hasSeeds && (len(g.cold.sharesUntil) == 0 || age < uninformedPeriod),
	}
	known := g.cold.entries
	if current.IsNew != known.IsNew || current.IsUninformed != known.IsUninformed || !slices.Equal(current.Others, known.Others) {
		g.cold.changed = true
	}
	g.cold.entries = current
}

// recordCold records the cold time that a response states about its server. It applies from
// the next call on. sent is when the call was sent.
func (g *Gateway) recordCold(sent time.Time, server placement.Server, stated ServerCold) {
	v := g.view.Load()
	if v == nil {
		return
	}
	settings := coldStartOf(v.table, server.Service)
	switch {
	case settings == nil:
		return
	case stated.Malformed != "":
		g.log.malformedCold(server, stated.Malformed)
		return
	case !stated.Stated:
		return
	case stated.Left > coldstart.MaxLeft:
		g.log.malformedCold(server, stated.Left.String())
		return
	}
	now := time.Now()
	until, changed := g.cold.registry.RecordStated(now, sent, server.ID, stated.Left)
	if !changed {
		return
	}
	if stated.Left > 0 {
		g.balancer.ExtendCold(server.ID, until, v.coldEntries.Quota(server.ID, g.coldRate(settings)))
	}
	g.post(func(time.Time) { g.changed = true })
}

func (l *requestLog) serverCold(server placement.Server, source coldstart.Source) {
	if l.allowed() {
		l.logger.Info("server_cold", serverFields(server, zap.String("source", string(source)), zap.Time("until", server.ColdUntil))...)
	}
}

func (l *requestLog) serverColdEnded(server placement.Server) {
	if l.allowed() {
		l.logger.Info("server_cold_ended", serverFields(server)...)
	}
}

// malformedCold logs a cold time in a response that is invalid. It has no effect.
func (l *requestLog) malformedCold(server placement.Server, text string) {
	l.metrics.Counter("server_cold_malformed").Inc(1)
	if l.allowed() {
		l.logger.Warn("server_cold_malformed", serverFields(server, zap.String("source", string(coldstart.FromResponse)), zap.String("left", shorten(text)))...)
	}
}

// invalidRegisteredCold logs a cold time in a registration that is invalid. That of the
// service applies instead.
func (l *requestLog) invalidRegisteredCold(s catalog.Server) {
	l.metrics.Counter("server_cold_malformed").Inc(1)
	if l.allowed() {
		l.logger.Warn("server_cold_malformed", zap.String("server", string(s.ID)), zap.Stringer("addr", s.Addr),
			zap.String("source", string(coldstart.FromRegistration)), zap.Duration("left", s.ColdLeft))
	}
}
