package agent_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/admission"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/internal/daemontest"
	"chivespindle.example/daemon/wire"
)

// answering answers as a backend server that says that it computed the answer
// from a version.
func answering(version fleet.Version) daemontest.Answering {
	return func(_ context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Answer, error) {
		return serving.Answer{ID: call.ID, Version: version}, emit(serving.Piece{Data: call.Body})
	}
}

var _ = Describe("Traffic", func() {
	// An entry is paused with a request in its hand, or the link holds the
	// request up, and it reaches the agent after its caller has been told that
	// the deadline passed. The entry's word of the time left is as old as the
	// pause; the echo of the agent's own clock shows it. The request is answered
	// "not run" and the server never sees it.
	// Seen with the time lost on the way not subtracted: it went on to the queue
	// for the server's slots.
	DescribeTable("does not run what was held up beyond its deadline", func(once bool) {
		r := newPlain()
		const waited = 20 * time.Millisecond
		Eventually(func() time.Duration { return r.entry.Report().Clock.Elapsed }).Should(BeNumerically(">", 2*waited))
		req := wire.Request{ID: "late", Service: orders, Deadline: admission.Deadline{
			Sent: admission.ClockReading{Incarnation: r.entry.Report().Clock.Incarnation, Elapsed: 1}, Remaining: waited}}
		if once {
			req.NonIdempotent = true
			req.IdempotencyKey = r.key(1)
		}
		end := r.entry.Ask(req, "two cones").End
		Expect(end).To(HaveValue(SatisfyAll(HaveField("Outcome", wire.OutcomeNotRun),
			HaveField("Reason", ContainSubstring("deadline")), HaveField("DecidedByHome", once))))
		Expect(r.backend.Calls()).To(BeEmpty())
	},
		Entry("of an idempotent request", false),
		Entry("of work that must run at most once", true),
	)

	// A plain service answers that there is no such job. The caller must see the
	// service's own status and not a 200 with an error page in it.
	It("passes the server's status on", func() {
		r := newPlain()
		const notFound = 404
		r.backend.Answer(func(_ context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Answer, error) {
			return serving.Answer{ID: call.ID, Status: notFound}, emit(serving.Piece{Status: notFound, Data: []byte("no such job")})
		})
		answer := r.entry.Ask(wire.Request{ID: "job", Service: orders}, "")
		Expect(answer.Begin).To(HaveValue(HaveField("Status", notFound)))
		Expect(answer.End).To(HaveValue(HaveField("Outcome", wire.OutcomeRan)))
	})

	// The engine answers from another version than the one that the request was
	// admitted for: it was changed without an order in the middle of the answer.
	// The pieces have gone out already; the end never says that they are whole.
	// Seen without serving.CheckAnswer: the answer ended as a whole one.
	It("never calls an answer of another version whole", func() {
		r := newModel()
		r.backend.Answer(answering(v2))
		answer := r.entry.Ask(wire.Request{ID: "mixed", Service: pool}, "why does it stop")
		Expect(answer.Begin).To(HaveValue(HaveField("Version", v1)))
		Expect(answer.End).To(HaveValue(HaveField("Outcome", wire.OutcomeUnknown)))

		r.backend.Answer(answering(v1))
		answer = r.entry.Ask(wire.Request{ID: "right", Service: pool}, "why does it stop")
		Expect(answer.End).To(HaveValue(SatisfyAll(HaveField("Outcome", wire.OutcomeRan), HaveField("Version", v1))))
	})

	// The server fails after it said that it ran the work; its answer is lost.
	// The caller is not given the pieces that came as a whole answer.
	It("calls no answer whole that failed, whatever the failure says", func() {
		r := newPlain()
		r.backend.Answer(func(_ context.Context, _ serving.Call, emit func(serving.Piece) error) (serving.Answer, error) {
			Expect(emit(serving.Piece{Data: []byte("half of")})).To(Succeed())
			return serving.Answer{}, failure.WithOutcome(failure.Unavailable.New("cut"), failure.Ran)
		})
		answer := r.entry.Ask(wire.Request{ID: "half", Service: orders}, "two cones")
		Expect(answer.End).To(HaveValue(SatisfyAny(HaveField("Outcome", wire.OutcomeUnknown), HaveField("Duplicate", true))))
	})

	// Someone loads another version into the engine, past the agent. The agent
	// sees it in the engine's report and refuses: callers are told "not run" and
	// nothing reaches the engine until the agent has put it right.
	It("passes nothing to an engine that reports another version", func() {
		r := newModel()
		r.engine.FailOrders(failure.Unavailable.New("the engine takes no orders"))
		r.engine.Set(func(s *serving.EngineStatus) { s.Loaded = v2 })
		Eventually(r.admits).Should(BeFalse())
		end := r.entry.Ask(wire.Request{ID: "refused", Service: pool}, "why").End
		Expect(end).To(HaveValue(HaveField("Outcome", wire.OutcomeNotRun)))
		Expect(r.backend.Calls()).To(BeEmpty())
	})

	// A caller goes away, its entry aborts the stream, and the server goes on
	// with its answer regardless. The call is given up at the server, and what
	// it still says ends nowhere: the next request over the same connection gets
	// its own answer alone.
	It("ends a late answer to a cancelled request nowhere", func() {
		r := newPlain()
		gaveUp := make(chan struct{})
		sent := make(chan error, 1)
		r.backend.Answer(func(ctx context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Answer, error) {
			<-ctx.Done()
			close(gaveUp)
			err := emit(serving.Piece{Data: []byte("late goods")})
			sent <- err
			return serving.Answer{ID: call.ID}, err
		})
		s := r.entry.Send(wire.Request{ID: "cancelled", Service: orders}, "two cones")
		Eventually(r.backend.Calls).Should(HaveLen(1))
		s.Abort()
		Eventually(gaveUp).Should(BeClosed())
		Eventually(sent).Should(Receive(HaveOccurred()))

		r.backend.Answer(daemontest.Echo)
		answer := r.entry.Ask(wire.Request{ID: "next", Service: orders}, "three cones")
		Expect(answer.Body).To(Equal("three cones"))
		Expect(answer.End).To(HaveValue(SatisfyAll(HaveField("ID", "next"), HaveField("Outcome", wire.OutcomeRan))))
	})

	// The instance leaves while a request runs. New requests are told "not run"
	// at once, the running one gets its whole answer, and the agent may end only
	// then.
	It("finishes what runs when it leaves, and takes nothing new", func() {
		r := newPlain()
		release := make(chan struct{})
		r.backend.Answer(daemontest.Held(release, daemontest.Echo))
		running := r.entry.Send(wire.Request{ID: "running", Service: orders}, "two cones")
		Eventually(r.backend.Calls).Should(HaveLen(1))
		ctx, cancel := context.WithTimeout(context.Background(), daemontest.Patience)
		defer cancel()
		Expect(r.role.Leave(ctx)).To(Succeed())
		drained := make(chan bool, 1)
		go func() { drained <- r.role.Drain(ctx) }()

		end := r.entry.Ask(wire.Request{ID: "new", Service: orders}, "three cones").End
		Expect(end).To(HaveValue(SatisfyAll(HaveField("Outcome", wire.OutcomeNotRun),
			HaveField("Reason", ContainSubstring(string(serving.ReasonLeaving))))))
		Expect(drained).NotTo(Receive())
		close(release)
		Expect(daemontest.ReadAnswer(running).Body).To(Equal("two cones"))
		Eventually(drained).Should(Receive(BeTrue()))
		Expect(r.backend.Calls()).To(HaveLen(1))
	})

	// The load changes, which waits for the next regular report, and right after
	// it the instance leaves, which entries must hear at once. They wait on the
	// channel of the report that they sent last.
	// Seen before the mend: a change of load alone replaced the channel without
	// closing it, so the news of leaving lay for up to half a second, while every
	// request sent here was refused.
	It("tells entries at once that it leaves, though its load has just changed", func() {
		r := newPlain()
		_, urgent := r.role.Reported()
		r.backend.SetLoad(serving.Load{Slots: 64, Running: 7})
		Eventually(func() int {
			load, _ := r.role.Reported()
			return load.Running
		}).Should(Equal(7))
		Expect(urgent).NotTo(BeClosed(), "a change of load alone is not urgent")
		ctx, cancel := context.WithTimeout(context.Background(), daemontest.Patience)
		defer cancel()
		Expect(r.role.Leave(ctx)).To(Succeed())
		Expect(urgent).To(BeClosed())
	})

	// The agent wakes from a pause, the queue of its control loop is full of what
	// its neighbours said meanwhile, and the engine turns out to have another
	// version. The change-over closes the gate, and as no request runs the loop
	// is told so at once, by itself.
	// Seen before the mend: that event went into the loop's own full queue, and
	// the process stood still for ever, reporting itself as it was before.
	It("goes on when its queue is full as it stops admitting", func() {
		r := newModel()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		const posters = 32
		for range posters {
			go func() {
				for r.Loop.Post(ctx, control.Func(func(time.Time) {})) {
				}
			}()
		}
		r.engine.FailOrders(errors.New("the engine takes no orders"))
		r.engine.Set(func(s *serving.EngineStatus) { s.Loaded = v2 })
		Eventually(r.admits).Should(BeFalse())
		cancel()
		r.OnLoop(func(time.Time) {})
	})
})
