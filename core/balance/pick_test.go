package balance_test

import (
	"sync"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/balance"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

var defaultRequest = balance.Request{Service: spindle}

var _ = Describe("Pick", func() {
	// This entry has just sent its requests to one of two servers, and no
	// report shows that yet. Without its own counts the next caller would wait
	// at the busy server.
	It("counts its own requests before a report shows them", func() {
		s := snapshotOf(newTracker(), serversAt(apapa, 2, 0))
		counts := pickN(s, newRand(3), 20, defaultRequest)
		Expect(counts).To(HaveLen(2))
		Expect(counts).To(HaveEach(BeNumerically("~", 10, 1)))
	})

	// A caller's request should not cross zones needlessly, nor wait in a full
	// zone while the next one is idle.
	DescribeTable("prefers near servers until they are loaded",
		func(nearRunning, farRunning int, far fleet.Place, want string) {
			servers := append(serversAt(apapa, 3, nearRunning), serversAt(far, 3, farRunning)...)
			s := snapshotOf(newTracker(), servers)
			choice, err := s.Pick(start, newRand(5), defaultRequest)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(choice.Zone)).To(Equal(want))
		},
		Entry("idle zone", 0, 0, apapa2, "apapa-1"),
		Entry("half loaded zone, other zone idle", 8, 0, apapa2, "apapa-1"),
		Entry("loaded zone, other zone idle", 13, 0, apapa2, "apapa-2"),
		Entry("loaded zone, other region idle", 13, 0, kano, "sharada-1"),
		Entry("all equally loaded", 14, 14, kano, "apapa-1"),
		Entry("full zone, other region loaded", 20, 15, kano, "sharada-1"),
	)

	// The caller is told at once that nothing ran and when to retry, instead of
	// waiting for a server that cannot take the request.
	DescribeTable("refuses a request that no server can take, with outcome not run",
		func(change func(*balance.Server), want *errorx.Type) {
			servers := serversAt(apapa, 3, 0)
			for i := range servers {
				change(&servers[i])
			}
			s := snapshotOf(newTracker(), servers)
			_, err := s.Pick(start, newRand(5), defaultRequest)
			Expect(errorx.IsOfType(err, want)).To(BeTrue(), "%v", err)
			Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
			Expect(failure.RetryAfter(err)).To(And(BeNumerically(">=", time.Second), BeNumerically("<", 3*time.Second)))
		},
		Entry("all full", func(s *balance.Server) { s.Report.Load.Waiting = 20 }, balance.AllFull),
		Entry("all draining", func(s *balance.Server) { s.Draining = true }, balance.NoServer),
		Entry("another service", func(s *balance.Server) { s.Service = "luettelo" }, balance.NoServer),
	)

	// If all refused callers retried after the same delay, they would be
	// refused again.
	It("spreads the retry delays of refused requests", func() {
		s := snapshotOf(newTracker(), nil)
		rnd := newRand(5)
		pauses := map[time.Duration]bool{}
		for range 100 {
			_, err := s.Pick(start, rnd, defaultRequest)
			pauses[failure.RetryAfter(err).Truncate(100*time.Millisecond)] = true
		}
		Expect(len(pauses)).To(BeNumerically(">", 15))
	})

	// Every report says that the server is full, then the reports stop while
	// the servers finish their work. Callers must not be refused indefinitely.
	It("does not rely on an old report that a server is full", func() {
		s := snapshotOf(newTracker(), serversAt(apapa, 3, 20))
		_, err := s.Pick(start, newRand(5), defaultRequest)
		Expect(errorx.IsOfType(err, balance.AllFull)).To(BeTrue())
		_, err = s.Pick(start.Add(5*time.Second), newRand(5), defaultRequest)
		Expect(err).NotTo(HaveOccurred())
	})

	// A server was idle when its reports stopped. Callers must not be sent to
	// it preferentially while it stays silent.
	It("assumes the mean load for a server without recent reports", func() {
		servers := serversAt(apapa, 2, 8)
		servers[0].Report.Load.Running = 0
		servers[0].Report.Received = start.Add(-time.Minute)
		costs := map[fleet.InstanceID]float64{}
		for _, c := range snapshotOf(newTracker(), servers).Explain(start, defaultRequest) {
			costs[c.ID] = c.OtherInFlight
		}
		Expect(costs[servers[0].ID]).To(BeNumerically("~", 4, 0.1))
	})

	// When the fleet is nearly full, requests of low priority are refused
	// first, so that the remaining capacity is left for urgent requests.
	It("reserves the last capacity for urgent requests", func() {
		s := snapshotOf(newTracker(), serversAt(apapa, 2, 18))
		low, high := defaultRequest, defaultRequest
		low.Priority = 7
		_, err := s.Pick(start, newRand(5), low)
		Expect(errorx.IsOfType(err, balance.AllFull)).To(BeTrue())
		_, err = s.Pick(start, newRand(5), high)
		Expect(err).NotTo(HaveOccurred())
	})

	// A retry must not go back to the server that just failed.
	It("skips servers that the request has already tried", func() {
		servers := serversAt(apapa, 3, 0)
		r := defaultRequest
		r.Exclude = []fleet.InstanceID{servers[0].ID, servers[2].ID}
		Expect(pickN(snapshotOf(newTracker(), servers), newRand(5), 10, r)).To(HaveLen(1))
		r.Exclude = append(r.Exclude, servers[1].ID)
		_, err := snapshotOf(newTracker(), servers).Pick(start, newRand(5), r)
		Expect(errorx.IsOfType(err, balance.NoServer)).To(BeTrue())
	})

	// A retry of an order for parts must reach the server that holds its
	// record, even while that server drains; on any other server it could run
	// twice.
	It("sends a request with a home only to its home", func() {
		servers := serversAt(apapa, 4, 0)
		servers[2].Draining = true
		s := snapshotOf(newTracker(), servers)
		r := defaultRequest
		r.Require = servers[2].ID
		Expect(pickN(s, newRand(5), 5, r)).To(Equal(map[fleet.InstanceID]int{servers[2].ID: 5}))
		r.Require = "gone"
		_, err := s.Pick(start, newRand(5), r)
		Expect(errorx.IsOfType(err, balance.NoServer)).To(BeTrue())
	})

	// A server that has just loaded has empty caches, so callers wait longer
	// there than elsewhere. Its share of requests must grow gradually.
	DescribeTable("ramps up a new server slowly",
		func(servingFor time.Duration, low, high int) {
			servers := serversAt(apapa, 10, 0)
			servers[0].ServingSince = start.Add(-servingFor)
			s := snapshotOf(newTracker(), servers)
			counts := pickN(s, newRand(5), 100, defaultRequest)
			Expect(counts[servers[0].ID]).To(And(BeNumerically(">=", low), BeNumerically("<=", high)))
		},
		Entry("just loaded", time.Duration(0), 0, 3),
		Entry("halfway", 7*time.Second, 3, 9),
		Entry("warm", time.Minute, 8, 12),
	)

	It("ramps up a server slowly after a version change", func() {
		tracker := newTracker()
		servers := serversAt(apapa, 10, 0)
		servers[0].Version = fleet.Version{Name: "1"}
		snapshotOf(tracker, servers)
		servers[0].Version = fleet.Version{Name: "2"}
		counts := pickN(snapshotOf(tracker, servers), newRand(5), 100, defaultRequest)
		Expect(counts[servers[0].ID]).To(BeNumerically("<=", 3))
	})

	It("respects the concurrency limit of a server", func() {
		servers := serversAt(apapa, 2, 0)
		servers[0].ConcurrencyLimit = 3
		counts := pickN(snapshotOf(newTracker(), servers), newRand(5), 15, defaultRequest)
		Expect(counts).To(Equal(map[fleet.InstanceID]int{servers[0].ID: 3, servers[1].ID: 12}))
	})
})

