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
	// operatorReaders is how many entries of a region read what the operator
	// writes from the platform. The others take it from them: a configuration of
	// 1,650 routes is 410 KB, and fifteen copies of it took more than a second of
	// the 4 MB/s between two regions. The second is there for the moment in which
	// the first is lost; one that hears nothing from the platform says so and is
	// followed by the next.
	operatorReaders = 2
	// readAloneAfter is how long peers may be ahead, and none of them give what is
	// missing, until an entry reads the platform all the same; readAloneStep is how
	// much longer the next in rank waits, so that the first can give it what it has
	// read.
	readAloneAfter = time.Second
	readAloneStep  = 200 * time.Millisecond
)

// rank is this entry's place among those of its region.
func (g *Gateway) rank(now time.Time, entries []mesh.Entry) int {
	return rankIn(entries, g.opts.Self, g.opts.Place.Region, g.contact.reaches(now))
}

// rankIn is the place of an entry among those of its region that are heard and
// take requests. Those that the platform answers come first: one that it turns
// away cannot read for the others.
func rankIn(entries []mesh.Entry, self fleet.InstanceID, region fleet.Region, reaches bool) int {
	rank := 0
	for _, e := range entries {
		counts := e.Place.Region == region && e.Ready && !e.Leaving && !e.Silent
		before := e.Reaches && !reaches || e.Reaches == reaches && e.ID < self
		if counts && before {
			rank++
		}
	}
	return rank
}

// readsOperator reports whether this entry reads what the operator writes from
// the platform, and not from a peer.
func (g *Gateway) readsOperator(now time.Time, rank int) bool {
	if g.opts.Off.FewWatchers || g.snapshot.Config == nil || g.doubtful || rank < operatorReaders {
		return true
	}
	alone := readAloneAfter + time.Duration(rank-operatorReaders)*readAloneStep
	return !g.behindSince.IsZero() && now.Sub(g.behindSince) > alone
}

// followAnew ends the call to the platform that runs if something else is to be
// read now: another part of the catalog, or only what follows on a first catalog
// that a peer gave while it was being listed.
func (g *Gateway) followAnew(before, now *view) {
	if before == nil {
		return
	}
	isFirst := before.table == nil && now.table != nil
	if isFirst {
		g.reading.end()
	}
	if before.readsOperator == now.readsOperator {
		return
	}
	g.opts.Logger.Info("reads_operator", zap.Bool("reads", now.readsOperator), zap.Int("rank", now.rank),
		zap.Int64("as_of", int64(now.operatorAsOf)))
	if now.readsOperator {
		g.reading.end()
		return
	}
	g.reading.endIfWaiting()
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
