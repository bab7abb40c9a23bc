package admission_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chivespindle.example/core/admission"
	"chivespindle.example/core/fleet"
)

const workshop = fleet.Workspace("workshop-7")

// entries is a group of entries that share one workspace's limit. They receive each
// other's demand once a second, lag seconds late.
type entries struct {
	limit    float64
	limiters []*admission.Limiter
	reports  [][]float64 // by second, by entry
	lag      int
}

func newEntries(n int, limit float64, lag int) *entries {
	e := &entries{limit: limit, lag: lag}
	for i := range n {
		limiter := admission.NewLimiter(admission.LimiterOptions{Rand: newRand(uint64(i))})
		e.limiters = append(e.limiters, limiter)
	}
	return e
}

// exchange makes every entry compute its share at the given second.
func (e *entries) exchange(second int) {
	now := after(float64(second))
	report := make([]float64, len(e.limiters))
	for i, limiter := range e.limiters {
		report[i] = limiter.Demand(now)[workshop]
	}
	e.reports = append(e.reports, report)
	for i, limiter := range e.limiters {
		others := []float64{}
		for j := range e.limiters {
			if j != i {
				others = append(others, e.reportedBy(j))
			}
		}
		share := admission.FairShare(e.limit, others)
		limiter.SetShares(now, map[fleet.Workspace]float64{workshop: share})
	}
}

func (e *entries) reportedBy(entry int) float64 {
	i := len(e.reports) - 1 - e.lag
	if i < 0 || entry >= len(e.reports[i]) {
		return math.Inf(1)
	}
	return e.reports[i][entry]
}

// run sends each entry its demand as a Poisson process in the seconds [from, to) and
// returns how many requests were admitted in each second.
func (e *entries) run(from, to int, demands []float64) []int {
	admitted := make([]int, to-from)
	for second := from; second < to; second++ {
		e.exchange(second)
		for i, limiter := range e.limiters {
			rnd := newRand(uint64(second*1000 + i))
			for at := rnd.ExpFloat64() / demands[i]; at < 1; at += rnd.ExpFloat64() / demands[i] {
				if ok, _ := limiter.Allow(after(float64(second)+at), workshop); ok {
					admitted[second-from]++
				}
			}
		}
	}
	return admitted
}

// highest returns the highest rate over any ten seconds, as a fraction of limit.
func highest(admitted []int, limit float64) float64 {
	top := 0.0
	for i := 10; i <= len(admitted); i++ {
		top = max(top, float64(sum(admitted[i-10:i]))/10/limit)
	}
	return top
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

var _ = Describe("FairShare", func() {
	DescribeTable("gives",
		func(limit float64, others []float64, want float64) {
			Expect(admission.FairShare(limit, others)).To(BeNumerically("~", want, 1e-9))
		},
		Entry("everything to the only entry", 100.0, nil, 100.0),
		Entry("an equal share among entries that have not reported", 100.0, []float64{math.Inf(1), math.Inf(1), math.Inf(1)}, 25.0),
		Entry("what idle entries leave", 100.0, []float64{0, 0, 0}, 100.0),
		Entry("what entries with low demand leave", 100.0, []float64{10, 10, 20}, 60.0),
		Entry("an equal share among entries with high demand", 100.0, []float64{90, 90, 90}, 25.0),
		Entry("an equal share of what an entry with low demand leaves", 100.0, []float64{10, 90}, 45.0),
		Entry("nothing of a zero limit", 0.0, []float64{10}, 0.0),
	)
})

// If all entries know the same demands, they stay within the limit together and leave
// none of it unused while any entry demands it.
func TestFairSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		limit := rapid.Float64Range(0.1, 1000).Draw(t, "limit")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 20).Draw(t, "demands")
		wanted, taken := 0.0, 0.0
		for i, demand := range demands {
			others := append(append([]float64{}, demands[:i]...), demands[i+1:]...)
			wanted += demand
			taken += min(demand, admission.FairShare(limit, others))
		}
		g.Expect(taken).To(BeNumerically("~", min(limit, wanted), 1e-6*limit))
	})
}

