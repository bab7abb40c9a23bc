package once_test

import (
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/once"
)

// begin calls Begin for a request that reaches an entry at now.
func begin(r *once.Register, now time.Time, key once.Key) once.Verdict {
	return r.Begin(now, key, bodyOf("order"), once.RequestInfo{ReceivedAt: now})
}

// runTo runs a key with the given outcome.
func runTo(r *once.Register, now time.Time, key once.Key, outcome failure.Outcome, body string) {
	Expect(begin(r, now, key).Action).To(Equal(once.Run))
	Expect(r.MarkForwarded(key)).To(BeTrue())
	r.Finish(now, key, once.Result{Outcome: outcome, Status: 200, Body: []byte(body), HasBody: true})
}

var _ = Describe("Register", func() {
	var r *once.Register
	key := issuedKey(1, start)

	BeforeEach(func() { r = once.New(optionsOf("s0", testIncarnation)) })

	// The caller's connection broke and it retries through another entry while the
	// first request is in one of these phases.
	DescribeTable("a second request",
		func(first func(), want once.Verdict) {
			first()
			Expect(begin(r, start.Add(time.Second), key)).To(Equal(want))
		},
		Entry("runs if there was no first", func() {}, once.Verdict{Action: once.Run}),
		Entry("waits for a first that has begun", func() { begin(r, start, key) }, once.Verdict{Action: once.Running}),
		Entry("waits for a first that was forwarded", func() {
			begin(r, start, key)
			r.MarkForwarded(key)
		}, once.Verdict{Action: once.Running}),
		Entry("gets the response of a first that is done", func() { runTo(r, start, key, failure.Ran, "card 1") },
			once.Verdict{Action: once.Done, Outcome: failure.Ran, Result: once.Result{
				Outcome: failure.Ran, Status: 200, Body: []byte("card 1"), HasBody: true,
			}}),
		Entry("gets only the status if the response was large", func() { runTo(r, start, key, failure.Ran, "a long job card") },
			once.Verdict{Action: once.Done, Outcome: failure.Ran, Result: once.Result{Outcome: failure.Ran, Status: 200}}),
		// Guards against an empty response in place of one that the agent did not keep.
		Entry("gets only the status if no body was recorded", func() {
			begin(r, start, key)
			r.MarkForwarded(key)
			r.Finish(start, key, once.Result{Outcome: failure.Ran, Status: 200})
		}, once.Verdict{Action: once.Done, Outcome: failure.Ran, Result: once.Result{Outcome: failure.Ran, Status: 200}}),
		Entry("gets an empty response", func() { runTo(r, start, key, failure.Ran, "") },
			once.Verdict{Action: once.Done, Outcome: failure.Ran, Result: once.Result{
				Outcome: failure.Ran, Status: 200, Body: []byte{}, HasBody: true,
			}}),
		Entry("is refused if the outcome of the first is unknown", func() { runTo(r, start, key, failure.Unknown, "") },
			once.Verdict{Outcome: failure.Unknown, Reason: once.OutcomeLost}),
		Entry("runs if the backend server did not run the first", func() { runTo(r, start, key, failure.NotRun, "") },
			once.Verdict{Action: once.Run}),
		Entry("runs if the first was not forwarded", func() {
			begin(r, start, key)
			r.Abandon(start, key)
		}, once.Verdict{Action: once.Run}),
	)

	// The entry was paused before it sent the request. The caller retried through
	// another entry, was told "not run" for lack of capacity, and sent the request
	// elsewhere. Then the first entry resumes and sends it.
	It("refuses a request received before the caller was told that it was not run", func() {
		asked := start
		told := start.Add(5 * time.Second)
		Expect(r.Close(told, key, bodyOf("order"), once.RequestInfo{ReceivedAt: told})).
			To(Equal(once.Verdict{Outcome: failure.NotRun, Reason: once.Closed}))
		late := r.Begin(start.Add(6*time.Second), key, bodyOf("order"), once.RequestInfo{ReceivedAt: asked})
		Expect(late).To(Equal(once.Verdict{Outcome: failure.NotRun, Reason: once.Closed}))
		Expect(begin(r, start.Add(7*time.Second), key).Action).To(Equal(once.Run))
	})

	It("lets exactly one of many concurrent requests be forwarded", func() {
		var passed atomic.Int64
		var requests sync.WaitGroup
		for range 20 {
			requests.Go(func() {
				if begin(r, start, key).Action == once.Run && r.MarkForwarded(key) {
					passed.Add(1)
				}
			})
		}
		requests.Wait()
		Expect(passed.Load()).To(BeEquivalentTo(1))
	})

	It("lets one request be forwarded only once", func() {
		begin(r, start, key)
		Expect(r.MarkForwarded(key)).To(BeTrue())
		Expect(r.MarkForwarded(key)).To(BeFalse())
		r.Abandon(start, key)
		Expect(begin(r, start, key).Action).To(Equal(once.Running))
	})

	// A caller uses one key for two requests. The second would get the response of the
	// first.
	It("refuses a second body for the same key", func() {
		runTo(r, start, key, failure.Ran, "card 1")
		other := r.Begin(start, key, bodyOf("another order"), once.RequestInfo{ReceivedAt: start})
		Expect(other).To(Equal(once.Verdict{Outcome: failure.NotRun, Reason: once.OtherBody}))
	})

	DescribeTable("an issued key",
		func(key once.Key, want once.Verdict) { Expect(begin(r, start, key)).To(Equal(want)) },
		Entry("runs at its home regardless of the lists", issuedKey(1, start), once.Verdict{Action: once.Run}),
		Entry("runs long after it was created", issuedKey(1, start.Add(-time.Hour)), once.Verdict{Action: once.Run}),
		Entry("of another home does not run", once.Issue("workshop-7", "s1", testIncarnation, start, 1),
			once.Verdict{Outcome: failure.Unknown, Reason: once.WrongHome}),
		Entry("of an earlier incarnation does not run", once.Issue("workshop-7", "s0", testIncarnation-1, start, 1),
			once.Verdict{Outcome: failure.Unknown, Reason: once.EarlierIncarnation}),
		Entry("with a date in the future does not run", issuedKey(1, start.Add(time.Minute)),
			once.Verdict{Outcome: failure.NotRun, Reason: once.Premature}),
	)

	// The record of a request has been deleted, and the caller retries: running it
	// could run it twice, and "not run" could be false.
	It("does not run a key whose record has been deleted", func() {
		runTo(r, start, key, failure.Ran, "card 1")
		later := start.Add(keep + time.Second)
		begin(r, later, issuedKey(2, later))
		Expect(r.Len()).To(Equal(1))
		Expect(begin(r, later, key)).To(Equal(once.Verdict{Outcome: failure.Unknown, Reason: once.Forgotten}))
		Expect(begin(r, later, issuedKey(3, later)).Action).To(Equal(once.Run))
	})

	It("keeps a record as long as requests for it arrive", func() {
		runTo(r, start, key, failure.Ran, "card 1")
		for i := range 10 {
			Expect(begin(r, start.Add(time.Duration(i)*keep), key).Action).To(Equal(once.Done))
		}
	})

	It("keeps the record of a request that is still running", func() {
		chosen := keyOfHome("s0", "s0")
		r.SetMembers(start, []fleet.InstanceID{"s0"})
		now := start.Add(settle + keep + time.Second)
		r.SetMembers(now, []fleet.InstanceID{"s0"})
		Expect(begin(r, now, chosen).Action).To(Equal(once.Run))
		Expect(r.MarkForwarded(chosen)).To(BeTrue())
		now = now.Add(3 * keep)
		r.SetMembers(now, []fleet.InstanceID{"s0"})
		Expect(begin(r, now, chosen).Action).To(Equal(once.Running))
	})

	// A burst of new keys must neither exceed the memory limit nor evict the record of
	// a running request. A key refused for lack of capacity stays refused for requests
	// received before, even when there is capacity again.
	It("refuses new keys when the register is full, and keeps refusing delayed requests", func() {
		refusedKey := issuedKey(9, start.Add(time.Second))
		for n := range uint64(maxKeys) {
			begin(r, start, issuedKey(n, start))
		}
		told := start.Add(time.Second)
		Expect(begin(r, told, refusedKey)).To(Equal(once.Verdict{Outcome: failure.NotRun, Reason: once.RecordFull}))
		Expect(r.Len()).To(Equal(maxKeys))
		Expect(r.MarkForwarded(issuedKey(0, start))).To(BeTrue())
		r.Finish(told, issuedKey(0, start), once.Result{Outcome: failure.Ran})
		later := told.Add(keep + time.Second)
		held := r.Begin(later, refusedKey, bodyOf("order"), once.RequestInfo{ReceivedAt: start})
		Expect(held).To(Equal(once.Verdict{Outcome: failure.NotRun, Reason: once.Closed}))
		Expect(begin(r, later.Add(time.Second), refusedKey).Action).To(Equal(once.Run))
	})

	It("bounds the bytes of kept responses and deletes the oldest", func() {
		for n := range uint64(3) {
			runTo(r, start, issuedKey(n, start), failure.Ran, "12345")
		}
		Expect(begin(r, start, issuedKey(0, start)).Result.HasBody).To(BeFalse())
		Expect(begin(r, start, issuedKey(1, start)).Result.HasBody).To(BeTrue())
		Expect(begin(r, start, issuedKey(2, start)).Result.HasBody).To(BeTrue())
	})
})

