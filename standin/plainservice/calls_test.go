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

// shortStallTimeout is the progress timeout of specs in which it must expire.
const shortStallTimeout = 50 * time.Millisecond

// result is the result of one call.
type result struct {
	response serving.Response
	err      error
	body     []byte
}

func doCall(ctx context.Context, client *adapter.Client, call serving.Call) result {
	var r result
	r.response, r.err = client.Do(ctx, call, func(p serving.Piece) error {
		r.body = append(r.body, p.Data...)
		return nil
	})
	return r
}

func startCall(ctx context.Context, client *adapter.Client, call serving.Call) <-chan result {
	done := make(chan result, 1)
	go func() { done <- doCall(ctx, client, call) }()
	return done
}

func newCall(id string) serving.Call {
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
		client = adapter.New(adapter.Options{Addr: addr, StallTimeout: shortStallTimeout})
	})
	stall := backend.Faults{Stall: true}

	It("forwards the receipt of the call", func(ctx SpecContext) {
		got := doCall(ctx, client, newCall("a1"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.response).To(Equal(serving.Response{ID: "a1", Status: 200}))
		var receipt plainservice.Receipt
		Expect(json.Unmarshal(got.body, &receipt)).To(Succeed())
		Expect(receipt).To(Equal(plainservice.Receipt{
			ID: "a1", Key: "key-a1", Path: "parts/order", Execution: 1, Body: []byte("mast chain a1"),
		}))
		again := newCall("a2")
		again.IdempotencyKey = "key-a1"
		Expect(doCall(ctx, client, again).body).To(ContainSubstring(`"execution":2`))
		Expect(service.Counters().ExecutionsByKey).To(Equal(backend.Counts{"key-a1": 2}))
	})

	It("forwards a large body and an empty body", func(ctx SpecContext) {
		call := newCall("a1")
		call.Body = bytes.Repeat([]byte("0123456789"), 100_000)
		got := doCall(ctx, client, call)
		Expect(got.err).NotTo(HaveOccurred())
		var receipt plainservice.Receipt
		Expect(json.Unmarshal(got.body, &receipt)).To(Succeed())
		Expect(bytes.Equal(receipt.Body, call.Body)).To(BeTrue())
		call = newCall("a2")
		call.Body = nil
		Expect(doCall(ctx, client, call).err).NotTo(HaveOccurred())
	})

	// The response to a parts order is corrupted in a different way in each
	// entry. The service has run the call, so the outcome must be unknown and
	// never "not run": otherwise a retry would place a second order.
	DescribeTable("reports an unknown outcome for a faulty response",
		func(ctx SpecContext, faults backend.Faults, kind *errorx.Type, pieces bool) {
			service.SetFaults(faults)
			got := doCall(ctx, client, newCall("a1"))
			Expect(errorx.IsOfType(got.err, kind)).To(BeTrue(), "%v", got.err)
			Expect(failure.OutcomeOf(got.err)).To(Equal(failure.Unknown))
			Expect(len(got.body) > 0).To(Equal(pieces))
			Expect(service.Counters().ExecutionsByKey).To(Equal(backend.Counts{"key-a1": 1}))
		},
		Entry("stall", stall, failure.Timeout, true),
		Entry("abort in the middle", backend.Faults{Abort: 1}, failure.Unavailable, true),
		Entry("wrong ID", backend.Faults{WrongID: 1}, failure.Corrupt, false),
	)

	It("forwards nothing of swapped responses", func(ctx SpecContext) {
		service.SetFaults(backend.Faults{Swap: 1})
		first := startCall(ctx, client, newCall("a1"))
		second := startCall(ctx, client, newCall("a2"))
		for _, done := range []<-chan result{first, second} {
			var got result
			Eventually(ctx, done).Should(Receive(&got))
			Expect(errorx.IsOfType(got.err, failure.Corrupt)).To(BeTrue(), "%v", got.err)
			Expect(got.body).To(BeEmpty())
		}
	})

	// Two calls hold both slots. The next call must be rejected immediately as
	// not run, and the status must report that all slots are in use.
	It("reports not run when the service is full", func(ctx SpecContext) {
		service.SetFaults(stall)
		held := []<-chan result{startCall(ctx, client, newCall("h1")), startCall(ctx, client, newCall("h2"))}
		Eventually(ctx, func() int { return service.Status().Running }).Should(Equal(2))
		Expect(client.Status(ctx)).To(Equal(serving.Load{Running: 2, Slots: 2}))
		got := doCall(ctx, client, newCall("a1"))
		Expect(errorx.IsOfType(got.err, failure.Unavailable)).To(BeTrue(), "%v", got.err)
		Expect(failure.OutcomeOf(got.err)).To(Equal(failure.NotRun))
		Expect(got.response.Status).To(Equal(503))
		Expect(service.Counters().ExecutionsByID).NotTo(HaveKey("a1"))
		for _, call := range held {
			Eventually(ctx, call).Should(Receive())
		}
	})

	It("reports not run for a call that the service rejects", func(ctx SpecContext) {
		got := doCall(ctx, client, serving.Call{Path: "parts"})
		Expect(errorx.IsOfType(got.err, failure.Invalid)).To(BeTrue(), "%v", got.err)
		Expect(failure.OutcomeOf(got.err)).To(Equal(failure.NotRun))
	})

	It("reports not run if nothing listens", func(ctx SpecContext) {
		Expect(service.Close()).To(Succeed())
		got := doCall(ctx, client, newCall("a1"))
		Expect(errorx.IsOfType(got.err, failure.Unavailable)).To(BeTrue(), "%v", got.err)
		Expect(failure.OutcomeOf(got.err)).To(Equal(failure.NotRun))
		_, err := client.Status(ctx)
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue(), "%v", err)
	})

	// The caller cancels in the middle of a response. The call has run, so the
	// outcome must not be "not run", and its connection must not be reused: the
	// next response must not contain any byte of the first.
	It("aborts a canceled call", func(ctx SpecContext) {
		patient := adapter.New(adapter.Options{Addr: service.Addr()})
		service.SetFaults(stall)
		callCtx, cancel := context.WithCancel(ctx)
		call := startCall(callCtx, patient, newCall("a1"))
		Eventually(ctx, func() int { return service.Status().Running }).Should(Equal(1))
		cancel()
		var got result
		Eventually(ctx, call).Should(Receive(&got))
		Expect(errorx.IsOfType(got.err, attempt.Canceled)).To(BeTrue(), "%v", got.err)
		Expect(failure.OutcomeOf(got.err)).To(Equal(failure.Unknown))
		Eventually(ctx, func() int { return service.Counters().Cancelled }).Should(Equal(1))

		service.SetFaults(backend.Faults{})
		next := doCall(ctx, patient, newCall("a2"))
		Expect(next.err).NotTo(HaveOccurred())
		Expect(next.body).To(HavePrefix(`{"id":"a2"`))
	})

	DescribeTable("rejects a path that leaves the prefix of calls",
		func(ctx SpecContext, path string) {
			call := newCall("a1")
			call.Path = path
			got := doCall(ctx, client, call)
			Expect(errorx.IsOfType(got.err, failure.Invalid)).To(BeTrue(), "%v", got.err)
			Expect(failure.OutcomeOf(got.err)).To(Equal(failure.NotRun))
		},
		Entry("parent directory", "../status"),
		Entry("parent directory in the middle", "parts/../../status"),
		Entry("current directory", "parts/./order"),
		Entry("absolute path", "/parts"),
		Entry("empty segment", "parts//order"),
	)

	It("escapes special characters in a path", func(ctx SpecContext) {
		call := newCall("a1")
		call.Path = "parts/%2e%2e/a b?c#d"
		got := doCall(ctx, client, call)
		Expect(got.err).NotTo(HaveOccurred())
		var receipt plainservice.Receipt
		Expect(json.Unmarshal(got.body, &receipt)).To(Succeed())
		Expect(receipt.Path).To(Equal(call.Path))
	})
})
