package peer

import (
	"context"
	"math"
	"time"

	"chivespindle.example/core/failure"
)

// sweepInterval is how often connections are looked through.
const sweepInterval = time.Second

// sweep closes unused connections until the endpoint is closed.
func (e *Endpoint) sweep() {
	defer e.work.Done()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.sweepOnce(now)
		}
	}
}

func (e *Endpoint) sweepOnce(now time.Time) {
	dialled, accepted := 0, 0
	for _, l := range e.snapshot() {
		e.sweepLink(l, now)
		if l.dialled {
			dialled++
		} else {
			accepted++
		}
	}
	e.metrics.dialled.live.Update(float64(dialled))
	e.metrics.accepted.live.Update(float64(accepted))
}

// sweepLink retires an outdated connection, and closes one that nothing uses.
// An accepted connection that is not outdated is left to the side that dialled
// it.
func (e *Endpoint) sweepLink(l *link, now time.Time) {
	if l.outdated(e.opts.Keys, now) && l.retire() {
		e.metrics.outdated(l)
	}
	unused := e.opts.UnusedTimeout
	if !l.dialled {
		unused = math.MaxInt64
	}
	if l.retireIfUnused(now, unused) {
		_ = l.conn.CloseWithError(connUnused, "")
	}
}

func (e *Endpoint) snapshot() []*link {
	e.mu.Lock()
	defer e.mu.Unlock()
	links := make([]*link, 0, len(e.links))
	for l := range e.links {
		links = append(links, l)
	}
	return links
}

// drainInterval is how often Drain looks whether streams still run.
const drainInterval = 20 * time.Millisecond

// Drain prepares a planned stop. From its call on, peers' new streams are
// refused with the outcome failure.NotRun, while those that run go on. It
// returns once the last has ended and its answer had a second to arrive, or
// with failure.Timeout when ctx ends before. Open still works. Call Close, or
// end the context of Run, afterwards.
//
// An answer that the peer is slower to read than that, and that is larger than
// the flow-control window, may lose its end.
func (e *Endpoint) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		running := e.drainStep()
		if running == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return failure.Timeout.Wrap(context.Cause(ctx), "drain: connections with running or fresh exchanges: %d", running)
		case <-ticker.C:
		}
	}
}

// drainStep retires the accepted connections and returns how many of them
// cannot be closed yet.
func (e *Endpoint) drainStep() int {
	running := 0
	now := time.Now()
	for _, l := range e.snapshot() {
		if l.dialled {
			continue
		}
		l.retire()
		if !l.retireIfUnused(now, linger) {
			running++
		}
	}
	return running
}

// Stats is what an endpoint's live connections have cost so far. Bytes and
// packets are those of QUIC, without the headers of UDP and IP.
type Stats struct {
	Dialled         int
	Accepted        int
	BytesSent       uint64
	BytesReceived   uint64
	PacketsSent     uint64
	PacketsReceived uint64
}

// Stats sums up over the live connections. A closed connection takes its part
// of the sums with it.
func (e *Endpoint) Stats() Stats {
	var sum Stats
	for _, l := range e.snapshot() {
		if l.dialled {
			sum.Dialled++
		} else {
			sum.Accepted++
		}
		stats := l.conn.ConnectionStats()
		sum.BytesSent += stats.BytesSent
		sum.BytesReceived += stats.BytesReceived
		sum.PacketsSent += stats.PacketsSent
		sum.PacketsReceived += stats.PacketsReceived
	}
	return sum
}
