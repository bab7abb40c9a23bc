package loader

import (
	"context"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"chivespindle.example/core/loading"
	"chivespindle.example/daemon/wire"
)

// An engine came to an order that it had not answered once other chunks had been
// let into its stage, and loaded a mixture.
var _ = Describe("An order that got no answer", func() {
	supply := wire.Supply{Model: "m"}
	var (
		ctx    context.Context
		cancel context.CancelFunc
		e      *engine
		s      *stage
		given  int // orders
		read   int // reports
	)

	BeforeEach(func() {
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		e = &engine{staged: make(map[int][]byte), reports: loading.Engine{Born: 1, Orders: loading.Orders{Reported: true}}, unanswered: 1}
		s = newStage(e, &origin{}, zap.NewNop())
		given, read = 0, 0
		e.onLoad = func() { given++ }
		e.onReport = func() { read++ }
		_, named, _, err := s.resolve(ctx, supply, 2)
		Expect(err).NotTo(HaveOccurred())
		for number := range chunks {
			Expect(s.Put(ctx, named.Manifest, number, chunk(2, number))).To(Succeed())
		}
	})

	isKept := func() bool {
		if s.writing.TryLock() {
			s.writing.Unlock()
			return false
		}
		return true
	}

	// after has f done at the engine while the order is open, before the report or
	// the order of that number is read.
	after := func(count *int, n int, f func()) func() {
		return func() {
			*count++
			if *count == n {
				Expect(isKept()).To(BeTrue(), "the stage is kept")
				f()
			}
		}
	}

	expectWhole := func() {
		GinkgoHelper()
		Expect(e.loaded).To(HaveLen(chunks))
		for number := range chunks {
			Expect(e.loaded[number]).To(Equal(chunk(2, number)))
		}
		Expect(e.orders).To(Equal(uint64(1)))
		Expect(isKept()).To(BeFalse(), "the stage is let go")
	}

	It("is settled by a report that tells of one order more", func() {
		e.onReport = after(&read, 2, e.takeWaiting)
		Expect(s.load(ctx, supply, 2)).To(Succeed())
		expectWhole()
		Expect(given).To(Equal(1))
	})

	It("is settled if it is taken just before its repeat", func() {
		e.onLoad = after(&given, 2, e.takeWaiting)
		Expect(s.load(ctx, supply, 2)).To(Succeed())
		expectWhole()
	})

	It("is settled by a repeat, and not taken after it", func() {
		Expect(s.load(ctx, supply, 2)).To(Succeed())
		e.takeWaiting()
		expectWhole()
	})

	// A repeat was declined for the engine's state. The order before it may be taken
	// once that has changed.
	It("is not settled by a repeat that is declined for another reason than its number", func() {
		e.onLoad = after(&given, 2, func() { e.refuses = true })
		e.onReport = after(&read, 3, e.takeWaiting)
		Expect(s.load(ctx, supply, 2)).To(Succeed())
		expectWhole()
	})

	It("is repeated for a stage that is whole", func() {
		e.onReport = after(&read, 2, func() { e.staged[1][0] ^= 1 })
		Expect(s.load(ctx, supply, 2)).To(Succeed())
		expectWhole()
	})

	// An engine may never answer again. What it had not come to is gone with its
	// process; without an end the agent would stage nothing for the next one.
	DescribeTable("is gone with the engine's process",
		func(replace func()) {
			e.orders = 3
			e.onReport = after(&read, 2, replace)
			err := s.load(ctx, supply, 2)
			Expect(err).To(MatchError(ContainSubstring("replaced")))
			Expect(errorx.IsOfType(err, Declined)).To(BeFalse(), "the new process has declined nothing")
			Expect(given).To(Equal(1))
			Expect(isKept()).To(BeFalse(), "the stage is let go")
		},
		Entry("which tells when it began", func() { e.reports.Born = 2 }),
		Entry("which counts its orders anew", func() { e.orders = 0 }),
	)

	It("ends with the agent if the engine never answers", func() {
		e.unanswered = 100
		e.onReport = after(&read, 3, cancel)
		Expect(s.load(ctx, supply, 2)).NotTo(Succeed())
		Expect(isKept()).To(BeFalse(), "the stage is let go")
	})

	Describe("from an engine that does not tell how many it has accepted", func() {
		BeforeEach(func() { e.reports.Orders.Reported = false })

		It("is settled by a report of the version", func() {
			e.onReport = after(&read, 2, e.takeWaiting)
			Expect(s.load(ctx, supply, 2)).To(Succeed())
			expectWhole()
			Expect(given).To(Equal(1))
		})

		It("is settled by a report that it is busy", func() {
			e.onReport = after(&read, 2, func() { e.reports.Busy = true })
			Expect(s.load(ctx, supply, 2)).To(Succeed())
			Expect(given).To(Equal(1))
		})

		It("is settled by a repeat", func() {
			Expect(s.load(ctx, supply, 2)).To(Succeed())
			expectWhole()
		})

		It("is settled by a repeat that is declined", func() {
			e.onLoad = after(&given, 2, func() { e.refuses = true })
			Expect(errorx.IsOfType(s.load(ctx, supply, 2), Declined)).To(BeTrue())
			Expect(given).To(Equal(2))
		})
	})

	// An order that was declined has not begun. Repeated here, it would keep the
	// stage from the next version.
	It("is no order that was declined", func() {
		e.unanswered = 0
		e.onLoad = func() { given++; e.orders++ } // of somebody else
		Expect(errorx.IsOfType(s.load(ctx, supply, 2), Declined)).To(BeTrue())
		Expect(given).To(Equal(1))
		Expect(e.loaded).To(BeNil())
		Expect(isKept()).To(BeFalse(), "the stage is let go")
	})
})
