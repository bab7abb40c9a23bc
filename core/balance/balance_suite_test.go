package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/balance"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Balance")
}

const (
	spindle = fleet.ServiceName("spindle-pool")
	slots   = 16
)

var (
	apapa  = fleet.Place{Zone: "apapa-1", Region: "lagos"}
	apapa2 = fleet.Place{Zone: "apapa-2", Region: "lagos"}
	kano   = fleet.Place{Zone: "sharada-1", Region: "kano"}
	start  = time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)
)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func newTracker() *balance.Tracker { return balance.NewTracker(start, newRand(7)) }

// serversAt returns n servers of spindle-pool at place, each with a fresh
// report of running requests.
func serversAt(place fleet.Place, n, running int) []balance.Server {
	servers := make([]balance.Server, n)
	for i := range servers {
		servers[i] = balance.Server{
			ID:      fleet.InstanceID(fmt.Sprintf("%s-s%d", place.Zone, i)),
			Place:   place,
			Service: spindle,
			Report: balance.Report{
				Load:     serving.Load{Running: running, Slots: slots},
				Received: start,
			},
		}
	}
	return servers
}

func snapshotOf(tracker *balance.Tracker, servers []balance.Server) *balance.Snapshot {
	return balance.NewSnapshot(apapa, servers, tracker, balance.Settings{})
}

// pickN picks n times without releasing and returns how often each server was
// chosen.
func pickN(s *balance.Snapshot, rnd balance.Rand, n int, r balance.Request) map[fleet.InstanceID]int {
	counts := map[fleet.InstanceID]int{}
	for range n {
		choice, err := s.Pick(start, rnd, r)
		Expect(err).NotTo(HaveOccurred())
		counts[choice.ID]++
	}
	return counts
}

// completeRequest picks the named server at now and ends the request with kind.
func completeRequest(s *balance.Snapshot, now time.Time, id fleet.InstanceID, kind balance.ResultKind) {
	choice, err := s.Pick(now, newRand(1), balance.Request{Service: spindle, Require: id})
	Expect(err).NotTo(HaveOccurred())
	choice.Release(balance.Result{At: now, Kind: kind})
}

func verdicts(s *balance.Snapshot, now time.Time, r balance.Request) map[fleet.InstanceID]balance.Verdict {
	found := map[fleet.InstanceID]balance.Verdict{}
	for _, c := range s.Explain(now, r) {
		found[c.ID] = c.Verdict
	}
	return found
}
