package loader

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/policy"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("An accepted load", func() {
	ctx := context.Background()
	supply := wire.Supply{Model: "m"}
	var (
		e             *engine
		s             *stage
		second, third fleet.Version
	)

	BeforeEach(func() {
		e = &engine{staged: make(map[int][]byte), state: loading.Engine{Born: 1, Orders: loading.Orders{Reported: true}}}
		s = newStage(e, &origin{}, zap.NewNop())
		for version, named := range map[uint64]*fleet.Version{2: &second, 3: &third} {
			_, v, _, err := s.readManifest(ctx, supply, version)
			Expect(err).NotTo(HaveOccurred())
			*named = v
		}
		for number := range chunkCount {
			Expect(s.Put(ctx, second.Manifest, number, chunk(2, number))).To(Succeed())
		}
	})

	// Guards against a load that is reported as whole although a chunk was missing, corrupt or
	// of another version when the engine accepted the order.
	DescribeTable("is rejected unless its chunks were intact when it was accepted",
		func(repaired int, spoil func(), isVerified bool) {
			v, err := s.versionByNumber(2)
			Expect(err).NotTo(HaveOccurred())
			o := &order{version: v, repaired: repaired}
			spoil()
			load, err := s.verify(ctx, o)
			Expect(load).To(Equal(o.before.After(2)))
			Expect(errorx.IsOfType(err, loadRejected)).To(Equal(!isVerified))
		},
		Entry("intact", 0, func() {}, true),
		Entry("corrupt", 0, func() { e.staged[1][0] ^= 1 }, false),
		Entry("missing", 0, func() { delete(e.staged, 1) }, false),
		Entry("of another version", 0, func() { e.staged[1] = chunk(3, 1) }, false),
		Entry("repaired before or after the acceptance", 1, func() {}, false),
	)

	// Guards against a stage that is locked for good: the engine ignores an order without a
	// response since it had loaded the version before.
	It("is not waited for if the engine had loaded the version before", func() {
		v, err := s.versionByNumber(2)
		Expect(err).NotTo(HaveOccurred())
		s.engine = loadedEngine{e}
		settled, err := s.checkOutcome(ctx, &order{version: v, before: loading.Engine{Born: 1, Orders: loading.Orders{Reported: true}}})
		Expect(settled).To(BeTrue())
		Expect(errorx.IsOfType(err, alreadyLoaded)).To(BeTrue())
	})

	// Guards against a response to an earlier request that is taken for the order's, while the
	// engine has not read the order.
	It("is not an order that the report does not show", func() {
		s.engine = earlyEngine{e}
		e.onReport = onNthCall(3, e.acceptPendingOrders)
		ordered, err := s.load(ctx, supply, 2, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(ordered).To(Equal(loading.Load{Born: 1, Orders: loading.Orders{Count: 1, Reported: true}, Version: 2}))
		Expect(e.loaded[0]).To(Equal(chunk(2, 0)))
	})

	// Guards against a new engine that gets its weights later than it could: nobody has sent it
	// anything before.
	It("does not wait for an engine that has just started", func() {
		starting := &startingEngine{engine: e, refusals: 2}
		s.engine = starting
		s.markUnread()
		Expect(s.Put(ctx, second.Manifest, 0, chunk(2, 0))).To(Succeed())
		Expect(starting.reports).To(Equal(3))
	})

	// Guards against an order of another process that is taken for this one's: it was accepted
	// during the check before the order.
	It("is not an order that another process has sent before", func() {
		e.staged[1][0] ^= 1
		e.onPut = func() { Expect(e.accept(LoadOrder{Version: 2})).To(Succeed()) }
		e.dropResponses = 1
		ordered, err := s.load(ctx, supply, 2, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(ordered.Orders.Count).To(Equal(uint64(2)))
	})

	// Guards against a repair after the acceptance that hides a corrupt chunk from the
	// verification.
	It("is not vouched for by a repair that may have come too late", func() {
		v, err := s.versionByNumber(2)
		Expect(err).NotTo(HaveOccurred())
		o := &order{version: v, before: loading.Engine{Born: 1, Orders: loading.Orders{Reported: true}}}
		reports := 0
		e.onReport = func() {
			switch reports++; reports {
			case 1:
				e.staged[1][0] ^= 1
			case 2:
				Expect(e.accept(LoadOrder{Version: 2})).To(Succeed())
			}
		}
		Expect(s.checkOutcome(ctx, o)).To(BeTrue())
		_, err = s.verify(ctx, o)
		Expect(errorx.IsOfType(err, loadRejected)).To(BeTrue())
	})

	// Guards against a chunk without a response that the engine writes after the stage was
	// checked for another version.
	It("waits until the engine has read a chunk without a response", func() {
		s.engine = unresponsiveEngine{e}
		Expect(s.Put(ctx, third.Manifest, 0, chunk(3, 0))).NotTo(Succeed())
		s.engine = e
		reports := 0
		e.onReport = func() {
			if reports++; reports == catchUpReports {
				e.staged[0] = chunk(3, 0) // read at last
			}
		}
		Expect(load(ctx, s, supply, 2)).To(Succeed())
		Expect(e.loaded[0]).To(Equal(chunk(2, 0)))
	})
})

