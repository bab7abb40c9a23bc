package loader

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"chivespindle.example/core/loading"
	"chivespindle.example/core/policy"
)

// Guards against weights that are fetched and loaded by an engine which shuts down and cannot
// report that to the platform.
var _ = Describe("An engine that states that it is leaving", func() {
	It("is not loaded while it states it", func() {
		now := time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)
		l := &Loader{
			opts: Options{Logger: zap.NewNop(), Addr: netip.MustParseAddr("10.0.0.1")},
			plan: loading.NewPlan("10.0.0.1", 8*time.Second, policy.Disabled{}),
		}
		l.plan.AddWanted(loading.NamedVersion{Version: 2, Since: now})
		l.plan.MarkStaged(now, 2)
		next := func(e loading.Engine) loading.Step {
			l.lastReport.Loaded, l.lastReport.Leaving = e.Loaded, e.Leaving // nothing is sent: there is no mesh here
			l.handleReport(now, e, nil)
			return l.plan.Next(now, e, 0)
		}
		Expect(next(loading.Engine{Leaving: true})).To(Equal(loading.Idle))
		Expect(next(loading.Engine{})).To(Equal(loading.Order))
	})
})
