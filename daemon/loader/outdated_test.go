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

// Engines began calls on a version that was out of time, and no line told what
// they still had waiting then.
var _ = Describe("The agent of an engine whose version is out of time", func() {
	const (
		within = 8 * time.Second
		over   = "version_time_over"
		ended  = "outdated_work_ended"
	)
	start := time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)
	var (
		l     *Loader
		lines *observer.ObservedLogs
	)

	BeforeEach(func() {
		core, logged := observer.New(zap.InfoLevel)
		lines = logged
		l = &Loader{opts: Options{Logger: zap.New(core)}, plan: loading.NewPlan("10.0.0.1", within, policy.Disabled{})}
		l.plan.AddWanted(loading.NamedVersion{Version: 2, Since: start})
	})

	// report has the engine report so long after version 2 was named. Entries know
	// of the version already; there is no mesh here to tell them.
	report := func(after time.Duration, e loading.Engine) {
		l.told.Loaded = e.Loaded
		l.reported(start.Add(after), e, nil)
	}

	told := func(event string) []map[string]any {
		var all []map[string]any
		for _, entry := range lines.FilterMessage(event).All() {
			all = append(all, entry.ContextMap())
		}
		return all
	}

	It("tells once what it has in hand, and once when that has ended", func() {
		report(7900*time.Millisecond, loading.Engine{Loaded: 1, Queued: 3, Running: 4})
		Expect(told(over)).To(BeEmpty())
		report(8100*time.Millisecond, loading.Engine{Loaded: 1, Queued: 2, Running: 4})
		report(8400*time.Millisecond, loading.Engine{Loaded: 1, Running: 1})
		Expect(told(over)).To(Equal([]map[string]any{{
			"loaded": uint64(1), "after": 100 * time.Millisecond, "queued": int64(2), "running": int64(4)}}))
		Expect(told(ended)).To(BeEmpty())
		report(8700*time.Millisecond, loading.Engine{Loaded: 1})
		report(9000*time.Millisecond, loading.Engine{Loaded: 1, Running: 1})
		report(9300*time.Millisecond, loading.Engine{Loaded: 1})
		Expect(told(ended)).To(Equal([]map[string]any{{
			"loaded": uint64(1), "holds": uint64(1), "after": 700 * time.Millisecond}}))
		Expect(told(over)).To(HaveLen(1))
	})

	// An engine is idle for less than the pause between two reports before it
	// loads: its work would look as if it had never ended.
	It("tells that its work has ended when the engine holds another version", func() {
		report(8100*time.Millisecond, loading.Engine{Loaded: 1, Running: 4})
		report(8400*time.Millisecond, loading.Engine{Loaded: 2, Running: 5})
		report(8700*time.Millisecond, loading.Engine{Loaded: 2})
		Expect(told(ended)).To(Equal([]map[string]any{{
			"loaded": uint64(1), "holds": uint64(2), "after": 400 * time.Millisecond}}))
		Expect(told(over)).To(HaveLen(1))
	})

	// A second line for each idle engine would hide those that had work in hand.
	It("tells of no end if it had nothing in hand", func() {
		report(8100*time.Millisecond, loading.Engine{Loaded: 1})
		report(8400*time.Millisecond, loading.Engine{Loaded: 1})
		Expect(told(over)).To(HaveLen(1))
		Expect(told(ended)).To(BeEmpty())
	})

	// A newer version may be wanted before the one between is replaced.
	It("tells of each version that it held too long", func() {
		l.plan.AddWanted(loading.NamedVersion{Version: 3, Since: start.Add(time.Second)})
		report(8100*time.Millisecond, loading.Engine{Loaded: 1})
		report(8800*time.Millisecond, loading.Engine{Loaded: 2})
		report(9200*time.Millisecond, loading.Engine{Loaded: 2, Queued: 1})
		Expect(told(over)).To(HaveExactElements(
			HaveKeyWithValue("loaded", uint64(1)), HaveKeyWithValue("loaded", uint64(2))))
	})

	It("tells nothing of one that holds the wanted version, or none", func() {
		report(time.Hour, loading.Engine{Loaded: 2, Running: 5})
		report(time.Hour, loading.Engine{Queued: 1})
		Expect(told(over)).To(BeEmpty())
		Expect(told(ended)).To(BeEmpty())
	})
})
