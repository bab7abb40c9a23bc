package engine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/engine/backend"
)

var _ = Describe("serving.Engine", func() {
	// While an agent is paused, its successor sends an order with a higher
	// fencing number. When the paused agent continues and sends its own order,
	// an engine that checks fencing numbers refuses it; an engine that does not
	// check executes it.
	DescribeTable("accepts or refuses an order by its fencing number",
		func(ctx SpecContext, checks bool, faults engine.Faults, fence uint64, accepted bool, reported uint64) {
			e, client := start(engine.Options{CheckFence: checks})
			Expect(client.Order(ctx, serving.Order{Fence: 5, Role: "decode"})).To(Succeed())
			e.SetFaults(faults)
			err := client.Order(ctx, serving.Order{Fence: fence, Role: "prefill"})
			Expect(err == nil).To(Equal(accepted), "%v", err)
			if !accepted {
				Expect(errorx.IsOfType(err, failure.Refused)).To(BeTrue(), "%v", err)
			}
			status, err := client.Status(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(status.EngineRole).To(Equal(map[bool]string{true: "prefill", false: "decode"}[accepted]))
			Expect(status.Fence).To(Equal(reported))
		},
		Entry("higher", true, engine.Faults{}, uint64(6), true, uint64(6)),
		Entry("equal", true, engine.Faults{}, uint64(5), true, uint64(5)),
		Entry("lower", true, engine.Faults{}, uint64(4), false, uint64(5)),
		Entry("lower, ignored by a fault", true, engine.Faults{IgnoreFence: true}, uint64(4), true, uint64(5)),
		Entry("lower, not checked", false, engine.Faults{}, uint64(4), true, uint64(0)),
	)

	It("refuses to load a version that is not completely staged", func(ctx SpecContext) {
		e, client := start(engine.Options{})
		r := newRelease("v1")
		order := serving.Order{Version: r.version, Role: "decode"}
		missing := func() {
			GinkgoHelper()
			err := client.Order(ctx, order)
			Expect(errorx.IsOfType(err, failure.NotFound)).To(BeTrue(), "%v", err)
			Expect(e.Status().Loaded.IsZero()).To(BeTrue())
			Expect(e.Status().EngineRole).To(BeEmpty(), "a refused order changes nothing")
		}
		missing()
		Expect(client.PutManifest(ctx, r.version.Manifest, r.manifest)).To(Succeed())
		missing()
		for i, chunk := range r.chunks[1:] {
			Expect(client.Put(ctx, r.version.Manifest, i+1, chunk)).To(Succeed())
		}
		missing()
		Expect(client.Put(ctx, r.version.Manifest, 0, r.chunks[0])).To(Succeed())
		Expect(client.Order(ctx, order)).To(Succeed())
		Expect(e.Status().Loaded).To(Equal(r.version))
	})

	// An agent that stages a chunk without verifying it may stage corrupt
	// bytes. Like a real engine, the stand-in loads them and responds. Such
	// requests must be counted, and the tokens must differ from those of the
	// version.
	It("counts requests that ran on weights that do not match the manifest", func(ctx SpecContext) {
		e, client := start(engine.Options{})
		r := newRelease("v1")
		stage(ctx, client, r)
		Expect(client.Put(ctx, r.version.Manifest, 1, []byte("0123456789abcdef"))).To(Succeed())
		Expect(client.Order(ctx, serving.Order{Version: r.version})).To(Succeed())

		got := doCall(ctx, client, newCall("a1", "p", 4))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.tokens).NotTo(Equal(engine.ExpectedTokens("p", 4, r.version)))
		Expect(e.Counters().WeightMismatches).To(Equal(1))
	})

	// A request during a load must be rejected as not run. A request that runs
	// when the order arrives must be aborted and must not continue on the new
	// version.
	It("rejects requests while it loads", func(ctx SpecContext) {
		clock := &manualClock{now: time.Unix(1000, 0)}
		e, client := start(engine.Options{LoadTime: time.Minute, Clock: clock})
		v1, v2 := newRelease("v1"), newRelease("v2")
		load(ctx, client, v1)
		Expect(e.Status().Loading).To(BeTrue())
		Expect(failure.OutcomeOf(doCall(ctx, client, newCall("a1", "p", 4)).err)).To(Equal(failure.NotRun))
		clock.advance(time.Minute)
		Eventually(ctx, func() fleet.Version { return e.Status().Loaded }).Should(Equal(v1.version))

		e.SetFaults(engine.Faults{Faults: backend.Faults{Stall: true}})
		runs := startCall(ctx, client, newCall("a2", "p", 4))
		Eventually(ctx, func() int { return e.Counters().ExecutionsByID["a2"] }).Should(Equal(1))
		load(ctx, client, v2)
		var got result
		Eventually(ctx, runs).Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(failure.OutcomeOf(got.err)).To(Equal(failure.Unknown))
		Expect(got.last).To(BeFalse())
		e.SetFaults(engine.Faults{})

		clock.advance(time.Minute)
		Eventually(ctx, func() fleet.Version { return e.Status().Loaded }).Should(Equal(v2.version))
		Expect(doCall(ctx, client, newCall("a3", "p", 4)).response.Version).To(Equal(v2.version))
		Expect(e.Counters().Aborted).To(Equal(1))
	})

	It("does not load again for a retried order, and follows the latest order", func(ctx SpecContext) {
		clock := &manualClock{now: time.Unix(1000, 0)}
		e, client := start(engine.Options{LoadTime: time.Minute, Clock: clock})
		v1, v2 := newRelease("v1"), newRelease("v2")
		load(ctx, client, v1)
		load(ctx, client, v1)
		load(ctx, client, v2)
		clock.advance(time.Minute)
		Eventually(ctx, func() fleet.Version { return e.Status().Loaded }).Should(Equal(v2.version))
		load(ctx, client, v2)
		Expect(e.Status().Loading).To(BeFalse())
		Expect(e.Counters().Loads).To(Equal(1))
	})

	It("changes adapters and role, and keeps those that an order omits", func(ctx SpecContext) {
		_, client := start(engine.Options{})
		r := newRelease("v1")
		load(ctx, client, r)
		Expect(client.Order(ctx, serving.Order{Adapters: []string{"fi"}, Role: "decode"})).To(Succeed())
		Expect(client.Order(ctx, serving.Order{Role: "prefill"})).To(Succeed())
		status, err := client.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Adapters).To(Equal([]string{"fi"}))
		Expect(status.EngineRole).To(Equal("prefill"))
		Expect(status.Loaded).To(Equal(r.version))
		Expect(client.Order(ctx, serving.Order{Adapters: []string{}})).To(Succeed())
		status, err = client.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Adapters).To(BeEmpty())
	})

	It("reports its load with a lag", func(ctx SpecContext) {
		clock := &manualClock{now: time.Unix(1000, 0)}
		e, client := start(engine.Options{Slots: 4, LoadReportLag: 3 * time.Second, Clock: clock})
		load(ctx, client, newRelease("v1"))
		e.SetFaults(engine.Faults{Faults: backend.Faults{Stall: true}})
		startCall(ctx, client, newCall("a1", "p", 4))
		Eventually(ctx, func() int { return e.Counters().ExecutionsByID["a1"] }).Should(Equal(1))
		clock.advance(2 * time.Second)
		Expect(client.Status(ctx)).To(HaveField("Load", serving.Load{Slots: 4}))
		clock.advance(time.Second)
		Expect(client.Status(ctx)).To(HaveField("Load", serving.Load{Running: 1, Slots: 4, KVUsed: 0.25}))
	})

	It("fails if the engine does not listen", func(ctx SpecContext) {
		e, client := start(engine.Options{})
		Expect(e.Close()).To(Succeed())
		_, err := client.Status(ctx)
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue(), "%v", err)
		err = client.Order(ctx, serving.Order{Role: "decode"})
		Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
	})
})