var _ = Describe("a key chosen by the caller", func() {
	both := []fleet.InstanceID{"s0", "s1"}
	settled := start.Add(settle + time.Second)
	plain := keyOfHome("s0", both...)
	dated := datedKeyOfHome(settled, "s0", both...)

	// register returns the register of s0, which read a list with both members at start
	// and again at now.
	register := func(now time.Time) *once.Register {
		r := once.New(optionsOf("s0", testIncarnation))
		r.SetMembers(start, both)
		r.SetMembers(now, both)
		return r
	}

	DescribeTable("runs only if no other home can have run it",
		func(now time.Time, key once.Key, want once.Verdict) {
			Expect(begin(register(now), now, key)).To(Equal(want))
		},
		Entry("plain, home for long enough", settled.Add(keep), plain, once.Verdict{Action: once.Run}),
		Entry("plain, home for less than the retry period", settled.Add(keep/2), plain,
			once.Verdict{Outcome: failure.Unknown, Reason: once.HomeMoved}),
		Entry("plain, another home", settled.Add(keep), keyOfHome("s1", both...),
			once.Verdict{Outcome: failure.Unknown, Reason: once.NotHome}),
		Entry("dated after the home settled", settled, dated, once.Verdict{Action: once.Run}),
		Entry("dated before the home settled", settled, datedKeyOfHome(start, "s0", both...),
			once.Verdict{Outcome: failure.Unknown, Reason: once.HomeMoved}),
		Entry("dated in the future", settled, datedKeyOfHome(settled.Add(time.Minute), "s0", both...),
			once.Verdict{Outcome: failure.Unknown, Reason: once.Premature}),
		Entry("dated longer ago than the retry period", settled.Add(2*keep), dated,
			once.Verdict{Outcome: failure.Unknown, Reason: once.Forgotten}),
	)

	It("does not run at a home whose list is stale", func() {
		r := register(settled)
		now := settled.Add(maxListAge + time.Second)
		Expect(begin(r, now, datedKeyOfHome(now, "s0", both...))).
			To(Equal(once.Verdict{Outcome: failure.Unknown, Reason: once.StaleList}))
	})

	// The home ran a request and crashed, its response was lost, and the caller
	// retries. The next home cannot know whether it ran.
	It("has an unknown outcome at the next home after its home is removed", func() {
		key := datedKeyOfHome(settled, "s1", both...)
		r := register(settled)
		gone := settled.Add(time.Second)
		r.SetMembers(gone, []fleet.InstanceID{"s0"})
		Expect(begin(r, gone, key)).To(Equal(once.Verdict{Outcome: failure.Unknown, Reason: once.HomeMoved}))
		fresh := gone.Add(settle + time.Second)
		r.SetMembers(fresh, []fleet.InstanceID{"s0"})
		Expect(begin(r, fresh, key).Action).To(Equal(once.Refuse))
		Expect(begin(r, fresh, datedKey(fresh, 1)).Action).To(Equal(once.Run))
	})

	// A known limit without persistent storage: the platform shows two homes different
	// lists for longer than ListLag. The request runs at one, its response is lost, the
	// caller retries and reaches the other, which has long been the home by its own
	// list: it runs twice. An issued key cannot run twice.
	It("may run twice if lists differ for longer than ListLag", func() {
		now := settled.Add(keep)
		one, two := once.New(optionsOf("s0", testIncarnation)), once.New(optionsOf("s1", testIncarnation))
		for _, at := range []time.Time{start, now} {
			one.SetMembers(at, []fleet.InstanceID{"s0"})
			two.SetMembers(at, []fleet.InstanceID{"s1"})
		}
		key := plainKey("job-card-1")
		Expect(begin(one, now, key).Action).To(Equal(once.Run))
		Expect(begin(two, now, key).Action).To(Equal(once.Run))
	})
})
