package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/retry"
)

var _ = Describe("Window", func() {
	const span = 10 * time.Second

	It("allows the fixed part without any request", func() {
		w := retry.NewWindow(start, span, 0.2, 3)
		Expect(allowed(w, start, 10)).To(Equal(3))
	})

	It("allows a share of the requests of the span besides", func() {
		w := retry.NewWindow(start, span, 0.2, 0)
		for range 50 {
			w.RecordRequest(start)
		}
		Expect(allowed(w, start, 100)).To(Equal(10))
	})

	// All servers of a service fail for a minute. Whatever span is looked at, the
	// repeats that arrive are no more than the share of the requests in it.
	It("keeps the bound in every sliding span of an outage", func() {
		w := retry.NewWindow(start, span, 0.2, 5)
		var repeats []time.Time
		for tick := range 6000 {
			now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
			w.RecordRequest(now)
			if w.TryRetry(now) {
				repeats = append(repeats, now)
			}
		}
		const perSpan = 1000
		for first := range repeats {
			inSpan := 0
			for _, at := range repeats[first:] {
				if at.Sub(repeats[first]) < span*9/10 {
					inSpan++
				}
			}
			Expect(inSpan).To(BeNumerically("<=", perSpan*0.2+5))
		}
		Expect(len(repeats)).To(BeNumerically(">", 1000))
	})

	It("forgets what the span has left behind", func() {
		w := retry.NewWindow(start, span, 0, 2)
		Expect(allowed(w, start, 5)).To(Equal(2))
		Expect(allowed(w, start.Add(span+span/10), 5)).To(Equal(2))
	})

	It("takes a smaller fixed part when more entries share it", func() {
		w := retry.NewWindow(start, span, 0, 10)
		w.SetSlack(1)
		Expect(allowed(w, start, 5)).To(Equal(1))
	})
})

func allowed(w *retry.Window, now time.Time, tries int) int {
	n := 0
	for range tries {
		if w.TryRetry(now) {
			n++
		}
	}
	return n
}
