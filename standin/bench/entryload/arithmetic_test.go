package entryload

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/standin/bench/slopes"
	"chivespindle.example/standin/bench/slopes/usage"
)

var _ = Describe("Cost", func() {
	It("is the increase of the counters per request", func() {
		before := counters{cpu: time.Second, mallocs: 1000}
		after := counters{cpu: 3 * time.Second, mallocs: 251_000}
		Expect(after.costSince(before, 1000)).To(Equal(Cost{PerCore: 500, Allocs: 250}))
	})

	It("is printed with the overhead of the request path", func() {
		r := Result{Through: 1500 * time.Microsecond, Direct: 600 * time.Microsecond, Requests: 900, Failed: 1,
			Entry: Cost{PerCore: 1700, Allocs: 258}, Agent: Cost{PerCore: 700, Allocs: 463}}
		Expect(r.String()).To(HavePrefix("bench=entry overhead_us=900 requests_per_core_s=1700 allocs=258 through_us=1500 direct_us=600 " +
			"agent_requests_per_core_s=700 agent_allocs=463 tokens=16 requests=900 failed=1 "))
	})
})

var _ = Describe("the cost of running streams", func() {
	It("is the mean per process and second", func() {
		before := []usage.Reading{{CPU: time.Second, RSS: 1}, {CPU: 2 * time.Second, RSS: 1}}
		after := []usage.Reading{{CPU: 2 * time.Second, RSS: 10}, {CPU: 5 * time.Second, RSS: 30}}
		Expect(perSecond(before, after, 4)).To(Equal(usage.Reading{CPU: 500 * time.Millisecond, RSS: 20}))
	})

	It("is measured up to the target number of streams per entry", func() {
		Expect(streamCounts()).To(Equal([]int{84, 168, 336}))
	})

	It("counts an agent's share of the streams", func() {
		all := []streamUsage{
			{streams: 84, tokens: 1900, entry: usage.Reading{CPU: 100 * time.Millisecond, RSS: 3}, agent: usage.Reading{CPU: 50 * time.Millisecond, RSS: 1}},
			{streams: 168, tokens: 3800, entry: usage.Reading{CPU: 150 * time.Millisecond, RSS: 4}, agent: usage.Reading{CPU: 70 * time.Millisecond, RSS: 2}},
		}
		found := streamSlopes(all)
		Expect(found[1].Points).To(Equal([]slopes.Point{{Size: 84, Value: 100}, {Size: 168, Value: 150}}))
		Expect(found[3].Points).To(Equal([]slopes.Point{{Size: 21, Value: 50}, {Size: 42, Value: 70}}))
		Expect(found[3].Target).To(Equal(39.0))
	})
})
