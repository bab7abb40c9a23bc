package swarm_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/spread"
	"chivespindle.example/daemon/internal/daemontest"
)

// failFirst applies a fault to the first n fetches of chunks.
func failFirst(n int64, fault func(ctx context.Context) error) func(context.Context, daemontest.Fetch) error {
	var calls atomic.Int64
	return func(ctx context.Context, fetch daemontest.Fetch) error {
		if fetch.Chunk < 0 || calls.Add(1) > n {
			return nil
		}
		return fault(ctx)
	}
}

// stalled fails like a source whose link delivers no byte until the stall
// timeout.
func stalled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stallTimeout)
	defer cancel()
	return daemontest.Stall(ctx)
}

func unavailable(context.Context) error { return failure.Unavailable.New("connection reset") }

var _ = Describe("The origin", func() {
	// The origin fails an agent's first fetches and then works. The agent uses
	// the store if there is one, and otherwise retries the origin after a delay.
	// The version becomes complete, and no corrupt byte is staged.
	DescribeTable("only delays a version when it fails temporarily",
		func(fail func(origin *daemontest.Source), withStore bool) {
			m := newModel("r1", 6)
			from := sources{origin: daemontest.NewSource(m)}
			if withStore {
				from.store = daemontest.NewSource(m)
			}
			fail(from.origin)
			a := start("agent-1", daemontest.NewStage(), from)
			a.fetch(m, nil)
			a.expectComplete(m)
			Expect(a.stage.Puts()).To(Equal(6), "each chunk was staged once and completely")
		},
		Entry("stalled link, with a store", func(o *daemontest.Source) { o.SetFault(failFirst(1, stalled)) }, true),
		Entry("origin down, with a store", func(o *daemontest.Source) { o.SetFault(failFirst(4, unavailable)) }, true),
		Entry("origin down, without a store", func(o *daemontest.Source) { o.SetFault(failFirst(4, unavailable)) }, false),
		Entry("corrupt byte, with a store", corruptFirst, true),
		Entry("corrupt byte, without a store", corruptFirst, false),
		Entry("half of a chunk, with a store", func(o *daemontest.Source) {
			var done atomic.Bool
			o.CorruptWith(func(_ daemontest.Fetch, data []byte) []byte {
				if done.Swap(true) {
					return data
				}
				return data[:len(data)/2]
			})
		}, true),
	)

	// The origin refuses an agent's requests with a retry delay. Each of the
	// concurrent fetches may be refused; after that the origin receives no
	// request for that time.
	//
	// Without passing RetryAfter to the plan, the origin receives requests again
	// at once.
	It("receives no chunk requests during the retry delay that it requested", func() {
		m := newModel("r1", 6)
		from := sources{origin: daemontest.NewSource(m)}
		const pause, parallel = 8 * time.Second, 2
		var mu sync.Mutex
		var requestedAt []time.Time
		from.origin.SetFault(func(_ context.Context, fetch daemontest.Fetch) error {
			if fetch.Chunk < 0 {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			requestedAt = append(requestedAt, time.Now())
			if len(requestedAt) > parallel {
				return nil
			}
			return failure.WithRetryAfter(failure.RateLimited.New("status 429"), pause)
		})
		a := start("agent-1", daemontest.NewStage(), from)
		a.fetch(m, nil)
		a.expectComplete(m)
		Expect(requestedAt[parallel].Sub(requestedAt[0])).To(BeNumerically(">=", pause/clockSpeed))
	})

	// The configuration names a manifest that the origin refuses for an hour and
	// that the store does not have. The agent requests it from the store with
	// increasing delays and does not contact the origin: hundreds of agents that
	// retried ten times per second would use origin capacity that live transfers
	// need.
	//
	// Guards against an origin that receives as many requests as the store,
	// which also happens if the delay is ignored.
	It("receives no manifest requests during the retry delay that it requested", func() {
		m := newModel("r1", 1)
		from := sources{origin: daemontest.NewSource(), store: daemontest.NewSource()}
		from.origin.SetFault(func(context.Context, daemontest.Fetch) error {
			return failure.WithRetryAfter(failure.RateLimited.New("status 429"), time.Hour)
		})
		a := start("agent-1", daemontest.NewStage(), from)
		a.fetch(m, nil)
		Eventually(from.store.ManifestFetches).Should(BeNumerically(">=", 3))
		Expect(from.origin.ManifestFetches()).To(Equal(1))
	})

	// The origin aborts every transfer halfway. Each transfer has used the
	// origin's link, so each counts against the agent's share of the copies that
	// the fleet may fetch, and the agent uses the store.
	//
	// Guards against aborted transfers that are not counted: the origin receives
	// 13 fetches where 4 are allowed.
	It("is not used beyond the limit when it aborts transfers", func() {
		m := newModel("r1", 4)
		from := sources{origin: daemontest.NewSource(m), store: daemontest.NewSource(m)}
		from.origin.TruncateTransfers()
		from.store.SetFault(failFirst(1000, func(context.Context) error { return failure.NotFound.New("not stored") }))
		a := start("agent-1", daemontest.NewStage(), from)
		settings := fastSettings
		settings.OriginCopies = 1
		a.OnLoop(func(now time.Time) {
			a.swarm.SetMembers(now, []spread.Member{a.member()})
			a.swarm.Fetch(now, m.Version, settings, nil)
		})
		Eventually(func() int { return len(from.store.Fetches()) }).Should(BeNumerically(">=", 6))
		Expect(len(from.origin.Fetches())).To(BeNumerically("<=", 4))
	})
})

// corruptFirst changes a byte of the first chunk that is fetched.
func corruptFirst(o *daemontest.Source) {
	var done atomic.Bool
	o.CorruptWith(func(_ daemontest.Fetch, data []byte) []byte {
		if !done.Swap(true) {
			data[7]++
		}
		return data
	})
}
