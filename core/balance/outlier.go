package balance

import (
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// minResults is how many results a failure rate needs before it counts.
	minResults = 8
	// failWeight, paceWeight, ownPaceWeight and durationWeight are the weights of the
	// newest sample in the moving averages.
	failWeight     = 0.1
	paceWeight     = 0.05
	ownPaceWeight  = 0.2
	durationWeight = 0.05
	// slowFactor is by how much a server's pace may exceed that of the service
	// before the answer counts as a failure of the server.
	slowFactor = 3
	// stallStrikes is what a stall counts in failures: it cost the caller a
	// whole timeout and a dead link does not mend by itself.
	stallStrikes = 2
	// defaultBusy is the pause after a refusal that named none.
	defaultBusy = 250 * time.Millisecond
)

// ticket is the open end of one Choice.
type ticket struct {
	tracker  *Tracker
	group    *group
	state    *state
	settings *Settings
	picked   instant
}

// finish takes the request off the counts and learns from its end.
func (tk *ticket) finish(result Result) {
	tk.group.inFlight.Add(-1)
	tk.state.inFlight.Add(-1)
	now := tk.tracker.since(result.At)
	switch result.Kind {
	case Succeeded:
		tk.succeeded(now, result.PieceInterval)
		average(&tk.group.duration, time.Duration(now-tk.picked), durationWeight)
	case Failed:
		tk.fail(now, 1)
	case Stalled:
		tk.fail(now, stallStrikes)
	case Declined:
		pause := result.RetryAfter
		if pause <= 0 {
			pause = defaultBusy
		}
		tk.state.busyUntil.Store(now + int64(pause))
	case Abandoned:
	}
}

// succeeded learns from a whole answer.
//
// A server that is several times as slow as the others of its service makes
// each of its callers wait, and holding fewer requests does not speed it up.
// Least-of-two gives it less work but never none, so its answers remain the
// slowest in a hundred. Several slow answers in a row therefore eject it as
// failures do. The pace of the service follows clipped samples: one slow server
// hardly moves it, and when all servers slow down it follows them, so that
// nobody is ejected for what all do.
func (tk *ticket) succeeded(now instant, pace time.Duration) {
	if pace <= 0 {
		tk.state.succeed(now, tk.settings)
		return
	}
	average(&tk.state.pace, pace, ownPaceWeight)
	usual := time.Duration(math.Float64frombits(tk.group.pace.Load()) * float64(time.Second))
	slow := usual > 0 && pace > slowFactor*usual
	if usual > 0 {
		pace = min(pace, slowFactor*usual)
	}
	average(&tk.group.pace, pace, paceWeight)
	if slow {
		tk.fail(now, 1)
		return
	}
	tk.state.succeed(now, tk.settings)
}

// average moves a mean, kept as the bits of a float64 in seconds, towards a
// sample. A sample lost to another goroutine's does no harm to a mean.
func average(mean *atomic.Uint64, sample time.Duration, weight float64) {
	value := math.Float64frombits(mean.Load())
	if value == 0 {
		value = sample.Seconds()
	}
	value += weight * (sample.Seconds() - value)
	mean.Store(math.Float64bits(value))
}

func (st *state) succeed(now instant, settings *Settings) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.strikes = 0
	st.results++
	st.failRate -= failWeight * st.failRate
	if st.ejections > 0 && now >= st.warmFrom.Load()+int64(settings.SlowStartTime) {
		st.ejections = 0
	}
}

// fail counts a failure and ejects the server if it was one too many.
//
// A server that fails fast looks idle, so least-of-two alone would send it
// ever more requests and callers would see most of them fail. Ejection takes
// it out for a time that doubles with each relapse, jittered so that the
// entries do not all come back to it at once. At most half of a service's
// servers are out: if more seem to fail, the fault is likelier on this side.
func (tk *ticket) fail(now instant, strikes int) {
	jitter := tk.tracker.jitter()
	g := tk.group
	g.mu.Lock()
	defer g.mu.Unlock()
	st := tk.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.strikes += strikes
	st.results++
	st.failRate += failWeight * (1 - st.failRate)
	if !st.failing(tk.settings) || now < st.ejectedUntil.Load() {
		return
	}
	if !g.mayEject(now) {
		return
	}
	length := backoff(tk.settings.BaseEjection, tk.settings.MaxEjection, st.ejections, jitter)
	end := now + int64(length)
	st.ejectedUntil.Store(end)
	st.warmFrom.Store(end)
	st.ejections++
	st.strikes = 0
	st.results = 0
	st.failRate = 0
}

// failing reports whether the failures suffice for an ejection. One failure
// does after a return, until the server has lasted through its slow start.
func (st *state) failing(settings *Settings) bool {
	if st.ejections > 0 {
		return st.strikes > 0
	}
	if st.strikes >= settings.EjectAfterFailures {
		return true
	}
	return st.results >= minResults && st.failRate >= settings.EjectFailureRate
}

// mayEject reports whether one more of the group may be ejected.
func (g *group) mayEject(now instant) bool {
	out := 1
	for _, st := range g.members {
		if now < st.ejectedUntil.Load() {
			out++
		}
	}
	return 2*out <= len(g.members)
}

// trimEjections ends the ejections that would leave more than half of a
// shrunken group out, those that end first first. It counts ejections that
// may be over already, which errs towards ending one too many.
func (g *group) trimEjections() {
	var out []*state
	for _, st := range g.members {
		if st.ejectedUntil.Load() != unset {
			out = append(out, st)
		}
	}
	excess := len(out) - len(g.members)/2
	if excess <= 0 {
		return
	}
	slices.SortFunc(out, func(a, b *state) int {
		return int(min(1, max(-1, a.ejectedUntil.Load()-b.ejectedUntil.Load())))
	})
	for _, st := range out[:excess] {
		st.ejectedUntil.Store(unset)
	}
}

// backoff returns base doubled for each earlier ejection, at most limit, times
// jitter.
func backoff(base, limit time.Duration, earlier int, jitter float64) time.Duration {
	length := float64(base) * math.Pow(2, float64(earlier))
	length = min(length, float64(limit))
	return time.Duration(length * jitter)
}
