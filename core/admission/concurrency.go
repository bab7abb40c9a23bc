package admission

import (
	"sync"
	"time"

	"chivespindle.example/core/defaults"
)

// ConcurrencyOptions make a Concurrency. Zero fields take the default.
type ConcurrencyOptions struct {
	// Min and Max bound the limit, Initial is the first; 2, 256 and 16.
	Min, Max, Initial int
	// Tolerance is how many times the unloaded latency is still taken for
	// unloaded; 2.
	Tolerance float64
	// Window is how long results are gathered before the limit may change;
	// 1 s.
	Window time.Duration
}

// Concurrency adapts the number of requests in flight at a server.
//
// It compares the latency of each window with that of an unloaded server:
// well above it, or when the server refuses, the limit falls in proportion;
// else, and if the limit was needed, it rises by one. So it settles where
// more requests only wait longer, without knowing the server's capacity.
type Concurrency struct {
	options ConcurrencyOptions

	mu       sync.Mutex
	limit    float64
	unloaded float64 // seconds; 0: not known yet
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
	// minWindowResults is how many results a window needs to count.
	minWindowResults = 5
	// declinedShare is the share of refusals that counts as overload.
	declinedShare = 0.05
	// declinedFactor is what the limit falls to then.
	declinedFactor = 0.9
	// lowestFactor bounds the fall of the limit in one window.
	lowestFactor = 0.5
	// neededShare is the use of the limit above which it may rise.
	neededShare = 0.8
	// unloadedFall is the weight of a lower latency in the unloaded one.
	unloadedFall = 0.5
	// quietShare is the use of the limit below which a higher latency is not
	// due to load, so that the unloaded one follows it.
	quietShare = 0.5
	// unloadedRise is the weight of a higher latency in a quiet window.
	unloadedRise = 0.05
	// unloadedRiseAtMin is its rise in a loaded window at the least limit:
	// not load but a slower server is the cause then.
	unloadedRiseAtMin = 1.05
)

// NewConcurrency returns a limit at its initial value.
func NewConcurrency(now time.Time, o ConcurrencyOptions) *Concurrency {
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
	return &Concurrency{options: o, limit: initial, window: window{began: now}}
}

// Sample is one ended request.
type Sample struct {
	// Latency is the time to the first piece of the answer, 0 if none came.
	Latency time.Duration
	// InFlight is how many requests the server had when this one began.
	InFlight int
	// Declined is true if the server refused it for want of room.
	Declined bool
}

// Limit returns the present limit.
func (c *Concurrency) Limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.limit)
}

// Observe takes in one ended request.
func (c *Concurrency) Observe(now time.Time, s Sample) {
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

// adapt moves the limit after a full window.
func (c *Concurrency) adapt() {
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
		c.limit *= max(lowestFactor, factor)
	case float64(w.peak) >= neededShare*c.limit:
		c.limit++
	}
	c.limit = min(max(c.limit, float64(c.options.Min)), float64(c.options.Max))
}

// gradient returns how far the tolerated latency is below the given mean, 1
// if it is not, and brings the unloaded latency up to date.
func (c *Concurrency) gradient(mean float64) float64 {
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
