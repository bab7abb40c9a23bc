package admission

import (
	"math"
	"slices"
	"sync"
	"time"

	"chivespindle.example/core/defaults"
	"chivespindle.example/core/fleet"
)

// FairShare returns how much of limit an entry may take while each of the
// others demands what it reports, max-min fair: an entry that demands less
// than an even part leaves the rest to those that demand more. others holds
// the demand of every other live entry, in requests a second; an entry that
// has not reported yet counts as math.Inf(1), which reserves an even part.
//
// Were every entry held to an even part, a workspace whose callers use one
// entry of eight would get an eighth of its limit.
//
// If all entries know the same demands, what they admit together is never
// above limit: each gets the level of the common solution or demands less.
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

// LimiterOptions make a Limiter. Zero fields take the default.
type LimiterOptions struct {
	// Rand spreads pauses; required.
	Rand Rand
	// Burst is how long a workspace may save up its rate; 1 s. One request
	// may always be saved up.
	Burst time.Duration
	// DemandTime is the time constant of the measured demand; 5 s.
	DemandTime time.Duration
}

// Limiter holds workspaces to this entry's share of their limits.
type Limiter struct {
	rnd        Rand
	burst      float64 // seconds
	demandTime float64 // seconds

	mu      sync.Mutex
	buckets map[fleet.Workspace]*bucket
}

// bucket is the state of one workspace.
type bucket struct {
	limited  bool
	rate     float64 // requests a second
	burst    float64 // requests; 0: LimiterOptions.Burst at rate
	tokens   float64
	demand   float64 // requests a second, asked for
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

// SetShares puts this entry's shares in force, in requests a second. A
// workspace without a share has no limit. The control goroutine calls it
// when a limit, the number of entries or a reported demand changes.
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

// SetBursts puts in force how many requests each workspace may save up at this
// entry; a workspace without a value saves up LimiterOptions.Burst. It is
// called after SetShares, which makes the workspaces known.
func (l *Limiter) SetBursts(now time.Time, bursts map[fleet.Workspace]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.buckets {
		l.refill(now, b)
		b.burst = bursts[name]
		b.tokens = min(b.tokens, l.capacity(b))
	}
}

// negligible is the demand below which a workspace is forgotten.
const negligible = 0.001

// Allow counts one request and reports whether it is within the share; if
// not, when the client may retry.
func (l *Limiter) Allow(now time.Time, workspace fleet.Workspace) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[workspace]
	if b == nil {
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
		wait = time.Duration(min((1-b.tokens)/b.rate, longestPause.Seconds()) * float64(time.Second))
	}
	return false, spread(wait, l.rnd)
}

// Demand returns what each workspace asks of this entry, in requests a second
// and whether admitted or not, to be reported to the other entries.
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

// refill brings a bucket up to now: tokens grow, the demand fades.
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
