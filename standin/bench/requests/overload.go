package requests

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/core/failure"
	"chivespindle.example/standin/harness"
)

const (
	// overloadFactor is the offered load as a multiple of the capacity.
	overloadFactor = 2
	// highPriorityStride gives one in five requests high priority.
	highPriorityStride = 5
	highPriority       = "u=0"
	lowPriority        = "u=6"
	overloadTime       = 6 * time.Second
	overloadWarmUp     = 2 * time.Second
	overloadDeadline   = 2 * time.Second
	capacityTime       = 2 * time.Second
)

// OverloadResult holds the measurements of a run at twice the capacity.
type OverloadResult struct {
	High, Low priorityStats
	// Capacity is the maximum rate of the engines in requests per second.
	Capacity float64
	// Seconds is the time over which responses were counted.
	Seconds float64
	Wrong   int
	// SlowestRefusal is the longest time until a request was refused.
	SlowestRefusal time.Duration
}

// priorityStats counts the requests of one priority.
type priorityStats struct {
	Offered, Served, Refused, Unknown int
	Latencies                         []time.Duration
}

// String returns the line that bench prints.
func (r OverloadResult) String() string {
	served := r.High.Served + r.Low.Served
	offered := r.High.Offered + r.Low.Offered
	return fmt.Sprintf("bench=requests fault=overload policy=chivespindle requests=%d answered=%d lost=0 unknown=%d duplicates=0 wrong=%d p50_ms=%.0f p99_ms=%.0f not_run_but_ran=0 high_served=%.3f low_served=%.3f goodput=%.3f capacity_per_s=%.0f refusal_ms=%d",
		offered, served, r.High.Unknown+r.Low.Unknown, r.Wrong,
		harness.PercentileMS(r.High.Latencies, 50), harness.PercentileMS(r.High.Latencies, 99),
		share(r.High.Served, r.High.Offered), share(r.Low.Served, r.Low.Offered),
		float64(served)/r.Seconds/r.Capacity, r.Capacity, r.SlowestRefusal.Milliseconds())
}

func share(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// MeasureCapacity returns the requests per second that the engines answer when
// dedicated callers saturate each of them directly, without entries and agents.
func (f *Fleet) MeasureCapacity() (float64, error) {
	var answered atomic.Int64
	var callersDone sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), capacityTime)
	defer cancel()
	for i := range engines {
		client, err := f.engineClient(i)
		if err != nil {
			return 0, err
		}
		for range slots {
			callersDone.Go(func() {
				for ctx.Err() == nil {
					if _, complete := sendWithRetries(client); complete {
						answered.Add(1)
					}
				}
			})
		}
	}
	started := time.Now()
	callersDone.Wait()
	return float64(answered.Load()) / time.Since(started).Seconds(), nil
}

// RunOverload offers twice the capacity, without retries by the load
// generator, and counts the requests that start after a warm-up.
func (f *Fleet) RunOverload(capacity float64) OverloadResult {
	client := f.client()
	rate := overloadFactor * capacity
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	r := OverloadResult{Capacity: capacity, Seconds: (overloadTime - overloadWarmUp).Seconds()}
	var mu sync.Mutex
	var requests sync.WaitGroup
	started := time.Now()
	for n := 0; time.Since(started) < overloadTime; n++ {
		<-ticker.C
		counted := time.Since(started) >= overloadWarmUp
		requests.Go(func() {
			o := f.sendOnce(client, n%highPriorityStride == 0)
			if !counted {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			r.add(n%highPriorityStride == 0, o)
		})
	}
	requests.Wait()
	return r
}

// outcome is the result of one request.
type outcome struct {
	served, wrong bool
	failure       failure.Outcome
	took          time.Duration
}

func (r *OverloadResult) add(high bool, o outcome) {
	c := &r.Low
	if high {
		c = &r.High
	}
	c.Offered++
	switch {
	case o.wrong:
		r.Wrong++
	case o.served:
		c.Served++
		c.Latencies = append(c.Latencies, o.took)
	case o.failure == failure.NotRun:
		c.Refused++
		r.SlowestRefusal = max(r.SlowestRefusal, o.took)
	default:
		c.Unknown++
	}
}

func (f *Fleet) sendOnce(client *callerclient.Client, high bool) outcome {
	prompt := harness.Prompt{Prompt: "fault log " + uuid.NewString(), MaxTokens: tokens}
	body, err := json.Marshal(prompt)
	if err != nil {
		return outcome{wrong: true}
	}
	priority := lowPriority
	if high {
		priority = highPriority
	}
	started := time.Now()
	response, err := client.Do(context.Background(), callerclient.Request{
		Service: model, Priority: priority, Deadline: overloadDeadline, Body: body})
	o := outcome{took: time.Since(started)}
	if err != nil {
		o.failure = failure.OutcomeOf(err)
		return o
	}
	version, complete := harness.CheckResponse(response.Body, prompt)
	o.served = complete && version == f.publishedVersion
	o.wrong = !o.served
	return o
}
