package delivery_test

import (
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/delivery"
)

var ok = delivery.Head{Status: 200, IsStream: true, Version: 1}

// begun returns the progress of a caller that has events of one run.
func begun(ids ...int64) *delivery.Progress {
	p := delivery.New(delivery.NoEvent)
	run, err := p.Accept(ok)
	Expect(err).NotTo(HaveOccurred())
	for _, id := range ids {
		Expect(p.Event(run, id)).To(BeTrue())
	}
	return p
}

func ofType(kind *errorx.Type) OmegaMatcher {
	return WithTransform(func(err error) bool { return errorx.IsOfType(err, kind) }, BeTrue())
}

var _ = Describe("An answer that has begun", func() {
	// Guards against a failure or another version that ends or continues a stream.
	DescribeTable("is not continued by",
		func(h delivery.Head) {
			_, err := begun(0, 1).Accept(h)
			Expect(err).To(ofType(delivery.NotContinued))
		},
		Entry("a failure", delivery.Head{Status: 500, Version: 1}),
		Entry("a failure in a stream", delivery.Head{Status: 500, IsStream: true, Version: 1}),
		Entry("a body that is no stream", delivery.Head{Status: 200, Version: 1}),
		Entry("another version", delivery.Head{Status: 200, IsStream: true, Version: 2}),
		Entry("no version", delivery.Head{Status: 200, IsStream: true}),
	)

	It("is not continued after an event without an id", func() {
		p := begun(0, delivery.NoEvent)
		Expect(p.MayResume()).To(BeFalse())
		_, err := p.Accept(ok)
		Expect(err).To(ofType(delivery.NotContinued))
	})

	// Guards against events that come twice, are missing or cannot be ordered.
	DescribeTable("is continued after the last event only",
		func(had, more []int64, passed []bool, fails bool) {
			p := begun(had...)
			run, err := p.Accept(ok)
			Expect(err).NotTo(HaveOccurred())
			for i, id := range more {
				pass, err := p.Event(run, id)
				if fails && i == len(more)-1 {
					Expect(err).To(ofType(delivery.OutOfOrder))
					return
				}
				Expect(err).NotTo(HaveOccurred())
				Expect(pass).To(Equal(passed[i]))
			}
			Expect(p.Finish(run)).To(Succeed())
		},
		Entry("by the next", []int64{0, 1}, []int64{2}, []bool{true}, false),
		Entry("by a run that repeats what the caller has", []int64{0, 1}, []int64{0, 1, 2}, []bool{false, false, true}, false),
		Entry("by ids with the same difference", []int64{10, 20}, []int64{30}, []bool{true}, false),
		Entry("by any higher id where the differences vary", []int64{1, 2, 5}, []int64{9}, []bool{true}, false),
		Entry("by one without an id behind the next", []int64{0, 1}, []int64{2, delivery.NoEvent}, []bool{true, true}, false),
		Entry("where an event without an id came before the last", []int64{0, delivery.NoEvent, 1}, []int64{2}, []bool{true}, false),
		Entry("where an event without an id came first", []int64{delivery.NoEvent, 10}, []int64{11}, []bool{true}, false),
		Entry("not by one without an id among those that the caller has", []int64{0, 1}, []int64{0, delivery.NoEvent}, []bool{false}, true),
		Entry("not by one too late", []int64{0, 1}, []int64{3}, nil, true),
		Entry("not by one too late after a single event", []int64{0}, []int64{2}, nil, true),
		Entry("not by one without an id", []int64{0, 1}, []int64{delivery.NoEvent}, nil, true),
		Entry("not by one that goes back", []int64{0, 1}, []int64{2, 2}, []bool{true}, true),
	)

	// Guards against a resumption without events that is taken for the rest.
	DescribeTable("is not ended by a run that does not reach its last event",
		func(ids ...int64) {
			p := begun(0, 1, 2)
			run, err := p.Accept(ok)
			Expect(err).NotTo(HaveOccurred())
			for _, id := range ids {
				Expect(p.Event(run, id)).To(BeFalse())
			}
			Expect(p.Finish(run)).To(ofType(delivery.OutOfOrder))
			Expect(p.Stage()).To(Equal(delivery.Partial))
		},
		Entry("without an event"),
		Entry("that repeats the first events", int64(0), int64(1)),
	)

	It("goes on with the run of before if another one did not follow", func() {
		p := begun(0)
		old, err := p.Accept(ok)
		Expect(err).NotTo(HaveOccurred())
		other, err := p.Accept(ok)
		Expect(err).NotTo(HaveOccurred())
		_, err = p.Event(other, 5)
		Expect(err).To(HaveOccurred())
		Expect(p.Event(old, 1)).To(BeTrue())
		Expect(p.LastEvent()).To(Equal(int64(1)))
	})

	// Guards against a second answer or a refusal behind the first events.
	It("takes no whole answer or refusal", func() {
		p := begun(0)
		Expect(p.Whole()).To(ofType(delivery.Illegal))
	})
})

var _ = Describe("An answer that has ended", func() {
	DescribeTable("takes nothing more",
		func(end func(*delivery.Progress, *delivery.Run)) {
			p := delivery.New(delivery.NoEvent)
			run, err := p.Accept(ok)
			Expect(err).NotTo(HaveOccurred())
			end(p, run)
			stage := p.Stage()
			_, err = p.Accept(ok)
			Expect(err).To(ofType(delivery.Illegal))
			_, err = p.Event(run, 7)
			Expect(err).To(ofType(delivery.Illegal))
			Expect(p.Finish(run)).To(ofType(delivery.Illegal))
			Expect(p.Whole()).To(ofType(delivery.Illegal))
			Expect(p.Stage()).To(Equal(stage))
		},
		Entry("complete", func(p *delivery.Progress, r *delivery.Run) { Expect(p.Finish(r)).To(Succeed()) }),
		Entry("whole", func(p *delivery.Progress, _ *delivery.Run) { Expect(p.Whole()).To(Succeed()) }),
		Entry("cut", func(p *delivery.Progress, _ *delivery.Run) { p.Cut() }),
	)

	It("is not cut once it is complete", func() {
		p := delivery.New(delivery.NoEvent)
		Expect(p.Whole()).To(Succeed())
		p.Cut()
		Expect(p.Stage()).To(Equal(delivery.Complete))
	})
})

var _ = Describe("An answer to a caller that has earlier events", func() {
	It("repeats none of them, and may have no more", func() {
		p := delivery.New(3)
		run, err := p.Accept(ok)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Event(run, 3)).To(BeFalse())
		Expect(p.HasStarted()).To(BeFalse())
		Expect(p.Finish(run)).To(Succeed())
	})
})

var _ = Describe("An answer to a caller that has later events than its server", func() {
	// Guards against a server that knows less than the caller, whose end is taken for the
	// end of the stream.
	It("is not complete", func() {
		p := delivery.New(3)
		run, err := p.Accept(ok)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Event(run, 1)).To(BeFalse())
		Expect(p.Finish(run)).To(ofType(delivery.OutOfOrder))
	})
})