var _ = Describe("prefix affinity", func() {
	key := func(k uint64) balance.Request { return balance.Request{Service: spindle, PrefixKey: k} }

	It("concentrates one prefix on one server while it has capacity", func() {
		s := snapshotOf(newTracker(), serversAt(apapa, 10, 0))
		Expect(pickN(s, newRand(5), 4, key(42))).To(HaveLen(1))
	})

	It("spreads many prefixes over the servers", func() {
		s := snapshotOf(newTracker(), serversAt(apapa, 10, 0))
		counts := map[fleet.InstanceID]int{}
		for k := range uint64(2000) {
			choice, err := s.Pick(start, newRand(5), key(k+1))
			Expect(err).NotTo(HaveOccurred())
			choice.Release(balance.Result{At: start, Kind: balance.Succeeded})
			counts[choice.ID]++
		}
		Expect(counts).To(HaveLen(10))
		Expect(counts).To(HaveEach(BeNumerically("~", 200, 60)))
	})

	// Callers of one popular prefix would queue at one server while nine are
	// idle.
	It("bounds the load of a popular prefix", func() {
		s := snapshotOf(newTracker(), serversAt(apapa, 10, 0))
		counts := pickN(s, newRand(5), 100, key(42))
		Expect(counts).To(HaveEach(BeNumerically("<=", 14)))
	})

	It("moves only the prefixes of a server that leaves", func() {
		servers := serversAt(apapa, 10, 0)
		before, after := snapshotOf(newTracker(), servers), snapshotOf(newTracker(), servers[1:])
		for k := range uint64(500) {
			was, err := before.Pick(start, newRand(5), key(k+1))
			Expect(err).NotTo(HaveOccurred())
			was.Release(balance.Result{At: start})
			is, err := after.Pick(start, newRand(5), key(k+1))
			Expect(err).NotTo(HaveOccurred())
			is.Release(balance.Result{At: start})
			if was.ID != servers[0].ID {
				Expect(is.ID).To(Equal(was.ID))
			}
		}
	})

	It("shows the operator which server a prefix selects", func() {
		s := snapshotOf(newTracker(), serversAt(apapa, 10, 0))
		choice, err := s.Pick(start, newRand(5), key(42))
		Expect(err).NotTo(HaveOccurred())
		for _, c := range s.Explain(start, key(42)) {
			Expect(c.Preferred).To(Equal(c.ID == choice.ID))
		}
	})
})

