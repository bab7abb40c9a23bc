package slopes

import (
	"context"
	"time"

	"chivespindle.example/core/admission"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/once"
)

// background is for calls that need no deadline of their own here.
var background = context.Background()

// Records measures the memory of the record by which a request runs at most
// once, by keys, and the work of sharing a workspace's limit out over the
// entries.
func Records() ([]Slope, error) {
	const maxKeys = 16384
	memory := measured(Slope{Name: "once_memory", Of: "keys", Unit: "B", Target: maxKeys, Budget: MemoryBudget},
		[]int{1024, 4096, maxKeys}, func(n int) float64 { return heapOf(func() *once.Register { return registerOf(n) }) })
	share := measured(Slope{Name: "limit_share", Of: "entries", Unit: "ms", Target: Entries}, []int{46, 137, Entries},
		func(n int) float64 {
			demands := make([]float64, n)
			for i := range demands {
				demands[i] = float64(i % 7)
			}
			return perCall(func() { admission.FairShare(float64(n), demands) })
		})
	return []Slope{memory, share}, nil
}

// registerOf is the record of n keys whose short answers are kept.
func registerOf(n int) *once.Register {
	const self, life = "agent-1", 1
	now := time.Now()
	r := once.New(once.Options{Self: self, Incarnation: life})
	answer := make([]byte, 200)
	for i := range n {
		key := once.Issue("workshop-apapa", self, life, now, uint64(i))
		r.Begin(now, key, fleet.DigestOf([]byte(key.Text)), once.RequestInfo{ReceivedAt: now})
		r.MarkForwarded(key)
		r.Finish(now, key, once.Result{Outcome: failure.Ran, Status: 200, Body: answer, HasBody: true})
	}
	return r
}
