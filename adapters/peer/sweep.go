package peer

import "time"

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
	unusedSince := now.Add(-e.opts.UnusedTimeout)
	if !l.dialled {
		unusedSince = time.Time{}
	}
	if l.retireIfUnused(unusedSince) {
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
