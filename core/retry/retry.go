// Package retry decides whether a failed attempt of a request is retried.
//
// Retries are paid from a budget that requests fill, so that an outage does
// not multiply the load on what is left.
//
// Safe for concurrent use: every method of Budget, and of Policy if its Rand
// is; a *rand.Rand is not.
package retry

import (
	"math"
	"sync"
	"time"

	"chivespindle.example/core/defaults"
	"chivespindle.example/core/failure"
)

// Rand is the source of chance. A *rand.Rand of math/rand/v2 fits.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Budget is a token bucket. Every request puts in a part of a token, time a
// few more, and every retry takes one out.
type Budget struct {
	ratio     float64
	perSecond float64
	burst     float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// BudgetOptions make a Budget. Zero fields take the default.
type BudgetOptions struct {
	// Ratio is the number of retries that each request pays for; 0.1.
	Ratio float64
	// PerSecond is the number of retries a second that are free, for callers
	// of little traffic; 1.
	PerSecond float64
	// Burst is the most tokens kept, and those at the start; 20.
	Burst float64
}

// NewBudget returns a full budget.
func NewBudget(now time.Time, o BudgetOptions) *Budget {
	const (
		defaultRatio     = 0.1
		defaultPerSecond = 1
		defaultBurst     = 20
	)
	b := &Budget{
		ratio:     defaults.Or(o.Ratio, defaultRatio),
		perSecond: defaults.Or(o.PerSecond, defaultPerSecond),
		burst:     defaults.Or(o.Burst, defaultBurst),
		last:      now,
	}
	b.tokens = b.burst
	return b
}

// Deposit counts one new request; not a retry.
func (b *Budget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Withdraw pays for one retry and reports whether there was enough.
func (b *Budget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries that could be paid for now.
func (b *Budget) Tokens(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens
}

// refill adds what time brought. A time that goes back brings nothing.
func (b *Budget) refill(now time.Time) {
	passed := now.Sub(b.last)
	if passed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(b.burst, b.tokens+passed.Seconds()*b.perSecond)
}

// Attempt is a failed attempt of a request.
type Attempt struct {
	// Outcome is that of the failure; see failure.OutcomeOf.
	Outcome    failure.Outcome
	Idempotent bool
	// Delivered is true once any part of a response was sent to the client.
	Delivered bool
	// Number counts the attempts made, this one included; 1 for the first.
	Number   int
	Deadline time.Time // of the request; zero: none
}

// Reason is why an attempt is or is not retried.
type Reason string

const (
	// Granted: the attempt is retried.
	Granted Reason = "granted"
	// Delivered: the client has a part of the response, which that of another
	// attempt would not continue.
	Delivered Reason = "delivered"
	// AlreadyRan: the request ran.
	AlreadyRan Reason = "ran"
	// MayHaveRun: the request may have run and must not run twice.
	MayHaveRun Reason = "may_have_run"
	// AttemptsExhausted: the attempts are used up.
	AttemptsExhausted Reason = "attempts"
	// DeadlineTooClose: the deadline leaves no time for another.
	DeadlineTooClose Reason = "deadline"
	// BudgetExhausted: the budget is empty.
	BudgetExhausted Reason = "budget"
)

// Decision is the answer of MayRetry.
type Decision struct {
	Retry  bool
	Pause  time.Duration // before the next attempt
	Reason Reason
}

// Options make a Policy. Zero fields take the default.
type Options struct {
	// Budget pays for retries; required.
	Budget *Budget
	// Rand is required.
	Rand Rand
	// MaxAttempts counts the first one too; 3.
	MaxAttempts int
	// BackoffBase and BackoffMax bound the pause before a retry, drawn from 0
	// to BackoffBase doubled for each retry before; 20 ms and 500 ms.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// MinTimeLeft is the least time before the deadline that makes an attempt
	// worth it; 50 ms.
	MinTimeLeft time.Duration
}

// Policy decides on retries.
type Policy struct {
	budget      *Budget
	rnd         Rand
	maxAttempts int
	backoffBase time.Duration
	backoffMax  time.Duration
	minTime     time.Duration
}

// New returns a Policy.
func New(o Options) *Policy {
	const (
		defaultMaxAttempts = 3
		defaultBackoffBase = 20 * time.Millisecond
		defaultBackoffMax  = 500 * time.Millisecond
		defaultMinTime     = 50 * time.Millisecond
	)
	return &Policy{
		budget:      o.Budget,
		rnd:         o.Rand,
		maxAttempts: defaults.Or(o.MaxAttempts, defaultMaxAttempts),
		backoffBase: defaults.Or(o.BackoffBase, defaultBackoffBase),
		backoffMax:  defaults.Or(o.BackoffMax, defaultBackoffMax),
		minTime:     defaults.Or(o.MinTimeLeft, defaultMinTime),
	}
}

// MayRetry decides on a failed attempt and takes a token if it grants one.
func (p *Policy) MayRetry(now time.Time, a Attempt) Decision {
	if reason := forbidden(a); reason != "" {
		return Decision{Reason: reason}
	}
	if a.Number >= p.maxAttempts {
		return Decision{Reason: AttemptsExhausted}
	}
	pause := p.Backoff(a.Number)
	if !a.Deadline.IsZero() && now.Add(pause+p.minTime).After(a.Deadline) {
		return Decision{Reason: DeadlineTooClose}
	}
	if !p.budget.Withdraw(now) {
		return Decision{Reason: BudgetExhausted}
	}
	return Decision{Retry: true, Pause: pause, Reason: Granted}
}

// forbidden returns why the attempt must never be repeated, "" if it may be.
func forbidden(a Attempt) Reason {
	switch {
	case a.Delivered:
		return Delivered
	case a.Outcome == failure.NotRun:
		return ""
	case a.Outcome == failure.Ran:
		return AlreadyRan
	case !a.Idempotent:
		return MayHaveRun
	default:
		return ""
	}
}

// Backoff returns a pause drawn evenly from 0 to the bound after attempt
// number (full jitter), so that requests which failed together do not come
// back together.
func (p *Policy) Backoff(number int) time.Duration {
	bound := float64(p.backoffBase) * math.Pow(2, float64(max(0, number-1)))
	bound = min(bound, float64(p.backoffMax))
	return time.Duration(bound * p.rnd.Float64())
}
