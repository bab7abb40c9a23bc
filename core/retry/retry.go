// Package retry decides whether a failed attempt of a request is retried.
//
// Retries are paid from a budget that grows with the number of requests, so that an
// outage does not multiply the load on the remaining servers.
//
// All methods of Budget are safe for concurrent use, and those of Policy if its
// Rand is; a *rand.Rand is not.
package retry

import (
	"math"
	"sync"
	"time"

	"chivespindle.example/core/defaults"
	"chivespindle.example/core/failure"
)

// Rand is the source of randomness. A *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Budget is a token bucket. Every request adds a fraction of a token, tokens also
// accrue with time, and every retry takes one.
type Budget struct {
	ratio     float64
	perSecond float64
	burst     float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// BudgetOptions configures a Budget. Zero fields take the default.
type BudgetOptions struct {
	// Ratio is the number of retries that each request pays for; default 0.1.
	Ratio float64
	// PerSecond is the number of tokens that accrue per second, for callers with
	// little traffic; default 1.
	PerSecond float64
	// Burst is the capacity of the bucket and its initial number of tokens; default
	// 20.
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

// Deposit counts one new request, but not a retry.
func (b *Budget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Withdraw pays for one retry and reports whether the budget sufficed.
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

// refill adds the tokens accrued since the last call. A clock that is set back adds
// none.
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
	// Outcome is the outcome of the failure; see failure.OutcomeOf.
	Outcome    failure.Outcome
	Idempotent bool
	// Delivered is true once any part of a response was sent to the client.
	Delivered bool
	// Number is the number of attempts made, including this one; 1 for the first.
	Number   int
	Deadline time.Time // of the request; zero if it has none
}

// Reason is why an attempt is or is not retried.
type Reason string

const (
	// Granted: the attempt is retried.
	Granted Reason = "granted"
	// Delivered: the client has received a part of the response, which the response
	// to another attempt would not continue.
	Delivered Reason = "delivered"
	// AlreadyRan: the request ran.
	AlreadyRan Reason = "ran"
	// MayHaveRun: the request may have run and must not run twice.
	MayHaveRun Reason = "may_have_run"
	// AttemptsExhausted: the maximum number of attempts was made.
	AttemptsExhausted Reason = "attempts"
	// DeadlineTooClose: the time before the deadline is too short for another
	// attempt.
	DeadlineTooClose Reason = "deadline"
	// BudgetExhausted: the budget is empty.
	BudgetExhausted Reason = "budget"
)

// Decision is the result of MayRetry.
type Decision struct {
	Retry  bool
	Pause  time.Duration // before the next attempt
	Reason Reason
}

// Options configures a Policy. Zero fields take the default.
type Options struct {
	// Budget pays for retries; required.
	Budget *Budget
	// Rand is required.
	Rand Rand
	// MaxAttempts is the maximum number of attempts, including the first; default
	// 3.
	MaxAttempts int
	// BackoffBase and BackoffMax bound the pause before a retry, which is drawn
	// from 0 to a bound of BackoffBase, doubled for each earlier retry, but at most
	// BackoffMax; default 20 ms and 500 ms.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// MinTimeLeft is the minimum time before the deadline for another attempt; default
	// 50 ms.
	MinTimeLeft time.Duration
}

// Policy decides whether failed attempts are retried.
type Policy struct {
	budget      *Budget
	rnd         Rand
	maxAttempts int
	backoffBase time.Duration
	backoffMax  time.Duration
	minTimeLeft time.Duration
}

// New returns a Policy.
func New(o Options) *Policy {
	const (
		defaultMaxAttempts = 3
		defaultBackoffBase = 20 * time.Millisecond
		defaultBackoffMax  = 500 * time.Millisecond
		defaultMinTimeLeft = 50 * time.Millisecond
	)
	return &Policy{
		budget:      o.Budget,
		rnd:         o.Rand,
		maxAttempts: defaults.Or(o.MaxAttempts, defaultMaxAttempts),
		backoffBase: defaults.Or(o.BackoffBase, defaultBackoffBase),
		backoffMax:  defaults.Or(o.BackoffMax, defaultBackoffMax),
		minTimeLeft: defaults.Or(o.MinTimeLeft, defaultMinTimeLeft),
	}
}

// MayRetry decides on a failed attempt and takes a token if it grants a retry.
func (p *Policy) MayRetry(now time.Time, a Attempt) Decision {
	if reason := forbidden(a); reason != "" {
		return Decision{Reason: reason}
	}
	if a.Number >= p.maxAttempts {
		return Decision{Reason: AttemptsExhausted}
	}
	pause := p.Backoff(a.Number)
	if !a.Deadline.IsZero() && now.Add(pause+p.minTimeLeft).After(a.Deadline) {
		return Decision{Reason: DeadlineTooClose}
	}
	if !p.budget.Withdraw(now) {
		return Decision{Reason: BudgetExhausted}
	}
	return Decision{Retry: true, Pause: pause, Reason: Granted}
}

// forbidden returns why the attempt must not be retried, or "" if it may be.
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

// Backoff returns the pause after the given attempt, drawn uniformly from 0 to the
// bound (full jitter), so that requests that failed together are not retried
// together.
func (p *Policy) Backoff(number int) time.Duration {
	bound := float64(p.backoffBase) * math.Pow(2, float64(max(0, number-1)))
	bound = min(bound, float64(p.backoffMax))
	return time.Duration(bound * p.rnd.Float64())
}