var _ = Describe("Limiter", func() {
	// A workspace has a limit of 100 requests per second. Its clients must get that rate
	// whichever entries they use, and not much more.
	DescribeTable("keeps a workspace at its limit across all entries",
		func(demands []float64, low float64) {
			const limit = 100
			e := newEntries(len(demands), limit, 2)
			e.run(0, 30, demands)
			steady := e.run(30, 150, demands)
			mean := float64(sum(steady)) / 120 / limit
			top := highest(steady, limit)
			AddReportEntry("share of the limit", fmt.Sprintf("mean %.2f, highest over 10 s %.2f", mean, top))
			Expect(mean).To(BeNumerically(">=", low))
			Expect(top).To(BeNumerically("<=", 1.2))
		},
		Entry("equal demand at eight entries", []float64{40, 40, 40, 40, 40, 40, 40, 40}, 0.95),
		Entry("all demand at one entry", []float64{300, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}, 0.95),
		Entry("demand at two of eight", []float64{300, 40, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}, 0.95),
		Entry("demand just at the limit", []float64{60, 10, 5, 5, 5, 5, 5, 5}, 0.9),
	)

	// Entries are replaced while a workspace asks for three times its limit.
	DescribeTable("stays near the limit when the number of entries changes",
		func(before, now int, most float64) {
			const limit = 100
			e := newEntries(before, limit, 2)
			e.run(0, 60, demandOf(before, 300))
			for len(e.limiters) < now {
				e.limiters = append(e.limiters, admission.NewLimiter(admission.LimiterOptions{Rand: newRand(1)}))
			}
			e.limiters = e.limiters[:now]
			changed := e.run(60, 120, demandOf(now, 300))
			top := highest(changed[:10], limit)
			AddReportEntry("share of the limit", fmt.Sprintf("just after %.2f, then %.2f", top, highest(changed[20:], limit)))
			Expect(top).To(BeNumerically("<=", most))
			Expect(highest(changed[20:], limit)).To(BeNumerically("<=", 1.2))
			Expect(float64(sum(changed[20:])) / 40 / limit).To(BeNumerically(">=", 0.95))
		},
		Entry("six become eight", 6, 8, 1.3),
		Entry("eight become six", 8, 6, 1.3),
		Entry("eight become one", 8, 1, 1.3),
	)

	// Without jitter, clients refused in the same second would also retry in the same
	// second.
	It("tells refused clients when to retry, with jitter", func() {
		l := admission.NewLimiter(admission.LimiterOptions{Rand: newRand(1)})
		l.SetShares(start, map[fleet.Workspace]float64{workshop: 1})
		l.Allow(start, workshop)
		pauses := map[time.Duration]bool{}
		for range 100 {
			ok, pause := l.Allow(start, workshop)
			Expect(ok).To(BeFalse())
			Expect(pause).To(And(BeNumerically(">=", time.Second), BeNumerically("<", 3*time.Second)))
			pauses[pause.Truncate(100*time.Millisecond)] = true
		}
		Expect(len(pauses)).To(BeNumerically(">", 15))
	})

	It("refuses all requests of a workspace with a share of zero", func() {
		l := admission.NewLimiter(admission.LimiterOptions{Rand: newRand(1)})
		l.SetShares(start, map[fleet.Workspace]float64{workshop: 0})
		l.Allow(start, workshop)
		ok, pause := l.Allow(after(100), workshop)
		Expect(ok).To(BeFalse())
		Expect(pause).To(BeNumerically("<=", 90*time.Second))
	})

	// Guards against callers that make up workspaces, which take the memory of the entry and make
	// its reports of demand too long to be sent.
	It("measures the demand of a bounded number of workspaces without a limit", func() {
		l := admission.NewLimiter(admission.LimiterOptions{Rand: newRand(1)})
		l.SetShares(start, map[fleet.Workspace]float64{workshop: 1})
		long := strings.Repeat("x", 60<<10)
		for n := range 10_000 {
			name := fmt.Sprint(n)
			if n%100 == 0 {
				name = long + name
			}
			ok, _ := l.Allow(start, fleet.Workspace(name))
			Expect(ok).To(BeTrue())
		}
		size := 0
		for name := range l.Demand(start) {
			size += len(name)
		}
		Expect(size).To(BeNumerically("<", 512<<10), "a message of a peer has at most 1 MB")
		Expect(len(l.Demand(start))).To(BeNumerically("<", 2000))
		const other = "workshop-8"
		l.SetShares(start, map[fleet.Workspace]float64{workshop: 1, other: 1})
		for _, name := range []fleet.Workspace{workshop, other} {
			ok, _ := l.Allow(start, name)
			Expect(ok).To(BeTrue())
			ok, _ = l.Allow(start, name)
			Expect(ok).To(BeFalse(), "a workspace with a limit has its own count")
		}
	})

	It("admits a workspace without a limit and drops it when it is idle", func() {
		l := admission.NewLimiter(admission.LimiterOptions{Rand: newRand(1)})
		for range 1000 {
			ok, _ := l.Allow(start, workshop)
			Expect(ok).To(BeTrue())
		}
		Expect(l.Demand(start)).To(HaveKey(workshop))
		l.SetShares(after(120), nil)
		Expect(l.Demand(after(120))).To(BeEmpty())
	})
})

// demandOf spreads a demand evenly over n entries.
func demandOf(n int, total float64) []float64 {
	demands := make([]float64, n)
	for i := range demands {
		demands[i] = total / float64(n)
	}
	return demands
}

var _ = Describe("A workspace's burst", func() {
	// All clients of a workspace send requests at the same time after an idle period. The
	// configuration allows them a larger burst than the rate of one second. Without it they
	// would be refused although the workspace is within its limit.
	It("is what the configuration allows, and no more", func() {
		l := admission.NewLimiter(admission.LimiterOptions{Rand: newRand(1)})
		l.SetShares(start, map[fleet.Workspace]float64{workshop: 2})
		l.SetBursts(start, map[fleet.Workspace]float64{workshop: 6})
		l.SetBursts(after(3600), map[fleet.Workspace]float64{workshop: 6})
		admitted := 0
		for range 20 {
			if ok, _ := l.Allow(after(3600), workshop); ok {
				admitted++
			}
		}
		Expect(admitted).To(Equal(6))
	})
})
