package spread

import "time"

const (
	sourcePauseMin = 500 * time.Millisecond
	retryPauseMin  = 250 * time.Millisecond
	// downAfter is the number of consecutive failures after which a source counts as
	// down.
	downAfter = 3
	// storeTakeovers is the number of takeover times that a chunk is left to members
	// that still have an origin quota before this member requests it from the store.
	storeTakeovers = 2
	// overQuotaTakeovers is the number of takeover times that a member which has used
	// up its quota waits before each fetch from the origin if there is no store.
	overQuotaTakeovers = 2
)

// source is the back-off state of the origin or the store.
type source struct {
	failures int // consecutive
	until    time.Time
}

func (s *source) succeeded() { *s = source{} }

func (s *source) down() bool { return s.failures >= downAfter }

// retry is the back-off state of one chunk whose upstream fetch failed.
type retry struct {
	attempts int
	at       time.Time
	// badSource is the source that last sent the chunk corrupt or did not have it;
	// SourcePeer if there is none.
	badSource SourceKind
}

// sourceOf returns the source of an upstream fetch and the earliest time at which it
// may start.
//
// The store is the last resort: for a chunk that the origin sent corrupt, and while the
// origin is down or this member's quota is used up. Unless this member ranks first, it
// waits first, so that members with remaining quota can fetch the chunk.
func (p *Plan) sourceOf(queue int, next upstreamFetch) (SourceKind, time.Time) {
	d := &p.upstream
	due := d.opened
	if queue != queueOrphan {
		due = d.dueAt(next)
	}
	tried := d.retries[next.chunk]
	due = later(due, tried.at)
	quota := d.charged < p.roster.quota
	atOrigin := later(due, d.origin.until)
	atStore := later(due, d.store.until)
	if queue != queueOwn && !d.origin.down() && tried.badSource != SourceOrigin {
		atStore = later(due.Add(storeTakeovers*p.settings.TakeoverDelay), d.store.until)
	}
	switch {
	case p.settings.NoStore && (quota || queue == queueOwn && tried.attempts == 0):
		// The chunks assigned to the first in rank add up to one copy for the whole
		// fleet.
		return SourceOrigin, atOrigin
	case p.settings.NoStore:
		return SourceOrigin, atOrigin.Add(overQuotaTakeovers * p.settings.TakeoverDelay)
	case !quota:
		return SourceStore, atStore
	case tried.badSource == SourceStore, tried.badSource == SourceOrigin && d.store.down():
		return SourceOrigin, atOrigin
	case tried.badSource == SourceOrigin, d.origin.down() && atStore.Before(atOrigin):
		return SourceStore, atStore
	default:
		return SourceOrigin, atOrigin
	}
}

// startUpstreamFetch starts an upstream fetch. It charges the quota before the first
// byte can be sent, so that the fleet-wide limit holds at all times.
func (p *Plan) startUpstreamFetch(now time.Time, chunk int, kind SourceKind) Fetch {
	if kind == SourceOrigin {
		p.upstream.charged++
		p.upstream.runningOrigin++
		p.originBytes += int64(p.chunks[chunk].Bytes)
	} else {
		p.upstream.runningStore++
	}
	return p.begin(now, Fetch{Chunk: chunk, Source: kind})
}

// upstreamFetchFailed records a failed upstream fetch and backs off from the source and
// for the chunk.
func (p *Plan) upstreamFetchFailed(now time.Time, failed running, reason Reason, retryAfter time.Duration) {
	d := &p.upstream
	from := &d.store
	if failed.Source == SourceOrigin {
		from = &d.origin
		if !reason.mayHaveTransferred() {
			d.charged--
			p.originBytes -= int64(p.chunks[failed.Chunk].Bytes)
		}
	}
	tried := d.retries[failed.Chunk]
	tried.attempts++
	tried.at = now.Add(p.jitter(doubling(retryPauseMin, tried.attempts, p.settings.SourcePauseMax)))
	if reason == ReasonCorrupt || reason == ReasonMissing {
		tried.badSource = failed.Source
	}
	if reason != ReasonLocal {
		from.failures++
		pause := doubling(sourcePauseMin, from.failures, p.settings.SourcePauseMax)
		if retryAfter > 0 {
			pause = retryAfter
		}
		from.until = later(from.until, now.Add(p.jitter(pause)))
	}
	d.retries[failed.Chunk] = tried
}

// mayHaveTransferred reports whether a fetch that failed for this reason may have
// transferred bytes.
func (r Reason) mayHaveTransferred() bool {
	switch r {
	case ReasonStalled, ReasonCorrupt, ReasonGone, ReasonLocal:
		return true
	default:
		return false
	}
}
