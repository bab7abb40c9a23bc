package plainservice_test

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/engine/attempt"
	adapter "chivespindle.example/adapters/plainservice"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/serving"
	"chivespindle.example/standin/engine/backend"
	"chivespindle.example/standin/plainservice"
)

// shortStall is a progress deadline for specs in which it must pass.
const shortStall = 50 * time.Millisecond

// result is what one call came to.
type result struct {
	answer serving.Response
	err    error
	body   []byte
}

func do(ctx context.Context, client *adapter.Client, call serving.Call) result {
	var r result
	r.answer, r.err = client.Do(ctx, call, func(p serving.Piece) error {
		r.body = append(r.body, p.Data...)
		return nil
	})
	return r
}

func running(ctx context.Context, client *adapter.Client, call serving.Call) <-chan result {
	done := make(chan result, 1)
	go func() { done <- do(ctx, client, call) }()
	return done
}

func callOf(id string) serving.Call {
	return serving.Call{ID: id, IdempotencyKey: "key-" + id, Path: "parts/order", Body: []byte("mast chain " + id)}
}

var _ = Describe("serving.Backend of a plain service", func() {
	var (
		service *plainservice.Service
		client  *adapter.Client
	)
	BeforeEach(func() {
		service = plainservice.New(plainservice.Options{Slots: 2})
		addr, err := service.Start("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		client = adapter.New(adapter.Options{Addr: addr, StallTimeout: shortStall})
	})
	stall := backend.Faults{Stall: true}

	It("hands over the receipt of the call", func(ctx SpecContext) {
		got := do(ctx, client, callOf("a1"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.answer).To(Equal(serving.Response{ID: "a1", Status: 200}))
		var receipt plainservice.Receipt
		Expect(json.Unmarshal(got.body, &receipt)).To(Succeed())
		Expect(receipt).To(Equal(plainservice.Receipt{
			ID: "a1", Key: "key-a1", Path: "parts/order", Execution: 1, Body: []byte("mast chain a1"),
		}))
		again := callOf("a2")
		again.IdempotencyKey = "key-a1"
		Expect(do(ctx, client, again).body).To(ContainSubstring(`"execution":2`))
		Expect(service.Counters().ExecutionsByKey).To(Equal(backend.Counts{"key-a1": 2}))
	})

	It("carries a body of many pieces, and none", func(ctx SpecContext) {
		call := callOf("a1")
		call.Body = bytes.Repeat([]byte("0123456789"), 100_000)
		got := do(ctx, client, call)
		Expect(got.err).NotTo(HaveOccurred())
		var receipt plainservice.Receipt
		Expect(json.Unmarshal(got.body, &receipt)).To(Succeed())
		Expect(bytes.Equal(receipt.Body, call.Body)).To(BeTrue())
		call = callOf("a2")
		call.Body = nil
		Expect(do(ctx, client, call).err).NotTo(HaveOccurred())
	})

	// A parts order is sent and its answer is spoiled in another way at each
	// entry. The service ran it once, so the outcome must be unknown, never
	// not run, or the workshop's second attempt would buy a second chain.
	DescribeTable("leaves the outcome of a spoiled answer unknown",
		func(ctx SpecContext, faults backend.Faults, kind *errorx.Type, pieces bool) {
			service.SetFaults(faults)
			got := do(ctx, client, callOf("a1"))
			Expect(errorx.IsOfType(got.err, kind)).To(BeTrue(), "%v", got.err)
			Expect(failure.OutcomeOf(got.err)).To(Equal(failure.Unknown))
			Expect(len(got.body) > 0).To(Equal(pieces))
			Expect(service.Counters().ExecutionsByKey).To(Equal(backend.Counts{"key-a1": 1}))
		},
		Entry("stall", stall, failure.Timeout, true),
		Entry("die in the middle", backend.Faults{Abort: 1}, failure.Unavailable, true),
		Entry("wrong id", backend.Faults{WrongID: 1}, failure.Corrupt, false),
	)

	It("hands over nothing of swapped answers", func(ctx SpecContext) {
		service.SetFaults(backend.Faults{Swap: 1})
		first := running(ctx, client, callOf("a1"))
		second := running(ctx, client, callOf("a2"))
		for _, done := range []<-chan result{first, second} {
			var got result
			Eventually(ctx, done).Should(Receive(&got))
			Expect(errorx.IsOfType(got.err, failure.Corrupt)).To(BeTrue(), "%v", got.err)
			Expect(got.body).To(BeEmpty())
		}
	})

	// Both slots are held. The next call must be told at once that it was not
	// run, and the status must show the service full.
	It("says not run when the service is full", func(ctx SpecContext) {
		service.SetFaults(stall)
		held := []<-chan result{running(ctx, client, callOf("h1")), running(ctx, client, callOf("h2"))}
		Eventually(ctx, func() int { return service.Status().Running }).Should(Equal(2))
		Expect(client.Status(ctx)).To(Equal(serving.Load{Running: 2, Slots: 2}))
		got := do(ctx, client, callOf("a1"))
		Expect(errorx.IsOfType(got.err, failure.Unavailable)).To(BeTrue(), "%v", got.err)
		Expect(failure.OutcomeOf(got.err)).To(Equal(failure.NotRun))
		Expect(got.answer.Status).To(Equal(503))
		Expect(service.Counters().ExecutionsByID).NotTo(HaveKey("a1"))
		for _, call := range held {
			Eventually(ctx, call).Should(Receive())
		}
	})

	It("says not run for a call that the service declines", func(ctx SpecContext) {
		got := do(ctx, client, serving.Call{Path: "parts"})
		Expect(errorx.IsOfType(got.err, failure.Invalid)).To(BeTrue(), "%v", got.err)
		Expect(failure.OutcomeOf(got.err)).To(Equal(failure.NotRun))
	})

	It("says not run if nothing listens", func(ctx SpecContext) {
		Expect(service.Close()).To(Succeed())
		got := do(ctx, client, callOf("a1"))
		Expect(errorx.IsOfType(got.err, failure.Unavailable)).To(BeTrue(), "%v", got.err)
		Expect(failure.OutcomeOf(got.err)).To(Equal(failure.NotRun))
		_, err := client.Status(ctx)
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue(), "%v", err)
	})

	// The caller gives up in the middle of an answer. It ran, so nobody may
	// say that it did not, and its connection is not used again: the next
	// answer must hold no byte of the first.
	It("ends a call that is given up", func(ctx SpecContext) {
		patient := adapter.New(adapter.Options{Addr: service.Addr()})
		service.SetFaults(stall)
		callCtx, cancel := context.WithCancel(ctx)
		call := running(callCtx, patient, callOf("a1"))
		Eventually(ctx, func() int { return service.Status().Running }).Should(Equal(1))
		cancel()
		var got result
		Eventually(ctx, call).Should(Receive(&got))
		Expect(errorx.IsOfType(got.err, attempt.Canceled)).To(BeTrue(), "%v", got.err)
		Expect(failure.OutcomeOf(got.err)).To(Equal(failure.Unknown))
		Eventually(ctx, func() int { return service.Counters().Cancelled }).Should(Equal(1))

		service.SetFaults(backend.Faults{})
		next := do(ctx, patient, callOf("a2"))
		Expect(next.err).NotTo(HaveOccurred())
		Expect(next.body).To(HavePrefix(`{"id":"a2"`))
	})

	DescribeTable("does not let a path leave the calls",
		func(ctx SpecContext, path string) {
			call := callOf("a1")
			call.Path = path
			got := do(ctx, client, call)
			Expect(errorx.IsOfType(got.err, failure.Invalid)).To(BeTrue(), "%v", got.err)
			Expect(failure.OutcomeOf(got.err)).To(Equal(failure.NotRun))
		},
		Entry("up", "../status"),
		Entry("up in the middle", "parts/../../status"),
		Entry("here", "parts/./order"),
		Entry("rooted", "/parts"),
		Entry("empty segment", "parts//order"),
	)

	It("escapes what a path may hold", func(ctx SpecContext) {
		call := callOf("a1")
		call.Path = "parts/%2e%2e/a b?c#d"
		got := do(ctx, client, call)
		Expect(got.err).NotTo(HaveOccurred())
		var receipt plainservice.Receipt
		Expect(json.Unmarshal(got.body, &receipt)).To(Succeed())
		Expect(receipt.Path).To(Equal(call.Path))
	})
})
