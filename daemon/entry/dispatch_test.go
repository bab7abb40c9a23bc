package entry_test

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gcustom"
	"github.com/onsi/gomega/types"

	"chivespindle.example/core/balance"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/once"
	"chivespindle.example/daemon/internal/daemontest"
	"chivespindle.example/daemon/wire"
)

const requestBody = "two cones"

func haveOutcome(want failure.Outcome) types.GomegaMatcher {
	return gcustom.MakeMatcher(func(err error) (bool, error) {
		return err != nil && failure.OutcomeOf(err) == want, nil
	}).WithTemplate("Expected\n{{.FormattedActual}}\nto have the outcome " + want.String())
}

func beOfType(want *errorx.Type) types.GomegaMatcher {
	return gcustom.MakeMatcher(func(err error) (bool, error) {
		return errorx.IsOfType(err, want), nil
	}).WithTemplate("Expected\n{{.FormattedActual}}\nto be of the type " + want.FullName())
}

func haveRetryAfter() types.GomegaMatcher {
	return WithTransform(failure.RetryAfter, BeNumerically(">", 0))
}

// The points at which an agent can fail while it processes a request.
func abortBeforeRead(x *daemontest.Exchange) { x.Stream.Abort() }

func abortWhileReading(x *daemontest.Exchange) {
	x.ReadHeader()
	x.Stream.Abort()
}

func abortAfterRead(x *daemontest.Exchange) {
	x.Read()
	x.Stream.Abort()
}

func closeWithoutEnd(x *daemontest.Exchange) {
	x.Read()
	_ = x.Stream.CloseSend()
}

func closeMidResponse(x *daemontest.Exchange) {
	x.Read()
	x.Begin(fleet.Version{})
	x.Piece("two")
	_ = x.Stream.CloseSend()
}

var _ = Describe("An agent that fails", func() {
	// An agent fails at some point before its response to an idempotent request has
	// begun. The entry cannot tell whether the request ran and sends it to another
	// agent. The caller receives one complete response, slightly later.
	DescribeTable("has an idempotent request answered once by another agent",
		func(failurePoint func(*daemontest.Exchange)) {
			r := newRig(3)
			r.script(failurePoint, (*daemontest.Exchange).Echo)
			Expect(r.send(r.request(requestBody))).To(SatisfyAll(
				HaveField("Err", Succeed()), HaveField("Begins", 1), HaveField("Body", requestBody)))
			Expect(r.opened()).To(Equal(2))
		},
		Entry("before it reads the request", abortBeforeRead),
		Entry("while it reads the request", abortWhileReading),
		Entry("after it has read the request", abortAfterRead),
		Entry("after it has closed the stream without an end", closeWithoutEnd),
	)

	// The same for a non-idempotent request. The agent is the home of its key. The
	// caller is told "unknown", and no agent, including the home, receives the
	// request again. With a retry policy that treats every request as idempotent,
	// the home received it five times.
	DescribeTable("receives a non-idempotent request only once, with an unknown outcome",
		func(failurePoint func(*daemontest.Exchange)) {
			r := newRig(2)
			for _, a := range r.agents {
				a.SetScript(failurePoint)
			}
			Expect(r.send(r.nonIdempotentRequest(r.agents[0], requestBody)).Err).To(haveOutcome(failure.Unknown))
			Expect(r.agents[0].OpenedStreams()).To(Equal(1))
			Expect(r.agents[1].OpenedStreams()).To(BeZero())
		},
		Entry("before it reads the request", abortBeforeRead),
		Entry("while it reads the request", abortWhileReading),
		Entry("after it has read the request", abortAfterRead),
		Entry("after it has closed the stream without an end", closeWithoutEnd),
		Entry("in the middle of the response", closeMidResponse),
	)

	// The agent fails in the middle of a response that the caller has received in
	// part. Another agent's response would not continue it, so the response is
	// aborted without a retry, although the request is idempotent. If the retry
	// policy did not know Delivered, a complete response of another agent would
	// follow the part, and both would count as one success.
	It("aborts a response that has begun, without a retry", func() {
		r := newRig(3)
		r.script(closeMidResponse, (*daemontest.Exchange).Echo)
		Expect(r.send(r.request(requestBody))).To(SatisfyAll(
			HaveField("Err", haveOutcome(failure.Unknown)), HaveField("Begins", 1), HaveField("Body", "two")))
		Expect(r.opened()).To(Equal(1))
	})

	// The only agent of a service fails after it has forwarded a request, and the
	// retry finds no other agent. The failed retry says nothing about the first
	// attempt, so the caller is told "unknown". Guards against a caller that is
	// told "not_run" of a request that has run.
	It("leaves the outcome unknown when no other agent is left to try", func() {
		r := newRig(1)
		r.agents[0].SetScript(abortAfterRead)
		Expect(r.send(r.request(requestBody)).Err).To(haveOutcome(failure.Unknown))
		Expect(r.passed()).To(Equal(1))
	})
})

