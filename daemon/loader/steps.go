package loader

import (
	"context"
	"math"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
)

const (
	// callTimeout bounds a call to the engine on the same instance.
	callTimeout = 1500 * time.Millisecond
)

// readReport reads the engine's report when it is due.
func (l *Loader) readReport(now time.Time) {
	if l.readingReport || now.Before(l.nextReport) {
		return
	}
	l.readingReport = true
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		e, err := l.opts.Engine.Report(ctx)
		l.post(func(now time.Time) { l.handleReport(now, e, err) })
	}()
}

func (l *Loader) handleReport(now time.Time, e loading.Engine, err error) {
	l.readingReport = false
	l.nextReport = now.Add(reportInterval)
	if err != nil {
		l.reportFailures++
		l.nextReport = now.Add(reloadReportInterval)
		if l.reportFailures == maxReportFailures {
			l.opts.Logger.Warn("engine_lost", zap.Error(err))
		}
		l.reportChanges(now)
		return
	}
	if l.reportFailures >= maxReportFailures {
		l.opts.Logger.Info("engine_regained", zap.Uint64("loaded", e.Loaded), zap.Int64("born", int64(e.Born)))
	}
	l.reportFailures = 0
	l.hasEngineReport = true
	if e.Born.Replaces(l.engine.Born) {
		l.opts.Logger.Warn("engine_started_anew", zap.Int64("born", int64(e.Born)), zap.Int64("before", int64(l.engine.Born)))
		l.plan.MarkRestarted()
	}
	if e.Loaded != l.engine.Loaded {
		l.opts.Logger.Info("engine_holds", zap.Uint64("version", e.Loaded), zap.Uint64("before", l.engine.Loaded),
			zap.Uint64("orders", e.Orders.Count))
	}
	l.engine = e
	l.updateStanding()
	e = l.engine
	l.updateLeaving()
	l.logOutdated(now, e)
	if l.isReloading() || e.Busy {
		l.nextReport = now.Add(reloadReportInterval)
	}
	l.reportChanges(now)
	l.advance(now)
}

// reportChanges sends a changed state to the entries at once.
func (l *Loader) reportChanges(now time.Time) {
	state := l.lastReport
	state.Loaded = l.engine.Loaded
	state.Born = l.engine.Born
	state.Orders, state.HasOrders = l.engine.Orders.Count, l.engine.Orders.Reported
	state.Leaving = l.engine.Leaving
	state.Reloading = l.isReloading()
	state.Unreachable = l.reportFailures >= maxReportFailures
	state.SlowdownPercent = roundedSlowdown(l.engine.Slowdown)
	state.ReadyInMS = l.timeUntilReady(now).Milliseconds()
	same := state
	same.ReadyInMS = l.lastReport.ReadyInMS
	if same == l.lastReport {
		l.lastReport.ReadyInMS = state.ReadyInMS
		return
	}
	state.Seq++
	l.lastReport = state
	l.mesh.Flush(now)
}

const (
	// reportLag is the delay until a load shows in the engine's report.
	reportLag = 250 * time.Millisecond
	// maxDrainTime is how long an engine that was ordered to load may take to finish
	// its running calls: its longest streams. If it were reported as ready earlier,
	// callers would wait for it in vain.
	maxDrainTime = 2 * time.Second
)

// timeUntilReady returns the time until the engine is expected to serve the wanted
// version; 0 if it serves it already, or if the time is not known.
func (l *Loader) timeUntilReady(now time.Time) time.Duration {
	if l.supply == nil || l.reportFailures >= maxReportFailures || !l.hasEngineReport {
		return 0
	}
	load := fleet.Span(l.supply.LoadMS) + reportLag
	switch step := l.plan.Next(now, l.engine, l.timeUntilStaged(now)); {
	case step == loading.Idle:
		return 0
	case l.isReloading() && l.engine.Loaded != 0:
		return load + max(0, maxDrainTime-now.Sub(l.plan.OrderedAt()))
	case l.isReloading():
		return max(reportLag, load-now.Sub(l.plan.OrderedAt()))
	case step == loading.Fetch:
		return min(loading.NotExpected, load+l.timeUntilStaged(now))
	default:
		return load
	}
}

