package loader

import (
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/loading"
	"chivespindle.example/daemon/wire"
)

// The engine is reported as ready only while its load is verified: entries send calls to
// whatever is reported as ready.

const (
	// predecessorWait is how long after its start an agent waits for an entry to report the
	// load that its predecessor has verified. Until then it reports nothing about the engine,
	// and entries use the predecessor's reports.
	predecessorWait = 700 * time.Millisecond
	// predecessorTTL is how long after its start an agent considers what entries know of its
	// predecessor. An entry that was cut off may report later what was true long ago.
	predecessorTTL = 3 * time.Second
)

// foundLoad is what the engine had loaded at the agent's start.
type foundLoad struct {
	isKnown    bool         // the engine's first report was read
	load       loading.Load // that it named
	isComplete bool         // the load was not in progress
	// reports are what entries know of the predecessor's load, isConfirmed whether the
	// predecessor has reported this load as ready.
	reports     []wire.LastReady
	isConfirmed bool
}

// awaitsPredecessor reports whether an entry may still report what the agent's predecessor
// has verified.
func (l *Loader) awaitsPredecessor(now time.Time) bool {
	return !l.hasHeartbeat && now.Sub(l.started) < predecessorWait
}

// handleLastReady processes what an entry knows of the load that the agent's predecessor has
// verified. An entry sends it in its first heartbeat.
func (l *Loader) handleLastReady(now time.Time, last *wire.LastReady) {
	if last != nil && !l.isOwn(last) && now.Sub(l.started) < predecessorTTL {
		l.found.reports = append(l.found.reports, *last)
		l.judgeFound(*last)
	}
	if !l.hasHeartbeat {
		l.hasHeartbeat = true
		l.mesh.Flush(now)
	}
}

// isOwn reports whether only this process has reported what an entry knows of the load.
func (l *Loader) isOwn(last *wire.LastReady) bool {
	if last.Loaded == 0 {
		return last.ReloadingBy == l.opts.Incarnation
	}
	return last.Incarnation == l.opts.Incarnation
}

// judgeFound confirms or rejects the load that the engine had at the agent's start: the
// predecessor must have reported it as ready. An entry may not have received its last report,
// so a confirmation prevails.
func (l *Loader) judgeFound(last wire.LastReady) {
	if !l.found.isComplete || l.engine.Load() != l.found.load || l.ordering {
		return
	}
	l.found.isConfirmed = l.found.isConfirmed || isReadyLoad(last, l.found.load)
	switch standing := l.verification.Of(l.engine); {
	case l.found.isConfirmed:
		l.verification.Set(l.found.load, loading.Verified)
	case standing == loading.Verified:
		l.reject(l.found.load, loadRejected.New("the previous agent last reported version %d as ready", last.Loaded))
	}
	l.updateMustReload()
}

// isReadyLoad reports whether a load is the one that was last reported as ready.
func isReadyLoad(last wire.LastReady, load loading.Load) bool {
	isCounted := last.HasOrders && load.Orders.Reported
	return last.Loaded == load.Version && last.Born == load.Born && !last.IsReplaced && (!isCounted || last.Orders == load.Orders.Count)
}

// updateStanding decides what is known of the load in a new report of the engine.
func (l *Loader) updateStanding() {
	e := l.engine
	if !l.found.isKnown {
		l.found.isKnown = true
		l.found.load = e.Load()
		l.found.isComplete = e.Loaded != 0 && !e.Busy
	}
	if e.Loaded != 0 && l.verification.Of(e) == loading.Unverified && l.canJudge(e) {
		l.judgeLoad(e)
	}
	l.updateMustReload()
}

// judgeWithSupply judges the engine's load once the number of layers is known.
func (l *Loader) judgeWithSupply(now time.Time) {
	if l.found.isKnown && l.verification.Of(l.engine) == loading.Unverified {
		l.updateStanding()
		l.reportChanges(now)
	}
}

func (l *Loader) updateMustReload() {
	l.engine.MustReload = l.engine.Loaded != 0 && l.verification.Of(l.engine) == loading.Rejected
}

// isReloading reports whether the engine must get no new requests: it has been ordered to
// load, or its load is not verified.
func (l *Loader) isReloading() bool {
	isUnverified := l.engine.Loaded != 0 && l.verification.Of(l.engine) != loading.Verified
	return isUnverified || l.plan.IsReloading(l.engine)
}

// canJudge reports whether the engine's load is complete and is not the one that an
// order of this process replaces. An agent that ended during a reload has left the first layer
// or all others; whether the first is the only one is known with the supply.
func (l *Loader) canJudge(e loading.Engine) bool {
	areLayersKnown := l.supply != nil || e.Layers.Target != 1
	return !l.ordering && !e.Busy && areLayersKnown && !l.plan.IsOrdered(e) && !l.verification.Supersedes(e)
}

// judgeLoad sets the standing of a load that this process has not ordered.
//
// Only what the engine has loaded when the agent starts is trusted: its predecessor has
// verified it, unless it died in between. An order of the predecessor that the engine reads
// later loads whatever is staged then.
func (l *Loader) judgeLoad(e loading.Engine) {
	switch {
	case l.isPartial(e):
		l.reject(e.Load(), loadRejected.New("only layers %d to %d are loaded", e.Layers.From, e.Layers.Target))
	case e.Orders.Reported && e.Orders.Count == 0:
		l.verification.Set(e.Load(), loading.Verified) // loaded by the engine itself
	case !l.found.isComplete || e.Load() != l.found.load:
		l.reject(e.Load(), loadRejected.New("another process has ordered the load"))
	default:
		l.verification.Set(l.found.load, loading.Verified)
		l.opts.Logger.Info("load_found", zap.Uint64("version", e.Loaded), zap.Uint64("orders", e.Orders.Count))
		for _, last := range l.found.reports {
			l.judgeFound(last)
		}
	}
}

// isPartial reports whether the engine has loaded only some of the model's layers.
func (l *Loader) isPartial(e loading.Engine) bool {
	layers := 0
	if l.supply != nil {
		layers = l.supply.Layers
	}
	return e.Layers.IsPartial(layers)
}

func (l *Loader) reject(load loading.Load, cause error) {
	l.verification.Set(load, loading.Rejected)
	l.opts.Metrics.Counter("loads_rejected").Inc(1)
	l.opts.Logger.Warn("load_rejected", zap.Uint64("version", load.Version), zap.Uint64("orders", load.Orders.Count), zap.Error(cause))
}

// canReload reports whether the engine can load the version again that it has loaded, if it
// has to.
func (l *Loader) canReload() bool {
	return !l.engine.MustReload || l.engine.Loaded != l.plan.Wanted() || l.supply.Layers >= minReloadLayers
}
