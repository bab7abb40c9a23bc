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

const work = "two cones"

var _ = Describe("Work that must run at most once", func() {
	// A caller orders goods. Its entry loses the stream to the agent after the
	// work was passed on, and the caller asks again with the same key while it
	// still runs, and once more after. It is told to come back, then it gets the
	// whole answer of the one execution: the work goes on without its entry.
	// Seen with the work's context left bound to the stream: it was given up with
	// the stream, and the second ask was told that its end is lost.
	It("keeps the answer that was lost on the way back", func() {
		r := newPlain()
		release := make(chan struct{})
		r.backend.Answer(daemontest.Held(release, daemontest.Echo))
		key := r.key(1)
		lost := r.entry.Send(r.order("first", key), work)
		Eventually(r.backend.Calls).Should(HaveLen(1))
		lost.Abort()

		running := r.entry.Ask(r.order("second", key), work).End
		Expect(running).To(HaveValue(SatisfyAll(
			HaveField("Outcome", wire.OutcomeUnknown), HaveField("Duplicate", true), HaveField("DecidedByHome", true),
			HaveField("RetryAfterMS", BeNumerically(">", 0)))))

		close(release)
		Eventually(func() daemontest.Answer { return r.entry.Ask(r.order("third", key), work) }).Should(SatisfyAll(
			HaveField("Body", work),
			HaveField("End", HaveValue(SatisfyAll(HaveField("Outcome", wire.OutcomeRan), HaveField("ID", "third"))))))
		Expect(r.backend.Calls()).To(HaveLen(1))
	})

	// A caller whose first entry seems dead asks through a second one in the
	// same moment, with the same key. Both asks are at the agent before either
	// has ended. One of them runs and is answered; the other is told that the
	// outcome is not known yet and when to ask again.
	// Seen with the register letting an ask run whose key runs already: both were
	// passed on, and neither was told to wait.
	It("runs one of two asks that come through two entries at once", func() {
		r := newPlain()
		release := make(chan struct{})
		r.backend.Answer(daemontest.Held(release, daemontest.Echo))
		key := r.key(1)
		other := daemontest.NewEntry("entry-2", r.Self)
		ends := make(chan wire.ResponseEnd, 2)
		for id, entry := range map[string]*daemontest.Entry{"by-1": r.entry, "by-2": other} {
			s := entry.Send(r.order(id, key), work)
			go func() {
				if answer := daemontest.ReadAnswer(s); answer.End != nil {
					ends <- *answer.End
				}
			}()
		}
		var told, ran wire.ResponseEnd
		Eventually(ends).Should(Receive(&told))
		Expect(told).To(SatisfyAll(HaveField("Outcome", wire.OutcomeUnknown), HaveField("Duplicate", true),
			HaveField("RetryAfterMS", BeNumerically(">", 0))))
		close(release)
		Eventually(ends).Should(Receive(&ran))
		Expect(ran.Outcome).To(Equal(wire.OutcomeRan))
		Expect(r.backend.Calls()).To(HaveLen(1))
	})

	// A caller asks again with a key that another process may have run: the one
	// that ran on this instance before, or another agent. Neither record is
	// here. The caller is told "unknown", and nothing is passed on.
	// Seen with the register's objections to issued keys taken out: both ran.
	DescribeTable("leaves alone what another process may have run",
		func(reason once.Reason, keyOf func(r *rig) once.Key) {
			r := newPlain()
			end := r.entry.Ask(r.order("late", keyOf(r).Text), work).End
			Expect(end).To(HaveValue(SatisfyAll(HaveField("Outcome", wire.OutcomeUnknown), HaveField("DecidedByHome", true),
				HaveField("Reason", ContainSubstring(string(reason))))))
			Expect(r.backend.Calls()).To(BeEmpty())
		},
		Entry("a key of an earlier life", once.EarlierIncarnation, func(r *rig) once.Key {
			return once.Issue("", self, once.Incarnation(r.Incarnation-1), time.Now(), 1)
		}),
		Entry("a key of another agent", once.WrongHome, func(r *rig) once.Key {
			return once.Issue("", "agent-2", once.Incarnation(r.Incarnation), time.Now(), 1)
		}),
	)

	// The backend server's gate closes, since the service is down or the agent
	// leaves, and callers ask for work that must run once. What they are told
	// depends on the key and not on the gate: a new key was not run, one that
	// ran is answered from the record, one whose end was lost stays unknown.
	// Seen with the gate's refusal answered past the record: "not_run" for the new
	// key without the record's word, so that a later ask of it could still run.
	// Seen before the mend: the one that ran was told so without its answer.
	It("answers by the record of the key while its gate is closed", func() {
		r := newPlain()
		done, lost, fresh := r.key(1), r.key(2), r.key(3)
		Expect(r.entry.Ask(r.order("done-1", done), work).End).To(HaveValue(HaveField("Outcome", wire.OutcomeRan)))
		r.backend.Answer(func(context.Context, serving.Call, func(serving.Piece) error) (serving.Answer, error) {
			return serving.Answer{}, failure.WithOutcome(failure.Unavailable.New("connection reset"), failure.Unknown)
		})
		Expect(r.entry.Ask(r.order("lost-1", lost), work).End).To(HaveValue(HaveField("Outcome", wire.OutcomeUnknown)))
		r.backend.Answer(daemontest.Echo)
		r.backend.SetDown(true)
		Eventually(r.admits).Should(BeFalse())

		Expect(r.entry.Ask(r.order("fresh-1", fresh), work).End).To(HaveValue(SatisfyAll(
			HaveField("Outcome", wire.OutcomeNotRun), HaveField("DecidedByHome", true))))
		Expect(r.entry.Ask(r.order("lost-2", lost), work).End).To(HaveValue(HaveField("Outcome", wire.OutcomeUnknown)))
		again := r.entry.Ask(r.order("done-2", done), work)
		Expect(again.End).To(HaveValue(HaveField("Outcome", wire.OutcomeRan)))
		Expect(again.Body).To(Equal(work), "the stored answer")
		Expect(r.backend.Calls()).To(HaveLen(2))

		r.backend.SetDown(false)
		Eventually(r.admits).Should(BeTrue())
		Expect(r.entry.Ask(r.order("fresh-2", fresh), work).End).To(HaveValue(HaveField("Outcome", wire.OutcomeRan)))
		Expect(r.backend.Calls()).To(HaveLen(3))
	})

	// A caller is told "not run" and orders elsewhere. An ask of its that had
	// reached an entry before, and was held up there, comes to the agent when the
	// gate is open again. It is refused: run, the goods would come twice.
	// Seen with the register's test of when an ask came taken out: it ran.
	It("refuses an ask from before the caller was told that it was not run", func() {
		r := newPlain()
		key := r.key(1)
		heldUp := r.order("held-up", key)
		r.backend.SetDown(true)
		Eventually(r.admits).Should(BeFalse())
		Expect(r.entry.Ask(r.order("prompt", key), work).End).To(HaveValue(HaveField("Outcome", wire.OutcomeNotRun)))
		r.backend.SetDown(false)
		Eventually(r.admits).Should(BeTrue())
		Expect(r.entry.Ask(heldUp, work).End).To(HaveValue(SatisfyAll(
			HaveField("Outcome", wire.OutcomeNotRun), HaveField("Reason", ContainSubstring(string(once.Closed))))))
		Expect(r.backend.Calls()).To(BeEmpty())
	})

	// Guards against an empty answer in place of one that is too large to keep.
	It("answers a second ask without the answer if that was too large to keep", func() {
		r := newPlain()
		key, goods := r.key(1), strings.Repeat("goods ", 4<<10)
		Expect(r.entry.Ask(r.order("first", key), goods)).To(SatisfyAll(
			HaveField("Body", goods), HaveField("End", HaveValue(HaveField("Outcome", wire.OutcomeRan)))))
		again := r.entry.Ask(r.order("second", key), goods)
		Expect(again.Begin).To(BeNil())
		Expect(again.End).To(HaveValue(SatisfyAll(HaveField("Outcome", wire.OutcomeRan), HaveField("Duplicate", true))))
	})

	// Guards against an answer that ends as whole without one of its pieces.
	It("does not end as whole if a piece was not sent", func() {
		r := newPlain()
		r.backend.Answer(func(_ context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Answer, error) {
			for _, size := range []int{1, peer.DefaultMaxMessage, 1} {
				_ = emit(serving.Piece{Status: 200, Data: make([]byte, size)})
			}
			return serving.Answer{ID: call.ID, Status: 200}, nil
		})
		key := r.key(1)
		Expect(r.entry.Ask(r.order("first", key), work)).To(SatisfyAll(
			HaveField("Body", HaveLen(1)), HaveField("End", HaveValue(HaveField("Outcome", wire.OutcomeUnknown)))))
		Expect(r.entry.Ask(r.order("second", key), work).End).To(HaveValue(SatisfyAll(
			HaveField("Outcome", wire.OutcomeRan), HaveField("Duplicate", true))))
		Expect(r.backend.Calls()).To(HaveLen(1))
	})

	// A backend server that mixes up its connections gives two callers each
	// other's answer, and says so by the id. Neither is called whole, and neither
	// is what a caller finds that asks again with its key.
	// Seen before the mend, and with the test of the id taken out: both were kept
	// in the record, and asking again gave each caller the other's goods, whole.
	It("keeps no answer that names another request", func() {
		r := newPlain()
		swapped := map[string]string{"mine": "yours", "yours": "mine"}
		r.backend.Answer(func(_ context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Answer, error) {
			other := swapped[call.ID]
			return serving.Answer{ID: other, Status: 200}, emit(serving.Piece{Status: 200, Data: []byte("goods of " + other)})
		})
		keys := map[string]string{"mine": r.key(1), "yours": r.key(2)}
		for id, key := range keys {
			Expect(r.entry.Ask(r.order(id, key), work).End).To(HaveValue(SatisfyAll(
				HaveField("Outcome", wire.OutcomeUnknown), HaveField("ID", id))))
		}
		for id, key := range keys {
			again := r.entry.Ask(r.order(id+" again", key), work)
			Expect(again.Body).To(BeEmpty())
			Expect(again.End).To(HaveValue(HaveField("Outcome", wire.OutcomeUnknown)))
		}
		Expect(r.backend.Calls()).To(HaveLen(2))
	})
})
