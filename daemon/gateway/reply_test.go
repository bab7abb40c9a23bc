package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/core/delivery"
)

var _ = Describe("A reply that has begun", func() {
	// Guards against a second answer behind the first events, by whatever path.
	DescribeTable("is cut by a step that would answer anew, and writes nothing",
		func(step func(*reply, Answer)) {
			g, _ := newGateway()
			metrics := tally.NewTestScope("", nil)
			g.log = newRequestLog(start, zap.NewNop(), metrics)
			caller := &recorder{}
			r := newReply(g, &Call{ID: "c", LastEvent: delivery.NoEvent}, caller)
			answer := &scriptedAnswer{outcome: outcomes[0]}
			run, err := r.accept(answer)
			Expect(err).NotTo(HaveOccurred())
			event, err := answer.Next()
			Expect(err).NotTo(HaveOccurred())
			Expect(r.event(answer, run, event)).To(BeTrue())
			step(r, answer)
			Expect(r.isCut()).To(BeTrue())
			Expect(caller.heads).To(Equal(1))
			Expect(caller.refused).To(BeEmpty())
			Expect(caller.complete).To(BeFalse())
			Expect(metrics.Snapshot().Counters()).To(HaveKey("illegal_deliveries+"))
		},
		Entry("a refusal", func(r *reply, _ Answer) { r.refuse(Verdict{Code: Broken}) }),
		Entry("a whole answer", func(r *reply, a Answer) { Expect(r.whole(a, nil)).To(HaveOccurred()) }),
	)

	// Guards against a resumption that is sent to an engine of another version.
	It("is continued on the version that began it only", func() {
		g, _ := newGateway()
		j := &job{reply: newReply(g, &Call{ID: "c", LastEvent: delivery.NoEvent}, &recorder{})}
		Expect(j.mayContinueOn(2)).To(BeTrue())
		answer := &scriptedAnswer{outcome: outcomes[0]}
		run, err := j.reply.accept(answer)
		Expect(err).NotTo(HaveOccurred())
		event, err := answer.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(j.reply.event(answer, run, event)).To(BeTrue())
		Expect(j.mayContinueOn(answer.Version())).To(BeTrue())
		Expect(j.mayContinueOn(answer.Version() + 1)).To(BeFalse())
	})
})
