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

// report reads the engine's report when it is due.
func (l *Loader) report(now time.Time) {
	if l.reporting || now.Before(l.nextReport) {
		return
	}
	l.reporting = true
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		e, err := l.opts.Engine.Report(ctx)
		l.post(func(now time.Time) { l.reported(now, e, err) })
	}()
}

func (l *Loader) reported(now time.Time, e loading.Engine, err error) {
	l.reporting = false
	l.nextReport = now.Add(reportEvery)
	if err != nil {
		l.failures++
		l.nextReport = now.Add(reportSoon)
		if l.failures == downAfter {
			l.opts.Logger.Warn("engine_lost", zap.Error(err))
		}
		l.tell(now)
		return
	}
	if l.failures >= downAfter {
		l.opts.Logger.Info("engine_regained", zap.Uint64("loaded", e.Loaded), zap.Int64("born", int64(e.Born)))
	}
	l.failures = 0
	l.known = true
	if e.Born.Replaces(l.engine.Born) {
		l.opts.Logger.Warn("engine_started_anew", zap.Int64("born", int64(e.Born)), zap.Int64("before", int64(l.engine.Born)))
		l.plan.MarkRestarted()
	}
	if e.Loaded != l.engine.Loaded {
		l.opts.Logger.Info("engine_holds", zap.Uint64("version", e.Loaded), zap.Uint64("before", l.engine.Loaded))
	}
	l.engine = e
	l.noteOutdated(now, e)
	if l.plan.IsReloading(e) || e.Busy {
		l.nextReport = now.Add(reportSoon)
	}
	l.tell(now)
	l.advance(now)
}

// tell tells the entries at once what has changed.
func (l *Loader) tell(now time.Time) {
	state := l.told
	state.Loaded = l.engine.Loaded
	state.Born = l.engine.Born
	state.Changing = l.plan.IsReloading(l.engine)
	state.Down = l.failures >= downAfter
	state.Pace = coarsePace(l.engine.Slowdown)
	state.ReadyInMS = l.readyIn(now).Milliseconds()
	same := state
	same.ReadyInMS = l.told.ReadyInMS
	if same == l.told {
		l.told.ReadyInMS = state.ReadyInMS
		return
	}
	state.Seq++
	l.told = state
	l.mesh.Flush(now)
}

const (
	// reportLag is how much later than it happens a load shows in the engine's
	// report.
	reportLag = 250 * time.Millisecond
	// drainTime is how long an engine that has been ordered to load finishes what
	// it runs: its longest streams. Told as ready sooner, it would have callers
	// wait for it in vain.
	drainTime = 2 * time.Second
)

// readyIn is when the engine is expected to answer from the wanted version; 0
// if it does, or if that is not known.
func (l *Loader) readyIn(now time.Time) time.Duration {
	if l.supply == nil || l.failures >= downAfter || !l.known {
		return 0
	}
	load := time.Duration(l.supply.LoadMS)*time.Millisecond + reportLag
	switch step := l.plan.Next(now, l.engine, l.wantedIn(now)); {
	case step == loading.Idle:
		return 0
	case l.plan.IsReloading(l.engine) && l.engine.Loaded != 0:
		return load + max(0, drainTime-now.Sub(l.plan.OrderedAt()))
	case l.plan.IsReloading(l.engine):
		return max(reportLag, load-now.Sub(l.plan.OrderedAt()))
	case step == loading.Fetch:
		return min(loading.NotExpected, load+l.wantedIn(now))
	default:
		return load
	}
}

// wantedIn is the time until the wanted version is staged, as far as its chunks
// come.
func (l *Loader) wantedIn(now time.Time) time.Duration {
	for _, g := range l.gathers {
		if g.version == l.plan.Wanted() {
			return l.stage.restTime(now, g, l.opts.LinkBytes)
		}
	}
	return loading.NotExpected
}

// coarsePace rounds a pace to what is worth telling.
func coarsePace(pace float64) int {
	const step = 25 // percent
	return int(math.Round(pace*100/step)) * step
}

// advance takes the next step towards the wanted version.
func (l *Loader) advance(now time.Time) {
	if l.supply == nil || !l.known || len(l.members) == 0 || l.plan.IsLeaving() {
		return
	}
	if l.plan.Wanted() == 0 || !l.isGathered(l.plan.Wanted()) {
		l.resolve(now)
	}
	l.startWaiting(now)
	if !l.ordering && l.plan.Next(now, l.engine, l.wantedIn(now)) == loading.Order {
		l.order(now)
	}
}

func (l *Loader) isGathered(version uint64) bool {
	for _, g := range l.gathers {
		if g.version == version {
			return true
		}
	}
	return false
}

// gathered follows the last chunk of a version.
func (l *Loader) gathered(now time.Time, version fleet.Version) {
	for _, g := range l.gathers {
		if g.named != version {
			continue
		}
		l.plan.MarkStaged(now, g.version)
		drawn := l.swarm.FetchedBytes()
		l.opts.Logger.Info("version_staged", zap.Uint64("version", g.version), zap.Duration("took", now.Sub(g.from)),
			zap.Int64("origin_bytes", drawn.OriginBytes), zap.Int64("peer_bytes", drawn.PeerBytes))
	}
	l.advance(now)
}

// order has the engine load what is staged.
func (l *Loader) order(now time.Time) {
	l.ordering = true
	version := l.plan.Target(now, l.engine, l.wantedIn(now))
	supply := *l.supply
	l.plan.MarkOrdered(now, version)
	l.tell(now)
	go func() {
		err := l.stage.load(l.ctx, supply, version)
		l.post(func(now time.Time) { l.orderGiven(now, version, err) })
	}()
}

func (l *Loader) orderGiven(now time.Time, version uint64, err error) {
	l.ordering = false
	l.nextReport = now
	if err == nil {
		l.plan.MarkAccepted(now)
		l.opts.Logger.Info("load_ordered", zap.Uint64("version", version), zap.Uint64("loaded", l.engine.Loaded))
		return
	}
	l.opts.Logger.Warn("load_not_ordered", zap.Uint64("version", version), zap.Error(err))
	if errorx.IsOfType(err, Declined) {
		l.plan.MarkDeclined(now)
		l.tell(now)
	}
}
