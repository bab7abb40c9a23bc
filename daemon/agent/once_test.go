package agent_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/once"
	"chivespindle.example/core/serving"
	"chivespindle.example/daemon/internal/daemontest"
	"chivespindle.example/daemon/wire"
)

const requestBody = "two cones"

var _ = Describe("A non-idempotent request", func() {
	// The entry loses the stream to the agent after the request was forwarded. The
	// caller retries with the same key while the request runs, and again
	// afterwards. It is first told to retry later and then receives the complete
	// response of the single execution, because the request continues without its
	// entry. With the context of the request bound to the stream, the request is
	// cancelled with the stream, and the retry is told that the outcome is lost.
	It("has its response recorded when it is lost on the way back", func() {
		r := newPlainRig()
		release := make(chan struct{})
		r.backend.SetHandler(daemontest.HandleAfter(release, daemontest.Echo))
		key := r.issueKey(1)
		aborted := r.entry.Send(r.nonIdempotentRequest("first", key), requestBody)
		Eventually(r.backend.Calls).Should(HaveLen(1))
		aborted.Abort()

		running := r.entry.Do(r.nonIdempotentRequest("second", key), requestBody).End
		Expect(running).To(HaveValue(SatisfyAll(
			HaveField("Outcome", wire.OutcomeUnknown), HaveField("Duplicate", true), HaveField("DecidedByHome", true),
			HaveField("RetryAfterMS", BeNumerically(">", 0)))))

		close(release)
		Eventually(func() daemontest.Response { return r.entry.Do(r.nonIdempotentRequest("third", key), requestBody) }).Should(SatisfyAll(
			HaveField("Body", requestBody),
			HaveField("End", HaveValue(SatisfyAll(HaveField("Outcome", wire.OutcomeRan), HaveField("ID", "third"))))))
		Expect(r.backend.Calls()).To(HaveLen(1))
	})

	// Two requests with the same key arrive at the agent through two entries, and
	// neither has ended. One of them runs and is answered; the other is told that
	// the outcome is not known yet and when to retry. If the register lets a
	// request run whose key is already running, both are forwarded, and neither is
	// told to wait.
	It("runs once if it arrives through two entries at once", func() {
		r := newPlainRig()
		release := make(chan struct{})
		r.backend.SetHandler(daemontest.HandleAfter(release, daemontest.Echo))
		key := r.issueKey(1)
		other := daemontest.NewEntry("entry-2", r.Self)
		ends := make(chan wire.ResponseEnd, 2)
		for id, entry := range map[string]*daemontest.Entry{"by-1": r.entry, "by-2": other} {
			s := entry.Send(r.nonIdempotentRequest(id, key), requestBody)
			go func() {
				if answer := daemontest.ReadResponse(s); answer.End != nil {
					ends <- *answer.End
				}
			}()
		}
		var refused, ran wire.ResponseEnd
		Eventually(ends).Should(Receive(&refused))
		Expect(refused).To(SatisfyAll(HaveField("Outcome", wire.OutcomeUnknown), HaveField("Duplicate", true),
			HaveField("RetryAfterMS", BeNumerically(">", 0))))
		close(release)
		Eventually(ends).Should(Receive(&ran))
		Expect(ran.Outcome).To(Equal(wire.OutcomeRan))
		Expect(r.backend.Calls()).To(HaveLen(1))
	})

	// A caller retries with a key whose request another process may have run: the
	// previous process of this instance, or another agent. This agent has the
	// record of neither. The caller is told "unknown", and nothing is forwarded.
	// Without the register's checks of issued keys, both run.
	DescribeTable("is not run if another process may have run it",
		func(reason once.Reason, keyOf func(r *rig) once.Key) {
			r := newPlainRig()
			end := r.entry.Do(r.nonIdempotentRequest("late", keyOf(r).Text), requestBody).End
			Expect(end).To(HaveValue(SatisfyAll(HaveField("Outcome", wire.OutcomeUnknown), HaveField("DecidedByHome", true),
				HaveField("Reason", ContainSubstring(string(reason))))))
			Expect(r.backend.Calls()).To(BeEmpty())
		},
		Entry("a key of an earlier incarnation", once.EarlierIncarnation, func(r *rig) once.Key {
			return once.Issue("", self, once.Incarnation(r.Incarnation-1), time.Now(), 1)
		}),
		Entry("a key of another agent", once.WrongHome, func(r *rig) once.Key {
			return once.Issue("", "agent-2", once.Incarnation(r.Incarnation), time.Now(), 1)
		}),
	)

	// The gate closes because the service is down or the agent is leaving. The
	// outcome of a non-idempotent request depends on its key and not on the gate:
	// with a new key it was not run, with a completed one it is answered from the
	// record, and with one whose outcome was lost it stays unknown. If the gate
	// refused a new key without recording it, a later request with that key could
	// still run after the caller was told "not_run". Guards also against a
	// completed request that is reported as run without its response.
	It("is answered from the record of its key while the gate is closed", func() {
		r := newPlainRig()
		done, lost, fresh := r.issueKey(1), r.issueKey(2), r.issueKey(3)
		Expect(r.entry.Do(r.nonIdempotentRequest("done-1", done), requestBody).End).To(HaveValue(HaveField("Outcome", wire.OutcomeRan)))
		r.backend.SetHandler(func(context.Context, serving.Call, func(serving.Piece) error) (serving.Response, error) {
			return serving.Response{}, failure.WithOutcome(failure.Unavailable.New("connection reset"), failure.Unknown)
		})
		Expect(r.entry.Do(r.nonIdempotentRequest("lost-1", lost), requestBody).End).To(HaveValue(HaveField("Outcome", wire.OutcomeUnknown)))
		r.backend.SetHandler(daemontest.Echo)
		r.backend.SetDown(true)
		Eventually(r.admits).Should(BeFalse())

		Expect(r.entry.Do(r.nonIdempotentRequest("fresh-1", fresh), requestBody).End).To(HaveValue(SatisfyAll(
			HaveField("Outcome", wire.OutcomeNotRun), HaveField("DecidedByHome", true))))
		Expect(r.entry.Do(r.nonIdempotentRequest("lost-2", lost), requestBody).End).To(HaveValue(HaveField("Outcome", wire.OutcomeUnknown)))
		again := r.entry.Do(r.nonIdempotentRequest("done-2", done), requestBody)
		Expect(again.End).To(HaveValue(HaveField("Outcome", wire.OutcomeRan)))
		Expect(again.Body).To(Equal(requestBody), "the recorded response")
		Expect(r.backend.Calls()).To(HaveLen(2))

		r.backend.SetDown(false)
		Eventually(r.admits).Should(BeTrue())
		Expect(r.entry.Do(r.nonIdempotentRequest("fresh-2", fresh), requestBody).End).To(HaveValue(HaveField("Outcome", wire.OutcomeRan)))
		Expect(r.backend.Calls()).To(HaveLen(3))
	})

	// A caller is told "not run" and sends the request elsewhere. An earlier
	// request with the same key, delayed at an entry, reaches the agent when the
	// gate is open again. It is refused, since it would run the work twice. Without
	// the register's check of when a request was received, it runs.
	It("is refused if it was sent before the caller was told that it was not run", func() {
		r := newPlainRig()
		key := r.issueKey(1)
		delayed := r.nonIdempotentRequest("held-up", key)
		r.backend.SetDown(true)
		Eventually(r.admits).Should(BeFalse())
		Expect(r.entry.Do(r.nonIdempotentRequest("prompt", key), requestBody).End).To(HaveValue(HaveField("Outcome", wire.OutcomeNotRun)))
		r.backend.SetDown(false)
		Eventually(r.admits).Should(BeTrue())
		Expect(r.entry.Do(delayed, requestBody).End).To(HaveValue(SatisfyAll(
			HaveField("Outcome", wire.OutcomeNotRun), HaveField("Reason", ContainSubstring(string(once.Closed))))))
		Expect(r.backend.Calls()).To(BeEmpty())
	})

	// Guards against an empty response in place of one that is too large to keep.
	It("is answered without its response on a retry if that was too large to keep", func() {
		r := newPlainRig()
		key, goods := r.issueKey(1), strings.Repeat("goods ", 4<<10)
		Expect(r.entry.Do(r.nonIdempotentRequest("first", key), goods)).To(SatisfyAll(
			HaveField("Body", goods), HaveField("End", HaveValue(HaveField("Outcome", wire.OutcomeRan)))))
		again := r.entry.Do(r.nonIdempotentRequest("second", key), goods)
		Expect(again.Begin).To(BeNil())
		Expect(again.End).To(HaveValue(SatisfyAll(HaveField("Outcome", wire.OutcomeRan), HaveField("Duplicate", true))))
	})

	// Guards against a response that ends as complete without one of its pieces.
	It("does not end as complete if a piece was not sent", func() {
		r := newPlainRig()
		r.backend.SetHandler(func(_ context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error) {
			for _, size := range []int{1, peer.DefaultMaxMessage, 1} {
				_ = emit(serving.Piece{Status: 200, Data: make([]byte, size)})
			}
			return serving.Response{ID: call.ID, Status: 200}, nil
		})
		key := r.issueKey(1)
		Expect(r.entry.Do(r.nonIdempotentRequest("first", key), requestBody)).To(SatisfyAll(
			HaveField("Body", HaveLen(1)), HaveField("End", HaveValue(HaveField("Outcome", wire.OutcomeUnknown)))))
		Expect(r.entry.Do(r.nonIdempotentRequest("second", key), requestBody).End).To(HaveValue(SatisfyAll(
			HaveField("Outcome", wire.OutcomeRan), HaveField("Duplicate", true))))
		Expect(r.backend.Calls()).To(HaveLen(1))
	})

	// A backend server that mixes up its connections gives two callers each other's
	// response, with the other's ID. Neither response is reported as complete, and
	// neither is returned to a retry with the same key. Without the check of the
	// ID, both are recorded, and a retry returns each caller the other's complete
	// response.
	It("has no response recorded that names another request", func() {
		r := newPlainRig()
		swapped := map[string]string{"mine": "yours", "yours": "mine"}
		r.backend.SetHandler(func(_ context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error) {
			other := swapped[call.ID]
			return serving.Response{ID: other, Status: 200}, emit(serving.Piece{Status: 200, Data: []byte("goods of " + other)})
		})
		keys := map[string]string{"mine": r.issueKey(1), "yours": r.issueKey(2)}
		for id, key := range keys {
			Expect(r.entry.Do(r.nonIdempotentRequest(id, key), requestBody).End).To(HaveValue(SatisfyAll(
				HaveField("Outcome", wire.OutcomeUnknown), HaveField("ID", id))))
		}
		for id, key := range keys {
			again := r.entry.Do(r.nonIdempotentRequest(id+" again", key), requestBody)
			Expect(again.Body).To(BeEmpty())
			Expect(again.End).To(HaveValue(HaveField("Outcome", wire.OutcomeUnknown)))
		}
		Expect(r.backend.Calls()).To(HaveLen(2))
	})
})
