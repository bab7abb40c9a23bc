package balance

import (
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// minResults is how many results a failure rate needs before it is used.
	minResults = 8
	// failureWeight, serviceIntervalWeight, serverIntervalWeight and
	// durationWeight are the weights of the newest sample in the moving
	// averages.
	failureWeight         = 0.1
	serviceIntervalWeight = 0.05
	serverIntervalWeight  = 0.2
	durationWeight        = 0.05
	// slowFactor is by how much a server's piece interval may exceed that of
	// its service before the response counts as a failure of the server.
	slowFactor = 3
	// stallFailures is how many failures a stall counts as: it cost the caller
	// a whole timeout, and a dead link does not recover by itself.
	stallFailures = 2
	// defaultBusyTime is the delay after a refusal that specified none.
	defaultBusyTime = 250 * time.Millisecond
)

// openRequest is the unfinished request of a Choice.
type openRequest struct {
	tracker  *Tracker
	service  *serviceState
	server   *serverState
	settings *Settings
	pickedAt instant
}

// release removes the request from the counts and records its result.
func (r *openRequest) release(result Result) {
	r.service.inFlight.Add(-1)
	r.server.inFlight.Add(-1)
	now := r.tracker.instantOf(result.At)
	switch result.Kind {
	case Succeeded:
		r.recordSuccess(now, result.PieceInterval)
		updateMean(&r.service.duration, time.Duration(now-r.pickedAt), durationWeight)
	case Failed:
		r.recordFailure(now, 1)
	case Stalled:
		r.recordFailure(now, stallFailures)
	case Declined:
		delay := result.RetryAfter
		if delay <= 0 {
			delay = defaultBusyTime
		}
		r.server.busyUntil.Store(now + int64(delay))
	case Abandoned:
	}
}

// recordSuccess records a complete response.
//
// A server that is several times slower than the others of its service makes
// each of its callers wait, and sending it fewer requests does not speed it up.
// The choice of the cheaper of two gives it less work but never none, so its
// responses remain the slowest one percent. Several slow responses in a row
// therefore eject it just as failures do. The mean interval of the service is
// computed from clipped samples: one slow server hardly changes it, and if all
// servers slow down it follows them, so that none is ejected for what they all
// do.
func (r *openRequest) recordSuccess(now instant, interval time.Duration) {
	if interval <= 0 {
		r.server.recordSuccess(now, r.settings)
		return
	}
	updateMean(&r.server.pieceInterval, interval, serverIntervalWeight)
	mean := time.Duration(math.Float64frombits(r.service.pieceInterval.Load()) * float64(time.Second))
	slow := mean > 0 && interval > slowFactor*mean
	if mean > 0 {
		interval = min(interval, slowFactor*mean)
	}
	updateMean(&r.service.pieceInterval, interval, serviceIntervalWeight)
	if slow {
		r.recordFailure(now, 1)
		return
	}
	r.server.recordSuccess(now, r.settings)
}

// updateMean moves a mean, stored as the bits of a float64 in seconds, towards
// a sample. Losing a sample to a concurrent update does no harm to a mean.
func updateMean(mean *atomic.Uint64, sample time.Duration, weight float64) {
	value := math.Float64frombits(mean.Load())
	if value == 0 {
		value = sample.Seconds()
	}
	value += weight * (sample.Seconds() - value)
	mean.Store(math.Float64bits(value))
}

func (st *serverState) recordSuccess(now instant, settings *Settings) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.consecutiveFailures = 0
	st.results++
	st.failureRate -= failureWeight * st.failureRate
	if st.ejections > 0 && now >= st.slowStartFrom.Load()+int64(settings.SlowStartTime) {
		st.ejections = 0
	}
}

// recordFailure records failures and ejects the server if there were too many.
//
// A server that fails fast looks idle, so the choice of the cheaper of two
// alone would send it ever more requests and most callers would see errors. An
// ejection takes it out of service for a time that doubles with each relapse,
// with jitter so that the entries do not all return to it at once. At most half
// of a service's servers are ejected: if more seem to fail, the fault is more
// likely on this side.
func (r *openRequest) recordFailure(now instant, failures int) {
	jitter := r.tracker.jitter()
	service := r.service
	service.mu.Lock()
	defer service.mu.Unlock()
	st := r.server
	st.mu.Lock()
	defer st.mu.Unlock()
	st.consecutiveFailures += failures
	st.results++
	st.failureRate += failureWeight * (1 - st.failureRate)
	if !st.shouldEject(r.settings) || now < st.ejectedUntil.Load() {
		return
	}
	if !service.mayEject(now) {
		return
	}
	duration := backoff(r.settings.BaseEjection, r.settings.MaxEjection, st.ejections, jitter)
	end := now + int64(duration)
	st.ejectedUntil.Store(end)
	st.slowStartFrom.Store(end)
	st.ejections++
	st.consecutiveFailures = 0
	st.results = 0
	st.failureRate = 0
}

// shouldEject reports whether the failures suffice for an ejection. After a
// return from an ejection a single failure suffices, until the server has
// completed its slow start.
func (st *serverState) shouldEject(settings *Settings) bool {
	if st.ejections > 0 {
		return st.consecutiveFailures > 0
	}
	if st.consecutiveFailures >= settings.EjectAfterFailures {
		return true
	}
	return st.results >= minResults && st.failureRate >= settings.EjectFailureRate
}

// mayEject reports whether one more server of the service may be ejected.
func (g *serviceState) mayEject(now instant) bool {
	ejected := 1
	for _, st := range g.members {
		if now < st.ejectedUntil.Load() {
			ejected++
		}
	}
	return 2*ejected <= len(g.members)
}

// trimEjections ends the ejections that would leave more than half of a
// service's servers out after it has shrunk, starting with those that end
// first. It also counts ejections that may be over already, so it may end one
// too many.
func (g *serviceState) trimEjections() {
	var out []*serverState
	for _, st := range g.members {
		if st.ejectedUntil.Load() != unset {
			out = append(out, st)
		}
	}
	excess := len(out) - len(g.members)/2
	if excess <= 0 {
		return
	}
	slices.SortFunc(out, func(a, b *serverState) int {
		return int(min(1, max(-1, a.ejectedUntil.Load()-b.ejectedUntil.Load())))
	})
	for _, st := range out[:excess] {
		st.ejectedUntil.Store(unset)
	}
}

// backoff returns base doubled for each earlier ejection, capped at limit,
// times jitter.
func backoff(base, limit time.Duration, earlier int, jitter float64) time.Duration {
	duration := float64(base) * math.Pow(2, float64(earlier))
	duration = min(duration, float64(limit))
	return time.Duration(duration * jitter)
}
