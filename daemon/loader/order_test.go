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

// Guards against an engine that loads chunks of two versions: it accepts an order
// whose response was lost after other chunks have been let into its stage.
var _ = Describe("An order without a response", func() {
	supply := wire.Supply{Model: "m"}
	var (
		ctx         context.Context
		cancel      context.CancelFunc
		e           *engine
		s           *stage
		ordersSent  int
		reportsRead int
	)

	BeforeEach(func() {
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		e = &engine{staged: make(map[int][]byte), state: loading.Engine{Born: 1, Orders: loading.Orders{Reported: true}}, dropResponses: 1}
		s = newStage(e, &origin{}, zap.NewNop())
		ordersSent, reportsRead = 0, 0
		e.onLoad = func() { ordersSent++ }
		e.onReport = func() { reportsRead++ }
		_, named, _, err := s.readManifest(ctx, supply, 2)
		Expect(err).NotTo(HaveOccurred())
		for number := range chunkCount {
			Expect(s.Put(ctx, named.Manifest, number, chunk(2, number))).To(Succeed())
		}
	})

	isStageLocked := func() bool {
		if s.writeMu.TryLock() {
			s.writeMu.Unlock()
			return false
		}
		return true
	}

	// onNth returns a hook that calls f at the n-th report or order, while the outcome
	// of the order is unknown and before that report or order is processed.
	onNth := func(count *int, n int, f func()) func() {
		return func() {
			*count++
			if *count == n {
				Expect(isStageLocked()).To(BeTrue(), "the stage is locked")
				f()
			}
		}
	}

	expectLoaded := func() {
		GinkgoHelper()
		Expect(e.loaded).To(HaveLen(chunkCount))
		for number := range chunkCount {
			Expect(e.loaded[number]).To(Equal(chunk(2, number)))
		}
		Expect(e.orders).To(Equal(uint64(1)))
		Expect(isStageLocked()).To(BeFalse(), "the stage is unlocked")
	}

	It("is accepted according to a report with one more order", func() {
		e.onReport = onNth(&reportsRead, 2, e.acceptPendingOrders)
		Expect(load(ctx, s, supply, 2)).To(Succeed())
		expectLoaded()
		Expect(ordersSent).To(Equal(1))
	})

	It("is accepted if the engine accepts it just before its retry", func() {
		e.onLoad = onNth(&ordersSent, 2, e.acceptPendingOrders)
		Expect(load(ctx, s, supply, 2)).To(Succeed())
		expectLoaded()
	})

	It("is replaced by an accepted retry, and not accepted after it", func() {
		Expect(load(ctx, s, supply, 2)).To(Succeed())
		e.acceptPendingOrders()
		expectLoaded()
	})

	// A retry is declined because of the engine's state. The order before it may be
	// accepted once that state has changed.
	It("remains unknown if a retry is declined for another reason than its number", func() {
		e.onLoad = onNth(&ordersSent, 2, func() { e.declines = true })
		e.onReport = onNth(&reportsRead, 3, e.acceptPendingOrders)
		Expect(load(ctx, s, supply, 2)).To(Succeed())
		expectLoaded()
	})

	It("is retried with a repaired stage", func() {
		e.onReport = onNth(&reportsRead, 2, func() { e.staged[1][0] ^= 1 })
		Expect(load(ctx, s, supply, 2)).To(Succeed())
		expectLoaded()
	})

	// An engine may never respond again. Orders that it has not processed are lost with
	// its process; if the wait did not end, the agent would stage nothing for the next
	// process.
	DescribeTable("is lost with the engine's process",
		func(replace func()) {
			e.orders = 3
			e.onReport = onNth(&reportsRead, 2, replace)
			err := load(ctx, s, supply, 2)
			Expect(err).To(MatchError(ContainSubstring("replaced")))
			Expect(errorx.IsOfType(err, Declined)).To(BeFalse(), "the new process has not declined the order")
			Expect(ordersSent).To(Equal(1))
			Expect(isStageLocked()).To(BeFalse(), "the stage is unlocked")
		},
		Entry("which reports its start time", func() { e.state.Born = 2 }),
		Entry("which restarts its count of orders", func() { e.orders = 0 }),
	)

	It("ends with the agent if the engine never responds", func() {
		e.dropResponses = 100
		e.onReport = onNth(&reportsRead, 3, cancel)
		Expect(load(ctx, s, supply, 2)).NotTo(Succeed())
		Expect(isStageLocked()).To(BeFalse(), "the stage is unlocked")
	})

	Describe("from an engine that does not report how many orders it has accepted", func() {
		BeforeEach(func() { e.state.Orders.Reported = false })

		It("is accepted according to a report of the version", func() {
			e.onReport = onNth(&reportsRead, 2, e.acceptPendingOrders)
			Expect(load(ctx, s, supply, 2)).To(Succeed())
			expectLoaded()
			Expect(ordersSent).To(Equal(1))
		})

		It("is accepted according to a report that the engine is busy", func() {
			e.onReport = onNth(&reportsRead, 2, func() { e.state.Busy = true })
			Expect(load(ctx, s, supply, 2)).To(Succeed())
			Expect(ordersSent).To(Equal(1))
		})

		It("is replaced by an accepted retry", func() {
			Expect(load(ctx, s, supply, 2)).To(Succeed())
			expectLoaded()
		})

		It("is settled by a declined retry", func() {
			e.onLoad = onNth(&ordersSent, 2, func() { e.declines = true })
			Expect(errorx.IsOfType(load(ctx, s, supply, 2), Declined)).To(BeTrue())
			Expect(ordersSent).To(Equal(2))
		})
	})

	// A declined order has not started. If it were retried here, it would keep the
	// stage locked for the next version.
	It("is not retried if it was declined", func() {
		e.dropResponses = 0
		e.onLoad = func() { ordersSent++; e.orders++ } // the order of another process
		Expect(errorx.IsOfType(load(ctx, s, supply, 2), Declined)).To(BeTrue())
		Expect(ordersSent).To(Equal(1))
		Expect(e.loaded).To(BeNil())
		Expect(isStageLocked()).To(BeFalse(), "the stage is unlocked")
	})
})
