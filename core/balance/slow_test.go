package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/balance"
	"chivespindle.example/core/fleet"
)

const normalInterval = 5 * time.Millisecond

// completeWithInterval ends one request at the named server with a complete
// response of the given piece interval.
func completeWithInterval(s *balance.Snapshot, id fleet.InstanceID, interval time.Duration) {
	choice, err := s.Pick(start, newRand(1), balance.Request{Service: spindle, Require: id})
	Expect(err).NotTo(HaveOccurred())
	choice.Release(balance.Result{At: start, Kind: balance.Succeeded, PieceInterval: interval})
}

var _ = Describe("a slow server", func() {
	var servers []balance.Server
	var s *balance.Snapshot

	BeforeEach(func() {
		servers = serversAt(apapa, 6, 0)
		s = snapshotOf(newTracker(), servers)
		for range 20 {
			for _, server := range servers {
				completeWithInterval(s, server.ID, normalInterval)
			}
		}
	})

	// One percent of the callers wait five times as long as the rest: the slow
	// server has fewer requests, but never none, and each of them is slow.
	// Without the ejection the verdict here stays eligible, and bench=requests
	// fault=slow shows the slow server's time as p99.
	It("is ejected after several slow responses in a row", func() {
		for range 3 {
			completeWithInterval(s, servers[0].ID, 5*normalInterval)
		}
		Expect(verdicts(s, start, defaultRequest)[servers[0].ID]).To(Equal(balance.Ejected))
	})

	It("is not ejected while its slow responses are isolated", func() {
		for range 20 {
			completeWithInterval(s, servers[0].ID, 5*normalInterval)
			completeWithInterval(s, servers[0].ID, normalInterval)
			completeWithInterval(s, servers[0].ID, normalInterval)
		}
		Expect(verdicts(s, start, defaultRequest)[servers[0].ID]).To(Equal(balance.Eligible))
	})

	It("is not ejected when its responses are too short to measure", func() {
		for range 20 {
			completeWithInterval(s, servers[0].ID, 0)
		}
		Expect(verdicts(s, start, defaultRequest)[servers[0].ID]).To(Equal(balance.Eligible))
	})

	// A new version is five times as slow on every server. If each server were
	// compared with the earlier interval, half of them would be ejected
	// repeatedly and the rest would be overloaded.
	It("is not ejected when all servers become equally slow", func() {
		for range 200 {
			for _, server := range servers {
				completeWithInterval(s, server.ID, 5*normalInterval)
			}
		}
		later := start.Add(5 * time.Minute)
		for id, verdict := range verdicts(s, later, defaultRequest) {
			Expect(verdict).To(Equal(balance.Eligible), string(id))
		}
		completeWithInterval(s, servers[0].ID, 5*normalInterval)
		Expect(verdicts(s, later, defaultRequest)[servers[0].ID]).To(Equal(balance.Eligible))
	})
})