// timeUntilStaged returns the time until the wanted version is staged, from the chunks
// that are missing.
func (l *Loader) timeUntilStaged(now time.Time) time.Duration {
	for _, g := range l.fetches {
		if g.version == l.plan.Wanted() {
			return l.stage.remainingTime(now, g, l.opts.LinkBytesPerSecond)
		}
	}
	return loading.NotExpected
}

// roundedSlowdown rounds a slowdown factor to the precision that is reported, in
// percent.
func roundedSlowdown(slowdown float64) int {
	const step = 25 // percent
	return int(math.Round(slowdown*100/step)) * step
}

// advance takes the next step towards the wanted version.
func (l *Loader) advance(now time.Time) {
	if l.supply == nil || !l.hasEngineReport || len(l.members) == 0 || l.plan.IsLeaving() {
		return
	}
	if l.plan.Wanted() == 0 || !l.hasFetch(l.plan.Wanted()) {
		l.readManifest(now)
	}
	l.startNewestFetch(now)
	if !l.ordering && l.canReload() && l.plan.Next(now, l.engine, l.timeUntilStaged(now)) == loading.Order {
		l.orderLoad(now)
	}
}

func (l *Loader) hasFetch(version uint64) bool {
	for _, g := range l.fetches {
		if g.version == version {
			return true
		}
	}
	return false
}

// handleStaged is called after the last chunk of a version was staged.
func (l *Loader) handleStaged(now time.Time, version fleet.Version) {
	for _, g := range l.fetches {
		if g.fleetVersion != version {
			continue
		}
		l.plan.MarkStaged(now, g.version)
		drawn := l.swarm.FetchedBytes()
		l.opts.Logger.Info("version_staged", zap.Uint64("version", g.version), zap.Duration("took", now.Sub(g.since)),
			zap.Int64("origin_bytes", drawn.OriginBytes), zap.Int64("peer_bytes", drawn.PeerBytes))
	}
	l.advance(now)
}

// orderLoad orders the engine to load the staged version.
func (l *Loader) orderLoad(now time.Time) {
	l.ordering = true
	version := l.plan.Target(now, l.engine, l.timeUntilStaged(now))
	supply := *l.supply
	reload := l.engine.Loaded == version
	l.verification.Reset(l.engine)
	l.plan.MarkOrdered(now, version)
	l.reportChanges(now)
	go func() {
		load, err := l.stage.load(l.ctx, supply, version, reload)
		l.post(func(now time.Time) { l.handleOrderResult(now, version, load, err) })
	}()
}

func (l *Loader) handleOrderResult(now time.Time, version uint64, load loading.Load, err error) {
	l.ordering = false
	l.nextReport = now
	switch {
	case err == nil:
		l.verification.Set(load, loading.Verified)
		l.plan.MarkAccepted(now)
		l.opts.Logger.Info("load_ordered", zap.Uint64("version", version), zap.Uint64("loaded", l.engine.Loaded))
	case errorx.IsOfType(err, alreadyLoaded) && l.verification.OfLoad(load) == loading.Verified:
		l.plan.MarkAccepted(now) // the reports were outdated
	case errorx.IsOfType(err, loadRejected), errorx.IsOfType(err, alreadyLoaded):
		l.reject(load, err)
		l.plan.MarkDeclined(now)
	case errorx.IsOfType(err, Declined), errorx.IsOfType(err, orderNotSent):
		l.opts.Logger.Warn("load_not_ordered", zap.Uint64("version", version), zap.Error(err))
		l.plan.MarkDeclined(now)
	default:
		l.opts.Logger.Warn("load_not_ordered", zap.Uint64("version", version), zap.Error(err))
		return
	}
	l.updateMustReload()
	l.reportChanges(now)
}
