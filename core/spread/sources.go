package spread

import "time"

const (
	sourcePauseMin = 500 * time.Millisecond
	retryPauseMin  = 250 * time.Millisecond
	// downAfter is the number of failures in a row after which a source counts
	// as down.
	downAfter = 3
	// storeAfter is how many takeover times a chunk waits for members that
	// still have origin quota before this one asks the store for it.
	storeAfter = 2
	// beyondQuota is how many takeover times a member waits that has used up its
	// quota, where there is only the origin.
	beyondQuota = 2
)

// source is the back-off of the origin or the store.
type source struct {
	failures int // in a row
	until    time.Time
}

func (s *source) succeeded() { *s = source{} }

func (s *source) down() bool { return s.failures >= downAfter }

// retry is the back-off of one chunk whose draw failed.
type retry struct {
	attempts int
	at       time.Time
	// bad is the source that last sent it corrupt or lacked it; SourcePeer if
	// none did.
	bad SourceKind
}

// sourceOf returns from where and from when on a chunk can be drawn.
//
// The store is the last resort, for a chunk that the origin sent corrupt and
// while the origin is down or this member's quota is used up. Unless this
// member ranks first, it then leaves time to those that still have quota.
func (p *Plan) sourceOf(queue int, next draw) (SourceKind, time.Time) {
	d := &p.draws
	due := d.opened
	if queue != queueOrphan {
		due = d.dueAt(next)
	}
	tried := d.retries[next.chunk]
	due = later(due, tried.at)
	quota := d.charged < p.roster.quota
	atOrigin := later(due, d.origin.until)
	atStore := later(due, d.store.until)
	if queue != queueOwn && !d.origin.down() && tried.bad != SourceOrigin {
		atStore = later(due.Add(storeAfter*p.settings.Takeover), d.store.until)
	}
	switch {
	case p.settings.NoStore && (quota || queue == queueOwn && tried.attempts == 0):
		// What falls to the first in rank is one copy for the whole fleet.
		return SourceOrigin, atOrigin
	case p.settings.NoStore:
		return SourceOrigin, atOrigin.Add(beyondQuota * p.settings.Takeover)
	case !quota:
		return SourceStore, atStore
	case tried.bad == SourceStore, tried.bad == SourceOrigin && d.store.down():
		return SourceOrigin, atOrigin
	case tried.bad == SourceOrigin, d.origin.down() && atStore.Before(atOrigin):
		return SourceStore, atStore
	default:
		return SourceOrigin, atOrigin
	}
}

// startDraw charges the quota before the first byte can flow, so that the sum
// over the fleet holds at every moment.
func (p *Plan) startDraw(now time.Time, chunk int, kind SourceKind) Fetch {
	if kind == SourceOrigin {
		p.draws.charged++
		p.draws.runningOrigin++
		p.originBytes += int64(p.chunks[chunk].Bytes)
	} else {
		p.draws.runningStore++
	}
	return p.begin(now, Fetch{Chunk: chunk, Source: kind})
}

// drawFailed backs off from the source, or from the source for this chunk.
func (p *Plan) drawFailed(now time.Time, failed running, reason Reason, retryAfter time.Duration) {
	d := &p.draws
	from := &d.store
	if failed.Source == SourceOrigin {
		from = &d.origin
		if !reason.drewBytes() {
			d.charged--
			p.originBytes -= int64(p.chunks[failed.Chunk].Bytes)
		}
	}
	tried := d.retries[failed.Chunk]
	tried.attempts++
	tried.at = now.Add(p.jitter(doubling(retryPauseMin, tried.attempts, p.settings.SourcePauseMax)))
	if reason == ReasonCorrupt || reason == ReasonMissing {
		tried.bad = failed.Source
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

// drewBytes reports whether a failed draw may have moved bytes.
func (r Reason) drewBytes() bool {
	switch r {
	case ReasonStalled, ReasonCorrupt, ReasonGone, ReasonLocal:
		return true
	default:
		return false
	}
}
