package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/retry"
)

var _ = Describe("Window", func() {
	const span = 10 * time.Second
	running := start.Add(-span) // when an entry started that has run for a span

	It("allows the entry's part of seven tenths of the fixed allowance without any request", func() {
		w := retry.NewWindow(running, retry.FleetBudget{Ratio: 0.2, Slack: 20, Window: span}, 4)
		Expect(allowed(w, start, 10)).To(Equal(3))
	})

	It("allows seven tenths of the ratio of the requests in the span", func() {
		w := retry.NewWindow(running, retry.FleetBudget{Ratio: 0.3, Window: span}, 4)
		for range 50 {
			w.RecordRequest(start)
		}
		Expect(allowed(w, start, 100)).To(Equal(10))
	})

	// All servers of a service fail for a minute. Within any sliding span, the
	// number of retries sent must not exceed the share of its requests plus the
	// allowance.
	It("keeps the limit in every sliding span of an outage", func() {
		w := retry.NewWindow(running, retry.FleetBudget{Ratio: 0.3, Slack: 8, Window: span}, 1)
		var repeats []time.Time
		for tick := range 6000 {
			now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
			w.RecordRequest(now)
			if w.TryRetry(now) {
				repeats = append(repeats, now)
			}
		}
		const perSpan = 1000
		const limit = 0.7 * (0.3*perSpan + 8)
		for first := range repeats {
			inSpan := 0
			for _, at := range repeats[first:] {
				if at.Sub(repeats[first]) < span {
					inSpan++
				}
			}
			Expect(inSpan).To(BeNumerically("<=", limit))
		}
		Expect(len(repeats)).To(BeNumerically(">", 1000))
	})

	It("allows three tenths of the budget to an entry that has just started, the fixed allowance bit by bit", func() {
		w := retry.NewWindow(start, retry.FleetBudget{Ratio: 0.2, Slack: 100, Window: span}, 3)
		Expect(allowed(w, start, 100)).To(Equal(0))
		Expect(allowed(w, start.Add(span/2), 100)).To(Equal(5))
		for range 50 {
			w.RecordRequest(start.Add(span / 2))
		}
		Expect(allowed(w, start.Add(span/2), 100)).To(Equal(3))
	})

	It("drops requests and retries older than the span", func() {
		w := retry.NewWindow(running, retry.FleetBudget{Slack: 3, Window: span}, 1)
		Expect(allowed(w, start, 5)).To(Equal(2))
		Expect(allowed(w, start.Add(span+span/10), 5)).To(Equal(2))
	})

	// Guards against a burst that is counted for less than a span.
	It("counts a retry for a whole span", func() {
		w := retry.NewWindow(running, retry.FleetBudget{Slack: 10, Window: span}, 1)
		const tenth = span / 10
		first := start.Add(tenth * 9 / 10)
		w.RecordRequest(start)
		Expect(allowed(w, first, 100)).To(Equal(7))
		Expect(allowed(w, first.Add(span-1), 100)).To(Equal(0))
		Expect(allowed(w, first.Add(span+tenth), 100)).To(Equal(7))
	})

	It("applies a reduced part of the fixed allowance", func() {
		w := retry.NewWindow(running, retry.FleetBudget{Slack: 10, Window: span}, 1)
		w.SetEntries(7)
		Expect(allowed(w, start, 5)).To(Equal(1))
	})
})

func allowed(w *retry.Window, now time.Time, attempts int) int {
	n := 0
	for range attempts {
		if w.TryRetry(now) {
			n++
		}
	}
	return n
}
