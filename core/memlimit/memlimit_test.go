package memlimit_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/memlimit"
)

var start = time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)

var _ = Describe("A budget", func() {
	// Guards against requests that together hold more than the budget, or that leave
	// bytes counted after their end.
	It("is never exceeded by concurrent requests and is free after them", func() {
		const requests, size, rounds = 20, 7, 200
		b := memlimit.New(200)
		Expect(b.Limit()).To(Equal(int64(70)))
		var running sync.WaitGroup
		for range requests {
			running.Go(func() {
				defer GinkgoRecover()
				for range rounds {
					hold := b.NewHold()
					for hold.Grow(start, size) {
					}
					Expect(b.Held()).To(BeNumerically("<=", b.Limit()))
					hold.Release()
				}
			})
		}
		running.Wait()
		Expect(b.Held()).To(BeZero())
	})

	// Guards against a negative or an enormous length that a client states.
	DescribeTable("allows no other length than fits", func(n int64, want bool) {
		b := memlimit.New(200)
		hold := b.NewHold()
		Expect(hold.Grow(start, n)).To(Equal(want))
		hold.Release()
		hold.Release()
		Expect(b.Held()).To(BeZero())
	},
		Entry("none", int64(0), true),
		Entry("as much as there is", int64(70), true),
		Entry("more", int64(71), false),
		Entry("the largest number", int64(1<<63-1), false),
		Entry("a negative one", int64(-1), false),
	)

	// Guards against small requests that are refused while large ones hold the budget.
	It("keeps a part for small bodies", func() {
		b := newBudget(800 << 10)
		large, small := b.NewHold(), b.NewHold()
		for large.Grow(start, memlimit.SmallBytes+1) {
		}
		for large.Grow(start, 1) {
		}
		Expect(b.Held()).To(Equal(int64(700 << 10)))
		Expect(small.Grow(start, memlimit.SmallBytes)).To(BeTrue())
		Expect(small.Grow(start, 1)).To(BeFalse(), "it is not small any more")
		other := b.NewHold()
		Expect(other.BeginReceipt(start, memlimit.SmallBytes+1, nil)).To(BeFalse())
		Expect(other.BeginReceipt(start, memlimit.SmallBytes, nil)).To(BeTrue())
	})

	It("does not exist without a memory limit", func() {
		hold := memlimit.New(0).NewHold()
		Expect(hold.Grow(start, 1<<62)).To(BeTrue())
		hold.Release()
	})
})

// newBudget returns a budget of some bytes.
func newBudget(limit int64) *memlimit.Budget {
	for processBytes := int64(float64(limit) / memlimit.Share); ; processBytes++ {
		if b := memlimit.New(processBytes); b.Limit() == limit {
			return b
		}
	}
}

var _ = Describe("A body that is being received while the budget is used up", func() {
	const limit = 100
	var b *memlimit.Budget
	var interrupted []string

	BeforeEach(func() {
		b = newBudget(limit)
		interrupted = nil
	})

	// receive begins a body of unknown length, some bytes of which have arrived.
	receive := func(name string, since time.Time, bytes int64) *memlimit.Hold {
		hold := b.NewHold()
		Expect(hold.BeginReceipt(since, -1, func() { interrupted = append(interrupted, name) })).To(BeTrue())
		Expect(hold.Grow(since, bytes)).To(BeTrue())
		return &hold
	}

	old, now := start, start.Add(memlimit.ReceiptTime)

	// Guards against clients that hold the budget by sending a part of their bodies.
	It("is evicted once it is old, the oldest first and no more than needed", func() {
		first, second := receive("first", old, 40), receive("second", old, 40)
		hold := b.NewHold()
		Expect(hold.Grow(now, 50)).To(BeTrue())
		Expect(interrupted).To(Equal([]string{"first"}))
		Expect(b.Held()).To(Equal(int64(90)))
		Expect(first.Grow(now, 1)).To(BeFalse())
		Expect(first.EndReceipt()).To(BeFalse())
		first.Shrink(10)
		first.Release()
		Expect(second.EndReceipt()).To(BeTrue())
		Expect(b.Held()).To(Equal(int64(90)))
		second.Release()
		hold.Release()
		Expect(b.Held()).To(BeZero())
	})

	// Guards against bodies that are dropped for one that is refused all the same.
	It("is not evicted in vain", func() {
		receive("first", old, 30)
		receive("young", now, 60)
		hold := b.NewHold()
		Expect(hold.BeginReceipt(now, 41, nil)).To(BeFalse())
		Expect(hold.Grow(now, 41)).To(BeFalse())
		Expect(hold.Grow(now, limit+1)).To(BeFalse())
		Expect(interrupted).To(BeEmpty())
		Expect(hold.BeginReceipt(now, 40, nil)).To(BeTrue())
		Expect(interrupted).To(BeEmpty(), "nothing has arrived yet")
		Expect(hold.Grow(now, 40)).To(BeTrue())
		Expect(interrupted).To(Equal([]string{"first"}))
	})

	// Guards against bodies of clients with usual links that are dropped.
	It("is not evicted while it is young", func() {
		receive("young", old.Add(time.Nanosecond), limit)
		hold := b.NewHold()
		Expect(hold.Grow(now, 1)).To(BeFalse())
		Expect(interrupted).To(BeEmpty())
	})

	// Guards against requests that are answered as not run while they run.
	It("is not evicted once it has been received", func() {
		whole := receive("whole", old, limit)
		Expect(whole.EndReceipt()).To(BeTrue())
		hold := b.NewHold()
		Expect(hold.Grow(now, 1)).To(BeFalse())
		Expect(interrupted).To(BeEmpty())
	})

	// Guards against a slow body that displaces newer ones.
	It("does not displace a newer one", func() {
		slow := receive("slow", old, 50)
		receive("newer", old, 50)
		Expect(slow.Grow(now, 1)).To(BeFalse())
		Expect(interrupted).To(BeEmpty())
	})

	// Guards against an interrupt that ends the read of the next request on a connection.
	It("is not interrupted after the end of its receipt", func() {
		const bodies, rounds = 20, 200
		var running sync.WaitGroup
		var dropped atomic.Int64
		for range bodies {
			running.Go(func() {
				defer GinkgoRecover()
				at := old
				for range rounds {
					var isOver, isInterrupted atomic.Bool
					hold := b.NewHold()
					begun := hold.BeginReceipt(at, -1, func() {
						Expect(isOver.Load()).To(BeFalse())
						isInterrupted.Store(true)
					})
					Expect(begun).To(BeTrue())
					at = at.Add(memlimit.ReceiptTime / 2)
					for range 10 {
						hold.Grow(at, 3)
						Expect(b.Held()).To(BeNumerically("<=", limit))
						runtime.Gosched() // the bodies overlap on a single processor too
					}
					Expect(hold.EndReceipt()).To(Equal(!isInterrupted.Load()))
					isOver.Store(true)
					if isInterrupted.Load() {
						dropped.Add(1)
					}
					hold.Release()
				}
			})
		}
		running.Wait()
		Expect(b.Held()).To(BeZero())
		Expect(dropped.Load()).To(BeNumerically(">", 0))
	})
})
