package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/balance"
	"chivespindle.example/core/fleet"
)

const usualPace = 5 * time.Millisecond

// answerAt ends one request at the named server with a whole answer of pace.
func answerAt(s *balance.Snapshot, id fleet.InstanceID, pace time.Duration) {
	choice, err := s.Pick(start, newRand(1), balance.Request{Service: spindle, Require: id})
	Expect(err).NotTo(HaveOccurred())
	choice.Release(balance.Result{At: start, Kind: balance.Succeeded, PieceInterval: pace})
}

var _ = Describe("a slow server", func() {
	var servers []balance.Server
	var s *balance.Snapshot

	BeforeEach(func() {
		servers = serversAt(apapa, 6, 0)
		s = snapshotOf(newTracker(), servers)
		for range 20 {
			for _, server := range servers {
				answerAt(s, server.ID, usualPace)
			}
		}
	})

	// One in a hundred callers waits five times as long as the rest: the slow
	// server holds fewer requests, but never none, and each of them is slow.
	// With the ejection taken out the verdict here stays eligible, and
	// bench=requests fault=slow shows p99 at the slow server's time.
	It("is ejected after some slow answers in a row", func() {
		for range 3 {
			answerAt(s, servers[0].ID, 5*usualPace)
		}
		Expect(verdicts(s, start, anyRequest)[servers[0].ID]).To(Equal(balance.Ejected))
	})

	It("stays while its slow answers are single", func() {
		for range 20 {
			answerAt(s, servers[0].ID, 5*usualPace)
			answerAt(s, servers[0].ID, usualPace)
			answerAt(s, servers[0].ID, usualPace)
		}
		Expect(verdicts(s, start, anyRequest)[servers[0].ID]).To(Equal(balance.Eligible))
	})

	It("stays when its answers are too short to tell", func() {
		for range 20 {
			answerAt(s, servers[0].ID, 0)
		}
		Expect(verdicts(s, start, anyRequest)[servers[0].ID]).To(Equal(balance.Eligible))
	})

	// A new version is five times as slow everywhere. Were each server measured
	// against what was usual before, half of them would be ejected again and
	// again, and the rest would drown.
	It("is nobody when all become slow alike", func() {
		for range 200 {
			for _, server := range servers {
				answerAt(s, server.ID, 5*usualPace)
			}
		}
		later := start.Add(5 * time.Minute)
		for id, verdict := range verdicts(s, later, anyRequest) {
			Expect(verdict).To(Equal(balance.Eligible), string(id))
		}
		answerAt(s, servers[0].ID, 5*usualPace)
		Expect(verdicts(s, later, anyRequest)[servers[0].ID]).To(Equal(balance.Eligible))
	})
})
