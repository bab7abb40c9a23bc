package loader

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/policy"
	"chivespindle.example/daemon/wire"
)

// silentEngine is an engine that answers reports and returns no chunks.
type silentEngine struct{ *engine }

func (silentEngine) Get(context.Context, string, int) ([]byte, error) {
	return nil, failure.Timeout.New("no response")
}

func (silentEngine) Put(context.Context, string, int, []byte) error {
	return failure.Timeout.New("no response")
}

// Guards against an engine that counts as reloading for 1.5 s after a silence during which it got
// no order.
var _ = Describe("An engine that is silent while its stage is checked", func() {
	It("counts as serving, since no order was sent", func() {
		ctx := context.Background()
		staging := &engine{staged: make(map[int][]byte), state: loading.Engine{Born: 1}}
		s := newStage(staging, &origin{}, zap.NewNop())
		_, named, _, err := s.readManifest(ctx, wire.Supply{Model: "m"}, 2)
		Expect(err).NotTo(HaveOccurred())
		for number := range chunkCount {
			Expect(s.Put(ctx, named.Manifest, number, chunk(2, number))).To(Succeed())
		}
		s.engine = silentEngine{staging}
		failed, err := s.load(ctx, wire.Supply{Model: "m"}, 2, false)
		Expect(err).To(HaveOccurred())
		Expect(staging.orders).To(BeZero())

		now := time.Now()
		l := &Loader{
			opts: Options{Logger: zap.NewNop(), Addr: netip.MustParseAddr("10.0.0.1")},
			plan: loading.NewPlan("10.0.0.1", 8*time.Second, policy.Disabled{}),
		}
		l.plan.MarkOrdered(now, 2)
		l.handleOrderResult(now, 2, failed, err)
		Expect(l.plan.IsReloading(loading.Engine{Loaded: 1})).To(BeFalse())
	})
})