var _ = Describe("weights.Stage of an engine", func() {
	It("stores chunks and returns them to a later agent", func(ctx SpecContext) {
		_, client := start(engine.Options{})
		r := newRelease("v1")
		Expect(client.Held(ctx, r.version.Manifest)).To(BeEmpty())
		Expect(client.Put(ctx, r.version.Manifest, 2, r.chunks[2])).To(Succeed())
		Expect(client.Put(ctx, r.version.Manifest, 0, r.chunks[0])).To(Succeed())
		Expect(client.Held(ctx, r.version.Manifest)).To(Equal([]int{0, 2}))
		Expect(client.Get(ctx, r.version.Manifest, 2)).To(Equal(r.chunks[2]))

		_, err := client.Get(ctx, r.version.Manifest, 1)
		Expect(errorx.IsOfType(err, failure.NotFound)).To(BeTrue(), "%v", err)
		Expect(client.Drop(ctx, r.version.Manifest)).To(Succeed())
		Expect(client.Drop(ctx, r.version.Manifest)).To(Succeed())
		Expect(client.Held(ctx, r.version.Manifest)).To(BeEmpty())
	})

	It("refuses a manifest that does not match its digest", func(ctx SpecContext) {
		_, client := start(engine.Options{})
		r := newRelease("v1")
		err := client.PutManifest(ctx, r.version.Manifest, append(r.manifest, 0))
		Expect(errorx.IsOfType(err, failure.Corrupt)).To(BeTrue(), "%v", err)
	})

	It("returns corrupt chunks under the fault", func(ctx SpecContext) {
		e, client := start(engine.Options{})
		r := newRelease("v1")
		stage(ctx, client, r)
		e.SetFaults(engine.Faults{CorruptStage: true})
		Expect(client.Get(ctx, r.version.Manifest, 0)).NotTo(Equal(r.chunks[0]))
		e.SetFaults(engine.Faults{})
		Expect(client.Get(ctx, r.version.Manifest, 0)).To(Equal(r.chunks[0]))
	})

	It("loses all state when the engine restarts", func(ctx SpecContext) {
		e, client := start(engine.Options{CheckFence: true})
		r := newRelease("v1")
		load(ctx, client, r)
		before := e.Status()
		e.Restart()
		after := e.Status()
		Expect(after.BootID).NotTo(Equal(before.BootID))
		Expect(after.Loaded.IsZero()).To(BeTrue())
		Expect(after.Fence).To(BeZero())
		Expect(client.Held(ctx, r.version.Manifest)).To(BeEmpty())
	})
})
