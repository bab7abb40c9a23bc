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

const work = "two cones"

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

func askForPause() types.GomegaMatcher {
	return WithTransform(failure.RetryAfter, BeNumerically(">", 0))
}

// The points at which an agent can go down with a request in its hand.
func beforeReading(x *daemontest.Exchange) { x.Stream.Abort() }

func whileReading(x *daemontest.Exchange) {
	x.ReadHead()
	x.Stream.Abort()
}

func afterPassingOn(x *daemontest.Exchange) {
	x.Read()
	x.Stream.Abort()
}

func withoutEnd(x *daemontest.Exchange) {
	x.Read()
	_ = x.Stream.CloseSend()
}

func inTheAnswer(x *daemontest.Exchange) {
	x.Read()
	x.Begin(fleet.Version{})
	x.Piece("two")
	_ = x.Stream.CloseSend()
}

var _ = Describe("An agent that goes down", func() {
	// An agent goes down with an idempotent request at some point before its
	// answer has begun. The entry cannot tell whether it ran, and need not: it
	// sends the request to another agent. The caller sees one whole answer, a
	// little late.
	DescribeTable("has an idempotent request answered elsewhere, once",
		func(point func(*daemontest.Exchange)) {
			r := newRig(3)
			r.script(point, (*daemontest.Exchange).Echo)
			Expect(r.send(r.request(work))).To(SatisfyAll(
				HaveField("Err", Succeed()), HaveField("Begins", 1), HaveField("Body", work)))
			Expect(r.opened()).To(Equal(2))
		},
		Entry("before it read the request", beforeReading),
		Entry("while it read the request", whileReading),
		Entry("after it passed the request on", afterPassingOn),
		Entry("after it closed the stream in order", withoutEnd),
	)

	// The same with work that must run at most once. The agent is the home of the
	// work's key. The caller is told "unknown", and no agent, the home included,
	// sees the work again.
	// Seen with every request taken for idempotent in the policy of retries: the
	// home got the work five times.
	DescribeTable("has work that must run at most once sent once, with an unknown outcome",
		func(point func(*daemontest.Exchange)) {
			r := newRig(2)
			for _, a := range r.agents {
				a.Do(point)
			}
			Expect(r.send(r.order(r.agents[0], work)).Err).To(haveOutcome(failure.Unknown))
			Expect(r.agents[0].Opened()).To(Equal(1))
			Expect(r.agents[1].Opened()).To(BeZero())
		},
		Entry("before it read the request", beforeReading),
		Entry("while it read the request", whileReading),
		Entry("after it passed the request on", afterPassingOn),
		Entry("after it closed the stream in order", withoutEnd),
		Entry("in the middle of the answer", inTheAnswer),
	)

	// The agent goes down in the middle of an answer of which the caller has a
	// part. Another agent's answer would not continue it, so the answer is cut
	// and nothing is sent again, though the request is idempotent.
	// Seen with Delivered not told to the policy of retries: another agent's whole
	// answer came behind the part, and all of it counted as one.
	It("cuts an answer that has begun and does not begin another", func() {
		r := newRig(3)
		r.script(inTheAnswer, (*daemontest.Exchange).Echo)
		Expect(r.send(r.request(work))).To(SatisfyAll(
			HaveField("Err", haveOutcome(failure.Unknown)), HaveField("Begins", 1), HaveField("Body", "two")))
		Expect(r.opened()).To(Equal(1))
	})

	// The only agent of a service goes down with a request after it passed it
	// on. The entry tries again and finds no other. That the second try came to
	// nothing says nothing of the first: the caller is told "unknown".
	// Seen before the mend: the caller was told "not_run" of work that had run.
	It("is not forgotten when no other agent is left to try", func() {
		r := newRig(1)
		r.agents[0].Do(afterPassingOn)
		Expect(r.send(r.request(work)).Err).To(haveOutcome(failure.Unknown))
		Expect(r.passed()).To(Equal(1))
	})
})

