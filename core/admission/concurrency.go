package admission

import (
	"sync"
	"time"

	"chivespindle.example/core/defaults"
)

// ConcurrencyOptions configure a ConcurrencyLimit. Zero fields take the default.
type ConcurrencyOptions struct {
	// Min and Max bound the limit, Initial is its first value. The defaults are 2, 256
	// and 16.
	Min, Max, Initial int
	// Tolerance is the multiple of the unloaded latency up to which a server counts as
	// not overloaded. The default is 2.
	Tolerance float64
	// Window is how long results are collected before the limit may change. The default
	// is 1 s.
	Window time.Duration
}

// ConcurrencyLimit adapts the maximum number of requests in flight at a server.
//
// It compares the latency of each window with that of the unloaded server. If the
// latency exceeds the tolerance the limit falls in proportion; if the server refuses
// too many requests it falls by a fixed factor; otherwise it rises by one if the limit
// was needed. It settles at the point beyond which further requests only wait longer,
// without knowing the server's capacity.
type ConcurrencyLimit struct {
	options ConcurrencyOptions

	mu       sync.Mutex
	limit    float64
	unloaded float64 // seconds; 0 if not known yet
	window   window
}

type window struct {
	began    time.Time
	results  int
	declined int
	latency  float64 // sum, seconds
	peak     int     // most requests in flight
}

const (
	// minWindowResults is how many results a window needs before it is evaluated.
	minWindowResults = 5
	// declinedShare is the fraction of refusals above which the server counts as
	// overloaded.
	declinedShare = 0.05
	// declinedFactor is the factor by which the limit is then multiplied.
	declinedFactor = 0.9
	// minFactor bounds the decrease of the limit in one window.
	minFactor = 0.5
	// neededShare is the utilization from which the limit may rise.
	neededShare = 0.8
	// unloadedFall is the weight of a lower latency in the unloaded latency.
	unloadedFall = 0.5
	// quietShare is the utilization below which a higher latency is not caused by
	// load, so that the unloaded latency follows it.
	quietShare = 0.5
	// unloadedRise is the weight of a higher latency in a window below quietShare.
	unloadedRise = 0.05
	// unloadedRiseAtMin is the factor by which the unloaded latency rises in an
	// overloaded window at the minimum limit: the cause is then a slower server, not
	// load.
	unloadedRiseAtMin = 1.05
)

// NewConcurrencyLimit returns a limit at its initial value.
func NewConcurrencyLimit(now time.Time, o ConcurrencyOptions) *ConcurrencyLimit {
	const (
		defaultMin       = 2
		defaultMax       = 256
		defaultInitial   = 16
		defaultTolerance = 2
		defaultWindow    = time.Second
	)
	defaults.Set(&o.Min, defaultMin)
	defaults.Set(&o.Max, defaultMax)
	defaults.Set(&o.Initial, defaultInitial)
	defaults.Set(&o.Tolerance, defaultTolerance)
	defaults.Set(&o.Window, defaultWindow)
	initial := float64(min(max(o.Initial, o.Min), o.Max))
	return &ConcurrencyLimit{options: o, limit: initial, window: window{began: now}}
}

// Sample is the measurement of one completed request.
type Sample struct {
	// Latency is the time to the first part of the response, 0 if there was none.
	Latency time.Duration
	// InFlight is how many requests the server had in flight when this one started.
	InFlight int
	// Declined is true if the server refused the request for lack of capacity.
	Declined bool
}

// Limit returns the current limit.
func (c *ConcurrencyLimit) Limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.limit)
}

// Observe records one completed request.
func (c *ConcurrencyLimit) Observe(now time.Time, s Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &c.window
	w.peak = max(w.peak, s.InFlight)
	if s.Declined {
		w.declined++
	}
	if s.Latency > 0 {
		w.results++
		w.latency += s.Latency.Seconds()
	}
	if now.Sub(w.began) < c.options.Window || w.results+w.declined < minWindowResults {
		return
	}
	c.adapt()
	c.window = window{began: now}
}

// adapt adjusts the limit at the end of a window.
func (c *ConcurrencyLimit) adapt() {
	w := &c.window
	factor := 1.0
	if float64(w.declined) > declinedShare*float64(w.results+w.declined) {
		factor = declinedFactor
	}
	if w.results > 0 {
		factor = min(factor, c.gradient(w.latency/float64(w.results)))
	}
	switch {
	case factor < 1:
		c.limit *= max(minFactor, factor)
	case float64(w.peak) >= neededShare*c.limit:
		c.limit++
	}
	c.limit = min(max(c.limit, float64(c.options.Min)), float64(c.options.Max))
}

// gradient returns the ratio of the tolerated latency to the mean latency, at most 1,
// and updates the unloaded latency.
func (c *ConcurrencyLimit) gradient(mean float64) float64 {
	if c.unloaded == 0 {
		c.unloaded = mean
		return 1
	}
	tolerated := c.options.Tolerance * c.unloaded
	loaded := mean > tolerated
	switch {
	case mean < c.unloaded:
		c.unloaded += unloadedFall * (mean - c.unloaded)
	case float64(c.window.peak) < quietShare*c.limit:
		c.unloaded += unloadedRise * (mean - c.unloaded)
	case loaded && c.limit <= float64(c.options.Min):
		c.unloaded *= unloadedRiseAtMin
	}
	if !loaded {
		return 1
	}
	return tolerated / mean
}
