package loader

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/wire"
)

const chunks = 4

func chunk(version uint64, number int) []byte {
	return fmt.Appendf(nil, "version %d chunk %d", version, number)
}

// engine is a model engine's stage and what it loaded.
type engine struct {
	mu      sync.Mutex
	staged  map[int][]byte
	loaded  [][]byte
	onLoad  func()
	refuses bool

	reports    loading.Engine // what it tells, but for what is below
	holds      uint64         // the version of the last order that was taken
	orders     uint64         // that were taken
	unanswered int            // so many orders get no answer in time
	waiting    []waitingOrder // those, until they are taken
	onReport   func()

	onPut   func()
	onWait  func(ctx context.Context) // for the answer to a chunk
	onWrite []func()                  // chunks that were given up on their way, until they are written
}

type waitingOrder struct {
	version uint64
	after   loading.Orders
}

func (e *engine) Report(context.Context) (loading.Engine, error) {
	if e.onReport != nil {
		e.onReport()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.reports
	report.Loaded = e.holds
	if report.Orders.Reported {
		report.Orders.Count = e.orders
	}
	return report, nil
}

func (e *engine) Held(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []int
	for number := range e.staged {
		held = append(held, number)
	}
	return append(held, 99), nil // a number that no version has
}

func (e *engine) Put(ctx context.Context, _ string, number int, data []byte) error {
	if e.onPut != nil {
		e.onPut()
	}
	if e.onWait != nil {
		e.onWait(ctx)
	}
	write := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.staged[number] = append([]byte(nil), data...)
	}
	if err := ctx.Err(); err != nil {
		e.onWrite = append(e.onWrite, write)
		return failure.Unavailable.Wrap(err, "no answer")
	}
	write()
	return nil
}

// writeWaiting has the engine come to the chunks that were given up on their way.
func (e *engine) writeWaiting() {
	for _, write := range e.onWrite {
		write()
	}
	e.onWrite = nil
}

func (e *engine) Get(_ context.Context, _ string, number int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.staged[number]
	if !ok {
		return nil, failure.NotFound.New("chunk %d", number)
	}
	return append([]byte(nil), data...), nil
}

func (e *engine) Load(_ context.Context, _ string, version uint64, after loading.Orders) error {
	if e.onLoad != nil {
		e.onLoad()
	}
	if e.refuses {
		return Declined.New("busy")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unanswered > 0 {
		e.unanswered--
		e.waiting = append(e.waiting, waitingOrder{version, after})
		return failure.Unavailable.New("no answer in time")
	}
	return e.take(version, after)
}

func (e *engine) take(version uint64, after loading.Orders) error {
	if after.Reported && after.Count != e.orders {
		return Declined.New("%d orders, not %d", e.orders, after.Count)
	}
	e.orders++
	e.holds = version
	e.loaded = nil
	for number := range chunks {
		e.loaded = append(e.loaded, e.staged[number])
	}
	return nil
}

// takeWaiting has the engine come to the orders that it has not answered.
func (e *engine) takeWaiting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.waiting {
		_ = e.take(o.version, o.after) // nobody hears the answer
	}
	e.waiting = nil
}

// origin publishes manifests; every so many of them are spoilt.
type origin struct {
	spoilEvery int
	asked      int
}

func (o *origin) Manifest(_ context.Context, s wire.Supply, version uint64) (weights.Manifest, uint64, error) {
	o.asked++
	m := weights.Manifest{Model: s.Model}
	for number := range chunks {
		data := chunk(version, number)
		m.Chunks = append(m.Chunks, weights.Chunk{Index: number, Bytes: len(data), Digest: fleet.DigestOf(data)})
	}
	if o.spoilEvery > 0 && o.asked%o.spoilEvery == 0 {
		m.Chunks[0].Digest[0] ^= 1
	}
	return m, version, nil
}

func (o *origin) Chunk(context.Context, wire.Supply, uint64, int) ([]byte, error) {
	return nil, failure.Unavailable.New("not asked here")
}

