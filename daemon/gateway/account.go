package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/routing"
)

// accountEvery is the pause between two accounts of what became of calls: the
// resolution at which an engineer can lay them beside other events.
const accountEvery = time.Second

// callResult says what became of a call, and if its caller was served worse than the
// route wants, why.
type callResult string

const (
	// resultOnTime: the whole answer came as the route wants it.
	resultOnTime callResult = "on_time"
	// resultLateReturned: answered, and late since the caller was refused before.
	resultLateReturned callResult = "late_returned"
	// resultLateHeld: answered, and late since it waited here for a server.
	resultLateHeld callResult = "late_held"
	// resultLateRepeated: answered, and late since a server failed it before.
	resultLateRepeated callResult = "late_repeated"
	// resultLateFirst: placed at once, and its answer, of a stream its first event,
	// came later than the route's aim.
	resultLateFirst callResult = "late_first"
	// resultLatePause: begun in time, and with a pause longer than the route's aim.
	resultLatePause callResult = "late_pause"
	// resultAbandoned: the caller left.
	resultAbandoned callResult = "abandoned"
	// Those refused or failed have resultRefused and the verdict's reason after it.
	resultRefused callResult = "refused_"
	resultFailed  callResult = "failed_"
)

// accountKey is what calls are counted by.
type accountKey struct {
	route  string
	result callResult
}

// counted is what is counted.
type counted struct {
	calls int
	// excess is by how much the first events came later than predicted.
	excess time.Duration
}

// account counts what became of all calls, so that the logs account for each of
// them at a bounded number of lines. It is safe for concurrent use.
type account struct {
	mu     sync.Mutex
	counts map[accountKey]counted
	told   time.Time
}

func newAccount(now time.Time) *account {
	return &account{counts: make(map[accountKey]counted), told: now}
}

func (a *account) note(j *job, r callResult) {
	if j.route == nil {
		return // refused before it was known what was asked for
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	key := accountKey{j.route.Name, r}
	c := a.counts[key]
	c.calls++
	c.excess += j.excess()
	a.counts[key] = c
}

// tell writes a line for each route and result of the last while, if it is due.
func (a *account) tell(now time.Time, logger *zap.Logger) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.told) < accountEvery {
		return
	}
	span := now.Sub(a.told)
	a.told = now
	for _, key := range a.keys() {
		c := a.counts[key]
		logger.Info("call_results", zap.String("route", key.route), zap.String("result", string(key.result)),
			zap.Int("calls", c.calls), zap.Duration("span", span), zap.Duration("excess", c.excess/time.Duration(c.calls)))
	}
	clear(a.counts)
}

func (a *account) keys() []accountKey {
	keys := make([]accountKey, 0, len(a.counts))
	for key := range a.counts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b accountKey) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.result, b.result))
	})
	return keys
}

// excess is by how much the first event came later than it was predicted; 0 if
// nothing was predicted or nothing came.
func (j *job) excess() time.Duration {
	if j.firstAt.IsZero() || j.predictedFirst == 0 {
		return 0
	}
	return j.firstAt.Sub(j.placedAt) - j.predictedFirst
}

// servedResult tells how well a call was served.
func (j *job) servedResult(now time.Time) callResult {
	first := now
	if j.route.Kind == routing.Stream && !j.firstAt.IsZero() {
		first = j.firstAt
	}
	inAim := first.Sub(j.call.Arrived) <= j.route.TargetLatency
	switch {
	case j.returned:
		return resultLateReturned
	case !inAim && j.attempts > 1:
		return resultLateRepeated
	case !inAim && j.waits:
		return resultLateHeld
	case !inAim:
		return resultLateFirst
	case j.route.TargetPause > 0 && j.longestPause > j.route.TargetPause:
		return resultLatePause
	default:
		return resultOnTime
	}
}
