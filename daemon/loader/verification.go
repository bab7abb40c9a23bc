package loader

import (
	"go.uber.org/zap"

	"chivespindle.example/core/loading"
)

// The engine is reported as ready only while its load is verified: entries send calls to
// whatever is reported as ready.

// updateStanding decides what is known of the load in a new report of the engine.
func (l *Loader) updateStanding() {
	isFirst := !l.hasJudged
	l.hasJudged = true
	if e := l.engine; e.Loaded != 0 && l.verification.Of(e) == loading.Unverified && l.isSettledLoad(e) {
		l.judgeLoad(e, isFirst)
	}
	l.updateMustReload()
}

func (l *Loader) updateMustReload() {
	l.engine.MustReload = l.engine.Loaded != 0 && l.verification.Of(l.engine) != loading.Verified
}

// isSettledLoad reports whether the engine's load is complete and is not the one that an
// order of this process replaces.
func (l *Loader) isSettledLoad(e loading.Engine) bool {
	return !l.ordering && !e.Busy && !l.plan.IsOrdered(e) && !l.verification.Supersedes(e)
}

// judgeLoad sets the standing of a load that this process has not ordered.
//
// Only what the engine has loaded when the agent starts is trusted: its predecessor has
// verified it, unless it died in between. An order of the predecessor that the engine reads
// later loads whatever is staged then.
func (l *Loader) judgeLoad(e loading.Engine, isFirst bool) {
	switch {
	case l.isPartial(e):
		l.reject(e.Load(), loadRejected.New("layers %d to %d of %d are loaded", e.Layers.From, e.Layers.Target, l.supply.Layers))
	case e.Orders.Reported && e.Orders.Count == 0:
		l.verification.Set(e.Load(), loading.Verified) // loaded by the engine itself
	case !isFirst:
		l.reject(e.Load(), loadRejected.New("another process has ordered the load"))
	default:
		l.verification.Set(e.Load(), loading.Verified)
		l.opts.Logger.Info("load_found", zap.Uint64("version", e.Loaded), zap.Uint64("orders", e.Orders.Count))
	}
}

// isPartial reports whether the engine has loaded only some of the model's layers.
func (l *Loader) isPartial(e loading.Engine) bool {
	return l.supply != nil && e.Layers.IsPartial(l.supply.Layers)
}

func (l *Loader) reject(load loading.Load, cause error) {
	l.verification.Set(load, loading.Rejected)
	l.opts.Metrics.Counter("loads_rejected").Inc(1)
	l.opts.Logger.Warn("load_rejected", zap.Uint64("version", load.Version), zap.Uint64("orders", load.Orders.Count), zap.Error(cause))
}
