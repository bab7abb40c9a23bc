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
	const incarnation = 7
	// The agent started an hour before start on the entry's clock. Its wall clock does
	// not matter.
	reading := func(seconds float64) admission.ClockReading {
		return admission.ClockReading{Incarnation: incarnation, Elapsed: time.Hour + time.Duration(seconds*float64(time.Second))}
	}

	// The entry is paused while it holds a request. Its client gives up and sends the
	// request to another entry. Then the first entry resumes and sends the request.
	DescribeTable("refuses a request that arrives after its client gave up",
		func(reportTook, pause, transit float64, expired bool) {
			var clock admission.RemoteClock
			clock.Observe(reading(0), after(reportTook))
			d, ok := clock.Deadline(after(reportTook), after(reportTook-1), after(reportTook+10))
			Expect(ok).To(BeTrue())
			arrived := reading(reportTook + pause + transit)
			Expect(d.Expired(arrived)).To(Equal(expired))
		},
		Entry("in time", 0.001, 0.0, 0.001, false),
		Entry("just in time", 0.001, 9.9, 0.001, false),
		Entry("after a pause", 0.001, 11.0, 0.001, true),
		Entry("after a stall of the link", 0.001, 0.0, 11.0, true),
		Entry("in time, based on a delayed report", 5.0, 0.0, 1.0, false),
		Entry("in time, but not provably so with a delayed report", 5.0, 0.0, 6.0, true),
	)

	// After a restart of the agent, earlier readings of its clock are meaningless.
	It("refuses a request with a reading of an earlier incarnation of the agent", func() {
		var clock admission.RemoteClock
		clock.Observe(reading(0), start)
		d, _ := clock.Deadline(start, start, after(10))
		Expect(d.Expired(admission.ClockReading{Incarnation: incarnation + 1, Elapsed: time.Second})).To(BeTrue())
		Expect(d.ReceivedAt(start, admission.ClockReading{Incarnation: incarnation + 1})).To(BeZero())
		Expect(admission.Deadline{}.Expired(reading(0))).To(BeTrue())
	})

	It("is unknown before a report has been received", func() {
		var clock admission.RemoteClock
		_, ok := clock.Deadline(start, start, after(10))
		Expect(ok).To(BeFalse())
	})

	It("follows the agent into its next incarnation", func() {
		var clock admission.RemoteClock
		clock.Observe(reading(0), start)
		next := admission.ClockReading{Incarnation: incarnation + 1, Elapsed: time.Second}
		clock.Observe(next, after(1))
		shown, ok := clock.At(after(1))
		Expect(ok).To(BeTrue())
		Expect(shown).To(Equal(next))
	})

	It("uses the report with the shortest transit time", func() {
		var clock admission.RemoteClock
		clock.Observe(reading(0), after(0.01))
		clock.Observe(reading(1), after(4))
		now, _ := clock.At(after(5))
		Expect(now.Elapsed).To(BeNumerically("~", reading(4.99).Elapsed, 10*time.Millisecond))
	})
})

// Whatever reports are delayed, reordered or lost, and despite clock drift, the entry's
// estimate never runs ahead of the agent's clock. Otherwise a late request would be
// treated as timely.
func TestRemoteClockNeverRunsAhead(t *testing.T) {
	const drift = 0.0002
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var clock admission.RemoteClock
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
			clock.Observe(admission.ClockReading{Incarnation: 1, Elapsed: agent(sent)}, after(now))
			now += seconds("later", 30)
			shown, ok := clock.At(after(now))
			g.Expect(ok).To(BeTrue())
			g.Expect(shown.Elapsed).To(BeNumerically("<=", agent(now)+time.Microsecond))
		}
	})
}
