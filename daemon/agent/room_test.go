package agent

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/admission"
)

var _ = Describe("room", func() {
	// The process stood still for ten seconds while requests ran, so they seem
	// to have taken that long. Then callers with two seconds to wait come to the
	// idle server. The first is let in, and those that it lets in one after the
	// other teach the room how fast the server is.
	// Seen without the exception for an idle server: each was refused, for ever.
	It("takes requests again after all have seemed slow", func() {
		now := time.Now()
		r := newRoom(now)
		for range 8 {
			r.waiting.Offer(now, admission.Urgency{}, r.tickets.Add(1), newTurn())
		}
		for range 8 {
			apply(r.waiting.Done(now, 10*time.Second))
		}
		for range 50 {
			leave, err := r.enter(context.Background(), 3, now.Add(2*time.Second))
			Expect(err).NotTo(HaveOccurred())
			leave(time.Millisecond)
		}
		leave, err := r.enter(context.Background(), 3, now.Add(2*time.Second))
		Expect(err).NotTo(HaveOccurred())
		second, err := r.enter(context.Background(), 3, now.Add(2*time.Second))
		Expect(err).NotTo(HaveOccurred(), "a second one beside the first")
		leave(time.Millisecond)
		second(time.Millisecond)
	})
})
