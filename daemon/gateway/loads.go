package gateway

import (
	"maps"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/placement"
	"chivespindle.example/daemon/wire"
)

// engineLoad is what agents have reported about the load of an engine. It outlives the
// reports: the platform lists a version as soon as the engine has loaded it, whether or not
// the agent has found the load to be complete.
type engineLoad struct {
	last wire.Replica
	// ready is the last report of the engine as ready, zero if there was none. isReplaced is
	// true if a later report was of another load.
	ready      wire.Replica
	isReplaced bool
	// reloadingBy is the incarnation of the first agent that has reported since that the
	// engine is reloading, 0 if none has.
	reloadingBy uint64
	// isDoubtLogged is true if the registration has been logged as unverified since the
	// last report.
	isDoubtLogged bool
}

// add returns the load after another report.
func (l engineLoad) add(r wire.Replica) engineLoad {
	if r.Incarnation == l.last.Incarnation && r.Seq < l.last.Seq {
		return l // arrived late, through another entry
	}
	born := l.last.Born
	l.last, l.isDoubtLogged = r, false
	switch {
	case r.Loaded != 0 && !r.Reloading:
		l.ready, l.isReplaced, l.reloadingBy = r, false, 0
	case r.Loaded == 0 && r.Unreachable: // the agent has not read the engine's state yet
		l.last.Born = born
	case l.ready.Loaded != 0 && !r.HasSameLoad(l.ready):
		l.isReplaced = true
	}
	if r.Reloading && l.reloadingBy == 0 {
		l.reloadingBy = r.Incarnation
	}
	return l
}

// isReady reports whether an agent has reported the engine as ready with a version, and
// with no other load since.
func (l engineLoad) isReady(version uint64) bool {
	return l.ready.Loaded != 0 && l.ready.Loaded == version && !l.isReplaced
}

// lastReady returns what an agent that has replaced another needs to know of its engine's
// load, nil if nothing is known.
func (g *Gateway) lastReady(addr netip.Addr) *wire.LastReady {
	load := g.loads[addr]
	if load.ready.Loaded == 0 && load.reloadingBy == 0 {
		return nil
	}
	return &wire.LastReady{
		Incarnation: load.ready.Incarnation, Loaded: load.ready.Loaded, Born: load.ready.Born,
		Orders: load.ready.Orders, HasOrders: load.ready.HasOrders,
		ReloadingBy: load.reloadingBy, IsReplaced: load.isReplaced,
	}
}

// recordLoad stores what a report says about the load of an engine. An agent that has never
// reached its engine knows nothing about it.
func (g *Gateway) recordLoad(r wire.Replica) {
	known, ok := g.loads[r.Addr]
	if ok || r.Loaded != 0 || !r.Unreachable {
		g.loads[r.Addr] = known.add(r)
	}
}

// isUnverified reports whether the registration of an engine names a load that no agent has
// reported as ready, although agents have reported the engine. Without a load it needs none.
func (g *Gateway) isUnverified(s catalog.Server) bool {
	addr := s.Addr.Addr()
	load, ok := g.loads[addr]
	if !ok || s.Loaded == 0 || predatesRegistration(load.last, s) || load.isReady(s.Loaded) {
		return false
	}
	if !load.isDoubtLogged {
		load.isDoubtLogged = true
		g.loads[addr] = load
		g.opts.Logger.Warn("registration_unverified", zap.String("server", string(s.ID)), zap.Uint64("registered", s.Loaded),
			zap.Uint64("ready", load.ready.Loaded), zap.Uint64("loaded", load.last.Loaded), zap.Bool("changing", load.last.Reloading))
	}
	return true
}

// dropUnlistedLoads drops the loads, and the times of being ready, of engines that are neither
// listed nor reported.
func (g *Gateway) dropUnlistedLoads(list []placement.Server) {
	isListed := make(map[netip.Addr]bool, len(list))
	for _, s := range list {
		isListed[s.Addr.Addr()] = true
	}
	isUnlisted := func(addr netip.Addr) bool {
		_, reported := g.replicas[addr]
		return !reported && !isListed[addr]
	}
	maps.DeleteFunc(g.loads, func(addr netip.Addr, _ engineLoad) bool { return isUnlisted(addr) })
	maps.DeleteFunc(g.readyAt, func(addr netip.Addr, _ time.Time) bool { return isUnlisted(addr) })
}
