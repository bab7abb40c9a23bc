package revision_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/revision"
)

// The platform's rate limit and the size of the fleet that shares it.
const (
	rateLimit = 2000 // calls per second of all readers
	processes = 3910
)

var errDown = failure.Unavailable.New("platform is down")

// callsPerSecond counts the calls of the whole fleet in each second of an hour.
// next returns the wait before each call of one process.
func callsPerSecond(next func(p *revision.ReadPlan, call int, now time.Duration) time.Duration) []int {
	const hour = 3600
	calls := make([]int, hour)
	for i := range uint64(processes) {
		plan := revision.NewReadPlan(revision.ReadOptions{}, rand.New(rand.NewPCG(i, 1)))
		now := time.Duration(0)
		for call := 0; ; call++ {
			now += next(plan, call, now)
			if now >= hour*time.Second {
				break
			}
			calls[int(now/time.Second)]++
		}
	}
	return calls
}

// TestReadPlanLeavesRateLimitToWatchers checks the total call rate of the
// fleet. The platform refuses calls beyond its rate limit, watches included. If
// the reads were synchronized, one event would lock out the watchers, and no
// configuration change would arrive for as long as the reads stay synchronized.
func TestReadPlanLeavesRateLimitToWatchers(t *testing.T) {
	const outage = 20 * time.Minute
	for name, c := range map[string]struct {
		next       func(p *revision.ReadPlan, call int, now time.Duration) time.Duration
		peak, mean int
	}{
		"the whole fleet starts, the platform is up": {
			peak: rateLimit * 6 / 10, mean: 10,
			next: func(p *revision.ReadPlan, call int, _ time.Duration) time.Duration {
				if call == 0 {
					return p.First()
				}
				return p.Next(nil, false)
			},
		},
		"the whole fleet starts while the platform is down": {
			peak: rateLimit * 6 / 10, mean: 30,
			next: func(p *revision.ReadPlan, call int, now time.Duration) time.Duration {
				if call == 0 {
					return p.First()
				}
				if now < outage {
					return p.Next(errDown, true)
				}
				return p.Next(nil, false)
			},
		},
		"a change reaches all processes and the platform stays stale": {
			peak: rateLimit * 3 / 10, mean: 20,
			next: func(p *revision.ReadPlan, call int, _ time.Duration) time.Duration {
				if call == 0 {
					return p.NextWhenBehind()
				}
				return p.Next(nil, true)
			},
		},
		"all processes get a retry time of 30 s": {
			peak: rateLimit * 3 / 10, mean: 20,
			next: func(p *revision.ReadPlan, call int, _ time.Duration) time.Duration {
				if call == 0 {
					return p.Next(failure.WithRetryAfter(failure.RateLimited.New("slow down"), 30*time.Second), false)
				}
				return p.Next(nil, false)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			calls := callsPerSecond(c.next)
			sum := 0
			for _, n := range calls {
				sum += n
			}
			t.Logf("peak %d calls a second, mean %.1f", slices.Max(calls), float64(sum)/float64(len(calls)))
			g.Expect(slices.Max(calls)).To(BeNumerically("<=", c.peak))
			g.Expect(sum / len(calls)).To(BeNumerically("<=", c.mean))
		})
	}
}

func newPlan() *revision.ReadPlan {
	return revision.NewReadPlan(revision.ReadOptions{}, rand.New(rand.NewPCG(1, 2)))
}

func TestReadPlanWaits(t *testing.T) {
	g := NewWithT(t)
	plan := newPlan()
	g.Expect(plan.First()).To(BeNumerically("<=", 4*time.Second))
	g.Expect(plan.Next(nil, false)).To(BeNumerically("~", 10*time.Minute, 5*time.Minute))
	for _, low := range []time.Duration{2, 4, 8, 16, 32, 64, 128} {
		wait := plan.Next(errDown, false)
		g.Expect(wait).To(BeNumerically(">=", low*time.Second))
		g.Expect(wait).To(BeNumerically("<=", 6*low*time.Second))
	}
	for range 100 {
		g.Expect(plan.Next(errDown, false)).To(BeNumerically("~", 10*time.Minute, 5*time.Minute))
	}
	asked := failure.WithRetryAfter(failure.RateLimited.New("slow down"), time.Hour)
	g.Expect(plan.Next(asked, false)).To(BeNumerically(">=", time.Hour))
	g.Expect(plan.Next(nil, false)).To(BeNumerically("~", 10*time.Minute, 5*time.Minute))
	g.Expect(plan.Next(errDown, false)).To(BeNumerically("<=", 12*time.Second))
}

// TestReadPlanPreventsBusyWatching covers two inconsistent copies of the
// platform: a watch after the revision of one is answered immediately with that
// of the other. A watcher that watched again at once would busy loop and use up
// the rate limit of all readers.
func TestReadPlanPreventsBusyWatching(t *testing.T) {
	g := NewWithT(t)
	plan := newPlan()
	g.Expect(plan.NextWatch(time.Millisecond, nil)).To(Equal(499 * time.Millisecond))
	g.Expect(plan.NextWatch(time.Minute, nil)).To(BeZero())
	g.Expect(plan.NextWatch(time.Millisecond, errDown)).To(BeNumerically(">=", 2*time.Second))
}
