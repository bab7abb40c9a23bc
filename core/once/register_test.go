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

// begin asks at now, as an ask that has just reached an entry.
func begin(r *once.Register, now time.Time, key once.Key) once.Verdict {
	return r.Begin(now, key, bodyOf("order"), once.Facts{Asked: now})
}

// runTo lets a key run and end with outcome.
func runTo(r *once.Register, now time.Time, key once.Key, outcome failure.Outcome, body string) {
	Expect(begin(r, now, key).Action).To(Equal(once.Run))
	Expect(r.Passed(key)).To(BeTrue())
	r.Finish(now, key, once.Result{Outcome: outcome, Status: 200, Body: []byte(body), BodyKept: true})
}

var _ = Describe("Register", func() {
	var r *once.Register
	key := issuedKey(1, start)

	BeforeEach(func() { r = once.New(optionsOf("s0", life)) })

	// The caller's connection broke and it asks again, through another entry,
	// while the first ask is at one of these stages.
	DescribeTable("a second ask",
		func(first func(), want once.Verdict) {
			first()
			Expect(begin(r, start.Add(time.Second), key)).To(Equal(want))
		},
		Entry("runs if there was no first", func() {}, once.Verdict{Action: once.Run}),
		Entry("waits for one that has begun", func() { begin(r, start, key) }, once.Verdict{Action: once.Running}),
		Entry("waits for one that was passed on", func() {
			begin(r, start, key)
			r.Passed(key)
		}, once.Verdict{Action: once.Running}),
		Entry("gets the answer of one that is done", func() { runTo(r, start, key, failure.Ran, "card 1") },
			once.Verdict{Action: once.Done, Outcome: failure.Ran, Result: once.Result{
				Outcome: failure.Ran, Status: 200, Body: []byte("card 1"), BodyKept: true,
			}}),
		Entry("gets the status alone if the answer was large", func() { runTo(r, start, key, failure.Ran, "a long job card") },
			once.Verdict{Action: once.Done, Outcome: failure.Ran, Result: once.Result{Outcome: failure.Ran, Status: 200}}),
		// Guards against an empty answer in place of one that the agent did not keep.
		Entry("gets the status alone if no body was handed in", func() {
			begin(r, start, key)
			r.Passed(key)
			r.Finish(start, key, once.Result{Outcome: failure.Ran, Status: 200})
		}, once.Verdict{Action: once.Done, Outcome: failure.Ran, Result: once.Result{Outcome: failure.Ran, Status: 200}}),
		Entry("gets an answer that was empty", func() { runTo(r, start, key, failure.Ran, "") },
			once.Verdict{Action: once.Done, Outcome: failure.Ran, Result: once.Result{
				Outcome: failure.Ran, Status: 200, Body: []byte{}, BodyKept: true,
			}}),
		Entry("is told that the end of the first was not seen", func() { runTo(r, start, key, failure.Unknown, "") },
			once.Verdict{Outcome: failure.Unknown, Reason: once.Lost}),
		Entry("runs if the server did not run the first", func() { runTo(r, start, key, failure.NotRun, "") },
			once.Verdict{Action: once.Run}),
		Entry("runs if the first was not passed on", func() {
			begin(r, start, key)
			r.Abandon(start, key)
		}, once.Verdict{Action: once.Run}),
	)

	// The entry was paused with the order in hand. The caller asked again
	// through another, was told "not run" for want of room, and ordered
	// elsewhere. Now the first entry wakes up and sends.
	It("refuses an ask from before the caller was told that it was not run", func() {
		asked := start
		told := start.Add(5 * time.Second)
		Expect(r.Close(told, key, bodyOf("order"), once.Facts{Asked: told})).
			To(Equal(once.Verdict{Outcome: failure.NotRun, Reason: once.Closed}))
		late := r.Begin(start.Add(6*time.Second), key, bodyOf("order"), once.Facts{Asked: asked})
		Expect(late).To(Equal(once.Verdict{Outcome: failure.NotRun, Reason: once.Closed}))
		Expect(begin(r, start.Add(7*time.Second), key).Action).To(Equal(once.Run))
	})

	It("lets exactly one of many concurrent asks be passed on", func() {
		var passed atomic.Int64
		var asks sync.WaitGroup
		for range 20 {
			asks.Go(func() {
				if begin(r, start, key).Action == once.Run && r.Passed(key) {
					passed.Add(1)
				}
			})
		}
		asks.Wait()
		Expect(passed.Load()).To(BeEquivalentTo(1))
	})

	It("lets one ask be passed on once", func() {
		begin(r, start, key)
		Expect(r.Passed(key)).To(BeTrue())
		Expect(r.Passed(key)).To(BeFalse())
		r.Abandon(start, key)
		Expect(begin(r, start, key).Action).To(Equal(once.Running))
	})

	// A caller's program uses one key for two orders. The second would get
	// the first one's answer.
	It("refuses a second body under one key", func() {
		runTo(r, start, key, failure.Ran, "card 1")
		other := r.Begin(start, key, bodyOf("another order"), once.Facts{Asked: start})
		Expect(other).To(Equal(once.Verdict{Outcome: failure.NotRun, Reason: once.OtherBody}))
	})

	DescribeTable("an issued key",
		func(key once.Key, want once.Verdict) { Expect(begin(r, start, key)).To(Equal(want)) },
		Entry("runs at its home whatever the lists say", issuedKey(1, start), once.Verdict{Action: once.Run}),
		Entry("runs long after it was made", issuedKey(1, start.Add(-time.Hour)), once.Verdict{Action: once.Run}),
		Entry("of another home does not run", once.Issue("workshop-7", "s1", life, start, 1),
			once.Verdict{Outcome: failure.Unknown, Reason: once.WrongHome}),
		Entry("of an earlier life does not run", once.Issue("workshop-7", "s0", life-1, start, 1),
			once.Verdict{Outcome: failure.Unknown, Reason: once.EarlierLife}),
		Entry("from the future does not run", issuedKey(1, start.Add(time.Minute)),
			once.Verdict{Outcome: failure.NotRun, Reason: once.Premature}),
	)

	// The record of an order has been dropped, and the caller asks once more:
	// running it would order twice, and saying "not run" would be a lie.
	It("does not run a key whose record has been dropped", func() {
		runTo(r, start, key, failure.Ran, "card 1")
		later := start.Add(keep + time.Second)
		begin(r, later, issuedKey(2, later))
		Expect(r.Len()).To(Equal(1))
		Expect(begin(r, later, key)).To(Equal(once.Verdict{Outcome: failure.Unknown, Reason: once.Forgotten}))
		Expect(begin(r, later, issuedKey(3, later)).Action).To(Equal(once.Run))
	})

	It("keeps a record as long as it is asked for", func() {
		runTo(r, start, key, failure.Ran, "card 1")
		for i := range 10 {
			Expect(begin(r, start.Add(time.Duration(i)*keep), key).Action).To(Equal(once.Done))
		}
	})

	It("keeps the record of work that still runs", func() {
		chosen := keyOfHome("s0", "s0")
		r.SetMembers(start, []fleet.InstanceID{"s0"})
		now := start.Add(settle + keep + time.Second)
		r.SetMembers(now, []fleet.InstanceID{"s0"})
		Expect(begin(r, now, chosen).Action).To(Equal(once.Run))
		Expect(r.Passed(chosen)).To(BeTrue())
		now = now.Add(3 * keep)
		r.SetMembers(now, []fleet.InstanceID{"s0"})
		Expect(begin(r, now, chosen).Action).To(Equal(once.Running))
	})

	// A burst of new keys must neither grow the process past its memory nor
	// push out the record of an order that runs. The key refused for want of
	// room stays refused for asks from before, also when there is room again.
	It("refuses new keys when the record is full, and means it", func() {
		refusedKey := issuedKey(9, start.Add(time.Second))
		for n := range uint64(maxKeys) {
			begin(r, start, issuedKey(n, start))
		}
		told := start.Add(time.Second)
		Expect(begin(r, told, refusedKey)).To(Equal(once.Verdict{Outcome: failure.NotRun, Reason: once.Busy}))
		Expect(r.Len()).To(Equal(maxKeys))
		Expect(r.Passed(issuedKey(0, start))).To(BeTrue())
		r.Finish(told, issuedKey(0, start), once.Result{Outcome: failure.Ran})
		later := told.Add(keep + time.Second)
		held := r.Begin(later, refusedKey, bodyOf("order"), once.Facts{Asked: start})
		Expect(held).To(Equal(once.Verdict{Outcome: failure.NotRun, Reason: once.Closed}))
		Expect(begin(r, later.Add(time.Second), refusedKey).Action).To(Equal(once.Run))
	})

	It("bounds the bytes of kept answers and drops the oldest", func() {
		for n := range uint64(3) {
			runTo(r, start, issuedKey(n, start), failure.Ran, "12345")
		}
		Expect(begin(r, start, issuedKey(0, start)).Result.BodyKept).To(BeFalse())
		Expect(begin(r, start, issuedKey(1, start)).Result.BodyKept).To(BeTrue())
		Expect(begin(r, start, issuedKey(2, start)).Result.BodyKept).To(BeTrue())
	})
})

