package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chivespindle.example/core/admission"
)

var _ = Describe("Deadline", func() {
	const life = 7
	// The agent started an hour before the entry's clock shows start, and its
	// wall clock is of no matter.
	reading := func(seconds float64) admission.Reading {
		return admission.Reading{Life: life, Elapsed: time.Hour + time.Duration(seconds*float64(time.Second))}
	}

	// The entry is paused with a parts order in hand; its caller gave up and
	// asked another entry. Then the first wakes up and sends what it held.
	DescribeTable("refuses a request that comes after its caller gave up",
		func(reportTook, pause, transit float64, expired bool) {
			var echo admission.Echo
			echo.Observe(reading(0), after(reportTook))
			d, ok := echo.Deadline(after(reportTook), after(reportTook-1), after(reportTook+10))
			Expect(ok).To(BeTrue())
			arrived := reading(reportTook + pause + transit)
			Expect(d.Expired(arrived)).To(Equal(expired))
		},
		Entry("in time", 0.001, 0.0, 0.001, false),
		Entry("just in time", 0.001, 9.9, 0.001, false),
		Entry("after a pause", 0.001, 11.0, 0.001, true),
		Entry("after a stall of the link", 0.001, 0.0, 11.0, true),
		Entry("in time, by a report that was long under way", 5.0, 0.0, 1.0, false),
		Entry("in time, but by such a report not provably", 5.0, 0.0, 6.0, true),
	)

	// The agent restarted: what its clock showed before says nothing now.
	It("refuses a request reckoned by an earlier life of the agent", func() {
		var echo admission.Echo
		echo.Observe(reading(0), start)
		d, _ := echo.Deadline(start, start, after(10))
		Expect(d.Expired(admission.Reading{Life: life + 1, Elapsed: time.Second})).To(BeTrue())
		Expect(d.Asked(start, admission.Reading{Life: life + 1})).To(BeZero())
		Expect(admission.Deadline{}.Expired(reading(0))).To(BeTrue())
	})

	It("cannot be told before a report has come", func() {
		var echo admission.Echo
		_, ok := echo.Deadline(start, start, after(10))
		Expect(ok).To(BeFalse())
	})

	It("follows the agent into its next life", func() {
		var echo admission.Echo
		echo.Observe(reading(0), start)
		next := admission.Reading{Life: life + 1, Elapsed: time.Second}
		echo.Observe(next, after(1))
		shown, ok := echo.At(after(1))
		Expect(ok).To(BeTrue())
		Expect(shown).To(Equal(next))
	})

	It("reckons from the report that was under way for the shortest time", func() {
		var echo admission.Echo
		echo.Observe(reading(0), after(0.01))
		echo.Observe(reading(1), after(4))
		now, _ := echo.At(after(5))
		Expect(now.Elapsed).To(BeNumerically("~", reading(4.99).Elapsed, 10*time.Millisecond))
	})
})

// Whatever reports are held up, reordered or lost, and though the clocks run
// apart, the entry's reckoning never runs ahead of the agent's clock: a late
// request would pass for a timely one.
func TestEchoNeverRunsAhead(t *testing.T) {
	const drift = 0.0002
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var echo admission.Echo
		seconds := func(label string, limit int) float64 {
			return float64(rapid.IntRange(0, limit*1000).Draw(t, label)) / 1000
		}
		rate := 1 + drift*float64(rapid.IntRange(-1, 1).Draw(t, "drift"))
		agent := func(now float64) time.Duration {
			return time.Hour + time.Duration(now*rate*float64(time.Second))
		}
		now := 0.0
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now += seconds("gap", 30)
			sent := now - seconds("under way", 5)
			echo.Observe(admission.Reading{Life: 1, Elapsed: agent(sent)}, after(now))
			now += seconds("later", 30)
			shown, ok := echo.At(after(now))
			g.Expect(ok).To(BeTrue())
			g.Expect(shown.Elapsed).To(BeNumerically("<=", agent(now)+time.Microsecond))
		}
	})
}
