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

// running is a loop that runs until the spec ends or stop is called.
type running struct {
	*control.Loop
	stop  func()
	ended chan struct{}
}

func run(options control.Options, tickers ...control.Ticker) *running {
	ctx, cancel := context.WithCancel(background)
	r := &running{Loop: control.New(options), stop: cancel, ended: make(chan struct{})}
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

// hold keeps the loop busy until release.
func (r *running) hold() (release func()) {
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

// fill posts as many events as fit while the loop is held.
func (r *running) fill() {
	GinkgoHelper()
	for range control.QueueLength {
		Expect(r.Post(background, control.Func(func(time.Time) {}))).To(BeTrue())
	}
}

var _ = Describe("The control loop", func() {
	// Events come from many goroutines. Each poster's events are applied in its
	// own order, one at a time; state that only they touch needs no lock, which
	// the race detector shows.
	It("applies events one after another", func() {
		r := run(control.Options{})
		const posters, each = 8, 200
		var applied int // only touched on the loop
		last := make([]int, posters)
		var done sync.WaitGroup
		for p := range posters {
			done.Go(func() {
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
		done.Wait()
		Expect(r.Do(background, func(time.Time) {})).To(Succeed())
		r.stop()
		Eventually(r.ended).Should(BeClosed())
		Expect(applied).To(Equal(posters * each))
		Expect(last).To(HaveEach(each))
	})

	// Events and ticks get the time of the loop's own clock.
	It("tells the time of its clock", func() {
		noon := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
		told := make(chan time.Time, 1)
		r := run(control.Options{Every: time.Millisecond, Clock: func() time.Time { return noon }}, ticker(told))
		Eventually(told).Should(Receive(Equal(noon)))
		var at time.Time
		Expect(r.Do(background, func(now time.Time) { at = now })).To(Succeed())
		Expect(at).To(Equal(noon))
	})

	// The process ends while goroutines still post what they have found. Their
	// posts come back at once and say that nothing was done.
	It("takes nothing after its end", func() {
		r := run(control.Options{})
		r.stop()
		Eventually(r.ended).Should(BeClosed())
		const posts = 100
		for range posts {
			Expect(r.Post(background, control.Func(func(time.Time) {}))).To(BeFalse())
		}
		err := r.Do(background, func(time.Time) {})
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue(), "%v", err)
	})

	// The loop ends with work in its queue. Whoever waits for that work is told
	// and does not wait for ever.
	It("lets nobody wait beyond its end", func() {
		r := run(control.Options{})
		release := r.hold()
		r.fill()
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

	// A goroutine asks the loop something and gives up while the loop is busy. It
	// is told that the loop is busy. What it asked may still be done later, once:
	// who asks for something that must be given back has to see to that.
	It("is busy for a caller that gives up, and does the work later", func() {
		r := run(control.Options{})
		release := r.hold()
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

	// The loop is busy and its queue full. A caller that gives up is told that the
	// loop is busy, not that it has ended, on which a process would act; and what
	// did not fit is never done.
	// Seen before the mend: "control loop has ended".
	It("with a full queue is busy and has not ended", func() {
		r := run(control.Options{})
		release := r.hold()
		r.fill()
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

	// A goroutine whose context has ended posts one more event, since it has not
	// looked. The event is not taken, though there is room.
	// Seen before the mend: every other one was applied.
	It("takes nothing from a context that has ended", func() {
		r := run(control.Options{})
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

	// More events come than the loop applies. Whoever posts waits, and nothing is
	// lost.
	It("slows down who posts when its queue is full", func() {
		r := run(control.Options{})
		release := r.hold()
		r.fill()
		var applied atomic.Int64
		posted := make(chan bool, 1)
		go func() { posted <- r.Post(background, control.Func(func(time.Time) { applied.Add(1) })) }()
		Expect(posted).NotTo(Receive())
		release()
		Eventually(posted).Should(Receive(BeTrue()))
		Eventually(applied.Load).Should(BeEquivalentTo(1))
	})
})

// ticker hands on the first time that it is told.
type ticker chan time.Time

func (t ticker) Tick(now time.Time) {
	select {
	case t <- now:
	default:
	}
}