var _ = Describe("a key that a caller chose", func() {
	both := []fleet.InstanceID{"s0", "s1"}
	settled := start.Add(settle + time.Second)
	plain := keyOfHome("s0", both...)
	dated := datedKeyOfHome(settled, "s0", both...)

	// register returns that of s0, which read both members at start and again
	// at the time of the ask.
	register := func(now time.Time) *once.Register {
		r := once.New(optionsOf("s0", life))
		r.SetMembers(start, both)
		r.SetMembers(now, both)
		return r
	}

	DescribeTable("runs only where and when no other home can have run it",
		func(now time.Time, key once.Key, want once.Verdict) {
			Expect(begin(register(now), now, key)).To(Equal(want))
		},
		Entry("plain, home for long", settled.Add(keep), plain, once.Verdict{Action: once.Run}),
		Entry("plain, home for less than a caller may ask again", settled.Add(keep/2), plain,
			once.Verdict{Outcome: failure.Unknown, Reason: once.Moved}),
		Entry("plain, another's", settled.Add(keep), keyOfHome("s1", both...),
			once.Verdict{Outcome: failure.Unknown, Reason: once.NotHome}),
		Entry("dated after the home settled", settled, dated, once.Verdict{Action: once.Run}),
		Entry("dated before", settled, datedKeyOfHome(start, "s0", both...),
			once.Verdict{Outcome: failure.Unknown, Reason: once.Moved}),
		Entry("dated ahead", settled, datedKeyOfHome(settled.Add(time.Minute), "s0", both...),
			once.Verdict{Outcome: failure.Unknown, Reason: once.Premature}),
		Entry("dated longer ago than a caller may ask again", settled.Add(2*keep), dated,
			once.Verdict{Outcome: failure.Unknown, Reason: once.Forgotten}),
	)

	It("does not run at a home whose list is old", func() {
		r := register(settled)
		now := settled.Add(maxListAge + time.Second)
		Expect(begin(r, now, datedKeyOfHome(now, "s0", both...))).
			To(Equal(once.Verdict{Outcome: failure.Unknown, Reason: once.StaleList}))
	})

	// The home ran an order and died, its answer was lost, and the caller
	// asks again. The next home cannot know.
	It("is unknown to the next home after its home has gone", func() {
		key := datedKeyOfHome(settled, "s1", both...)
		r := register(settled)
		gone := settled.Add(time.Second)
		r.SetMembers(gone, []fleet.InstanceID{"s0"})
		Expect(begin(r, gone, key)).To(Equal(once.Verdict{Outcome: failure.Unknown, Reason: once.Moved}))
		fresh := gone.Add(settle + time.Second)
		r.SetMembers(fresh, []fleet.InstanceID{"s0"})
		Expect(begin(r, fresh, key).Action).To(Equal(once.Refuse))
		Expect(begin(r, fresh, datedKey(fresh, 1)).Action).To(Equal(once.Run))
	})

	// What cannot be promised without storage. The platform shows two homes
	// different lists for longer than ListLag. The order runs at one, its
	// answer is lost, the caller asks again and reaches the other, which has
	// long been the home by its own list: it runs twice. The issued key of
	// the test above cannot.
	It("may run twice while lists differ for longer than promised", func() {
		now := settled.Add(keep)
		one, two := once.New(optionsOf("s0", life)), once.New(optionsOf("s1", life))
		for _, at := range []time.Time{start, now} {
			one.SetMembers(at, []fleet.InstanceID{"s0"})
			two.SetMembers(at, []fleet.InstanceID{"s1"})
		}
		key := plainKey("job-card-1")
		Expect(begin(one, now, key).Action).To(Equal(once.Run))
		Expect(begin(two, now, key).Action).To(Equal(once.Run))
	})
})
