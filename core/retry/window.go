package retry

import (
	"sync"
	"time"
)

// windowBuckets is how finely a Window forgets: in tenths of its span.
const windowBuckets = 10

// Window bounds repeats to a share of the requests of a sliding span and a
// fixed part. A Budget fills with time and may pay for a burst that a window
// over all entries does not allow; a Window never does.
type Window struct {
	ratio float64
	every time.Duration

	mu       sync.Mutex
	slack    float64
	start    time.Time
	requests [windowBuckets]float64
	repeats  [windowBuckets]float64
	at       int
}

// NewWindow returns an empty window. ratio is the number of repeats that each
// request allows, slack what is allowed besides in every span.
func NewWindow(now time.Time, span time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, every: span / windowBuckets, start: now}
}

// SetSlack changes the fixed part, which the entries share out among those
// that live.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// RecordRequest counts one new request.
func (w *Window) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	w.requests[w.at]++
}

// TryRetry counts one repeat and reports whether it is allowed; one that is not
// allowed does not count.
func (w *Window) TryRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	if sum(w.repeats)+1 > w.ratio*sum(w.requests)+w.slack {
		return false
	}
	w.repeats[w.at]++
	return true
}

// turn empties the buckets that the span has left behind.
func (w *Window) turn(now time.Time) {
	passed := int(now.Sub(w.start) / w.every)
	if passed <= 0 {
		return
	}
	w.start = w.start.Add(time.Duration(passed) * w.every)
	for range min(passed, windowBuckets) {
		w.at = (w.at + 1) % windowBuckets
		w.requests[w.at] = 0
		w.repeats[w.at] = 0
	}
}

func sum(values [windowBuckets]float64) float64 {
	var total float64
	for _, v := range values {
		total += v
	}
	return total
}