// unresponsiveEngine responds to no chunk.
type unresponsiveEngine struct{ *engine }

func (unresponsiveEngine) Put(context.Context, string, int, []byte) error {
	return failure.Timeout.New("no response")
}

// earlyEngine answers an order before it has read it.
type earlyEngine struct{ *engine }

func (e earlyEngine) Load(_ context.Context, order LoadOrder) (bool, error) {
	e.pendingOrders = append(e.pendingOrders, order)
	return true, nil
}

// onNthCall returns a function that calls f when it is called for the n-th time.
func onNthCall(n int, f func()) func() {
	calls := 0
	return func() {
		if calls++; calls == n {
			f()
		}
	}
}

// startingEngine refuses connections until it has started.
type startingEngine struct {
	*engine
	refusals, reports int
}

func (e *startingEngine) Report(ctx context.Context) (loading.Engine, error) {
	if e.reports++; e.reports <= e.refusals {
		return loading.Engine{}, exchange.Refused.New("nothing listens")
	}
	return e.engine.Report(ctx)
}

// loadedEngine ignores orders.
type loadedEngine struct{ *engine }

func (loadedEngine) Load(context.Context, LoadOrder) (bool, error) { return false, nil }

var _ = Describe("The engine's load at the agent's start", func() {
	var l *Loader

	BeforeEach(func() {
		l = &Loader{
			opts: Options{Logger: zap.NewNop(), Metrics: tally.NoopScope},
			plan: loading.NewPlan("10.0.0.1", 8*time.Second, policy.Disabled{}),
		}
	})

	report := func(version, orders uint64, busy bool) bool {
		l.engine = loading.Engine{Loaded: version, Busy: busy, Orders: loading.Orders{Count: orders, Reported: true}}
		l.updateStanding()
		return l.isReloading()
	}

	// Guards against an engine that is used with a load that the previous agent has ordered
	// and the engine has accepted once this agent had started.
	It("is used, but not one that another process has ordered since", func() {
		Expect(report(1, 1, false)).To(BeFalse())
		Expect(report(1, 2, true)).To(BeTrue(), "while it loads")
		Expect(report(2, 2, false)).To(BeTrue(), "once it has loaded")
		Expect(report(2, 2, false)).To(BeTrue(), "ever after")
	})

	It("is not used if it is in progress", func() {
		Expect(report(1, 2, true)).To(BeTrue())
		Expect(report(2, 2, false)).To(BeTrue())
	})

	It("is used if the engine has accepted no order", func() {
		Expect(report(0, 0, false)).To(BeFalse())
		Expect(report(1, 0, false)).To(BeFalse())
	})

	// Guards against an engine that is used with a load that the previous agent has ordered and
	// not verified, and that has ended before this agent started.
	DescribeTable("is used unless the previous agent last reported another one",
		func(isReady bool, last ...wire.LastReady) {
			for _, isEarly := range []bool{true, false} {
				l.hasHeartbeat, l.found = true, foundLoad{}
				l.verification = loading.Verification{}
				if !isEarly {
					report(2, 2, false)
				}
				for _, known := range last {
					l.handleLastReady(time.Time{}, &known)
				}
				Expect(report(2, 2, false)).To(Equal(!isReady), "known before the first report: %v", isEarly)
			}
		},
		Entry("the same", true, wire.LastReady{Incarnation: 1, Loaded: 2, Orders: 2, HasOrders: true}),
		Entry("another version", false, wire.LastReady{Incarnation: 1, Loaded: 1, Orders: 1, HasOrders: true}),
		Entry("an earlier load of the version", false, wire.LastReady{Incarnation: 1, Loaded: 2, Orders: 1, HasOrders: true}),
		Entry("the same, replaced since", false, wire.LastReady{Incarnation: 1, Loaded: 2, Orders: 2, HasOrders: true, IsReplaced: true}),
		Entry("none that was ready", false, wire.LastReady{ReloadingBy: 1}),
		Entry("its own", true, wire.LastReady{Loaded: 1}, wire.LastReady{ReloadingBy: 0}),
		Entry("another one, to an entry that missed the last report", true,
			wire.LastReady{Incarnation: 1, Loaded: 1, Orders: 1, HasOrders: true}, wire.LastReady{Incarnation: 1, Loaded: 2, Orders: 2, HasOrders: true}),
	)

	// Guards against a fleet that leaves service when an entry is back that was cut off: it knows
	// what was ready long ago.
	It("is used in spite of an entry that reports late what was ready before", func() {
		l.hasHeartbeat = true
		Expect(report(2, 2, false)).To(BeFalse())
		l.handleLastReady(l.started.Add(predecessorTTL), &wire.LastReady{Incarnation: 1, Loaded: 1, Orders: 1, HasOrders: true})
		Expect(report(2, 2, false)).To(BeFalse())
	})

	// Guards against engines that are never used where the weights have no origin, so that the
	// number of layers stays unknown.
	It("is used although the number of layers is not known", func() {
		l.engine = loading.Engine{Loaded: 2, Orders: loading.Orders{Count: 1, Reported: true}, Layers: loading.Layers{Target: 16}}
		l.updateStanding()
		Expect(l.isReloading()).To(BeFalse())
	})

	// Guards against a fleet that loads its weights once more after all agents have restarted:
	// the version is staged before the load could be judged.
	It("is not loaded again while it is not judged yet", func() {
		l.engine = loading.Engine{Loaded: 2, Orders: loading.Orders{Count: 1, Reported: true}, Layers: loading.Layers{Target: 1}}
		l.updateStanding()
		Expect(l.isReloading()).To(BeTrue(), "the number of layers is not known")
		l.plan.AddWanted(loading.NamedVersion{Version: 2})
		l.plan.MarkStaged(time.Time{}, 2)
		Expect(l.plan.Next(time.Time{}, l.engine, 0)).To(Equal(loading.Idle))
		l.supply = &wire.Supply{Layers: 1}
		l.updateStanding()
		Expect(l.isReloading()).To(BeFalse())
	})

	// Guards against a part of the layers that an agent has left when it ended, and that counts
	// as all of them since the number of layers is not known at the start.
	It("is not used if it lacks layers", func() {
		l.engine = loading.Engine{Loaded: 2, Orders: loading.Orders{Count: 1, Reported: true}, Layers: loading.Layers{Target: 1}}
		l.updateStanding()
		Expect(l.isReloading()).To(BeTrue(), "the number of layers is not known")
		l.supply = &wire.Supply{Layers: 16}
		l.updateStanding()
		Expect(l.verification.Of(l.engine)).To(Equal(loading.Rejected))
	})

	// Guards against a sound engine that leaves service: it was ordered once more on the basis
	// of an outdated report.
	It("remains verified if a second order finds it loaded", func() {
		Expect(report(2, 2, false)).To(BeFalse())
		l.lastReport = wire.Replica{Loaded: 2, Orders: 2, HasOrders: true}
		l.plan.MarkOrdered(time.Time{}, 2)
		l.handleOrderResult(time.Time{}, 2, l.engine.Load(), alreadyLoaded.New("loaded"))
		Expect(l.isReloading()).To(BeFalse())
	})

	It("is used once this process has ordered and verified it", func() {
		Expect(report(1, 1, false)).To(BeFalse())
		l.verification.Set(l.engine.After(2), loading.Verified)
		Expect(report(1, 1, false)).To(BeTrue(), "a report from before the order")
		Expect(report(2, 2, false)).To(BeFalse())
	})
})
