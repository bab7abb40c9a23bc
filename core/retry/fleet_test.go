package retry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/retry"
)

var _ = Describe("The retry budget of a fleet", func() {
	// Guards against an entry that spends the fixed allowance again after each of its starts.
	It("is kept by entries that are killed, start again, freeze and join", func() {
		const seeds = 300
		for seed := range uint64(seeds) {
			Expect(newFleet(seed).exceeded()).To(BeEmpty(), "seed %d", seed)
		}
	})
})

const (
	fleetTick = 50 * time.Millisecond
	// fleetTicks is the length of a run.
	fleetTicks = 30 * int(time.Second/fleetTick)
)

var fleetBudget = retry.FleetBudget{Ratio: 0.2, Slack: 102, Window: 10 * time.Second}

// fleet is a model of entries that start, stop and freeze at random while servers fail.
type fleet struct {
	rnd     *rand.Rand
	entries []*fleetEntry
	// requests and retries are the numbers of each tick, over all entries.
	requests, retries [fleetTicks]int
	failingFrom       int
	failingUntil      int
	requestsPerTick   float64
}

// fleetEntry is an entry and its window, nil while it is stopped.
type fleetEntry struct {
	window *retry.Window
	// knowsFrom is the tick from which the entry knows the others.
	knowsFrom int
	// idleUntil is the tick until which it is stopped or frozen.
	idleUntil int
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 1))}
	for range 2 + f.rnd.IntN(12) {
		f.entries = append(f.entries, &fleetEntry{})
	}
	f.requestsPerTick = f.rnd.Float64() * 10
	f.failingFrom = f.rnd.IntN(fleetTicks / 2)
	f.failingUntil = f.failingFrom + f.rnd.IntN(fleetTicks)
	return f
}

// exceeded runs the model and describes the first span in which the retries exceed the
// budget, empty if none does.
func (f *fleet) exceeded() string {
	killsPerTick := f.rnd.Float64() * 0.02
	for tick := range fleetTicks {
		if f.rnd.Float64() < killsPerTick {
			f.disrupt(tick)
		}
		for _, e := range f.entries {
			f.serve(tick, e)
		}
	}
	return f.firstExcess()
}

// disrupt kills or freezes a share of the entries, all of them at times.
func (f *fleet) disrupt(tick int) {
	const longestPause = 3 * int(time.Second/fleetTick)
	share := f.rnd.Float64() * 1.5
	kills := f.rnd.Float64() < 0.7
	pause := f.rnd.IntN(longestPause)
	for _, e := range f.entries {
		if f.rnd.Float64() >= share {
			continue
		}
		e.idleUntil = tick + pause
		if kills {
			e.window = nil
		}
	}
	if f.rnd.Float64() < 0.1 {
		f.entries = append(f.entries, &fleetEntry{})
	}
}

// serve lets an entry handle the requests of a tick, of which each needs a retry while the
// servers fail.
func (f *fleet) serve(tick int, e *fleetEntry) {
	now := start.Add(time.Duration(tick) * fleetTick)
	if tick < e.idleUntil {
		return
	}
	if e.window == nil {
		const longestDiscovery = int(time.Second / fleetTick)
		e.window = retry.NewWindow(now, fleetBudget, 1)
		e.knowsFrom = tick + f.rnd.IntN(longestDiscovery)
	}
	if tick >= e.knowsFrom {
		e.window.SetEntries(len(f.entries))
	}
	expected := f.requestsPerTick / float64(len(f.entries))
	for expected > f.rnd.Float64() {
		expected--
		f.requests[tick]++
		e.window.RecordRequest(now)
		if tick >= f.failingFrom && tick < f.failingUntil && e.window.TryRetry(now) {
			f.retries[tick]++
		}
	}
}

// firstExcess compares the retries of each span with the requests of the same span, the
// one before it or the one half a span before it, whichever has most.
func (f *fleet) firstExcess() string {
	span := int(fleetBudget.Window / fleetTick)
	for from := range fleetTicks - span {
		retries := total(f.retries[:], from, span)
		requests := max(total(f.requests[:], from, span), total(f.requests[:], from-span/2, span), total(f.requests[:], from-span, span))
		allowed := fleetBudget.Ratio*float64(requests) + fleetBudget.Slack
		if float64(retries) > allowed {
			return fmt.Sprintf("%d retries in the span from %v for %d requests, %.0f allowed",
				retries, time.Duration(from)*fleetTick, requests, allowed)
		}
	}
	return ""
}

func total(counts []int, from, length int) int {
	sum := 0
	for _, n := range counts[max(0, from):max(0, from+length)] {
		sum += n
	}
	return sum
}
