package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
)

const (
	// regionReaders is how many entries of a region, and of each group in a large
	// region, read the platform. The others
	// take from them what they read: a large configuration, read by each entry,
	// filled the link between two regions, and each registration of a server woke
	// them all for a call. The second is there for the moment in which the first is
	// lost.
	regionReaders = 2
	// turnedAwayFor is how long an entry that the platform did not answer is the
	// last of its region to read it.
	turnedAwayFor = 3 * time.Second
	// readAloneAfter is how long peers may be ahead, and none of them give what is
	// missing, until an entry reads the platform all the same; readAloneStep is how
	// much longer the next in rank waits, so that the first can give it what it has
	// read.
	readAloneAfter = time.Second
	readAloneStep  = 200 * time.Millisecond
	// readerUnheardFor is how long none that reads the platform for the region may be
	// heard until it counts as lost.
	readerUnheardFor = 1200 * time.Millisecond
	// readingMaxAge is how long ago the servers may have been read until an entry reads
	// them itself. While its readers work and nothing changes, a reading is as old as a
	// watch, the pause after it and a heartbeat are long.
	readingMaxAge = 2500 * time.Millisecond
)

// rank is this entry's place among those of its region and group.
func (g *Gateway) rank(now time.Time, entries []mesh.Entry) int {
	return rankIn(entries, g.opts.Self, g.opts.Place.Region, g.isTurnedAway(now))
}

// isTurnedAway reports whether the platform does not answer this entry. One that
// does not read it cannot tell.
func (g *Gateway) isTurnedAway(now time.Time) bool {
	v := g.view.Load()
	isUnheard := v != nil && v.readsPlatform && !g.contact.recent(now)
	return isUnheard || now.Before(g.refusedUntil)
}

// rankIn is the place of an entry among those of its region and group that are
// heard and take requests. Those that the platform turns away come last: they
// cannot read for the others.
func rankIn(entries []mesh.Entry, self fleet.InstanceID, region fleet.Region, isTurnedAway bool) int {
	rank := 0
	for _, e := range entries {
		counts := e.SameGroup && e.Place.Region == region && e.Ready && !e.Leaving && !e.Silent
		before := !e.PlatformUnresponsive && isTurnedAway || e.PlatformUnresponsive == isTurnedAway && e.ID < self
		if counts && before {
			rank++
		}
	}
	return rank
}

// reads reports whether this entry reads the platform, and does not take from
// peers what it holds.
func (g *Gateway) reads(now time.Time, rank int) bool {
	if g.opts.Disabled.FewWatchers {
		return true
	}
	if g.snapshot.Config == nil {
		return g.listsCatalogFirst(now)
	}
	if g.stale || rank < regionReaders {
		return true
	}
	if g.isUnread(now) {
		return true
	}
	alone := readAloneAfter + time.Duration(rank-regionReaders)*readAloneStep
	return !g.behindSince.IsZero() && now.Sub(g.behindSince) > alone
}

// isUnread reports whether the servers were read so long ago that this entry reads them
// itself, since it hears no reader of its region. While one is heard, its reading is as
// old as the platform's answers are late, and calls of all others would only fill the same
// link. One that lacks a configuration would read a further copy of it.
func (g *Gateway) isUnread(now time.Time) bool {
	isOld := now.Sub(g.changesReadAt) > readingMaxAge
	isUnheard := now.Sub(g.readerSeenAt) > readerUnheardFor
	lacksConfig := g.newestPeerRevision > g.snapshot.ConfigRevision
	return isOld && isUnheard && !lacksConfig
}

// followAnew ends the call to the platform that runs if there is none to make any
// more, or if only what follows on a first catalog is to be read that a peer gave
// while it was being listed.
func (g *Gateway) followAnew(before, now *view) {
	if before == nil {
		return
	}
	isFirst := before.table == nil && now.table != nil
	if isFirst {
		g.reading.end()
	}
	if before.readsPlatform == now.readsPlatform {
		return
	}
	g.opts.Logger.Info("reads_platform", zap.Bool("reads", now.readsPlatform), zap.Int("rank", now.rank),
		zap.Int64("as_of", int64(now.asOf)))
	if !now.readsPlatform {
		g.reading.endIfWaiting()
	}
}

// running is the call to the platform that runs. It may be ended from any
// goroutine.
type running struct {
	mu     sync.Mutex
	began  time.Time
	cancel context.CancelFunc
}

func (r *running) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	call, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel, r.began = cancel, time.Now()
	return call, cancel
}

func (r *running) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
}

// endIfWaiting ends a watch that waits for a change. One that has run for longer
// than a watch waits is bringing something: a reader whose link is slow is
// followed by the next, and what it has read so far must not be lost.
func (r *running) endIfWaiting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil && time.Since(r.began) < watchWait {
		r.cancel()
	}
}
