package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/placement"
)

// Calls on connections that had carried one before, and on new ones.
const (
	isKept = true
	isNew  = false
)

var _ = Describe("Patience", func() {
	It("takes callers for returned that have less time than others on the route", func() {
		var p placement.RetryDetector
		Expect(p.IsClientRetry("a", 6*time.Second, isNew)).To(BeFalse())
		Expect(p.IsClientRetry("a", 5990*ms, isNew)).To(BeFalse())
		Expect(p.IsClientRetry("a", 5*time.Second, isNew)).To(BeTrue())
		Expect(p.IsClientRetry("a", 0, isNew)).To(BeFalse())
	})

	// On another route callers have less time from the begin. None of them may
	// be treated as late for that.
	It("learns each route's time by itself", func() {
		var p placement.RetryDetector
		Expect(p.IsClientRetry("a", 6*time.Second, isNew)).To(BeFalse())
		Expect(p.IsClientRetry("b", time.Second, isNew)).To(BeFalse())
		Expect(p.IsClientRetry("b", 800*ms, isNew)).To(BeTrue())
	})

	// Callers' times lie a seventh apart. Judged by the longest, most new callers
	// counted as late, waited for the few places of late ones and were late then.
	It("learns from kept connections how far new callers' times lie apart", func() {
		var p placement.RetryDetector
		r := rand.New(rand.NewPCG(5, 6))
		fresh := func() time.Duration { return 5100*ms + time.Duration(r.Float64()*float64(900*ms)) }
		for range 200 {
			Expect(p.IsClientRetry("a", fresh(), isKept)).To(BeFalse(), "callers come back on new connections only")
		}
		wrong := 0
		for range 200 {
			if p.IsClientRetry("a", fresh(), isNew) {
				wrong++
			}
		}
		Expect(wrong).To(BeNumerically("<", 4))
		Expect(p.IsClientRetry("a", 4800*ms, isNew)).To(BeTrue())
	})

	It("is not misled by one caller with little time", func() {
		var p placement.RetryDetector
		p.IsClientRetry("a", time.Second, isKept)
		for range 10 {
			p.IsClientRetry("a", 6*time.Second, isKept)
		}
		Expect(p.IsClientRetry("a", 5*time.Second, isNew)).To(BeTrue())
	})
})
