package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/delivery"
)

var _ = Describe("A comment in an event stream", func() {
	comment := eventstream.Event{ID: -1, Raw: []byte(": still here\n\n")}
	event := eventstream.Event{ID: 0, Raw: []byte("id: 0\ndata: x\n\n")}

	pass := func(caller Caller, events ...eventstream.Event) *reply {
		g, _ := newGateway()
		r := newReply(g, &Call{ID: "c", Arrived: time.Now(), LastEvent: -1}, caller)
		run, err := r.accept(emptyResponse{})
		Expect(err).NotTo(HaveOccurred())
		for _, e := range events {
			_, err := r.event(emptyResponse{}, run, e)
			Expect(err).NotTo(HaveOccurred())
		}
		return r
	}

	// Guards against a stream that is aborted instead of resumed because its last event
	// was followed by a comment.
	It("is forwarded and leaves the stream resumable", func() {
		caller := &textRecorder{}
		r := pass(caller, event, comment)
		Expect(caller.received()).To(Equal(string(event.Raw) + string(comment.Raw)))
		_, err := r.accept(emptyResponse{})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a comment that commits a response to a server before its first event.
	It("does not begin a response", func() {
		caller := &textRecorder{}
		r := pass(caller, comment)
		Expect(caller.received()).To(BeEmpty())
		Expect(r.progress.HasStarted()).To(BeFalse())
	})
})

var _ = Describe("A reply that has begun", func() {
	// Guards against a second response after the first events, on any code path.
	DescribeTable("is aborted by a step that would begin a second response, and writes nothing",
		func(step func(*reply, Response)) {
			g, _ := newGateway()
			metrics := tally.NewTestScope("", nil)
			g.log = newRequestLog(start, zap.NewNop(), metrics)
			caller := &responseRecorder{}
			r := newReply(g, &Call{ID: "c", LastEvent: delivery.NoEvent}, caller)
			answer := &scriptedResponse{outcome: outcomes[0]}
			run, err := r.accept(answer)
			Expect(err).NotTo(HaveOccurred())
			event, err := answer.Next()
			Expect(err).NotTo(HaveOccurred())
			Expect(r.event(answer, run, event)).To(BeTrue())
			step(r, answer)
			Expect(r.isAborted()).To(BeTrue())
			Expect(caller.heads).To(Equal(1))
			Expect(caller.refused).To(BeEmpty())
			Expect(caller.complete).To(BeFalse())
			Expect(metrics.Snapshot().Counters()).To(HaveKey("illegal_deliveries+"))
		},
		Entry("a refusal", func(r *reply, _ Response) { r.refuse(ErrorResponse{Code: ServerFailed}) }),
		Entry("a complete response", func(r *reply, a Response) { Expect(r.whole(a, nil)).To(HaveOccurred()) }),
	)

	// Guards against a resumption that is sent to an engine of another version.
	It("is continued only on the version that began it", func() {
		g, _ := newGateway()
		j := &job{reply: newReply(g, &Call{ID: "c", LastEvent: delivery.NoEvent}, &responseRecorder{})}
		Expect(j.mayContinueOn(2)).To(BeTrue())
		answer := &scriptedResponse{outcome: outcomes[0]}
		run, err := j.reply.accept(answer)
		Expect(err).NotTo(HaveOccurred())
		event, err := answer.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(j.reply.event(answer, run, event)).To(BeTrue())
		Expect(j.mayContinueOn(answer.Version())).To(BeTrue())
		Expect(j.mayContinueOn(answer.Version() + 1)).To(BeFalse())
	})
})
