package retry

import (
	"sync"
	"time"
)

// FleetBudget limits the retries that all entries together send to a service.
type FleetBudget struct {
	// Ratio is the number of retries allowed per request. Slack is the number
	// allowed in addition in every span of length Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// windowBuckets is the number of buckets into which the span of a Window is
	// divided.
	windowBuckets = 10
	// keptBuckets is one more: as the current bucket has only begun, a retry would
	// otherwise be dropped up to a bucket before its span is over.
	keptBuckets = windowBuckets + 1
	// steadyShare is the part of a FleetBudget that entries use which have run for a
	// span. Their windows do not start at the same time, so a request and its retry may
	// be counted in different windows.
	steadyShare = 0.7
	// startShare is the part that entries use before. The predecessor of an entry that
	// has started again may have used its steadyShare a moment ago.
	startShare = 1 - steadyShare
)

// Window is one entry's part of a FleetBudget: it limits retries to a share of the
// requests of a sliding time span, plus a part of the fixed allowance. A Budget accrues
// tokens with time and may pay for a burst that exceeds a limit over all entries in some
// span; a Window never does.
type Window struct {
	budget     FleetBudget
	bucketSpan time.Duration
	started    time.Time // when the entry started

	mu       sync.Mutex
	entries  int
	start    time.Time
	requests [keptBuckets]float64
	retries  [keptBuckets]float64
	current  int
	granted  int // since the last call of Usage
	denied   int
}

// NewWindow returns an empty window of an entry that started at a time and shares the
// budget with others. entries is the number of all of them.
func NewWindow(started time.Time, budget FleetBudget, entries int) *Window {
	return &Window{budget: budget, bucketSpan: budget.Window / windowBuckets, started: started, entries: entries, start: started}
}

// SetEntries sets the number of entries that share the budget.
func (w *Window) SetEntries(entries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = entries
}

// share returns the part of the budget that this entry uses.
func (w *Window) share(now time.Time) float64 {
	if now.Sub(w.started) < w.budget.Window {
		return startShare
	}
	return steadyShare
}

// slack returns this entry's part of the fixed allowance. It accrues over the first span,
// so that an entry that starts again and again has no more than one that keeps running.
func (w *Window) slack(now time.Time) float64 {
	accrued := min(1, now.Sub(w.started).Seconds()/w.budget.Window.Seconds())
	return accrued * w.share(now) * w.budget.Slack / float64(w.entries)
}

// limit returns how many retries are allowed in the span that ends now.
func (w *Window) limit(now time.Time) float64 {
	return w.share(now)*w.budget.Ratio*w.requestsInSpan() + w.slack(now)
}

// requestsInSpan returns the number of requests, without the bucket of which a part is
// older than the span.
func (w *Window) requestsInSpan() float64 {
	oldest := (w.current + 1) % keptBuckets
	return sum(w.requests) - w.requests[oldest]
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
		Retries: sum(w.retries), Requests: w.requestsInSpan(), Slack: w.slack(now),
	}
	w.granted, w.denied = 0, 0
	return u
}

// RecordRequest counts one new request.
func (w *Window) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.current]++
}

// MayRetry reports whether a retry would be allowed now.
func (w *Window) MayRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.isAllowed(now)
}

func (w *Window) isAllowed(now time.Time) bool { return sum(w.retries)+1 <= w.limit(now) }

// TryRetry reports whether a retry is allowed, and counts it if so.
func (w *Window) TryRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if !w.isAllowed(now) {
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
	switch {
	case passed <= 0:
		return
	case passed < keptBuckets:
		w.start = w.start.Add(time.Duration(passed) * w.bucketSpan)
	default:
		w.start = now
	}
	for range min(passed, keptBuckets) {
		w.current = (w.current + 1) % keptBuckets
		w.requests[w.current] = 0
		w.retries[w.current] = 0
	}
}

func sum(values [keptBuckets]float64) float64 {
	var total float64
	for _, v := range values {
		total += v
	}
	return total
}
