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

const chunkCount = 4

func chunk(version uint64, number int) []byte {
	return fmt.Appendf(nil, "version %d chunk %d", version, number)
}

// engine is a fake model engine: its stage and the chunks that it loaded.
type engine struct {
	mu       sync.Mutex
	staged   map[int][]byte
	loaded   [][]byte
	onLoad   func()
	declines bool

	state         loading.Engine // reported state, except for version and orders below
	version       uint64         // version of the last accepted order
	orders        uint64         // number of accepted orders
	dropResponses int            // number of orders whose response is lost
	pendingOrders []LoadOrder    // orders without a response that are not yet accepted
	onReport      func()

	onPut         func()
	onPutWait     func(ctx context.Context) // waits for the response to a chunk
	pendingWrites []func()                  // chunks whose write was abandoned, until they are written
}

func (e *engine) Report(context.Context) (loading.Engine, error) {
	if e.onReport != nil {
		e.onReport()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.state
	report.Loaded = e.version
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
	if e.onPutWait != nil {
		e.onPutWait(ctx)
	}
	write := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.staged[number] = append([]byte(nil), data...)
	}
	if err := ctx.Err(); err != nil {
		e.pendingWrites = append(e.pendingWrites, write)
		return failure.Unavailable.Wrap(err, "no response")
	}
	write()
	return nil
}

