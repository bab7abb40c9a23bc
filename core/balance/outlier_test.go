package balance_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chivespindle.example/core/balance"
)

var _ = Describe("outlier avoidance", func() {
	// A server that fails immediately always has the fewest requests in flight,
	// so the choice of the cheaper of two prefers it and most callers see
	// errors.
	It("ejects a server that fails fast", func() {
		servers := serversAt(apapa, 4, 0)
		s := snapshotOf(newTracker(), servers)
		rnd := newRand(5)
		failed := 0
		for range 40 {
			choice, err := s.Pick(start, rnd, defaultRequest)
			Expect(err).NotTo(HaveOccurred())
			if choice.ID == servers[0].ID {
				failed++
				choice.Release(balance.Result{At: start, Kind: balance.Failed})
			}
		}
		Expect(failed).To(Equal(3))
	})

	DescribeTable("ejects after",
		func(results []balance.ResultKind, want balance.Verdict) {
			servers := serversAt(apapa, 4, 0)
			s := snapshotOf(newTracker(), servers)
			for _, kind := range results {
				completeRequest(s, start, servers[0].ID, kind)
			}
			Expect(verdicts(s, start, defaultRequest)[servers[0].ID]).To(Equal(want))
		},
		Entry("two failures: no", []balance.ResultKind{balance.Failed, balance.Failed}, balance.Eligible),
		Entry("three failures", []balance.ResultKind{balance.Failed, balance.Failed, balance.Failed}, balance.Ejected),
		Entry("two stalls", []balance.ResultKind{balance.Stalled, balance.Stalled}, balance.Ejected),
		Entry("failures with a success in between: no",
			[]balance.ResultKind{balance.Failed, balance.Failed, balance.Succeeded, balance.Failed, balance.Failed}, balance.Eligible),
		Entry("callers that gave up: no",
			[]balance.ResultKind{balance.Abandoned, balance.Abandoned, balance.Abandoned, balance.Abandoned}, balance.Eligible),
		Entry("a refusal: only a delay", []balance.ResultKind{balance.Declined}, balance.Busy),
	)

	// A partly broken server fails often, but never three times in a row, so
	// many of its callers would see errors for as long as it runs.
	It("ejects a server that fails two times out of three", func() {
		servers := serversAt(apapa, 4, 0)
		s := snapshotOf(newTracker(), servers)
		for range 200 {
			completeRequest(s, start, servers[0].ID, balance.Failed)
			completeRequest(s, start, servers[0].ID, balance.Failed)
			completeRequest(s, start, servers[0].ID, balance.Succeeded)
		}
		Expect(verdicts(s, start, defaultRequest)[servers[0].ID]).To(Equal(balance.Ejected))
	})

	It("ejects for longer after each relapse and resets after a server's slow start", func() {
		servers := serversAt(apapa, 4, 0)
		s := snapshotOf(newTracker(), servers)
		now := start
		ejection := func(failures int) time.Duration {
			for range failures {
				completeRequest(s, now, servers[0].ID, balance.Failed)
			}
			for _, c := range s.Explain(now, defaultRequest) {
				if c.ID == servers[0].ID {
					return c.EjectionLeft
				}
			}
			return 0
		}
		for i, base := range []time.Duration{2, 4, 8, 16, 32, 60, 60} {
			failures := 1
			if i == 0 {
				failures = 3
			}
			length := ejection(failures)
			Expect(length).To(BeNumerically("~", base*time.Second, base*time.Second/4))
			now = now.Add(length)
		}
		now = now.Add(time.Minute)
		completeRequest(s, now, servers[0].ID, balance.Succeeded)
		Expect(ejection(2)).To(BeZero())
		Expect(ejection(1)).To(BeNumerically("~", 2*time.Second, 500*time.Millisecond))
	})

	// All servers that are not full fail: refusing a caller at once is better
	// than sending the request to a server that fails.
	It("does not pick ejected servers while others are only full", func() {
		servers := serversAt(apapa, 4, 0)
		servers[1].Report.Load.Waiting = 40
		servers[2].Draining = true
		servers[3].Draining = true
		s := snapshotOf(newTracker(), servers)
		completeRequest(s, start, servers[0].ID, balance.Stalled)
		completeRequest(s, start, servers[0].ID, balance.Stalled)
		_, err := s.Pick(start, newRand(5), defaultRequest)
		Expect(err).To(HaveOccurred())
	})

	It("tries an ejected server when no other is left", func() {
		servers := serversAt(apapa, 2, 0)
		servers[1].Draining = true
		s := snapshotOf(newTracker(), servers)
		completeRequest(s, start, servers[0].ID, balance.Stalled)
		completeRequest(s, start, servers[0].ID, balance.Stalled)
		Expect(verdicts(s, start, defaultRequest)[servers[0].ID]).To(Equal(balance.Ejected))
		Expect(pickN(s, newRand(5), 1, defaultRequest)).To(HaveKey(servers[0].ID))
	})
})

// The entry's own link fails, so that every server seems to fail, while servers
// join and leave. Callers would be refused although the fleet works. At no time
// may more than half of the listed servers be ejected.
func TestNeverMoreThanHalfEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		tracker := newTracker()
		all := serversAt(apapa, 12, 0)
		now := start
		listed := all
		s := snapshotOf(tracker, listed)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				n := rapid.IntRange(1, len(all)).Draw(t, "listed")
				listed = all[len(all)-n:]
				s = snapshotOf(tracker, listed)
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			default:
				id := listed[rapid.IntRange(0, len(listed)-1).Draw(t, "server")].ID
				choice, err := s.Pick(now, newRand(1), balance.Request{Service: spindle, Require: id})
				g.Expect(err).NotTo(HaveOccurred())
				choice.Release(balance.Result{At: now, Kind: balance.Stalled})
			}
			g.Expect(2 * countEjected(s, now)).To(BeNumerically("<=", len(listed)))
			choice, err := s.Pick(now, newRand(1), balance.Request{Service: spindle})
			g.Expect(err).NotTo(HaveOccurred())
			choice.Release(balance.Result{At: now, Kind: balance.Abandoned})
		}
	})
}

func countEjected(s *balance.Snapshot, now time.Time) int {
	n := 0
	for _, v := range verdicts(s, now, balance.Request{Service: spindle}) {
		if v == balance.Ejected {
			n++
		}
	}
	return n
}
