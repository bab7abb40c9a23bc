package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/placement"
)

// Whether a call arrives on a connection that has carried an earlier call.
const (
	isReused = true
	isNew    = false
)

var _ = Describe("RetryDetector", func() {
	It("takes calls with less time left than others on the route for retries", func() {
		var p placement.RetryDetector
		Expect(p.IsClientRetry("a", 6*time.Second, isNew)).To(BeFalse())
		Expect(p.IsClientRetry("a", 5990*ms, isNew)).To(BeFalse())
		Expect(p.IsClientRetry("a", 5*time.Second, isNew)).To(BeTrue())
		Expect(p.IsClientRetry("a", 0, isNew)).To(BeFalse())
	})

	// Callers of another route may have less time from the start. They must not
	// count as late for that.
	It("learns the times of each route separately", func() {
		var p placement.RetryDetector
		Expect(p.IsClientRetry("a", 6*time.Second, isNew)).To(BeFalse())
		Expect(p.IsClientRetry("b", time.Second, isNew)).To(BeFalse())
		Expect(p.IsClientRetry("b", 800*ms, isNew)).To(BeTrue())
	})

	// The times of new calls vary by a seventh. Guards against a comparison with
	// the longest one, with which most new calls count as late, wait for the few
	// slots of late requests and then really are late.
	It("learns the spread of new calls' times from reused connections", func() {
		var p placement.RetryDetector
		r := rand.New(rand.NewPCG(5, 6))
		newCallTime := func() time.Duration { return 5100*ms + time.Duration(r.Float64()*float64(900*ms)) }
		for range 200 {
			Expect(p.IsClientRetry("a", newCallTime(), isReused)).To(BeFalse(), "retries arrive on new connections only")
		}
		wrong := 0
		for range 200 {
			if p.IsClientRetry("a", newCallTime(), isNew) {
				wrong++
			}
		}
		Expect(wrong).To(BeNumerically("<", 4))
		Expect(p.IsClientRetry("a", 4800*ms, isNew)).To(BeTrue())
	})

	It("is not misled by a single call with little time left", func() {
		var p placement.RetryDetector
		p.IsClientRetry("a", time.Second, isReused)
		for range 10 {
			p.IsClientRetry("a", 6*time.Second, isReused)
		}
		Expect(p.IsClientRetry("a", 5*time.Second, isNew)).To(BeTrue())
	})

	// Guards against a caller that states an absurd timeout, after which all new calls of the
	// route count as late.
	It("is not misled for long by a single call with much time left", func() {
		var p placement.RetryDetector
		p.IsClientRetry("a", 1e9*time.Second, isNew)
		for range 10 {
			p.IsClientRetry("a", 6*time.Second, isNew)
		}
		Expect(p.IsClientRetry("a", 6*time.Second, isNew)).To(BeFalse())
		Expect(p.IsClientRetry("a", 5*time.Second, isNew)).To(BeTrue())
	})

	It("forgets the times of calls long ago", func() {
		var p placement.RetryDetector
		for range 3 {
			p.IsClientRetry("a", time.Hour, isNew)
		}
		for range 64 {
			p.IsClientRetry("a", 6*time.Second, isNew)
		}
		Expect(p.IsClientRetry("a", 6*time.Second, isNew)).To(BeFalse())
	})
})
