package placement

import (
	"slices"
	"sync"
	"time"
)

const (
	// retryMargin is by how much the time left of a client retry falls short of
	// that of a new call on the same route: more than the time that a request takes
	// to arrive here, less than the shortest retry delay that callers are given.
	retryMargin = 100 * time.Millisecond
	// unknownSpreadShare is the share of the longest time seen below which a call
	// counts as a client retry while the spread of new calls' times is unknown: a
	// refusal makes a caller wait for at least a tenth of its time.
	unknownSpreadShare = 0.9
	// newCallSamples is the number of times of new calls that are kept for each
	// route. newCallRank is the index, from the shortest, of the sample that is
	// taken for the minimum, so that a single outlier does not decide.
	newCallSamples = 64
	newCallRank    = 1
)

// RetryDetector tells client retries after a refusal from new calls, by the time
// left until their deadline. It is safe for concurrent use.
//
// New calls need not all have the same timeout. If calls with a slightly shorter
// timeout than others were taken for retries, they would count as late and compete
// for the slots of late requests. Retries arrive only on new connections, so the
// times of new calls are learned from calls on reused connections.
type RetryDetector struct {
	mu     sync.Mutex
	routes map[string]*routeTimes
}

// routeTimes holds the times left of new calls on a route.
type routeTimes struct {
	longest time.Duration
	samples []time.Duration // ring buffer of the times of calls on reused connections
	next    int
	minimum time.Duration // 0 until such a call arrives
}

// IsClientRetry reports whether a call on a route with this time left is a client
// retry. isReused is true for a call on a connection that has carried an earlier
// call. A time of 0 means that the caller gave no deadline.
func (d *RetryDetector) IsClientRetry(route string, left time.Duration, isReused bool) bool {
	if left <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.timesOf(route)
	r.longest = max(r.longest, left)
	if isReused {
		r.addSample(left)
		return false
	}
	if r.minimum == 0 {
		return float64(left) < unknownSpreadShare*float64(r.longest)
	}
	return left < r.minimum-retryMargin
}

func (d *RetryDetector) timesOf(route string) *routeTimes {
	if d.routes == nil {
		d.routes = make(map[string]*routeTimes)
	}
	r := d.routes[route]
	if r == nil {
		r = &routeTimes{}
		d.routes[route] = r
	}
	return r
}

// addSample records the time left of a new call.
func (r *routeTimes) addSample(left time.Duration) {
	if len(r.samples) < newCallSamples {
		r.samples = append(r.samples, left)
	} else {
		r.samples[r.next] = left
		r.next = (r.next + 1) % newCallSamples
	}
	sorted := slices.Sorted(slices.Values(r.samples))
	r.minimum = sorted[min(newCallRank, len(sorted)-1)]
}