var _ = Describe("Tracker", func() {
	// A double release, or one lost when the snapshot changes, would make a
	// server look idle or busy permanently.
	It("counts requests exactly across snapshots and goroutines", func() {
		tracker := newTracker()
		servers := serversAt(apapa, 5, 0)
		var snapshots sync.Map
		snapshots.Store("now", snapshotOf(tracker, servers))
		var workers sync.WaitGroup
		for worker := range 8 {
			workers.Go(func() {
				rnd := newRand(uint64(worker))
				for range 300 {
					s, _ := snapshots.Load("now")
					choice, err := s.(*balance.Snapshot).Pick(start, rnd, defaultRequest)
					if err != nil {
						continue
					}
					choice.Release(balance.Result{At: start, Kind: balance.Succeeded, PieceInterval: time.Millisecond})
					choice.Release(balance.Result{At: start, Kind: balance.Failed})
				}
			})
		}
		for range 100 {
			snapshots.Store("now", snapshotOf(tracker, servers))
		}
		workers.Wait()
		for _, server := range servers {
			Expect(tracker.InFlight(spindle, server.ID)).To(BeZero())
		}
	})

	It("drops an unlisted server once its requests have ended", func() {
		tracker := newTracker()
		servers := serversAt(apapa, 2, 0)
		s := snapshotOf(tracker, servers)
		r := defaultRequest
		r.Require = servers[0].ID
		choice, err := s.Pick(start, newRand(5), r)
		Expect(err).NotTo(HaveOccurred())
		snapshotOf(tracker, servers[1:])
		Expect(tracker.Len()).To(Equal(2))
		choice.Release(balance.Result{At: start})
		snapshotOf(tracker, servers[1:])
		Expect(tracker.Len()).To(Equal(1))
		snapshotOf(tracker, nil)
		Expect(tracker.Len()).To(BeZero())
	})
})
