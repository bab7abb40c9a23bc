package loader

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/policy"
	"chivespindle.example/daemon/wire"
)

func aged(age time.Duration, repaired int) check {
	return check{age: func() time.Duration { return age }, repaired: repaired}
}

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
		func(age time.Duration, repaired int, spoil func(), isVerified bool) {
			v, err := s.versionByNumber(2)
			Expect(err).NotTo(HaveOccurred())
			o := &order{version: v, checked: aged(age, 0)}
			if repaired > 0 {
				meanwhile := aged(0, repaired)
				o.repaired = &meanwhile
			}
			spoil()
			load, err := s.verify(ctx, o)
			Expect(load).To(Equal(o.before.After(2)))
			Expect(errorx.IsOfType(err, loadRejected)).To(Equal(!isVerified))
		},
		Entry("intact, and the check is old", time.Minute, 0, func() {}, true),
		Entry("corrupt, and the check is old", time.Minute, 0, func() { e.staged[1][0] ^= 1 }, false),
		Entry("missing, and the check is old", time.Minute, 0, func() { delete(e.staged, 1) }, false),
		Entry("repaired before or after the acceptance, and the check is old", time.Minute, 1, func() {}, false),
		Entry("corrupt since the check, which is recent", time.Millisecond, 0, func() { e.staged[1][0] ^= 1 }, true),
		Entry("of another version", time.Millisecond, 0, func() { e.staged[1] = chunk(3, 1) }, false),
	)

	// Guards against a repair after the acceptance that hides a corrupt chunk from the
	// verification.
	It("is not vouched for by a repair that may have come too late", func() {
		v, err := s.versionByNumber(2)
		Expect(err).NotTo(HaveOccurred())
		o := &order{version: v, before: loading.Engine{Born: 1, Orders: loading.Orders{Reported: true}}, checked: aged(time.Minute, 0)}
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
			if reports++; reports == settleReports {
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
		return l.plan.IsReloading(l.engine)
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

	It("is used once this process has ordered and verified it", func() {
		Expect(report(1, 1, false)).To(BeFalse())
		l.verification.Set(l.engine.After(2), loading.Verified)
		Expect(report(1, 1, false)).To(BeTrue(), "a report from before the order")
		Expect(report(2, 2, false)).To(BeFalse())
	})
})