var _ = Describe("The outcome not_run of a non-idempotent request", func() {
	// The home of the key knows that the request did not run. The caller receives
	// this outcome and the retry delay, and no other agent is tried.
	It("is forwarded from the key's home", func() {
		r := newRig(2)
		r.agents[0].SetScript(func(x *daemontest.Exchange) {
			x.Read()
			x.End(wire.ResponseEnd{Outcome: wire.OutcomeNotRun, DecidedByHome: true, RetryAfterMS: 700})
		})
		got := r.send(r.nonIdempotentRequest(r.agents[0], requestBody))
		Expect(got.Err).To(SatisfyAll(haveOutcome(failure.NotRun),
			WithTransform(failure.RetryAfter, Equal(700*time.Millisecond))))
		Expect(r.opened()).To(Equal(1))
	})

	// The entry cannot forward a request to its home or currently accepts none.
	// This request was not forwarded, but an earlier one with the same key may have
	// been, so the caller is told "unknown"; only a caller that declares its first
	// request is told "not_run". Without the correction by correctOutcome, the
	// outcome is "not_run" in each case.
	DescribeTable("is reported by an entry only for a first request",
		func(prepare func(r *rig), edit func(r *calls.Request)) {
			r := newRig(2)
			prepare(r)
			for _, first := range []bool{false, true} {
				req := r.nonIdempotentRequest(r.agents[0], requestBody)
				req.FirstAttempt = first
				edit(&req)
				want := failure.Unknown
				if first {
					want = failure.NotRun
				}
				Expect(r.send(req).Err).To(haveOutcome(want), "first request: %t", first)
			}
			Expect(r.passed()).To(BeZero())
		},
		Entry("the home has ended", func(r *rig) {
			r.agents[0].Kill()
			Eventually(r.verdicts).Should(HaveLen(1))
		}, func(*calls.Request) {}),
		Entry("the home never existed", func(*rig) {}, func(req *calls.Request) {
			req.IdempotencyKey = once.Issue("", "agent-9", 1, time.Now(), 1).Text
		}),
		Entry("the service is not configured", func(*rig) {}, func(req *calls.Request) {
			req.Service = "no-such-service"
		}),
		Entry("the workspace is over its limit", func(r *rig) {
			req := r.request(requestBody)
			req.Service, req.Workspace = "member-portal", "apapa"
			Eventually(func() error { return r.send(req).Err }).Should(beOfType(calls.OverLimit))
		}, func(req *calls.Request) { req.Workspace = "apapa" }),
	)

	// The same while the entry has no active configuration, just after its start.
	It("is not reported by an entry that is not ready", func() {
		r := newRigWithoutConfig(1)
		req := r.nonIdempotentRequest(r.agents[0], requestBody)
		Expect(r.send(req).Err).To(SatisfyAll(beOfType(calls.NotReady), haveOutcome(failure.Unknown), haveRetryAfter()))
		req.FirstAttempt = true
		Expect(r.send(req).Err).To(haveOutcome(failure.NotRun))
	})

	// No process can have accepted an invalid key. The caller is told so and may
	// correct the key and try again. Guards against the outcome "unknown", after
	// which the caller must not retry.
	It("is reported for a key that no process can have accepted", func() {
		r := newRig(1)
		req := r.nonIdempotentRequest(r.agents[0], requestBody)
		req.IdempotencyKey = "two cones"
		Expect(r.send(req).Err).To(SatisfyAll(beOfType(calls.BadRequest), haveOutcome(failure.NotRun)))
	})

	// The home has already received the request through another entry and reports
	// that it is running. The caller is told to retry later, and no other agent is
	// tried.
	It("is not reported when the home reports that the request is running", func() {
		r := newRig(2)
		r.agents[0].SetScript(func(x *daemontest.Exchange) {
			x.Read()
			x.End(wire.ResponseEnd{DecidedByHome: true, Duplicate: true, RetryAfterMS: 900})
		})
		got := r.send(r.nonIdempotentRequest(r.agents[0], requestBody))
		Expect(got.Err).To(SatisfyAll(beOfType(calls.Duplicate), haveOutcome(failure.Unknown), haveRetryAfter()))
		Expect(r.opened()).To(Equal(1))
	})
})

