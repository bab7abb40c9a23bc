package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/failure"
	"chivespindle.example/daemon/control"
)

const (
	// watchWait is how long a watch waits for a change. A watch on a dead connection is
	// detected only at its end, and the operator's time limits are a few seconds.
	watchWait = 1500 * time.Millisecond
	// briefWatchWait is the same while the platform may have been unavailable: missed
	// changes are returned immediately, and neither the platform's return nor a dead
	// connection may be detected only at the end of a long watch.
	briefWatchWait = 50 * time.Millisecond
	// firstReaderPause is the pause between two watches of the first reader of a region.
	// Servers register and change many at a time; without the pause, each of them would
	// cost a call.
	firstReaderPause = 250 * time.Millisecond
	// otherReaderPause is the pause of the other readers. They read so that the loss of
	// the first reader goes unnoticed.
	otherReaderPause = 900 * time.Millisecond
	// idlePollInterval is how often an entry that does not read the platform checks
	// whether it has to.
	idlePollInterval = 20 * time.Millisecond
	// minBackoff doubles up to maxBackoff while the platform does not respond, so that a
	// fleet does not return to it at full rate.
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 800 * time.Millisecond
	maxBackoffDoublings = 4 // enough to reach maxBackoff
	// maxJitteredBackoff is the longest pause that backoff derives from maxBackoff.
	maxJitteredBackoff = maxBackoff/2 + maxBackoff
	// maxRecoveryDelay is the longest time from the platform's return to the response
	// that reveals it: a call that got no response, a pause, and another call.
	maxRecoveryDelay = briefWatchWait + catalog.ResponseTimeout + maxJitteredBackoff + briefWatchWait
)

// position is the revision up to which Follow has read each part of the catalog.
type position struct {
	servers  catalog.Revision
	operator catalog.Revision
	// historyGone is true once the platform no longer keeps the changes after it.
	historyGone bool
	// isResponding is true if the last call got a response and the entry has not stopped
	// reading the platform since.
	isResponding bool
}

// Follow keeps the catalog up to date from the platform until ctx ends.
func (g *Gateway) Follow(ctx context.Context) error {
	var pos position
	failures := 0
	for ctx.Err() == nil {
		callCtx, cancel := g.platformCall.begin(ctx)
		// Checked only after the call can be cancelled. Otherwise a call that starts at
		// the moment in which this entry stops reading the platform would read a
		// redundant copy.
		if v := g.view.Load(); v == nil || !v.readsPlatform {
			cancel()
			pos.isResponding = false
			wait(ctx, idlePollInterval)
			continue
		}
		err := g.read(callCtx, &pos)
		cancelled := callCtx.Err() != nil
		cancel()
		switch {
		case err == nil:
			failures = 0
			pos.isResponding = true
			wait(ctx, g.watchPause())
			continue
		case cancelled:
			// Cancelled by this entry, to read something else or to start over after a pause.
			// Calls wait for the next response then.
			pos.isResponding = false
			continue
		case errorx.IsOfType(err, catalog.HistoryGone):
			g.opts.Logger.Warn("history_gone", zap.Stringer("after", min(pos.servers, pos.operator)))
			pos.historyGone = true
			continue
		}
		failures++
		pos.isResponding = false
		g.post(func(now time.Time) { g.sourceFailed(now, err) })
		wait(ctx, backoff(failures, err))
	}
	return nil
}

// read makes one call to the platform.
func (g *Gateway) read(ctx context.Context, pos *position) error {
	pos.skipKnown(g.view.Load())
	if pos.historyGone || pos.servers == 0 || pos.operator == 0 {
		return g.list(ctx, pos)
	}
	return g.watch(ctx, pos)
}

// skipKnown advances to the revisions that peers have reported. An entry that has
// restarted, or starts to read for its region, would otherwise read again what its peers
// have.
func (p *position) skipKnown(v *view) {
	if v == nil || v.table == nil {
		return
	}
	p.servers = max(p.servers, v.asOf)
	p.operator = max(p.operator, v.operatorAsOf)
}

