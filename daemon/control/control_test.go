package control_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/failure"
	"chivespindle.example/daemon/control"
)

var background = context.Background()

// runningLoop is a loop that runs until the test ends or stop is called.
type runningLoop struct {
	*control.Loop
	stop  func()
	ended chan struct{}
}

func startLoop(options control.Options, tickers ...control.Ticker) *runningLoop {
	ctx, cancel := context.WithCancel(background)
	r := &runningLoop{Loop: control.New(options), stop: cancel, ended: make(chan struct{})}
	for _, t := range tickers {
		r.AddTicker(t)
	}
	go func() {
		defer close(r.ended)
		_ = r.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(r.ended).Should(BeClosed())
	})
	return r
}

// block keeps the loop busy until release is called.
func (r *runningLoop) block() (release func()) {
	GinkgoHelper()
	busy, free := make(chan struct{}), make(chan struct{})
	Expect(r.Post(background, control.Func(func(time.Time) {
		close(busy)
		<-free
	}))).To(BeTrue())
	Eventually(busy).Should(BeClosed())
	var once sync.Once
	release = func() { once.Do(func() { close(free) }) }
	DeferCleanup(release)
	return release
}

// fillQueue posts as many events as fit in the queue while the loop is blocked.
func (r *runningLoop) fillQueue() {
	GinkgoHelper()
	for range control.QueueLength {
		Expect(r.Post(background, control.Func(func(time.Time) {}))).To(BeTrue())
	}
}

var _ = Describe("The control loop", func() {
	// Events come from many goroutines. The events of each goroutine are applied in
	// the order in which it posted them, one at a time; state that only events
	// access needs no lock, which the race detector verifies.
	It("applies events one at a time", func() {
		r := startLoop(control.Options{})
		const posters, each = 8, 200
		var applied int // accessed on the loop only
		last := make([]int, posters)
		var posting sync.WaitGroup
		for p := range posters {
			posting.Go(func() {
				for n := 1; n <= each; n++ {
					r.Post(background, control.Func(func(time.Time) {
						applied++
						if last[p] == n-1 {
							last[p] = n
						}
					}))
				}
			})
		}
		posting.Wait()
		Expect(r.Do(background, func(time.Time) {})).To(Succeed())
		r.stop()
		Eventually(r.ended).Should(BeClosed())
		Expect(applied).To(Equal(posters * each))
		Expect(last).To(HaveEach(each))
	})

	// Events and ticks get the time of the loop's own clock.
	It("passes the time of its clock", func() {
		noon := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
		ticked := make(chan time.Time, 1)
		r := startLoop(control.Options{TickInterval: time.Millisecond, Clock: func() time.Time { return noon }}, tickRecorder(ticked))
		Eventually(ticked).Should(Receive(Equal(noon)))
		var at time.Time
		Expect(r.Do(background, func(now time.Time) { at = now })).To(Succeed())
		Expect(at).To(Equal(noon))
	})

	// The process ends while goroutines still post events. Post and Do return at
	// once and report that nothing was applied.
	It("accepts no event after its end", func() {
		r := startLoop(control.Options{})
		r.stop()
		Eventually(r.ended).Should(BeClosed())
		const posts = 100
		for range posts {
			Expect(r.Post(background, control.Func(func(time.Time) {}))).To(BeFalse())
		}
		err := r.Do(background, func(time.Time) {})
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue(), "%v", err)
	})

	// The loop ends with events in its queue. Callers that wait for them receive an
	// error instead of waiting forever.
	It("lets no caller wait beyond its end", func() {
		r := startLoop(control.Options{})
		release := r.block()
		r.fillQueue()
		const waiters = 8
		failed, posted := make(chan error, waiters), make(chan bool, waiters)
		for range waiters {
			go func() { failed <- r.Do(background, func(time.Time) {}) }()
			go func() { posted <- r.Post(background, control.Func(func(time.Time) {})) }()
		}
		Expect(failed).NotTo(Receive())
		r.stop()
		release()
		Eventually(r.ended).Should(BeClosed())
		Eventually(failed).Should(HaveLen(waiters))
		Eventually(posted).Should(HaveLen(waiters))
	})

	// A caller of Do gives up while the loop is busy and receives an error that
	// says so. The function may still be applied later, once: a caller that
	// acquires a resource this way has to release it.
	It("is reported as busy to a caller that gives up, and applies the function later", func() {
		r := startLoop(control.Options{})
		release := r.block()
		ctx, cancel := context.WithCancel(background)
		var applied atomic.Int64
		failed := make(chan error, 1)
		go func() { failed <- r.Do(ctx, func(time.Time) { applied.Add(1) }) }()
		cancel()
		var err error
		Eventually(failed).Should(Receive(&err))
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
		release()
		Expect(r.Do(background, func(time.Time) {})).To(Succeed())
		Expect(applied.Load()).To(BeNumerically("<=", 1))
	})

	// The loop is busy and its queue is full. A caller that gives up is told that
	// the loop is busy, not that it has ended, which a process would act on; its
	// function is never applied. Guards against the error "control loop has
	// ended" in this case.
	It("with a full queue is reported as busy, not as ended", func() {
		r := startLoop(control.Options{})
		release := r.block()
		r.fillQueue()
		ctx, cancel := context.WithCancel(background)
		var applied atomic.Bool
		failed := make(chan error, 1)
		go func() { failed <- r.Do(ctx, func(time.Time) { applied.Store(true) }) }()
		cancel()
		var err error
		Eventually(failed).Should(Receive(&err))
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
		release()
		Expect(r.Do(background, func(time.Time) {})).To(Succeed())
		Expect(applied.Load()).To(BeFalse())
	})

	// A goroutine whose context has ended posts another event. It is rejected even
	// though the queue has room. Guards against a loop that applies every other
	// such event.
	It("accepts no event with a context that has ended", func() {
		r := startLoop(control.Options{})
		ctx, cancel := context.WithCancel(background)
		cancel()
		var applied atomic.Bool
		const posts = 100
		for range posts {
			Expect(r.Post(ctx, control.Func(func(time.Time) { applied.Store(true) }))).To(BeFalse())
		}
		Expect(r.Do(background, func(time.Time) {})).To(Succeed())
		Expect(applied.Load()).To(BeFalse())
	})

	// More events are posted than the loop applies. Post blocks, and no event is
	// lost.
	It("blocks callers of Post while its queue is full", func() {
		r := startLoop(control.Options{})
		release := r.block()
		r.fillQueue()
		var applied atomic.Int64
		posted := make(chan bool, 1)
		go func() { posted <- r.Post(background, control.Func(func(time.Time) { applied.Add(1) })) }()
		Expect(posted).NotTo(Receive())
		release()
		Eventually(posted).Should(Receive(BeTrue()))
		Eventually(applied.Load).Should(BeEquivalentTo(1))
	})
})

// tickRecorder forwards the time of the first tick.
type tickRecorder chan time.Time

func (t tickRecorder) Tick(now time.Time) {
	select {
	case t <- now:
	default:
	}
}