// respondWithEnd sends a piece and an end that edit has modified.
func respondWithEnd(edit func(*wire.ResponseEnd)) func(*daemontest.Exchange) {
	return func(x *daemontest.Exchange) {
		x.Read()
		x.Begin(fleet.Version{Name: "r1"})
		x.Piece(requestBody)
		end := wire.ResponseEnd{Outcome: wire.OutcomeRan, ID: x.Request.ID, Version: fleet.Version{Name: "r1"}}
		edit(&end)
		x.End(end)
	}
}

var _ = Describe("An inconsistent response", func() {
	// An agent ends a response as complete, but the end belongs to another request
	// or names a version other than the one at the beginning: pieces of two
	// responses are mixed in one stream. The response is aborted. The caller does
	// not receive it as complete, and no retry follows the part that it has.
	// Without the check of the ID or of the version in handleEnd, the response
	// counts as complete.
	DescribeTable("is aborted", func(edit func(*wire.ResponseEnd)) {
		r := newRig(2)
		r.script(respondWithEnd(edit), (*daemontest.Exchange).Echo)
		Expect(r.send(r.request(requestBody))).To(SatisfyAll(
			HaveField("Err", SatisfyAll(beOfType(failure.Corrupt), haveOutcome(failure.Unknown))), HaveField("Begins", 1)))
		Expect(r.opened()).To(Equal(1))
	},
		Entry("with the end of another request", func(end *wire.ResponseEnd) { end.ID = "request-0" }),
		Entry("that ends with another version", func(end *wire.ResponseEnd) { end.Version.Name = "r2" }),
		Entry("that ends with no version", func(end *wire.ResponseEnd) { end.Version = fleet.Version{} }),
	)

	// Guards against dropping a piece that arrives together with the beginning or
	// the end of its response.
	DescribeTable("is aborted at a part that is not one step", func(parts ...wire.ResponsePart) {
		r := newRig(2)
		r.script(func(x *daemontest.Exchange) {
			x.Read()
			for _, part := range parts {
				_ = x.Stream.Send(part)
			}
			x.End(wire.ResponseEnd{Outcome: wire.OutcomeRan})
		}, (*daemontest.Exchange).Echo)
		result := r.send(r.request(requestBody))
		Expect(result).To(SatisfyAny(
			HaveField("Err", SatisfyAll(beOfType(failure.Corrupt), haveOutcome(failure.Unknown))),
			SatisfyAll(HaveField("Err", Succeed()), HaveField("Body", requestBody), HaveField("Begins", 1))))
	},
		Entry("a beginning with a piece", wire.ResponsePart{Header: &wire.ResponseHeader{Status: 200}, Piece: []byte("two")}),
		Entry("an end with a piece", wire.ResponsePart{Header: &wire.ResponseHeader{Status: 200}},
			wire.ResponsePart{End: &wire.ResponseEnd{ID: "request-1", Outcome: wire.OutcomeRan}, Piece: []byte("two")}),
		Entry("a beginning with an end", wire.ResponsePart{
			Header: &wire.ResponseHeader{Status: 200}, End: &wire.ResponseEnd{ID: "request-1", Outcome: wire.OutcomeRan}}),
		Entry("a second beginning", wire.ResponsePart{Header: &wire.ResponseHeader{Status: 200}}, wire.ResponsePart{Header: &wire.ResponseHeader{Status: 200}}),
	)

	// A server swaps the responses of two concurrent requests. Both are aborted.
	It("is aborted for both callers whose responses were swapped", func() {
		r := newRig(1)
		arrived := make(chan *daemontest.Exchange, 2)
		bothArrived := make(chan struct{})
		r.agents[0].SetScript(func(x *daemontest.Exchange) {
			x.Read()
			arrived <- x
			<-bothArrived
			x.Begin(fleet.Version{})
			other := map[string]string{"request-1": "request-2", "request-2": "request-1"}[x.Request.ID]
			x.Piece("answer to " + other)
			x.End(wire.ResponseEnd{Outcome: wire.OutcomeRan, ID: other})
		})
		results := make(chan callResult, 2)
		for range 2 {
			req := r.request(requestBody)
			go func() { results <- r.send(req) }()
		}
		Eventually(arrived).Should(HaveLen(2))
		close(bothArrived)
		for range 2 {
			var result callResult
			Eventually(results).Should(Receive(&result))
			Expect(result.Err).To(SatisfyAll(beOfType(failure.Corrupt), haveOutcome(failure.Unknown)))
		}
	})

	// A faulty agent sends a piece before the beginning of the response, or an end
	// without a beginning. The caller must not receive bytes without a status, nor
	// a complete response that never began. Guards against a piece that is
	// forwarded, followed by another agent's complete response, and against an end
	// without a beginning that counts as a complete response.
	DescribeTable("is rejected without its beginning", func(script func(*daemontest.Exchange)) {
		r := newRig(2)
		r.script(script, (*daemontest.Exchange).Echo)
		result := r.send(r.request(requestBody))
		Expect(result).To(SatisfyAny(
			HaveField("Err", beOfType(failure.Corrupt)),
			SatisfyAll(HaveField("Err", Succeed()), HaveField("Body", requestBody), HaveField("Begins", 1))))
		if result.Err != nil {
			Expect(result.Body).To(BeEmpty())
		}
	},
		Entry("a piece first", func(x *daemontest.Exchange) {
			x.Read()
			x.Piece("two")
			_ = x.Stream.CloseSend()
		}),
		Entry("only an end", func(x *daemontest.Exchange) {
			x.Read()
			x.End(wire.ResponseEnd{Outcome: wire.OutcomeRan})
		}),
	)
})

