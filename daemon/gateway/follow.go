package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/routing"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

const (
	// watchWait is how long one watch waits for a change. A watch whose
	// connection went silent is found out only by its end, and the operator's
	// bounds are a few seconds.
	watchWait = 1500 * time.Millisecond
	// gatherChanges is the pause between two watches. Servers register and change
	// many at a time; without it each of them costs every entry a call.
	gatherChanges = 250 * time.Millisecond
	// firstWatchers is how many entries of a region, by id, watch the platform so
	// closely, and gatherLonger the pause of the others. 31 entries made 54 calls a
	// second, most of them for the same changes. What must be known at once, a
	// configuration or a version, they hear from the first; a server that leaves
	// they learn of within the operator's bound.
	firstWatchers = 3
	gatherLonger  = 900 * time.Millisecond
	// sourcePauseMin doubles up to sourcePauseMax while the platform does not
	// answer, so that a fleet does not come back to it at full rate.
	sourcePauseMin = 100 * time.Millisecond
	sourcePauseMax = 800 * time.Millisecond
	maxDoublings   = 4 // enough to reach sourcePauseMax
	// askEvery is the pause between two asks for a peer's catalog.
	askEvery = 150 * time.Millisecond
	// behindFor is how long a peer must be ahead before it is asked: mostly the
	// platform's own word is on its way, and a catalog is tens of kilobytes.
	behindFor = 250 * time.Millisecond
	// askTimeout bounds one ask.
	askTimeout = 600 * time.Millisecond
)

// Follow keeps the catalog up to date from the platform until ctx ends.
func (g *Gateway) Follow(ctx context.Context) error {
	var at catalog.Revision
	listed := false
	failures := 0
	for ctx.Err() == nil {
		var err error
		call, cancel := g.untilRewatch(ctx)
		if listed {
			at, err = g.watch(call, at)
		} else {
			at, err = g.list(call)
		}
		cancel()
		switch {
		case err == nil:
			listed = true
			failures = 0
			wait(ctx, g.watchPause())
			continue
		case errorx.IsOfType(err, catalog.HistoryGone):
			listed = false
			g.opts.Logger.Warn("history_gone", zap.Int64("after", int64(at)))
			continue
		}
		failures++
		g.post(func(now time.Time) { g.sourceFailed(now, err) })
		wait(ctx, pauseAfter(failures, err))
	}
	return nil
}

// watchPause is the pause before the next watch.
func (g *Gateway) watchPause() time.Duration {
	v := g.view.Load()
	if v == nil || g.opts.Off.FewWatchers {
		return gatherChanges
	}
	return pauseAt(rankIn(v.entries, g.opts.Self, g.opts.Place.Region))
}

func pauseAt(rank int) time.Duration {
	if rank < firstWatchers {
		return gatherChanges
	}
	return gatherLonger
}

// rankIn is this entry's place among those of its region that are heard and
// take requests.
func rankIn(entries []mesh.Entry, self fleet.InstanceID, region fleet.Region) int {
	rank := 0
	for _, e := range entries {
		if e.Place.Region == region && e.Ready && !e.Leaving && !e.Silent && e.ID < self {
			rank++
		}
	}
	return rank
}

// untilRewatch returns a context that ends when the process has found that it
// was paused: a watch from before the pause may wait on a dead connection.
func (g *Gateway) untilRewatch(ctx context.Context) (context.Context, context.CancelFunc) {
	call, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-g.rewatch:
			cancel()
		case <-call.Done():
		}
	}()
	return call, cancel
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

func (g *Gateway) list(ctx context.Context) (catalog.Revision, error) {
	snapshot, err := g.opts.Source.List(ctx)
	if err != nil {
		return 0, err
	}
	g.post(func(now time.Time) {
		g.sourceAnswered(now)
		g.adopt(now, snapshot, "platform")
	})
	return snapshot.AsOf, nil
}

func (g *Gateway) watch(ctx context.Context, after catalog.Revision) (catalog.Revision, error) {
	changes, asOf, err := g.opts.Source.Watch(ctx, after, watchWait)
	if err != nil {
		return after, err
	}
	g.post(func(now time.Time) {
		g.sourceAnswered(now)
		g.apply(now, changes, asOf)
	})
	return max(after, asOf), nil
}

