package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/routing"
)

// resultLogInterval is the interval at which the results of calls are logged. It is the
// resolution at which they can be correlated with other events.
const resultLogInterval = time.Second

// callResult is the result of a call, with the reason if the call missed the target
// latency or target pause of its route.
type callResult string

const (
	// resultOnTime: the response met the target latency and target pause of its route.
	resultOnTime callResult = "on_time"
	// resultLateReturned: answered late, since the caller was refused before.
	resultLateReturned callResult = "late_returned"
	// resultLateHeld: answered late, since the call was held here for a server.
	resultLateHeld callResult = "late_held"
	// resultLateRepeated: answered late, since an earlier attempt failed.
	resultLateRepeated callResult = "late_repeated"
	// resultLateFirst: placed at once, but the response, or the first event of a
	// stream, came later than the route's target latency.
	resultLateFirst callResult = "late_first"
	// resultLatePause: started in time, but with a pause between two events that was
	// longer than the route allows.
	resultLatePause callResult = "late_pause"
	// resultAbandoned: the caller disconnected.
	resultAbandoned callResult = "abandoned"
	// resultRefused and resultFailed are prefixes of the reason of the error response.
	resultRefused callResult = "refused_"
	resultFailed  callResult = "failed_"
)

// resultKey identifies a counter of calls.
type resultKey struct {
	route  string
	result callResult
}

// resultStats holds the counters of one route and result.
type resultStats struct {
	calls int
	// excess is the sum of the delays of first events against their predictions.
	excess time.Duration
}

// resultCounter counts the results of all calls, so that the logs cover each of them in
// a bounded number of lines. It is safe for concurrent use.
type resultCounter struct {
	mu         sync.Mutex
	counts     map[resultKey]resultStats
	lastLogged time.Time
}

func newResultCounter(now time.Time) *resultCounter {
	return &resultCounter{counts: make(map[resultKey]resultStats), lastLogged: now}
}

func (a *resultCounter) record(j *job, r callResult) {
	if j.route == nil {
		return // refused before a route was found
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	key := resultKey{j.route.Name, r}
	c := a.counts[key]
	c.calls++
	c.excess += j.firstEventDelay()
	a.counts[key] = c
}

// logDue logs a line for each route and result since the last time, if one is due.
func (a *resultCounter) logDue(now time.Time, logger *zap.Logger) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.lastLogged) < resultLogInterval {
		return
	}
	span := now.Sub(a.lastLogged)
	a.lastLogged = now
	for _, key := range a.keys() {
		c := a.counts[key]
		logger.Info("call_results", zap.String("route", key.route), zap.String("result", string(key.result)),
			zap.Int("calls", c.calls), zap.Duration("span", span), zap.Duration("excess", c.excess/time.Duration(c.calls)))
	}
	clear(a.counts)
}

func (a *resultCounter) keys() []resultKey {
	keys := make([]resultKey, 0, len(a.counts))
	for key := range a.counts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b resultKey) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.result, b.result))
	})
	return keys
}

// firstEventDelay returns by how much the first event came later than predicted, 0 if there
// was no prediction or no event.
func (j *job) firstEventDelay() time.Duration {
	if j.firstEventAt.IsZero() || j.predictedFirst == 0 {
		return 0
	}
	return j.firstEventAt.Sub(j.placedAt) - j.predictedFirst
}

// servedResult classifies a call that was answered.
func (j *job) servedResult(now time.Time) callResult {
	first := now
	if j.route.Kind == routing.Stream && !j.firstEventAt.IsZero() {
		first = j.firstEventAt
	}
	onTime := first.Sub(j.call.Arrived) <= j.route.TargetLatency
	switch {
	case j.refusedBefore:
		return resultLateReturned
	case !onTime && j.attempts > 1:
		return resultLateRepeated
	case !onTime && j.wasHeld:
		return resultLateHeld
	case !onTime:
		return resultLateFirst
	case j.route.TargetPause > 0 && j.longestPause > j.route.TargetPause:
		return resultLatePause
	default:
		return resultOnTime
	}
}