// applyPendingWrites makes the engine write the chunks whose write was abandoned.
func (e *engine) applyPendingWrites() {
	for _, write := range e.pendingWrites {
		write()
	}
	e.pendingWrites = nil
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

func (e *engine) Load(_ context.Context, order LoadOrder) (bool, error) {
	if e.onLoad != nil {
		e.onLoad()
	}
	if e.declines {
		return false, Declined.New("busy")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dropResponses > 0 {
		e.dropResponses--
		e.pendingOrders = append(e.pendingOrders, order)
		return false, failure.Unavailable.New("no response in time")
	}
	return true, e.accept(order)
}

func (e *engine) accept(order LoadOrder) error {
	if order.After.Reported && order.After.Count != e.orders {
		return Declined.New("accepted %d orders, want %d", e.orders, order.After.Count)
	}
	e.orders++
	e.version = order.Version
	e.loaded = nil
	for number := range chunkCount {
		e.loaded = append(e.loaded, e.staged[number])
	}
	return nil
}

// acceptPendingOrders makes the engine process the orders that it has not responded to.
func (e *engine) acceptPendingOrders() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.pendingOrders {
		_ = e.accept(o) // no one receives the response
	}
	e.pendingOrders = nil
}

func load(ctx context.Context, s *stage, supply wire.Supply, version uint64) error {
	_, err := s.load(ctx, supply, version, false)
	return err
}

// origin serves manifests; every corruptEvery-th one is corrupt.
type origin struct {
	corruptEvery int
	requests     int
}

func (o *origin) Manifest(_ context.Context, s wire.Supply, version uint64) (weights.Manifest, uint64, error) {
	o.requests++
	m := weights.Manifest{Model: s.Model}
	for number := range chunkCount {
		data := chunk(version, number)
		m.Chunks = append(m.Chunks, weights.Chunk{Index: number, Bytes: len(data), Digest: fleet.DigestOf(data)})
	}
	if o.corruptEvery > 0 && o.requests%o.corruptEvery == 0 {
		m.Chunks[0].Digest[0] ^= 1
	}
	return m, version, nil
}

func (o *origin) Chunk(context.Context, wire.Supply, uint64, int) ([]byte, error) {
	return nil, failure.Unavailable.New("not used in this test")
}

var _ = Describe("The stage", func() {
	ctx := context.Background()
	supply := wire.Supply{Model: "m"}
	var e *engine
	var s *stage

	BeforeEach(func() {
		e = &engine{staged: make(map[int][]byte), state: loading.Engine{Born: 1, Orders: loading.Orders{Reported: true}}}
		s = newStage(e, &origin{}, zap.NewNop())
	})

	resolve := func(version uint64) fleet.Version {
		_, named, _, err := s.readManifest(ctx, supply, version)
		Expect(err).NotTo(HaveOccurred())
		return named
	}

	stageAll := func(version uint64, named fleet.Version) {
		for number := range chunkCount {
			Expect(s.Put(ctx, named.Manifest, number, chunk(version, number))).To(Succeed())
		}
	}

	wantChunks := func(version uint64) [][]byte {
		var all [][]byte
		for number := range chunkCount {
			all = append(all, chunk(version, number))
		}
		return all
	}

	// No digest of a manifest is known in advance. With one that was corrupted in
	// transit every valid chunk would fail verification.
	It("rejects a manifest if two reads of it differ", func() {
		s = newStage(e, &origin{corruptEvery: 2}, zap.NewNop())
		_, _, _, err := s.readManifest(ctx, supply, 2)
		Expect(err).To(MatchError(ContainSubstring("differ")))
	})

	It("finds only the valid chunks of the version in the engine's stage at the start", func() {
		named := resolve(2)
		e.staged[0], e.staged[1], e.staged[2] = chunk(2, 0), chunk(1, 1), []byte("corrupt")
		Expect(s.Held(ctx, named.Manifest)).To(Equal([]int{0}))
		Expect(s.Get(ctx, named.Manifest, 0)).To(Equal(chunk(2, 0)))
		_, err := s.Get(ctx, named.Manifest, 1)
		Expect(err).To(HaveOccurred())
	})

	// A staged chunk becomes corrupt and another disappears. The engine loads whatever
	// is staged, so the agent repairs the stage from its own copies right before the
	// order.
	It("repairs corrupt chunks before it orders the engine to load", func() {
		stageAll(2, resolve(2))
		e.staged[1][0] ^= 1
		delete(e.staged, 3)
		Expect(load(ctx, s, supply, 2)).To(Succeed())
		Expect(e.loaded).To(Equal(wantChunks(2)))
	})

	// Guards against a load of mixed versions: chunks of version 3 arrive while version
	// 2 is verified and ordered, and the engine has one location for each chunk number.
	It("keeps other versions out of the stage while one is checked and ordered", func() {
		second, third := resolve(2), resolve(3)
		stageAll(2, second)
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
		Expect(load(ctx, s, supply, 2)).To(Succeed())
		Expect(e.loaded).To(Equal(wantChunks(2)))
		Eventually(put).Should(Receive(BeNil()))
	})

	// Guards against a load of mixed versions: the response to the order for version 2
	// is lost, and the engine accepts the order after a chunk of version 3 has been
	// let in.
	It("keeps other versions out of the stage until the outcome of an order is known", func() {
		second, third := resolve(2), resolve(3)
		stageAll(2, second)
		put := make(chan error, 1)
		e.dropResponses = 1
		e.onLoad = func() {
			e.onLoad = nil
			go func() { put <- s.Put(ctx, third.Manifest, 1, chunk(3, 1)) }()
		}
		err := load(ctx, s, supply, 2)
		Eventually(put).Should(Receive(BeNil()))
		e.acceptPendingOrders()
		Expect(e.loaded).To(Equal(wantChunks(2)))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against version 3 loaded as version 2: the engine accepts an order for
	// version 2, whose response was lost, after the order for version 3.
	It("lets no earlier order be accepted after a later one", func() {
		second, third := resolve(2), resolve(3)
		stageAll(2, second)
		e.dropResponses = 1
		before := load(ctx, s, supply, 2)
		stageAll(3, third)
		Expect(load(ctx, s, supply, 3)).To(Succeed())
		e.acceptPendingOrders()
		Expect(e.version).To(Equal(uint64(3)))
		Expect(e.loaded).To(Equal(wantChunks(3)))
		Expect(before).NotTo(HaveOccurred())
	})

	// Guards against a load of mixed versions: the fetch of version 2 ends while a
	// chunk is being written, and the engine writes it after the stage was verified for
	// version 3.
	It("lets no chunk be written late after its fetch has ended", func() {
		second, third := resolve(2), resolve(3)
		stageAll(3, third)
		fetchCtx, end := context.WithCancel(ctx)
		defer end()
		e.onPut = end
		_ = s.Put(fetchCtx, second.Manifest, 1, chunk(2, 1)) // its fetch has ended
		e.onPut = nil
		e.onLoad = e.applyPendingWrites
		Expect(load(ctx, s, supply, 3)).To(Succeed())
		Expect(e.loaded).To(Equal(wantChunks(3)))
	})

	// Guards against an agent that stages nothing any more because a connection to its
	// engine went silent permanently.
	It("sets a deadline for the engine's response to a chunk", func() {
		second := resolve(2)
		e.onPutWait = func(ctx context.Context) {
			_, ends := ctx.Deadline()
			Expect(ends).To(BeTrue())
		}
		Expect(s.Put(ctx, second.Manifest, 1, chunk(2, 1))).To(Succeed())
	})

	// Guards against a late write of a repaired chunk: the time for the repair ends,
	// and the engine writes the chunk after the stage was verified for the next
	// version.
	It("lets no repaired chunk be written late", func() {
		second, third := resolve(2), resolve(3)
		stageAll(2, second)
		delete(e.staged, 1)
		repairCtx, end := context.WithCancel(ctx)
		defer end()
		e.onPut = end
		_ = load(repairCtx, s, supply, 2) // its time has ended
		e.onPut = nil
		stageAll(3, third)
		e.onLoad = e.applyPendingWrites
		Expect(load(ctx, s, supply, 3)).To(Succeed())
		Expect(e.loaded).To(Equal(wantChunks(3)))
	})

	It("loads an older version completely although a newer one was staged over it", func() {
		second, third := resolve(2), resolve(3)
		stageAll(2, second)
		stageAll(3, third)
		Expect(load(ctx, s, supply, 2)).To(Succeed())
		Expect(e.loaded).To(Equal(wantChunks(2)))
	})

	It("does not order an incomplete version", func() {
		named := resolve(2)
		Expect(s.Put(ctx, named.Manifest, 0, chunk(2, 0))).To(Succeed())
		Expect(load(ctx, s, supply, 2)).NotTo(Succeed())
		Expect(e.loaded).To(BeNil())
	})

	It("keeps a limited number of versions in memory", func() {
		first := resolve(1)
		for version := range uint64(keptVersions) {
			resolve(version + 2)
		}
		_, err := s.versionByDigest(first.Manifest)
		Expect(err).To(HaveOccurred())
		Expect(s.versions).To(HaveLen(keptVersions))
	})

	It("estimates the remaining time, and detects that no chunks arrive", func() {
		named := resolve(2)
		g := versionFetch{started: true, version: 2, fleetVersion: named, since: time.Now()}
		const linkBytes = 1000
		Expect(s.remainingTime(time.Now(), g, linkBytes)).To(BeNumerically(">", 0))
		Expect(s.remainingTime(time.Now().Add(time.Minute), g, linkBytes)).To(Equal(loading.NotExpected))
		stageAll(2, named)
		Expect(s.remainingTime(time.Now().Add(time.Minute), g, linkBytes)).To(BeZero())
		Expect(s.missingShare(2)).To(BeZero())
		Expect(s.missingShare(9)).To(Equal(1.0))
	})

	// A version is named while the previous one is arriving, and the origin fails.
	// core/loading decides whether the previous one is worth waiting for; the stage
	// detects that it no longer arrives.
	It("reports whether a version is still arriving", func() {
		named := resolve(2)
		g := versionFetch{started: true, version: 2, fleetVersion: named, since: time.Now()}
		now := time.Now()
		Expect(s.isArriving(now, g, now)).To(BeTrue(), "the origin responds")
		for number := range chunkCount - 1 {
			Expect(s.Put(ctx, named.Manifest, number, chunk(2, number))).To(Succeed())
		}
		Expect(s.isArriving(time.Now(), g, now)).To(BeTrue())
		late := now.Add(time.Minute)
		Expect(s.isArriving(late, g, late)).To(BeTrue(), "the origin has just responded again")
		Expect(s.isArriving(late, g, now)).To(BeFalse(), "nothing has arrived for a long time")
		stageAll(2, named)
		Expect(s.isArriving(time.Now(), g, now)).To(BeFalse(), "it is complete")
	})
})