func (g *Gateway) sourceFailed(now time.Time, err error) {
	if g.contact.fail(now) {
		g.opts.Logger.Warn("platform_lost", zap.Error(err), zap.Duration("heard_ago", now.Sub(g.contact.heard)))
	}
	g.opts.Metrics.Counter("platform_failures").Inc(1)
}

func (g *Gateway) sourceAnswered(now time.Time) {
	silent := now.Sub(g.contact.heard)
	if g.contact.succeed(now) {
		g.opts.Logger.Info("platform_regained", zap.Duration("after", silent))
	}
	g.doubtful = false
}

// adopt takes a whole catalog if it is not older than the own one.
func (g *Gateway) adopt(now time.Time, s catalog.Snapshot, from string) {
	g.doubtful = false
	if s.AsOf < g.snapshot.AsOf {
		return
	}
	before := g.snapshot
	g.snapshot = g.snapshot.Newest(s)
	for _, old := range before.Servers {
		if !hasServer(g.snapshot.Servers, old.ID) {
			g.removed(now, old)
		}
	}
	g.settle(now, from)
}

// apply takes changes. Some may be known from a peer; applied again they
// change nothing, since the last one of a thing decides.
func (g *Gateway) apply(now time.Time, changes []catalog.Change, asOf catalog.Revision) {
	if len(changes) == 0 {
		g.snapshot.AsOf = max(g.snapshot.AsOf, asOf)
		return
	}
	slices.SortStableFunc(changes, func(a, b catalog.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, c := range changes {
		// One by one: a server may say that it leaves and go in one answer.
		if old, ok := findServer(g.snapshot.Servers, c.Removed); ok && c.Revision > g.snapshot.AsOf {
			g.removed(now, old)
		}
		g.snapshot = g.snapshot.Apply([]catalog.Change{c}, c.Revision)
	}
	g.snapshot.AsOf = max(g.snapshot.AsOf, asOf)
	g.settle(now, "platform")
}

// removed notes a registration that ended. If it may only have lapsed, the
// server is kept, unless it said that it leaves.
func (g *Gateway) removed(now time.Time, s catalog.Server) {
	keep := g.contact.mayLapse(now) && !s.Draining
	if keep {
		g.lapsed[s.ID] = s
	}
	g.opts.Logger.Info("server_removed", zap.String("server", string(s.ID)), zap.String("service", string(s.Service)),
		zap.Bool("kept", keep))
}

func (g *Gateway) endLapses(now time.Time) {
	if len(g.lapsed) == 0 {
		return
	}
	over := g.contact.lapsesEnd(now)
	for id := range g.lapsed {
		if over || hasServer(g.snapshot.Servers, id) {
			delete(g.lapsed, id)
			g.changed = true
		}
	}
}

// settle draws the conclusions from a changed catalog.
func (g *Gateway) settle(now time.Time, from string) {
	g.changed = true
	g.noteWanted(now)
	if g.snapshot.Config == nil || g.snapshot.ConfigRevision == g.tableOf {
		return
	}
	table, err := routing.NewTable(*g.snapshot.Config)
	if err != nil {
		g.opts.Logger.Error("config_refused", zap.Int64("version", g.snapshot.Config.Version), zap.Error(err))
		g.opts.Metrics.Counter("config_refused").Inc(1)
		return
	}
	g.table = table
	g.tableOf = g.snapshot.ConfigRevision
	g.opts.Logger.Info("config_in_force", zap.Int64("version", table.Version()), zap.String("from", from),
		zap.Int64("revision", int64(g.tableOf)), zap.Int("routes", len(g.snapshot.Config.Routes)))
}

// noteWanted keeps when each version was first heard of. A process that has
// just started cannot know it and believes whichever peer says otherwise; with
// no catalog from a peer it takes what it finds for old.
func (g *Gateway) noteWanted(now time.Time) {
	for _, w := range g.snapshot.Wanted {
		if g.names[w.Model].Newest() >= w.Version {
			continue
		}
		named := g.heardNow(now, w.Version)
		if g.tableOf == 0 {
			named.Since = now.Add(-g.opts.VersionTime)
		}
		g.setWanted(w.Model, named)
	}
}

// heardNow is a version that was not named when this process last knew.
func (g *Gateway) heardNow(now time.Time, version uint64) loading.Named {
	return loading.Named{
		Version: version,
		Since:   g.contact.newSince(now, g.opts.SoundTime),
		Assumed: !g.contact.knowsChanges(),
	}
}

// askPeers asks a peer whose catalog is ahead, while the platform has not told
// of it by itself: it may turn this entry away and serve the others, or the
// watch may have gone silent.
func (g *Gateway) askPeers(now time.Time) {
	if g.asking || now.Before(g.nextAsk) {
		return
	}
	addr, ok := g.mesh.Ahead(now, func(b wire.Beat) bool {
		return b.ConfigRevision > g.snapshot.ConfigRevision || b.AsOf > g.snapshot.AsOf && now.Sub(g.contact.heard) > watchWait
	})
	if !ok {
		g.behindSince = time.Time{}
		return
	}
	if g.behindSince.IsZero() {
		g.behindSince = now
	}
	if now.Sub(g.behindSince) < behindFor {
		return
	}
	g.asking = true
	g.nextAsk = now.Add(askEvery)
	asOf := g.snapshot.AsOf
	go g.askPeer(addr, asOf)
}

func (g *Gateway) askPeer(addr netip.Addr, asOf catalog.Revision) {
	ctx, cancel := context.WithTimeout(g.ctx, askTimeout)
	defer cancel()
	began := time.Now()
	answer, err := g.fetchCatalog(ctx, addr, asOf)
	took := time.Since(began)
	g.post(func(now time.Time) {
		g.asking = false
		if err != nil {
			g.opts.Logger.Warn("peer_catalog_failed", zap.String("peer", addr.String()), zap.Duration("took", took),
				zap.Error(err))
			return
		}
		g.opts.Logger.Info("peer_catalog_read", zap.String("peer", addr.String()), zap.Duration("took", took),
			zap.Bool("newer", answer.Snapshot != nil))
		if answer.Snapshot != nil {
			g.adopt(now, *answer.Snapshot, "peer "+addr.String())
		}
	})
}

func (g *Gateway) fetchCatalog(ctx context.Context, addr netip.Addr, asOf catalog.Revision) (wire.CatalogAnswer, error) {
	var answer wire.CatalogAnswer
	s, err := g.opts.Endpoint.Open(ctx, g.mesh.PeerAddr(addr), "", peer.KindConfig)
	if err != nil {
		return answer, err
	}
	defer s.Abort()
	s.SetStall(askTimeout)
	if err := s.Send(wire.CatalogAsk{AsOf: asOf}); err != nil {
		return answer, err
	}
	err = s.Recv(&answer)
	return answer, err
}

// serveCatalog answers a peer's CatalogAsk.
func (g *Gateway) serveCatalog(ctx context.Context, s *peer.Stream) {
	s.SetStall(askTimeout)
	var ask wire.CatalogAsk
	if err := s.Recv(&ask); err != nil {
		s.Abort()
		return
	}
	var answer wire.CatalogAnswer
	err := g.opts.Loop.Do(ctx, func(time.Time) {
		if g.snapshot.AsOf >= ask.AsOf {
			held := g.snapshot
			answer.Snapshot = &held
		}
	})
	if err == nil {
		err = s.Send(answer)
	}
	if err != nil {
		g.opts.Logger.Warn("catalog_not_given", zap.String("peer", string(s.Peer().ID)), zap.Error(err))
	}
}

func (g *Gateway) post(f func(now time.Time)) { g.opts.Loop.Post(g.ctx, control.Func(f)) }

func hasServer(list []catalog.Server, id fleet.InstanceID) bool {
	_, ok := findServer(list, id)
	return ok
}

func findServer(list []catalog.Server, id fleet.InstanceID) (catalog.Server, bool) {
	for _, s := range list {
		if s.ID == id {
			return s, true
		}
	}
	return catalog.Server{}, false
}
