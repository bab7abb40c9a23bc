package retry_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/retry"
)

var start = time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)

func newPolicy(budget *retry.Budget) *retry.Policy {
	return retry.New(retry.Options{Budget: budget, Rand: rand.New(rand.NewPCG(1, 1))})
}

var _ = Describe("MayRetry", func() {
	// Guards against retries that repeat an effect or corrupt a response: a retry
	// of a request that has run could order a part twice, and a retry after a part
	// of the response was delivered would append the beginning of another response.
	DescribeTable("by the outcome of the attempt",
		func(outcome failure.Outcome, idempotent, delivered bool, want retry.Reason) {
			d := newPolicy(retry.NewBudget(start, retry.BudgetOptions{})).MayRetry(start, retry.Attempt{
				Outcome: outcome, Idempotent: idempotent, Delivered: delivered, Number: 1,
			})
			Expect(d.Reason).To(Equal(want))
			Expect(d.Retry).To(Equal(want == retry.Granted))
		},
		Entry("not run, idempotent", failure.NotRun, true, false, retry.Granted),
		Entry("not run, not idempotent", failure.NotRun, false, false, retry.Granted),
		Entry("unknown, idempotent", failure.Unknown, true, false, retry.Granted),
		Entry("unknown, not idempotent", failure.Unknown, false, false, retry.MayHaveRun),
		Entry("ran, idempotent", failure.Ran, true, false, retry.AlreadyRan),
		Entry("ran, not idempotent", failure.Ran, false, false, retry.AlreadyRan),
		Entry("not run, part delivered", failure.NotRun, true, true, retry.Delivered),
		Entry("unknown, idempotent, part delivered", failure.Unknown, true, true, retry.Delivered),
		Entry("ran, part delivered", failure.Ran, false, true, retry.Delivered),
	)

	DescribeTable("by the number of attempts and the time left",
		func(number int, left time.Duration, want retry.Reason) {
			attempt := retry.Attempt{Outcome: failure.NotRun, Number: number}
			if left != 0 {
				attempt.Deadline = start.Add(left)
			}
			d := newPolicy(retry.NewBudget(start, retry.BudgetOptions{})).MayRetry(start, attempt)
			Expect(d.Reason).To(Equal(want))
		},
		Entry("first, no deadline", 1, time.Duration(0), retry.Granted),
		Entry("second", 2, time.Minute, retry.Granted),
		Entry("third and last", 3, time.Minute, retry.AttemptsExhausted),
		Entry("time for another", 1, 100*time.Millisecond, retry.Granted),
		Entry("no time for another", 1, 40*time.Millisecond, retry.DeadlineTooClose),
		Entry("deadline passed", 1, -time.Second, retry.DeadlineTooClose),
	)

	It("takes no token for a retry it does not grant", func() {
		budget := retry.NewBudget(start, retry.BudgetOptions{})
		p := newPolicy(budget)
		p.MayRetry(start, retry.Attempt{Outcome: failure.Unknown, Number: 1})
		p.MayRetry(start, retry.Attempt{Outcome: failure.NotRun, Number: 3})
		p.MayRetry(start, retry.Attempt{Outcome: failure.NotRun, Number: 1, Deadline: start})
		Expect(budget.Tokens(start)).To(BeNumerically("==", 20))
	})

	// Every server fails for a minute. Without a budget, each request would be sent
	// three times, so that returning servers meet three times the normal load and
	// fail again, and the outage never ends.
	It("limits the number of attempts during an outage", func() {
		const perSecond, seconds = 100, 60
		budget := retry.NewBudget(start, retry.BudgetOptions{})
		p := newPolicy(budget)
		sent := 0
		for i := range perSecond * seconds {
			now := start.Add(time.Duration(i) * time.Second / perSecond)
			budget.Deposit(now)
			attempt := retry.Attempt{Outcome: failure.NotRun, Number: 1}
			sent++
			for p.MayRetry(now, attempt).Retry {
				attempt.Number++
				sent++
			}
		}
		requests := perSecond * seconds
		AddReportEntry("attempts for each request", float64(sent)/float64(requests))
		Expect(sent).To(BeNumerically("<=", requests*110/100+seconds+20))
		Expect(sent).To(BeNumerically(">=", requests*105/100))
	})

	// Guards against requests that failed together being retried together.
	It("draws pauses from the whole range, which doubles with each attempt", func() {
		p := newPolicy(retry.NewBudget(start, retry.BudgetOptions{}))
		for number, bound := range map[int]time.Duration{1: 20, 2: 40, 3: 80, 6: 500, 60: 500} {
			low, high := time.Hour, time.Duration(0)
			for range 200 {
				pause := p.Backoff(number)
				low, high = min(low, pause), max(high, pause)
			}
			bound *= time.Millisecond
			Expect(high).To(And(BeNumerically("<", bound), BeNumerically(">", bound*9/10)))
			Expect(low).To(BeNumerically("<", bound/10))
		}
	})
})

var _ = Describe("Budget", func() {
	It("allows a caller with little traffic one retry per second", func() {
		budget := retry.NewBudget(start, retry.BudgetOptions{Burst: 2})
		Expect(budget.Withdraw(start)).To(BeTrue())
		Expect(budget.Withdraw(start)).To(BeTrue())
		Expect(budget.Withdraw(start)).To(BeFalse())
		Expect(budget.Withdraw(start.Add(time.Second))).To(BeTrue())
		Expect(budget.Withdraw(start.Add(time.Second))).To(BeFalse())
	})

	// Guards against a clock that is set back and forward again, which could fill
	// the bucket for free.
	It("accrues nothing when the clock is set back", func() {
		budget := retry.NewBudget(start, retry.BudgetOptions{Burst: 1})
		Expect(budget.Withdraw(start)).To(BeTrue())
		Expect(budget.Withdraw(start.Add(-time.Hour))).To(BeFalse())
		Expect(budget.Withdraw(start)).To(BeFalse())
	})

	It("spends each token once with concurrent callers", func() {
		budget := retry.NewBudget(start, retry.BudgetOptions{Burst: 50})
		var paid atomic.Int64
		var workers sync.WaitGroup
		for range 8 {
			workers.Go(func() {
				for range 100 {
					if budget.Withdraw(start) {
						paid.Add(1)
					}
				}
			})
		}
		workers.Wait()
		Expect(paid.Load()).To(BeEquivalentTo(50))
	})
})

// For any sequence of requests and failures, retries never exceed what the
// requests, the elapsed time and the initial burst pay for.
func TestBudgetBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := retry.BudgetOptions{
			Ratio:     rapid.Float64Range(0.01, 1).Draw(t, "ratio"),
			PerSecond: rapid.Float64Range(0.1, 10).Draw(t, "per second"),
			Burst:     rapid.Float64Range(1, 50).Draw(t, "burst"),
		}
		budget := retry.NewBudget(start, o)
		now := start
		var requests, retries float64
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				budget.Deposit(now)
				requests++
			case 1:
				if budget.Withdraw(now) {
					retries++
				}
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		allowance := o.Burst + o.Ratio*requests + o.PerSecond*now.Sub(start).Seconds()
		NewWithT(t).Expect(retries).To(BeNumerically("<=", allowance+1e-6))
	})
}
