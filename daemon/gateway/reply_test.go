package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/eventstream"
)

var _ = Describe("A comment in an event stream", func() {
	comment := eventstream.Event{ID: -1, Raw: []byte(": still here\n\n")}
	event := eventstream.Event{ID: 0, Raw: []byte("id: 0\ndata: x\n\n")}

	pass := func(caller Caller, events ...eventstream.Event) *reply {
		g, _ := newGateway()
		r := newReply(g, &Call{ID: "c", Arrived: time.Now(), LastEvent: -1}, caller)
		run, err := r.accept(emptyAnswer{})
		Expect(err).NotTo(HaveOccurred())
		for _, e := range events {
			_, err := r.event(emptyAnswer{}, run, e)
			Expect(err).NotTo(HaveOccurred())
		}
		return r
	}

	// Guards against a stream that is cut, and not resumed, since its last event was
	// followed by a comment.
	It("is passed on and leaves the stream resumable", func() {
		caller := &reader{}
		r := pass(caller, event, comment)
		Expect(caller.got()).To(Equal(string(event.Raw) + string(comment.Raw)))
		_, err := r.accept(emptyAnswer{})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a comment that commits an answer to a server before its first event.
	It("does not begin an answer", func() {
		caller := &reader{}
		r := pass(caller, comment)
		Expect(caller.got()).To(BeEmpty())
		Expect(r.progress.HasBegun()).To(BeFalse())
	})
})
