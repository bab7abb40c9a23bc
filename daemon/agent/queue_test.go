package agent

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/admission"
)

var _ = Describe("requestQueue", func() {
	// The process was paused for ten seconds while requests ran, so they appear to
	// have taken that long. Callers with deadlines of two seconds then reach the
	// idle server. The first request is admitted, and the sequence of admitted
	// requests corrects the estimate. Without the exception for an idle server, all
	// of them are refused permanently.
	It("admits requests again after all have seemed slow", func() {
		now := time.Now()
		r := newRequestQueue(now)
		for range 8 {
			r.pending.Offer(now, admission.Urgency{}, r.lastID.Add(1), newWaiter())
		}
		for range 8 {
			notifyWaiters(r.pending.Done(now, 10*time.Second))
		}
		for range 50 {
			release, err := r.enter(context.Background(), 3, now.Add(2*time.Second))
			Expect(err).NotTo(HaveOccurred())
			release(time.Millisecond)
		}
		release, err := r.enter(context.Background(), 3, now.Add(2*time.Second))
		Expect(err).NotTo(HaveOccurred())
		releaseSecond, err := r.enter(context.Background(), 3, now.Add(2*time.Second))
		Expect(err).NotTo(HaveOccurred(), "a second request during the first")
		release(time.Millisecond)
		releaseSecond(time.Millisecond)
	})
})
