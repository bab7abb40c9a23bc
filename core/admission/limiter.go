package admission

import (
	"math"
	"slices"
	"sync"
	"time"

	"chivespindle.example/core/defaults"
	"chivespindle.example/core/fleet"
)

// FairShare returns the max-min fair share of limit for one entry, given the demands that
// the other entries report: an entry that demands less than an equal share leaves the
// rest to those that demand more. others holds the demand of every other live entry, in
// requests per second. An entry that has not reported yet counts as math.Inf(1), which
// reserves an equal share for it.
//
// With a fixed equal share for every entry, a workspace whose clients use one entry of
// eight would get an eighth of its limit.
//
// If all entries know the same demands, they never admit more than limit together: each
// gets the common water level or demands less.
func FairShare(limit float64, others []float64) float64 {
	demands := slices.Sorted(slices.Values(others))
	left := limit
	claimants := float64(len(demands) + 1)
	for _, demand := range demands {
		if demand > left/claimants {
			break
		}
		left -= demand
		claimants--
	}
	return left / claimants
}

// LimiterOptions configure a Limiter. Zero fields take the default.
type LimiterOptions struct {
	// Rand is the source of jitter for pauses; required.
	Rand Rand
	// Burst is the time for which a workspace may accumulate tokens at its rate. The
	// default is 1 s. One token may always be accumulated.
	Burst time.Duration
	// DemandTime is the time constant of the measured demand. The default is 5 s.
	DemandTime time.Duration
}

// Limiter limits workspaces to this entry's share of their rate limits.
type Limiter struct {
	rnd        Rand
	burst      float64 // seconds
	demandTime float64 // seconds

	mu      sync.Mutex
	buckets map[fleet.Workspace]*bucket
	shares  int // number of buckets of workspaces with a share
}

// bucket is the token bucket and the measured demand of one workspace.
type bucket struct {
	limited  bool
	rate     float64 // requests per second
	burst    float64 // requests; 0 for LimiterOptions.Burst at rate
	tokens   float64
	demand   float64 // requests per second, admitted or not
	lastSeen time.Time
}

// NewLimiter returns a limiter without limits.
func NewLimiter(o LimiterOptions) *Limiter {
	const (
		defaultBurst      = time.Second
		defaultDemandTime = 5 * time.Second
	)
	defaults.Set(&o.Burst, defaultBurst)
	defaults.Set(&o.DemandTime, defaultDemandTime)
	return &Limiter{
		rnd:        o.Rand,
		burst:      o.Burst.Seconds(),
		demandTime: o.DemandTime.Seconds(),
		buckets:    map[fleet.Workspace]*bucket{},
	}
}

// SetShares sets this entry's shares, in requests per second. A workspace without a
// share has no limit. The control goroutine calls it when a limit, the number of entries
// or a reported demand changes.
func (l *Limiter) SetShares(now time.Time, shares map[fleet.Workspace]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.buckets {
		l.refill(now, b)
		_, named := shares[name]
		if !named && b.demand < negligible {
			delete(l.buckets, name)
			continue
		}
		b.limited = named
	}
	l.shares = len(shares)
	for name, rate := range shares {
		b := l.buckets[name]
		if b == nil {
			b = &bucket{lastSeen: now, tokens: math.Inf(1)}
			l.buckets[name] = b
		}
		b.limited = true
		b.rate = rate
		b.tokens = min(b.tokens, l.capacity(b))
	}
}

// SetBursts sets how many tokens each workspace may accumulate at this entry; a
// workspace without a value accumulates LimiterOptions.Burst. It must be called after
// SetShares, which adds the workspaces.
func (l *Limiter) SetBursts(now time.Time, bursts map[fleet.Workspace]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.buckets {
		l.refill(now, b)
		b.burst = bursts[name]
		b.tokens = min(b.tokens, l.capacity(b))
	}
}

// Callers choose the names of workspaces. The demand of those without a share, which may get
// one later, is measured within these bounds: a report of the demand must fit into a message to
// another entry.
const (
	maxUnshared  = 1024
	maxNameBytes = 256
)

// negligible is the demand, in requests per second, below which a workspace is dropped.
const negligible = 0.001

// Allow counts one request and reports whether it is within the share. If it is not,
// Allow also returns the time after which the client may retry.
func (l *Limiter) Allow(now time.Time, workspace fleet.Workspace) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[workspace]
	if b == nil {
		if len(workspace) > maxNameBytes || len(l.buckets)-l.shares >= maxUnshared {
			return true, 0
		}
		b = &bucket{lastSeen: now}
		l.buckets[workspace] = b
	}
	l.refill(now, b)
	b.demand += 1 / l.demandTime
	if !b.limited {
		return true, 0
	}
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	wait := time.Duration(math.MaxInt64)
	if b.rate > 0 {
		wait = time.Duration(min((1-b.tokens)/b.rate, maxPause.Seconds()) * float64(time.Second))
	}
	return false, jitter(wait, l.rnd)
}

// Demand returns the rate at which each workspace sends requests to this entry, in
// requests per second and whether admitted or not, to be reported to the other entries.
func (l *Limiter) Demand(now time.Time) map[fleet.Workspace]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := make(map[fleet.Workspace]float64, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(now, b)
		if b.demand >= negligible {
			demands[name] = b.demand
		}
	}
	return demands
}

// refill updates a bucket to now: tokens accumulate, the demand decays.
func (l *Limiter) refill(now time.Time, b *bucket) {
	passed := now.Sub(b.lastSeen).Seconds()
	if passed <= 0 {
		return
	}
	b.lastSeen = now
	b.tokens = min(l.capacity(b), b.tokens+passed*b.rate)
	b.demand *= math.Exp(-passed / l.demandTime)
}

func (l *Limiter) capacity(b *bucket) float64 {
	if b.burst > 0 {
		return max(1, b.burst)
	}
	return max(1, b.rate*l.burst)
}