var _ = Describe("The word not_run for work that must run at most once", func() {
	// The home of the key knows whether it ran and says that it did not. The
	// caller gets its word, with its pause, and no other agent is tried.
	It("is passed on from the key's home", func() {
		r := newRig(2)
		r.agents[0].Do(func(x *daemontest.Exchange) {
			x.Read()
			x.End(wire.ResponseEnd{Outcome: wire.OutcomeNotRun, DecidedByHome: true, RetryAfterMS: 700})
		})
		got := r.send(r.order(r.agents[0], work))
		Expect(got.Err).To(SatisfyAll(haveOutcome(failure.NotRun),
			WithTransform(failure.RetryAfter, Equal(700*time.Millisecond))))
		Expect(r.opened()).To(Equal(1))
	})

	// A caller asks, through an entry that cannot hand the work to its home, or
	// takes nothing now. This ask was not passed on, but an earlier one with the
	// key may have been: the caller is told "unknown". Only a caller that says
	// that it asks for the first time is told "not_run".
	// Seen with atMostOnce leaving the failure as it is: "not_run" each time.
	DescribeTable("is not said by an entry, but of a first ask",
		func(prepare func(r *rig), edit func(r *calls.Request)) {
			r := newRig(2)
			prepare(r)
			for _, first := range []bool{false, true} {
				req := r.order(r.agents[0], work)
				req.FirstAsk = first
				edit(&req)
				want := failure.Unknown
				if first {
					want = failure.NotRun
				}
				Expect(r.send(req).Err).To(haveOutcome(want), "first ask: %t", first)
			}
			Expect(r.passed()).To(BeZero())
		},
		Entry("the home is gone", func(r *rig) {
			r.agents[0].Kill()
			Eventually(r.verdicts).Should(HaveLen(1))
		}, func(*calls.Request) {}),
		Entry("the home was never there", func(*rig) {}, func(req *calls.Request) {
			req.IdempotencyKey = once.Issue("", "agent-9", 1, time.Now(), 1).Text
		}),
		Entry("the service is not in the text", func(*rig) {}, func(req *calls.Request) {
			req.Service = "no-such-service"
		}),
		Entry("the workspace is over its limit", func(r *rig) {
			req := r.request(work)
			req.Service, req.Workspace = "member-portal", "apapa"
			Eventually(func() error { return r.send(req).Err }).Should(beOfType(calls.OverLimit))
		}, func(req *calls.Request) { req.Workspace = "apapa" }),
	)

	// The same while the entry has no text in force yet, as it has just started.
	It("is not said by an entry that is not ready", func() {
		r := newUnready(1)
		req := r.order(r.agents[0], work)
		Expect(r.send(req).Err).To(SatisfyAll(beOfType(calls.NotReady), haveOutcome(failure.Unknown), askForPause()))
		req.FirstAsk = true
		Expect(r.send(req).Err).To(haveOutcome(failure.NotRun))
	})

	// A key that breaks the rules of the page was never taken by anyone. The
	// caller, who may mend it and ask again, is told so.
	// Seen before the mend: "unknown", after which the caller must not.
	It("is said of a key that no process can have taken", func() {
		r := newRig(1)
		req := r.order(r.agents[0], work)
		req.IdempotencyKey = "two cones"
		Expect(r.send(req).Err).To(SatisfyAll(beOfType(calls.BadRequest), haveOutcome(failure.NotRun)))
	})

	// The home has the work already, from an ask through another entry, and
	// answers that it runs. The caller is told to come back, and no other agent
	// is asked.
	It("is not made of the home's word that the work runs", func() {
		r := newRig(2)
		r.agents[0].Do(func(x *daemontest.Exchange) {
			x.Read()
			x.End(wire.ResponseEnd{DecidedByHome: true, Duplicate: true, RetryAfterMS: 900})
		})
		got := r.send(r.order(r.agents[0], work))
		Expect(got.Err).To(SatisfyAll(beOfType(calls.Duplicate), haveOutcome(failure.Unknown), askForPause()))
		Expect(r.opened()).To(Equal(1))
	})
})

// endAs answers with a piece and an end that edit has changed.
func endAs(edit func(*wire.ResponseEnd)) func(*daemontest.Exchange) {
	return func(x *daemontest.Exchange) {
		x.Read()
		x.Begin(fleet.Version{Name: "r1"})
		x.Piece(work)
		end := wire.ResponseEnd{Outcome: wire.OutcomeRan, ID: x.Request.ID, Version: fleet.Version{Name: "r1"}}
		edit(&end)
		x.End(end)
	}
}