var _ = Describe("A caller", func() {
	// A caller disconnects while its request runs. The entry cancels the request at
	// the agent and discards what the agent still sends: it reaches neither this
	// caller nor the response to the next request at the same agent.
	It("that disconnects leaves no late response to the next", func() {
		r := newRig(1)
		begun := make(chan *daemontest.Exchange, 1)
		r.script(func(x *daemontest.Exchange) {
			x.Read()
			x.Begin(fleet.Version{})
			begun <- x
			<-x.Ctx.Done()
			x.Piece("late goods")
			x.End(wire.ResponseEnd{Outcome: wire.OutcomeRan})
		}, (*daemontest.Exchange).Echo)
		ctx, cancel := context.WithCancel(context.Background())
		results := make(chan callResult, 1)
		go func() { results <- r.sendWithContext(ctx, r.request(requestBody)) }()
		var x *daemontest.Exchange
		Eventually(begun).Should(Receive(&x))
		cancel()
		Eventually(results).Should(Receive(SatisfyAll(
			HaveField("Err", haveOutcome(failure.Unknown)), HaveField("Body", BeEmpty()))))
		Eventually(x.Ctx.Done()).Should(BeClosed())
		Expect(r.send(r.request("three cones"))).To(SatisfyAll(HaveField("Err", Succeed()), HaveField("Body", "three cones")))
	})

	// A caller's deadline passes while an agent processes the request. The caller
	// is told at once that the deadline passed and that the request may have run;
	// the request is cancelled at the agent.
	It("whose deadline passes is told so, and the request is cancelled at the agent", func() {
		r := newRig(2)
		stopped := make(chan struct{})
		r.script(func(x *daemontest.Exchange) {
			x.Read()
			<-x.Ctx.Done()
			close(stopped)
		}, (*daemontest.Exchange).Echo)
		req := r.request(requestBody)
		req.Deadline = time.Now().Add(200 * time.Millisecond)
		Expect(r.send(req).Err).To(SatisfyAll(beOfType(calls.DeadlinePassed), haveOutcome(failure.Unknown)))
		Eventually(stopped).Should(BeClosed())
		Expect(r.opened()).To(Equal(1))
	})

	// A request for a service without servers is refused at once, long before its
	// deadline, with the outcome "not run" and a retry delay.
	It("is refused at once when there is no server", func() {
		r := newRig(0)
		Expect(r.send(r.request(requestBody)).Err).To(SatisfyAll(
			beOfType(balance.NoServer), haveOutcome(failure.NotRun), haveRetryAfter()))
	})

	// Each attempt sends the agent the remaining time and how long ago the entry
	// received the request, relative to the agent's own clock; the second attempt
	// reports more elapsed time than the first. Without it an agent would run
	// requests that were delayed on the way.
	It("has the age of its request sent with each attempt", func() {
		r := newRig(2)
		r.script(abortAfterRead, (*daemontest.Exchange).Echo)
		Expect(r.send(r.request(requestBody)).Err).NotTo(HaveOccurred())
		var attempts []wire.Request
		for _, a := range r.agents {
			attempts = append(attempts, a.ReceivedRequests()...)
		}
		Expect(attempts).To(HaveLen(2))
		slices.SortFunc(attempts, func(a, b wire.Request) int { return cmp.Compare(a.Deadline.Waited, b.Deadline.Waited) })
		Expect(attempts).To(HaveEach(HaveField("Deadline.Sent", SatisfyAll(
			HaveField("Incarnation", BeEquivalentTo(1)), HaveField("Elapsed", BeNumerically(">", 0))))))
		Expect(attempts[0].Deadline.Waited).To(BeNumerically("<", attempts[1].Deadline.Waited))
		Expect(attempts[0].Deadline.Remaining).To(BeNumerically(">", attempts[1].Deadline.Remaining))
	})
})
