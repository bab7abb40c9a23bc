package peer

import (
	"context"
	"math"
	"time"

	"chivespindle.example/core/failure"
)

const sweepInterval = time.Second

// sweep closes unused connections, and retires outdated ones, until the
// endpoint is closed.
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
	for _, c := range e.liveConnections() {
		e.sweepConnection(c, now)
		if c.dialled {
			dialled++
		} else {
			accepted++
		}
	}
	e.metrics.dialled.live.Update(float64(dialled))
	e.metrics.accepted.live.Update(float64(accepted))
}

// sweepConnection retires an outdated connection, and closes one that is
// unused. An accepted connection that is not outdated is closed only by the
// side that dialled it.
func (e *Endpoint) sweepConnection(c *connection, now time.Time) {
	if c.outdated(e.opts.Keys, now) && c.retire() {
		e.metrics.outdated(c)
	}
	unused := e.opts.UnusedTimeout
	if !c.dialled {
		unused = math.MaxInt64
	}
	if c.retireIfUnused(now, unused) {
		_ = c.quic.CloseWithError(connUnused, "")
	}
}

func (e *Endpoint) liveConnections() []*connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	connections := make([]*connection, 0, len(e.connections))
	for c := range e.connections {
		connections = append(connections, c)
	}
	return connections
}

// drainInterval is how often Drain checks for running streams.
const drainInterval = 20 * time.Millisecond

// Drain prepares a planned stop. From its call on, new streams of peers are
// refused with the outcome failure.NotRun, while running ones continue. It
// returns once the last stream has ended and its response had a second
// (closeDelay) to arrive, or with failure.Timeout when ctx ends before. Open
// still works. Call Close, or end the context of Run, afterwards.
//
// A response that is larger than the flow-control window, and that the peer
// takes longer than that to read, may be truncated.
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
	for _, c := range e.liveConnections() {
		if c.dialled {
			continue
		}
		c.retire()
		if !c.retireIfUnused(now, closeDelay) {
			running++
		}
	}
	return running
}

// Stats are the totals over an endpoint's live connections. Bytes and packets
// are those of QUIC, without the headers of UDP and IP.
type Stats struct {
	Dialled         int
	Accepted        int
	BytesSent       uint64
	BytesReceived   uint64
	PacketsSent     uint64
	PacketsReceived uint64
}

// Stats returns the totals over the live connections. Closed connections are
// not included.
func (e *Endpoint) Stats() Stats {
	var sum Stats
	for _, c := range e.liveConnections() {
		if c.dialled {
			sum.Dialled++
		} else {
			sum.Accepted++
		}
		stats := c.quic.ConnectionStats()
		sum.BytesSent += stats.BytesSent
		sum.BytesReceived += stats.BytesReceived
		sum.PacketsSent += stats.PacketsSent
		sum.PacketsReceived += stats.PacketsReceived
	}
	return sum
}