var _ = Describe("An answer that is not what it says", func() {
	// An agent ends an answer as whole, but its end is not that of this request,
	// or names another version than the one it began with: pieces of two answers
	// lie in one stream. The answer is cut. The caller never sees it whole, and
	// nothing is sent again behind the part that it has.
	// Seen with the tests of id and version taken out of finish, one at a time:
	// the answer counted as whole. Before the mend the version was not looked at.
	DescribeTable("is cut", func(edit func(*wire.ResponseEnd)) {
		r := newRig(2)
		r.script(endAs(edit), (*daemontest.Exchange).Echo)
		Expect(r.send(r.request(work))).To(SatisfyAll(
			HaveField("Err", SatisfyAll(beOfType(failure.Corrupt), haveOutcome(failure.Unknown))), HaveField("Begins", 1)))
		Expect(r.opened()).To(Equal(1))
	},
		Entry("that ends another request", func(end *wire.ResponseEnd) { end.ID = "request-0" }),
		Entry("that ends with another version", func(end *wire.ResponseEnd) { end.Version.Name = "r2" }),
		Entry("that ends with no version", func(end *wire.ResponseEnd) { end.Version = fleet.Version{} }),
	)

	// Guards against a piece that is dropped beside the beginning or the end of its answer.
	DescribeTable("is cut at a part that is not one step", func(parts ...wire.ResponsePart) {
		r := newRig(2)
		r.script(func(x *daemontest.Exchange) {
			x.Read()
			for _, part := range parts {
				_ = x.Stream.Send(part)
			}
			x.End(wire.ResponseEnd{Outcome: wire.OutcomeRan})
		}, (*daemontest.Exchange).Echo)
		result := r.send(r.request(work))
		Expect(result).To(SatisfyAny(
			HaveField("Err", SatisfyAll(beOfType(failure.Corrupt), haveOutcome(failure.Unknown))),
			SatisfyAll(HaveField("Err", Succeed()), HaveField("Body", work), HaveField("Begins", 1))))
	},
		Entry("a beginning with a piece", wire.ResponsePart{Header: &wire.ResponseHeader{Status: 200}, Piece: []byte("two")}),
		Entry("an end with a piece", wire.ResponsePart{Header: &wire.ResponseHeader{Status: 200}},
			wire.ResponsePart{End: &wire.ResponseEnd{ID: "request-1", Outcome: wire.OutcomeRan}, Piece: []byte("two")}),
		Entry("a beginning with an end", wire.ResponsePart{
			Header: &wire.ResponseHeader{Status: 200}, End: &wire.ResponseEnd{ID: "request-1", Outcome: wire.OutcomeRan}}),
		Entry("a second beginning", wire.ResponsePart{Header: &wire.ResponseHeader{Status: 200}}, wire.ResponsePart{Header: &wire.ResponseHeader{Status: 200}}),
	)

	// A server swaps the answers of two requests that run at once. Both are cut.
	It("is cut for both callers whose answers were swapped", func() {
		r := newRig(1)
		met := make(chan *daemontest.Exchange, 2)
		both := make(chan struct{})
		r.agents[0].Do(func(x *daemontest.Exchange) {
			x.Read()
			met <- x
			<-both
			x.Begin(fleet.Version{})
			other := map[string]string{"request-1": "request-2", "request-2": "request-1"}[x.Request.ID]
			x.Piece("answer to " + other)
			x.End(wire.ResponseEnd{Outcome: wire.OutcomeRan, ID: other})
		})
		results := make(chan got, 2)
		for range 2 {
			req := r.request(work)
			go func() { results <- r.send(req) }()
		}
		Eventually(met).Should(HaveLen(2))
		close(both)
		for range 2 {
			var result got
			Eventually(results).Should(Receive(&result))
			Expect(result.Err).To(SatisfyAll(beOfType(failure.Corrupt), haveOutcome(failure.Unknown)))
		}
	})

	// An agent of a faulty release sends a piece before it has said what the
	// answer is, or ends without a beginning. The caller must not get bytes
	// without a status, nor a whole answer that never began.
	// Seen before the mend: the piece went to the caller, and another agent's
	// whole answer behind it; the end without a beginning was a whole answer.
	DescribeTable("is refused without its beginning", func(script func(*daemontest.Exchange)) {
		r := newRig(2)
		r.script(script, (*daemontest.Exchange).Echo)
		result := r.send(r.request(work))
		Expect(result).To(SatisfyAny(
			HaveField("Err", beOfType(failure.Corrupt)),
			SatisfyAll(HaveField("Err", Succeed()), HaveField("Body", work), HaveField("Begins", 1))))
		if result.Err != nil {
			Expect(result.Body).To(BeEmpty())
		}
	},
		Entry("a piece first", func(x *daemontest.Exchange) {
			x.Read()
			x.Piece("two")
			_ = x.Stream.CloseSend()
		}),
		Entry("an end alone", func(x *daemontest.Exchange) {
			x.Read()
			x.End(wire.ResponseEnd{Outcome: wire.OutcomeRan})
		}),
	)
})

