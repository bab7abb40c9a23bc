package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets into which the span of a Window is
// divided.
const windowBuckets = 10

// Window limits retries to a share of the requests of a sliding time span, plus a
// fixed allowance. A Budget accrues tokens with time and may pay for a burst that
// exceeds a limit over all entries in some span; a Window never does.
type Window struct {
	ratio      float64
	bucketSpan time.Duration

	mu       sync.Mutex
	slack    float64
	start    time.Time
	requests [windowBuckets]float64
	retries  [windowBuckets]float64
	current  int
	granted  int // since the last call of Usage
	denied   int
}

// Usage is the use of a Window.
type Usage struct {
	// Granted and Denied are the numbers of retries since the last call of Usage.
	Granted, Denied int
	// Retries and Requests are the numbers in the span. Slack is the fixed allowance.
	Retries, Requests, Slack float64
}

// Usage returns the use of the window, and restarts the count of granted and denied
// retries.
func (w *Window) Usage(now time.Time) Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	u := Usage{
		Granted: w.granted, Denied: w.denied,
		Retries: sum(w.retries), Requests: sum(w.requests), Slack: w.slack,
	}
	w.granted, w.denied = 0, 0
	return u
}

// NewWindow returns an empty window. ratio is the number of retries that each
// request allows, slack the number allowed in every span in addition.
func NewWindow(now time.Time, span time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, bucketSpan: span / windowBuckets, start: now}
}

// SetSlack sets the fixed allowance, which is divided among the live entries.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// RecordRequest counts one new request.
func (w *Window) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.current]++
}

// TryRetry reports whether a retry is allowed, and counts it if so.
func (w *Window) TryRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if sum(w.retries)+1 > w.ratio*sum(w.requests)+w.slack {
		w.denied++
		return false
	}
	w.retries[w.current]++
	w.granted++
	return true
}

// advance clears the buckets that are older than the span.
func (w *Window) advance(now time.Time) {
	passed := int(now.Sub(w.start) / w.bucketSpan)
	if passed <= 0 {
		return
	}
	w.start = w.start.Add(time.Duration(passed) * w.bucketSpan)
	for range min(passed, windowBuckets) {
		w.current = (w.current + 1) % windowBuckets
		w.requests[w.current] = 0
		w.retries[w.current] = 0
	}
}

func sum(values [windowBuckets]float64) float64 {
	var total float64
	for _, v := range values {
		total += v
	}
	return total
}