func (g *Gateway) list(ctx context.Context, pos *position) error {
	startedAt := time.Now()
	snapshot, err := g.opts.Source.List(ctx)
	if err != nil {
		return err
	}
	if err := g.checkOrder(pos.servers, snapshot.AsOf); err != nil {
		return err
	}
	g.post(func(now time.Time) {
		g.sourceRespondedTo(now, startedAt)
		g.adoptSnapshot(now, snapshot, reading{origin: fromStore, readAt: startedAt})
	})
	pos.servers, pos.operator, pos.historyGone = snapshot.AsOf, snapshot.AsOf, false
	return nil
}

func (g *Gateway) watch(ctx context.Context, pos *position) error {
	startedAt, maxWait := time.Now(), pos.nextWait()
	after := min(pos.servers, pos.operator)
	changes, asOf, err := g.opts.Source.Watch(ctx, after, maxWait)
	if err != nil {
		return err
	}
	if err := g.checkOrder(after, asOf); err != nil {
		return err
	}
	readAt := watchReadTime(startedAt, time.Now(), maxWait)
	g.post(func(now time.Time) {
		g.sourceRespondedTo(now, startedAt)
		g.adoptChanges(now, changes, asOf, reading{origin: fromStore, readAt: readAt})
	})
	pos.servers, pos.operator = max(pos.servers, asOf), max(pos.operator, asOf)
	return nil
}

// checkOrder returns an error if a reading up to asOf has no revision, or an older one
// than the platform had been read up to when the reading began.
func (g *Gateway) checkOrder(after, asOf catalog.Revision) error {
	err := catalog.CheckOrder(after, asOf)
	if err != nil {
		g.post(func(time.Time) { g.readings.refused(err, reading{origin: fromStore}, asOf, after) })
	}
	return err
}

// nextWait is how long the next watch waits for changes.
func (p *position) nextWait() time.Duration {
	if p.isResponding {
		return watchWait
	}
	return briefWatchWait
}

// watchPause is the pause before the next watch.
func (g *Gateway) watchPause() time.Duration {
	v := g.view.Load()
	if v == nil || g.opts.Disabled.FewWatchers {
		return firstReaderPause
	}
	return pauseForRank(v.rank)
}

func pauseForRank(rank int) time.Duration {
	if rank == 0 {
		return firstReaderPause
	}
	return otherReaderPause
}

func backoff(failures int, err error) time.Duration {
	pause := min(maxBackoff, minBackoff<<min(failures-1, maxBackoffDoublings))
	pause = max(pause, failure.RetryAfter(err))
	return pause/2 + rand.N(pause)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (g *Gateway) sourceFailed(now time.Time, err error) {
	g.refusedUntil = now.Add(refusalPeriod)
	if g.contact.recordFailure(now) {
		g.opts.Logger.Warn("platform_lost", zap.Error(err), zap.Duration("heard_ago", now.Sub(g.contact.lastResponse)))
	}
	g.opts.Metrics.Counter("platform_failures").Inc(1)
}

// sourceRespondedTo records the platform's response to a call. If the call began before a
// pause of the process, the response may date from before it as well.
func (g *Gateway) sourceRespondedTo(now, startedAt time.Time) {
	isStale := g.stale && startedAt.Before(g.resumedAt)
	g.sourceResponded(now)
	g.stale = isStale
}

// sourceResponded records a response of the platform.
func (g *Gateway) sourceResponded(now time.Time) {
	g.stale = false
	g.refusedUntil = time.Time{}
	silent := now.Sub(g.contact.lastResponse)
	if g.contact.recordResponse(now) {
		g.opts.Logger.Info("platform_regained", zap.Duration("after", silent))
	}
}

func (g *Gateway) post(f func(now time.Time)) { g.opts.Loop.Post(g.ctx, control.Func(f)) }
