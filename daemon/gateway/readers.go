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
	// readersPerGroup is how many entries of a region, and of each group in a large
	// region, read the platform. The others receive from them what they read. If every
	// entry read the platform, a large configuration would fill the link between two
	// regions, and each registration of a server would cause a call of every entry. The
	// second reader covers the time in which the loss of the first is not yet detected.
	readersPerGroup = 2
	// refusalPeriod is how long an entry that got no response from the platform ranks
	// last among the readers of its region.
	refusalPeriod = 3 * time.Second
	// fallbackReadDelay is how long peers may be ahead, with none of them sending what is
	// missing, before an entry reads the platform itself. fallbackReadStep is how much
	// longer the next in rank waits, so that the first can send it what it has read.
	fallbackReadDelay = time.Second
	fallbackReadStep  = 200 * time.Millisecond
	// readerTimeout is the time without a message from any reader of the region after
	// which the readers count as lost.
	readerTimeout = 1200 * time.Millisecond
	// maxReadingAge is the age of the last reading of the servers at which an entry reads
	// them itself. While its readers work and nothing changes, a reading is as old as a
	// watch, the pause after it and a heartbeat take together.
	maxReadingAge = 2500 * time.Millisecond
)

// rank returns this entry's rank among those of its region and group.
func (g *Gateway) rank(now time.Time, entries []mesh.Entry) int {
	return rankIn(entries, g.opts.Self, g.opts.Place.Region, g.isRefused(now))
}

// isRefused reports whether the platform does not respond to this entry. An entry that
// does not read the platform cannot tell.
func (g *Gateway) isRefused(now time.Time) bool {
	v := g.view.Load()
	isUnheard := v != nil && v.readsPlatform && !g.contact.isRecent(now)
	return isUnheard || now.Before(g.refusedUntil)
}

// rankIn returns the rank of an entry among those of its region and group that are alive
// and accept requests. Entries that the platform refuses rank last, since they cannot
// read for the others.
func rankIn(entries []mesh.Entry, self fleet.InstanceID, region fleet.Region, isTurnedAway bool) int {
	rank := 0
	for _, e := range entries {
		isCandidate := e.SameGroup && e.Place.Region == region && e.Ready && !e.Leaving && !e.Silent
		ranksBefore := !e.PlatformUnresponsive && isTurnedAway || e.PlatformUnresponsive == isTurnedAway && e.ID < self
		if isCandidate && ranksBefore {
			rank++
		}
	}
	return rank
}

// shouldReadPlatform reports whether this entry reads the platform instead of relying on
// what peers send.
func (g *Gateway) shouldReadPlatform(now time.Time, rank int) bool {
	if g.opts.Disabled.FewWatchers {
		return true
	}
	if g.snapshot.Config == nil {
		return g.listsCatalogFirst(now)
	}
	if g.stale || g.lacksEvacuations() || rank < readersPerGroup {
		return true
	}
	if g.mustReadServers(now) {
		return true
	}
	fallbackDelay := fallbackReadDelay + time.Duration(rank-readersPerGroup)*fallbackReadStep
	return !g.behindSince.IsZero() && now.Sub(g.behindSince) > fallbackDelay
}

// mustReadServers reports whether the servers were read so long ago that this entry reads
// them itself, since it receives nothing from a reader of its region. While a reader
// reports, its reading is as old as the platform's responses are late, and calls of all
// other entries would only fill the same link.
//
// An entry that lacks a configuration would read another copy of it, so it first gives its
// peers fallbackReadDelay to send it. It does not wait for its rank as well: at an entry
// that its readers do not know of, servers that left were then in use for too long.
func (g *Gateway) mustReadServers(now time.Time) bool {
	isOld := now.Sub(g.changesReadAt) > maxReadingAge
	isUnheard := now.Sub(g.readerSeenAt) > readerTimeout
	lacksConfig := g.newestPeerConfig > g.snapshot.ConfigVersion()
	mayBeSent := g.behindSince.IsZero() || now.Sub(g.behindSince) <= fallbackReadDelay
	return isOld && isUnheard && !(lacksConfig && mayBeSent)
}

// cancelObsoleteCall cancels the current call to the platform if this entry no longer
// reads the platform, or if a peer has sent the first catalog while the platform's was
// being listed, so that only the changes after it remain to be read.
func (g *Gateway) cancelObsoleteCall(previous, current *view) {
	if previous == nil {
		return
	}
	isFirst := previous.table == nil && current.table != nil
	if isFirst {
		g.platformCall.stop()
	}
	if previous.readsPlatform == current.readsPlatform {
		return
	}
	g.opts.Logger.Info("reads_platform", zap.Bool("reads", current.readsPlatform), zap.Int("rank", current.rank),
		zap.Stringer("as_of", current.asOf))
	if !current.readsPlatform {
		g.platformCall.stopIfWaiting()
	}
}

// platformCall is the current call to the platform. It may be cancelled from any
// goroutine.
type platformCall struct {
	mu        sync.Mutex
	startedAt time.Time
	cancel    context.CancelFunc
}

func (r *platformCall) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel, r.startedAt = cancel, time.Now()
	return callCtx, cancel
}

func (r *platformCall) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
}

// stopIfWaiting cancels a watch that waits for a change. A call that has run for longer
// than a watch waits is receiving data: a reader with a slow link is replaced by the next
// one, and what it has received so far must not be lost.
func (r *platformCall) stopIfWaiting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil && time.Since(r.startedAt) < watchWait {
		r.cancel()
	}
}