var _ = Describe("A caller", func() {
	// A caller goes away while its request runs. The entry gives the request up
	// at the agent, and what the agent still sends ends nowhere: not with this
	// caller, and not in the answer of the next request to the same agent.
	It("that goes away leaves no late answer to the next", func() {
		r := newRig(1)
		holding := make(chan *daemontest.Exchange, 1)
		r.script(func(x *daemontest.Exchange) {
			x.Read()
			x.Begin(fleet.Version{})
			holding <- x
			<-x.Ctx.Done()
			x.Piece("late goods")
			x.End(wire.ResponseEnd{Outcome: wire.OutcomeRan})
		}, (*daemontest.Exchange).Echo)
		ctx, cancel := context.WithCancel(context.Background())
		results := make(chan got, 1)
		go func() { results <- r.sendUntil(ctx, r.request(work)) }()
		var x *daemontest.Exchange
		Eventually(holding).Should(Receive(&x))
		cancel()
		Eventually(results).Should(Receive(SatisfyAll(
			HaveField("Err", haveOutcome(failure.Unknown)), HaveField("Body", BeEmpty()))))
		Eventually(x.Ctx.Done()).Should(BeClosed())
		Expect(r.send(r.request("three cones"))).To(SatisfyAll(HaveField("Err", Succeed()), HaveField("Body", "three cones")))
	})

	// A caller's deadline passes while an agent works. It is answered at that
	// moment, told that the deadline passed and that the request may have run;
	// the agent is told to stop.
	It("whose deadline passes is told so, and the agent is stopped", func() {
		r := newRig(2)
		stopped := make(chan struct{})
		r.script(func(x *daemontest.Exchange) {
			x.Read()
			<-x.Ctx.Done()
			close(stopped)
		}, (*daemontest.Exchange).Echo)
		req := r.request(work)
		req.Deadline = time.Now().Add(200 * time.Millisecond)
		Expect(r.send(req).Err).To(SatisfyAll(beOfType(calls.DeadlinePassed), haveOutcome(failure.Unknown)))
		Eventually(stopped).Should(BeClosed())
		Expect(r.opened()).To(Equal(1))
	})

	// A caller asks for a service that no server stands behind. It is told at
	// once, long before its deadline, that nothing was run and when to come back.
	It("is refused at once when there is no server", func() {
		r := newRig(0)
		Expect(r.send(r.request(work)).Err).To(SatisfyAll(
			beOfType(balance.NoServer), haveOutcome(failure.NotRun), askForPause()))
	})

	// Every try of an ask tells the agent the time that is left and when the ask
	// reached the entry, by the agent's own clock; the second tells more of the
	// time gone by than the first. Without it an agent would run what was held up.
	It("has the age of its request told with each try", func() {
		r := newRig(2)
		r.script(afterPassingOn, (*daemontest.Exchange).Echo)
		Expect(r.send(r.request(work)).Err).NotTo(HaveOccurred())
		var tries []wire.Request
		for _, a := range r.agents {
			tries = append(tries, a.Passed()...)
		}
		Expect(tries).To(HaveLen(2))
		slices.SortFunc(tries, func(a, b wire.Request) int { return cmp.Compare(a.Deadline.Waited, b.Deadline.Waited) })
		Expect(tries).To(HaveEach(HaveField("Deadline.Sent", SatisfyAll(
			HaveField("Incarnation", BeEquivalentTo(1)), HaveField("Elapsed", BeNumerically(">", 0))))))
		Expect(tries[0].Deadline.Waited).To(BeNumerically("<", tries[1].Deadline.Waited))
		Expect(tries[0].Deadline.Remaining).To(BeNumerically(">", tries[1].Deadline.Remaining))
	})
})