var _ = Describe("The stage", func() {
	ctx := context.Background()
	supply := wire.Supply{Model: "m"}
	var e *engine
	var s *stage

	BeforeEach(func() {
		e = &engine{staged: make(map[int][]byte), reports: loading.Engine{Born: 1, Orders: loading.Orders{Reported: true}}}
		s = newStage(e, &origin{}, zap.NewNop())
	})

	resolve := func(version uint64) fleet.Version {
		_, named, _, err := s.resolve(ctx, supply, version)
		Expect(err).NotTo(HaveOccurred())
		return named
	}

	gather := func(version uint64, named fleet.Version) {
		for number := range chunks {
			Expect(s.Put(ctx, named.Manifest, number, chunk(version, number))).To(Succeed())
		}
	}

	want := func(version uint64) [][]byte {
		var all [][]byte
		for number := range chunks {
			all = append(all, chunk(version, number))
		}
		return all
	}

	// Nothing pins the bytes of a manifest. One that is spoilt on its way would
	// make every good chunk look bad.
	It("takes no manifest that two readings do not agree on", func() {
		s = newStage(e, &origin{spoilEvery: 2}, zap.NewNop())
		_, _, _, err := s.resolve(ctx, supply, 2)
		Expect(err).To(MatchError(ContainSubstring("differ")))
	})

	It("finds at the start what the engine's stage holds of the version, and nothing else", func() {
		named := resolve(2)
		e.staged[0], e.staged[1], e.staged[2] = chunk(2, 0), chunk(1, 1), []byte("rotten")
		Expect(s.Held(ctx, named.Manifest)).To(Equal([]int{0}))
		Expect(s.Get(ctx, named.Manifest, 0)).To(Equal(chunk(2, 0)))
		_, err := s.Get(ctx, named.Manifest, 1)
		Expect(err).To(HaveOccurred())
	})

	// A staged chunk turns bad, and another vanishes. An engine loads what lies
	// there, so the agent mends it from its own copies right before the order.
	It("mends what has turned bad before it has the engine load", func() {
		gather(2, resolve(2))
		e.staged[1][0] ^= 1
		delete(e.staged, 3)
		Expect(s.load(ctx, supply, 2)).To(Succeed())
		Expect(e.loaded).To(Equal(want(2)))
	})

	// Version 3 arrives while version 2 is checked and ordered. The engine has one
	// place for each chunk number and would load a mixture.
	It("keeps other versions out of the stage while one is checked and ordered", func() {
		second, third := resolve(2), resolve(3)
		gather(2, second)
		put := make(chan error, 1)
		began := make(chan struct{})
		e.onLoad = func() {
			go func() {
				close(began)
				put <- s.Put(ctx, third.Manifest, 0, chunk(3, 0))
			}()
			<-began
			Consistently(put, 30*time.Millisecond).ShouldNot(Receive())
		}
		Expect(s.load(ctx, supply, 2)).To(Succeed())
		Expect(e.loaded).To(Equal(want(2)))
		Eventually(put).Should(Receive(BeNil()))
	})

	// The order for version 2 got no answer in time, and the engine came to it after a
	// chunk of version 3 had been let in: it loaded a mixture.
	It("keeps other versions out of the stage until it is known what became of an order", func() {
		second, third := resolve(2), resolve(3)
		gather(2, second)
		put := make(chan error, 1)
		e.unanswered = 1
		e.onLoad = func() {
			e.onLoad = nil
			go func() { put <- s.Put(ctx, third.Manifest, 1, chunk(3, 1)) }()
		}
		err := s.load(ctx, supply, 2)
		Eventually(put).Should(Receive(BeNil()))
		e.takeWaiting()
		Expect(e.loaded).To(Equal(want(2)))
		Expect(err).NotTo(HaveOccurred())
	})

	// The engine came to an order for version 2, which had got no answer, after the one
	// for version 3: it loaded the bytes of version 3 as version 2.
	It("has no order taken late that was given before another", func() {
		second, third := resolve(2), resolve(3)
		gather(2, second)
		e.unanswered = 1
		before := s.load(ctx, supply, 2)
		gather(3, third)
		Expect(s.load(ctx, supply, 3)).To(Succeed())
		e.takeWaiting()
		Expect(e.holds).To(Equal(uint64(3)))
		Expect(e.loaded).To(Equal(want(3)))
		Expect(before).NotTo(HaveOccurred())
	})

	// The gather of version 2 ended while a chunk was on its way. The engine wrote it
	// after the stage was checked for version 3, and loaded a mixture.
	It("has no chunk written late whose gather has ended", func() {
		second, third := resolve(2), resolve(3)
		gather(3, third)
		gathering, end := context.WithCancel(ctx)
		defer end()
		e.onPut = end
		_ = s.Put(gathering, second.Manifest, 1, chunk(2, 1)) // its gather has ended
		e.onPut = nil
		e.onLoad = e.writeWaiting
		Expect(s.load(ctx, supply, 3)).To(Succeed())
		Expect(e.loaded).To(Equal(want(3)))
	})

	// Guards against an agent that stages nothing more since a connection to its
	// engine went silent for good.
	It("does not wait for ever for an engine that does not answer a chunk", func() {
		second := resolve(2)
		e.onWait = func(ctx context.Context) {
			_, ends := ctx.Deadline()
			Expect(ends).To(BeTrue())
		}
		Expect(s.Put(ctx, second.Manifest, 1, chunk(2, 1))).To(Succeed())
	})

	// A chunk that was missing was staged again, and the time for that ended. The engine
	// wrote it after the stage was checked for the next version.
	It("has no chunk written late that was staged again", func() {
		second, third := resolve(2), resolve(3)
		gather(2, second)
		delete(e.staged, 1)
		mending, end := context.WithCancel(ctx)
		defer end()
		e.onPut = end
		_ = s.load(mending, supply, 2) // its time has ended
		e.onPut = nil
		gather(3, third)
		e.onLoad = e.writeWaiting
		Expect(s.load(ctx, supply, 3)).To(Succeed())
		Expect(e.loaded).To(Equal(want(3)))
	})

	It("loads an older version whole though a newer one was staged over it", func() {
		second, third := resolve(2), resolve(3)
		gather(2, second)
		gather(3, third)
		Expect(s.load(ctx, supply, 2)).To(Succeed())
		Expect(e.loaded).To(Equal(want(2)))
	})

	It("does not order a version that is not whole", func() {
		named := resolve(2)
		Expect(s.Put(ctx, named.Manifest, 0, chunk(2, 0))).To(Succeed())
		Expect(s.load(ctx, supply, 2)).NotTo(Succeed())
		Expect(e.loaded).To(BeNil())
	})

	It("keeps few versions in memory", func() {
		first := resolve(1)
		for version := range uint64(keptVersions) {
			resolve(version + 2)
		}
		_, err := s.version(first.Manifest)
		Expect(err).To(HaveOccurred())
		Expect(s.versions).To(HaveLen(keptVersions))
	})

	It("tells how long the rest takes, and that nothing comes", func() {
		named := resolve(2)
		g := gathering{started: true, version: 2, named: named, from: time.Now()}
		const linkBytes = 1000
		Expect(s.restTime(time.Now(), g, linkBytes)).To(BeNumerically(">", 0))
		Expect(s.restTime(time.Now().Add(time.Minute), g, linkBytes)).To(Equal(loading.NotExpected))
		gather(2, named)
		Expect(s.restTime(time.Now().Add(time.Minute), g, linkBytes)).To(BeZero())
		Expect(s.missing(2)).To(BeZero())
		Expect(s.missing(9)).To(Equal(1.0))
	})

	// A version was named while the one before it was on its way, and the origin
	// failed. Whether that one is worth waiting for is core/loading's; that it comes
	// no more, as after the failure, is seen here.
	It("tells whether a version still comes", func() {
		named := resolve(2)
		g := gathering{started: true, version: 2, named: named, from: time.Now()}
		now := time.Now()
		Expect(s.isArriving(now, g, now)).To(BeTrue(), "the origin answers")
		for number := range chunks - 1 {
			Expect(s.Put(ctx, named.Manifest, number, chunk(2, number))).To(Succeed())
		}
		Expect(s.isArriving(time.Now(), g, now)).To(BeTrue())
		late := now.Add(time.Minute)
		Expect(s.isArriving(late, g, late)).To(BeTrue(), "the origin has just answered again")
		Expect(s.isArriving(late, g, now)).To(BeFalse(), "nothing has come for long")
		gather(2, named)
		Expect(s.isArriving(time.Now(), g, now)).To(BeFalse(), "it is whole")
	})
})
