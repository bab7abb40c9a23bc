package loader

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"chivespindle.example/core/loading"
	"chivespindle.example/core/policy"
)

// Guards against a missing log line: engines start calls on an expired version, and
// no line shows how many calls are still waiting.
var _ = Describe("The agent of an engine whose version has expired", func() {
	const (
		within       = 8 * time.Second
		expiredEvent = "version_time_over"
		endedEvent   = "outdated_work_ended"
	)
	start := time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)
	var (
		l    *Loader
		logs *observer.ObservedLogs
	)

	BeforeEach(func() {
		core, logged := observer.New(zap.InfoLevel)
		logs = logged
		l = &Loader{opts: Options{Logger: zap.New(core)}, plan: loading.NewPlan("10.0.0.1", within, policy.Disabled{})}
		l.plan.AddWanted(loading.NamedVersion{Version: 2, Since: start})
	})

	// report simulates an engine's report at a time after version 2 was named.
	// lastReport is preset so that nothing is sent: there is no mesh here.
	report := func(after time.Duration, e loading.Engine) {
		l.lastReport.Loaded = e.Loaded
		l.verification.Set(e.Load(), loading.Verified)
		l.handleReport(start.Add(after), e, nil)
	}

	logged := func(event string) []map[string]any {
		var all []map[string]any
		for _, entry := range logs.FilterMessage(event).All() {
			all = append(all, entry.ContextMap())
		}
		return all
	}

	It("logs the calls in the engine once, and once when they have ended", func() {
		report(7900*time.Millisecond, loading.Engine{Loaded: 1, Queued: 3, Running: 4})
		Expect(logged(expiredEvent)).To(BeEmpty())
		report(8100*time.Millisecond, loading.Engine{Loaded: 1, Queued: 2, Running: 4})
		report(8400*time.Millisecond, loading.Engine{Loaded: 1, Running: 1})
		Expect(logged(expiredEvent)).To(Equal([]map[string]any{{
			"loaded": uint64(1), "after": 100 * time.Millisecond, "queued": int64(2), "running": int64(4)}}))
		Expect(logged(endedEvent)).To(BeEmpty())
		report(8700*time.Millisecond, loading.Engine{Loaded: 1})
		report(9000*time.Millisecond, loading.Engine{Loaded: 1, Running: 1})
		report(9300*time.Millisecond, loading.Engine{Loaded: 1})
		Expect(logged(endedEvent)).To(Equal([]map[string]any{{
			"loaded": uint64(1), "holds": uint64(1), "after": 700 * time.Millisecond}}))
		Expect(logged(expiredEvent)).To(HaveLen(1))
	})

	// An engine is idle for less than the pause between two reports before it loads, so
	// that its work would seem never to end.
	It("logs that the calls have ended when the engine has loaded another version", func() {
		report(8100*time.Millisecond, loading.Engine{Loaded: 1, Running: 4})
		report(8400*time.Millisecond, loading.Engine{Loaded: 2, Running: 5})
		report(8700*time.Millisecond, loading.Engine{Loaded: 2})
		Expect(logged(endedEvent)).To(Equal([]map[string]any{{
			"loaded": uint64(1), "holds": uint64(2), "after": 400 * time.Millisecond}}))
		Expect(logged(expiredEvent)).To(HaveLen(1))
	})

	// A second line for each idle engine would hide the lines of engines with work.
	It("logs no end if the engine had no calls", func() {
		report(8100*time.Millisecond, loading.Engine{Loaded: 1})
		report(8400*time.Millisecond, loading.Engine{Loaded: 1})
		Expect(logged(expiredEvent)).To(HaveLen(1))
		Expect(logged(endedEvent)).To(BeEmpty())
	})

	// A newer version may be wanted before the previous one is replaced.
	It("logs each version that the engine kept too long", func() {
		l.plan.AddWanted(loading.NamedVersion{Version: 3, Since: start.Add(time.Second)})
		report(8100*time.Millisecond, loading.Engine{Loaded: 1})
		report(8800*time.Millisecond, loading.Engine{Loaded: 2})
		report(9200*time.Millisecond, loading.Engine{Loaded: 2, Queued: 1})
		Expect(logged(expiredEvent)).To(HaveExactElements(
			HaveKeyWithValue("loaded", uint64(1)), HaveKeyWithValue("loaded", uint64(2))))
	})

	It("logs nothing for an engine with the wanted version, or with none", func() {
		report(time.Hour, loading.Engine{Loaded: 2, Running: 5})
		report(time.Hour, loading.Engine{Queued: 1})
		Expect(logged(expiredEvent)).To(BeEmpty())
		Expect(logged(endedEvent)).To(BeEmpty())
	})
})
