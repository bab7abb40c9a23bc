package slopes

import (
	"context"
	"time"

	"chivespindle.example/core/admission"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/once"
)

// background is the context of calls without a deadline.
var background = context.Background()

// Records measures the memory of the register that lets a request run at most
// once, by the number of keys, and the processor time of dividing a
// workspace's limit among the entries.
func Records() ([]Slope, error) {
	const maxKeys = 16384
	memory := measurePoints(Slope{Name: "once_memory", Of: "keys", Unit: "B", Target: maxKeys, Budget: MemoryBudget},
		[]int{1024, 4096, maxKeys}, func(n int) float64 { return retainedHeap(func() *once.Register { return registerOf(n) }) })
	share := measurePoints(Slope{Name: "limit_share", Of: "entries", Unit: "ms", Target: Entries}, []int{46, 137, Entries},
		func(n int) float64 {
			demands := make([]float64, n)
			for i := range demands {
				demands[i] = float64(i % 7)
			}
			return cpuPerCall(func() { admission.FairShare(float64(n), demands) })
		})
	return []Slope{memory, share}, nil
}

// registerOf returns a register of n keys with short retained responses.
func registerOf(n int) *once.Register {
	const self, incarnation = "agent-1", 1
	now := time.Now()
	r := once.New(once.Options{Self: self, Incarnation: incarnation})
	response := make([]byte, 200)
	for i := range n {
		key := once.Issue("workshop-apapa", self, incarnation, now, uint64(i))
		r.Begin(now, key, fleet.DigestOf([]byte(key.Text)), once.RequestInfo{ReceivedAt: now})
		r.MarkForwarded(key)
		r.Finish(now, key, once.Result{Outcome: failure.Ran, Status: 200, Body: response, HasBody: true})
	}
	return r
}
