package engine_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/joomcode/errorx"

	adapter "chivespindle.example/adapters/engine"
	"chivespindle.example/adapters/engine/attempt"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/engine/backend"
)

// shortStallTimeout is the progress timeout of specs in which it must expire.
const shortStallTimeout = 50 * time.Millisecond

var _ = Describe("serving.Backend of an engine", func() {
	It("streams the complete response of the loaded version", func(ctx SpecContext) {
		e, client := start(engine.Options{})
		r := newRelease("v1")
		load(ctx, client, r)

		got := doCall(ctx, client, newCall("a1", "fault 17", 9))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.last).To(BeTrue())
		Expect(got.tokens).To(Equal(engine.ExpectedTokens("fault 17", 9, r.version)))
		Expect(got.response).To(Equal(serving.Response{ID: "a1", Status: 200, Version: r.version}))

		counters := e.Counters()
		Expect(counters.ExecutionsByKey).To(Equal(backend.Counts{"key-a1": 1}))
		Expect(counters.ExecutionsByID).To(Equal(backend.Counts{"a1": 1}))
		Expect(counters.ResponsesByVersion).To(Equal(backend.Counts{r.version.String(): 1}))
		Expect(counters.WeightMismatches).To(BeZero())
	})

	// The caller must never receive a response that looks complete but belongs
	// to another request. Each fault corrupts the response in a different way.
	// The client forwards only the lines before the fault and never the last
	// line. Since the engine has run the call, the outcome must not be "not
	// run".
	DescribeTable("aborts a faulty response with an unknown outcome",
		func(ctx SpecContext, faults engine.Faults, kind *errorx.Type, tokens int) {
			e, client := start(engine.Options{}, withStallTimeout(shortStallTimeout))
			load(ctx, client, newRelease("v1"))
			e.SetFaults(faults)

			got := doCall(ctx, client, newCall("a1", "p", 8))
			Expect(errorx.IsOfType(got.err, kind)).To(BeTrue(), "%v", got.err)
			Expect(failure.OutcomeOf(got.err)).To(Equal(failure.Unknown))
			Expect(got.last).To(BeFalse())
			Expect(got.tokens).To(HaveLen(tokens))
			Expect(e.Counters().ExecutionsByKey).To(Equal(backend.Counts{"key-a1": 1}))
		},
		Entry("stall", engine.Faults{Faults: backend.Faults{Stall: true}}, failure.Timeout, 4, SpecTimeout(30*time.Second)),
		Entry("abort in the middle", engine.Faults{Faults: backend.Faults{Abort: 1}}, failure.Unavailable, 4),
		Entry("wrong ID", engine.Faults{Faults: backend.Faults{WrongID: 1}}, failure.Corrupt, 0),
		Entry("version change in the stream", engine.Faults{ChangeVersion: 1}, failure.Corrupt, 8),
	)

	// Two concurrent callers are sent each other's response. Both must get an
	// error and no part of the other's response.
	It("forwards nothing of swapped responses", func(ctx SpecContext) {
		e, client := start(engine.Options{})
		load(ctx, client, newRelease("v1"))
		e.SetFaults(engine.Faults{Faults: backend.Faults{Swap: 1}})

		first := startCall(ctx, client, newCall("a1", "one", 5))
		second := startCall(ctx, client, newCall("a2", "two", 5))
		for _, done := range []<-chan result{first, second} {
			var got result
			Eventually(ctx, done).Should(Receive(&got))
			Expect(errorx.IsOfType(got.err, failure.Corrupt)).To(BeTrue(), "%v", got.err)
			Expect(got.tokens).To(BeEmpty())
		}
		Expect(doCall(ctx, client, newCall("a3", "three", 5)).err).NotTo(HaveOccurred())
	})

	It("reports not run if nothing listens", func(ctx SpecContext) {
		e, client := start(engine.Options{})
		Expect(e.Close()).To(Succeed())
		got := doCall(ctx, client, newCall("a1", "p", 1))
		Expect(errorx.IsOfType(got.err, failure.Unavailable)).To(BeTrue(), "%v", got.err)
		Expect(failure.OutcomeOf(got.err)).To(Equal(failure.NotRun))
	})

	It("reports not run if no version is loaded", func(ctx SpecContext) {
		e, client := start(engine.Options{})
		got := doCall(ctx, client, newCall("a1", "p", 1))
		Expect(failure.OutcomeOf(got.err)).To(Equal(failure.NotRun))
		Expect(got.response.Status).To(Equal(503))
		Expect(e.Counters().ExecutionsByID).To(BeEmpty())
	})

	DescribeTable("reports not run for a request that the engine rejects",
		func(ctx SpecContext, call serving.Call) {
			e, client := start(engine.Options{})
			load(ctx, client, newRelease("v1"))
			got := doCall(ctx, client, call)
			Expect(errorx.IsOfType(got.err, failure.Invalid)).To(BeTrue(), "%v", got.err)
			Expect(failure.OutcomeOf(got.err)).To(Equal(failure.NotRun))
			Expect(e.Counters().ExecutionsByID).To(BeEmpty())
		},
		Entry("not JSON", serving.Call{ID: "a1", Body: []byte("x")}),
		Entry("no max_tokens", serving.Call{ID: "a1", Body: []byte(`{"prompt":"p"}`)}),
		Entry("no ID", serving.Call{Body: []byte(`{"prompt":"p","max_tokens":1}`)}),
		Entry("another path", serving.Call{ID: "a1", Path: "orders", Body: []byte(`{"role":"none"}`)}),
	)

	// One request holds the only slot. When the queue is full, a further
	// request is rejected immediately as not run. Waiting requests run by
	// urgency, then by arrival. Each response takes one step of the clock, so
	// that only one request can run per step.
	It("runs waiting requests by priority and rejects requests beyond the queue limit", func(ctx SpecContext) {
		clock := &manualClock{now: time.Unix(1000, 0)}
		e, client := start(engine.Options{Slots: 1, MaxWaiting: 3, TokenTime: time.Second, Clock: clock})
		load(ctx, client, newRelease("v1"))

		calls := []<-chan result{startCall(ctx, client, newCall("held", "p", 1))}
		Eventually(ctx, func() int { return e.Status().Load.Running }).Should(Equal(1))
		for i, priority := range []int{5, 1, 5} {
			call := newCall(fmt.Sprintf("w%d", i), "p", 1)
			call.Priority = priority
			calls = append(calls, startCall(ctx, client, call))
			Eventually(ctx, func() int { return e.Status().Load.Waiting }).Should(Equal(i + 1))
		}
		full := doCall(ctx, client, newCall("full", "p", 1))
		Expect(failure.OutcomeOf(full.err)).To(Equal(failure.NotRun))

		ran := backend.Counts{}
		for _, id := range []string{"held", "w1", "w0", "w2"} {
			ran[id] = 1
			Eventually(ctx, clock.pendingTimers).Should(Equal(1))
			Expect(e.Counters().ExecutionsByID).To(Equal(ran))
			clock.advance(time.Second)
		}
		for _, call := range calls {
			var got result
			Eventually(ctx, call).Should(Receive(&got))
			Expect(got.err).NotTo(HaveOccurred())
		}
	})

	It("takes TokenTime per token, plus the delay set as a fault", func(ctx SpecContext) {
		clock := &manualClock{now: time.Unix(1000, 0)}
		e, client := start(engine.Options{TokenTime: time.Second, Clock: clock})
		load(ctx, client, newRelease("v1"))
		e.SetFaults(engine.Faults{Faults: backend.Faults{StepDelayMS: 500}})
		call := startCall(ctx, client, newCall("a1", "p", 1))
		Eventually(ctx, clock.pendingTimers).Should(Equal(1))
		clock.advance(time.Second)
		Expect(clock.pendingTimers()).To(Equal(1))
		clock.advance(500 * time.Millisecond)
		Eventually(ctx, call).Should(Receive())
	})

	// The caller cancels while its request waits or is being answered. The
	// engine must stop and free the slot, and the next response, over a new
	// connection, must be correct.
	DescribeTable("cancels",
		func(ctx SpecContext, before func(e *engine.Engine, client *adapter.Client), ran bool) {
			e, client := start(engine.Options{Slots: 1, MaxWaiting: 1})
			load(ctx, client, newRelease("v1"))
			e.SetFaults(engine.Faults{Faults: backend.Faults{Stall: true}})
			if before != nil {
				before(e, client)
			}
			callCtx, cancel := context.WithCancel(ctx)
			call := startCall(callCtx, client, newCall("a1", "p", 8))
			Eventually(ctx, func() int {
				load := e.Status().Load
				return load.Running + load.Waiting
			}).Should(BeNumerically(">=", map[bool]int{true: 1, false: 2}[ran]))
			cancel()

			var got result
			Eventually(ctx, call).Should(Receive(&got))
			Expect(errorx.IsOfType(got.err, attempt.Canceled)).To(BeTrue(), "%v", got.err)
			Expect(failure.OutcomeOf(got.err)).To(Equal(failure.Unknown))
			Expect(got.last).To(BeFalse())
			Eventually(ctx, func() int { return e.Counters().Cancelled }).Should(Equal(1))

			e.SetFaults(engine.Faults{})
			Eventually(ctx, func() int { return e.Status().Load.Running }).Should(BeZero())
			Expect(doCall(ctx, client, newCall("a2", "p", 2)).err).NotTo(HaveOccurred())
		},
		Entry("a running request", nil, true),
		Entry("a waiting request", func(e *engine.Engine, client *adapter.Client) {
			startCall(context.Background(), client, newCall("held", "p", 2))
			Eventually(func() int { return e.Status().Load.Running }).Should(Equal(1))
		}, false),
	)

	// The agent pins a version. If the engine responds from another version,
	// the call must be aborted before any piece is forwarded to the caller.
	It("checks the version before it forwards a piece", func(ctx SpecContext) {
		wrong := failure.WithOutcome(failure.Refused.New("not the pinned version"), failure.NotRun)
		_, client := start(engine.Options{}, func(o *adapter.Options) {
			o.CheckVersion = func(fleet.Version) error { return wrong }
		})
		load(ctx, client, newRelease("v1"))
		got := doCall(ctx, client, newCall("a1", "p", 3))
		Expect(errorx.IsOfType(got.err, failure.Refused)).To(BeTrue(), "%v", got.err)
		Expect(failure.OutcomeOf(got.err)).To(Equal(failure.Unknown))
		Expect(got.tokens).To(BeEmpty())
	})

	It("stops when the receiver fails", func(ctx SpecContext) {
		_, client := start(engine.Options{})
		load(ctx, client, newRelease("v1"))
		gone := failure.WithOutcome(failure.Unavailable.New("gone"), failure.NotRun)
		_, err := client.Do(ctx, newCall("a1", "p", 3), func(serving.Piece) error { return gone })
		Expect(err).To(MatchError(ContainSubstring("gone")))
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
	})
})
