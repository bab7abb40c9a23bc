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
	// minOutlierSamples is the number of times from which on the longest one may be an outlier.
	minOutlierSamples = 8
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
	all     timeSamples   // of all calls, until one on a reused connection arrives
	reused  timeSamples   // of calls on reused connections
	minimum time.Duration // 0 until such a call arrives
}

// timeSamples is a ring buffer of the latest times.
type timeSamples struct {
	times []time.Duration
	next  int
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
	if isReused {
		sorted := r.reused.add(left)
		r.minimum = sorted[min(newCallRank, len(sorted)-1)]
		r.all = timeSamples{}
		return false
	}
	if r.minimum == 0 {
		return float64(left) < unknownSpreadShare*float64(longest(r.all.add(left)))
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

// longest returns the longest of the sorted times, without an outlier. Callers choose the
// times, so a single one must not decide about all that follow.
func longest(sorted []time.Duration) time.Duration {
	last := len(sorted) - 1
	if len(sorted) >= minOutlierSamples {
		last--
	}
	return sorted[last]
}

// add adds a time and returns all in order.
func (s *timeSamples) add(left time.Duration) []time.Duration {
	if len(s.times) < newCallSamples {
		s.times = append(s.times, left)
	} else {
		s.times[s.next] = left
		s.next = (s.next + 1) % newCallSamples
	}
	return slices.Sorted(slices.Values(s.times))
}
