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
	// watchWait is how long one watch waits for a change. A watch whose
	// connection went silent is found out only by its end, and the operator's
	// bounds are a few seconds.
	watchWait = 1500 * time.Millisecond
	// watchBriefly is the same while the platform may have been away: what was
	// missed is there at once, and a return must not be noticed only at the end of
	// a watch, nor a dead connection.
	watchBriefly = 50 * time.Millisecond
	// gatherChanges is the pause between two watches of the first reader of a
	// region. Servers register and change many at a time; without it each of them
	// costs a call.
	gatherChanges = 250 * time.Millisecond
	// gatherLonger is the pause of the others. They read so that the loss of the
	// first is noticed by nobody.
	gatherLonger = 900 * time.Millisecond
	// idlePoll is how often an entry that does not read the platform looks whether
	// it has to.
	idlePoll = 20 * time.Millisecond
	// sourcePauseMin doubles up to sourcePauseMax while the platform does not
	// answer, so that a fleet does not come back to it at full rate.
	sourcePauseMin = 100 * time.Millisecond
	sourcePauseMax = 800 * time.Millisecond
	maxDoublings   = 4 // enough to reach sourcePauseMax
	// longestPause bounds what pauseAfter makes of sourcePauseMax.
	longestPause = sourcePauseMax/2 + sourcePauseMax
	// noticedWithin is the longest time from the platform's return to the answer
	// that shows it: a call that it left without an answer, a pause, and a call.
	noticedWithin = watchBriefly + catalog.ResponseTimeout + longestPause + watchBriefly
)

// position is up to which revision Follow has read each part of the catalog.
type position struct {
	servers  catalog.Revision
	operator catalog.Revision
	// gone is true once the platform no longer has the changes since.
	gone bool
	// answered is true if the last call was answered, and no time has passed since
	// in which none was to be made.
	answered bool
}

// Follow keeps the catalog up to date from the platform until ctx ends.
func (g *Gateway) Follow(ctx context.Context) error {
	var at position
	failures := 0
	for ctx.Err() == nil {
		call, end := g.reading.begin(ctx)
		// Looked at once the call can be ended: before, a call that began at the moment
		// in which there was none to make any more read one copy too many.
		if v := g.view.Load(); v == nil || !v.readsPlatform {
			end()
			at.answered = false
			wait(ctx, idlePoll)
			continue
		}
		err := g.read(call, &at)
		ended := call.Err() != nil
		end()
		switch {
		case err == nil:
			failures = 0
			at.answered = true
			wait(ctx, g.watchPause())
			continue
		case ended:
			continue // by us, to read something else or anew
		case errorx.IsOfType(err, catalog.HistoryGone):
			g.opts.Logger.Warn("history_gone", zap.Int64("after", int64(min(at.servers, at.operator))))
			at.gone = true
			continue
		}
		failures++
		at.answered = false
		g.post(func(now time.Time) { g.sourceFailed(now, err) })
		wait(ctx, pauseAfter(failures, err))
	}
	return nil
}

// read makes one call to the platform.
func (g *Gateway) read(ctx context.Context, at *position) error {
	at.takeFromPeers(g.view.Load())
	if at.gone || at.servers == 0 {
		return g.list(ctx, at)
	}
	return g.watch(ctx, at)
}

// takeFromPeers leaves out what peers have told: an entry that comes back, or
// begins to read for its region, would read again what its neighbours have.
func (at *position) takeFromPeers(v *view) {
	if v == nil || v.table == nil {
		return
	}
	at.servers = max(at.servers, v.asOf)
	at.operator = max(at.operator, v.operatorAsOf)
}

func (g *Gateway) list(ctx context.Context, at *position) error {
	began := time.Now()
	snapshot, err := g.opts.Source.List(ctx)
	if err != nil {
		return err
	}
	if err := g.checkOrder(at.servers, snapshot.AsOf); err != nil {
		return err
	}
	g.post(func(now time.Time) {
		g.sourceAnswered(now)
		g.adoptList(now, snapshot, reading{origin: fromStore, readAt: began})
	})
	at.servers, at.operator, at.gone = snapshot.AsOf, snapshot.AsOf, false
	return nil
}

func (g *Gateway) watch(ctx context.Context, at *position) error {
	began, patience := time.Now(), at.patience()
	after := min(at.servers, at.operator)
	changes, asOf, err := g.opts.Source.Watch(ctx, after, patience)
	if err != nil {
		return err
	}
	if err := g.checkOrder(after, asOf); err != nil {
		return err
	}
	readAt := watchedAt(began, time.Now(), patience)
	g.post(func(now time.Time) {
		g.sourceAnswered(now)
		g.adoptChanges(now, changes, asOf, reading{origin: fromStore, readAt: readAt})
	})
	at.servers, at.operator = max(at.servers, asOf), max(at.operator, asOf)
	return nil
}

// checkOrder returns the failure of a reading up to asOf, which began when the platform had
// been read up to another revision.
func (g *Gateway) checkOrder(after, asOf catalog.Revision) error {
	err := catalog.CheckOrder(after, asOf)
	if err != nil {
		g.post(func(time.Time) { g.readings.refused(err, reading{origin: fromStore}, asOf, after) })
	}
	return err
}

// patience is how long the next watch waits for changes.
func (at *position) patience() time.Duration {
	if at.answered {
		return watchWait
	}
	return watchBriefly
}

// watchPause is the pause before the next watch.
func (g *Gateway) watchPause() time.Duration {
	v := g.view.Load()
	if v == nil || g.opts.Disabled.FewWatchers {
		return gatherChanges
	}
	return pauseAt(v.rank)
}

func pauseAt(rank int) time.Duration {
	if rank == 0 {
		return gatherChanges
	}
	return gatherLonger
}

func pauseAfter(failures int, err error) time.Duration {
	pause := min(sourcePauseMax, sourcePauseMin<<min(failures-1, maxDoublings))
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
	g.refusedUntil = now.Add(turnedAwayFor)
	if g.contact.fail(now) {
		g.opts.Logger.Warn("platform_lost", zap.Error(err), zap.Duration("heard_ago", now.Sub(g.contact.heard)))
	}
	g.opts.Metrics.Counter("platform_failures").Inc(1)
}

// sourceAnswered notes an answer.
func (g *Gateway) sourceAnswered(now time.Time) {
	g.stale = false
	g.refusedUntil = time.Time{}
	silent := now.Sub(g.contact.heard)
	if g.contact.succeed(now) {
		g.opts.Logger.Info("platform_regained", zap.Duration("after", silent))
	}
}

func (g *Gateway) post(f func(now time.Time)) { g.opts.Loop.Post(g.ctx, control.Func(f)) }
