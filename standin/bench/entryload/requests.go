package entryload

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"chivespindle.example/adapters/callerclient"
	adapter "chivespindle.example/adapters/engine"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
	"chivespindle.example/standin/bench/slopes/usage"
	"chivespindle.example/standin/harness"
)

const (
	// tokens is the output length in the measurement of the overhead.
	tokens = 16
	// sequentialRequests is how many requests are sent one after another to
	// measure the latency.
	sequentialRequests = 300
	callers            = 16
	flowTime           = 3 * time.Second
	deadline           = 10 * time.Second
)

// Result holds the overhead that the path adds to a request.
type Result struct {
	// Through and Direct are the median times to a complete response through
	// entry and agent, and from an agent's client directly to the engine.
	Through, Direct time.Duration
	Requests        int
	Failed          int
	Entry, Agent    Cost
}

// Cost is the cost of the requests in one process.
type Cost struct {
	PerCore float64 // requests per second of CPU time
	Allocs  float64 // per request
}

// String returns the line that bench prints.
func (r Result) String() string {
	return fmt.Sprintf("bench=entry overhead_us=%d requests_per_core_s=%.0f allocs=%.0f through_us=%d direct_us=%d agent_requests_per_core_s=%.0f agent_allocs=%.0f tokens=%d requests=%d failed=%d load=%.1f",
		(r.Through - r.Direct).Microseconds(), r.Entry.PerCore, r.Entry.Allocs, r.Through.Microseconds(), r.Direct.Microseconds(),
		r.Agent.PerCore, r.Agent.Allocs, tokens, r.Requests, r.Failed, usage.Load())
}

// Run measures short responses of the quick engine.
func (f *Fleet) Run() (Result, error) {
	var r Result
	var err error
	if r.Through, err = median(func() error { _, err := f.send(quick, tokens); return err }); err != nil {
		return r, err
	}
	direct, err := f.directCall()
	if err != nil {
		return r, err
	}
	if r.Direct, err = median(direct); err != nil {
		return r, err
	}
	return r, f.measureLoad(&r)
}

// median returns the median time of sequentialRequests calls.
func median(call func() error) (time.Duration, error) {
	var took []time.Duration
	for range sequentialRequests {
		started := time.Now()
		if err := call(); err != nil {
			return 0, err
		}
		took = append(took, time.Since(started))
	}
	slices.Sort(took)
	return took[len(took)/2], nil
}

// send sends one request through the entry and checks its response.
func (f *Fleet) send(service fleet.ServiceName, n int) (harness.Prompt, error) {
	prompt := harness.Prompt{Prompt: "fault log " + uuid.NewString(), MaxTokens: n}
	body, err := json.Marshal(prompt)
	if err != nil {
		return prompt, failure.Internal.Wrap(err, "encode a prompt")
	}
	response, err := client.DoAt(context.Background(), f.entryAddr(),
		callerclient.Request{Service: service, Deadline: deadline, Body: body})
	if err != nil {
		return prompt, err
	}
	return prompt, checkResponse(response.Body, prompt)
}

// client reuses its connections to the entry.
var client = callerclient.New(callerclient.Options{})

func checkResponse(body []byte, prompt harness.Prompt) error {
	if _, complete := harness.CheckResponse(body, prompt); !complete {
		return failure.Corrupt.New("response of %d bytes is incorrect or incomplete", len(body))
	}
	return nil
}

// directCall returns a function that calls the quick engine directly.
func (f *Fleet) directCall() (func() error, error) {
	addr, err := netip.ParseAddrPort(strings.TrimPrefix(f.Engines[f.quick.Instance.ID].URL(), "http://"))
	if err != nil {
		return nil, failure.Internal.Wrap(err, "parse the address of the engine")
	}
	engineClient := adapter.New(adapter.Options{Addr: addr})
	return func() error {
		prompt := harness.Prompt{Prompt: "fault log " + uuid.NewString(), MaxTokens: tokens}
		body, err := json.Marshal(prompt)
		if err != nil {
			return failure.Internal.Wrap(err, "encode a prompt")
		}
		var response []byte
		_, err = engineClient.Do(context.Background(), serving.Call{ID: uuid.NewString(), Body: body}, func(p serving.Piece) error {
			response = append(response, p.Data...)
			return nil
		})
		if err != nil {
			return err
		}
		return checkResponse(response, prompt)
	}, nil
}

// measureLoad sends requests from concurrent callers for flowTime and measures
// the CPU time and allocations of the processes.
func (f *Fleet) measureLoad(r *Result) error {
	before, err := f.readCounters()
	if err != nil {
		return err
	}
	var answered, failed atomic.Int64
	var senders sync.WaitGroup
	end := time.Now().Add(flowTime)
	for range callers {
		senders.Go(func() {
			for time.Now().Before(end) {
				if _, err := f.send(quick, tokens); err != nil {
					failed.Add(1)
					continue
				}
				answered.Add(1)
			}
		})
	}
	senders.Wait()
	after, err := f.readCounters()
	if err != nil {
		return err
	}
	r.Requests, r.Failed = int(answered.Load()), int(failed.Load())
	r.Entry = after.entry.costSince(before.entry, r.Requests)
	r.Agent = after.agent.costSince(before.agent, r.Requests)
	return nil
}

// processCounters holds the resources that the processes have used so far.
type processCounters struct{ entry, agent counters }

type counters struct {
	cpu     time.Duration
	mallocs float64
}

func (c counters) costSince(before counters, requests int) Cost {
	n := float64(requests)
	return Cost{PerCore: n / (c.cpu - before.cpu).Seconds(), Allocs: (c.mallocs - before.mallocs) / n}
}

func (f *Fleet) readCounters() (processCounters, error) {
	entry, err := countersOf(f.entry)
	if err != nil {
		return processCounters{}, err
	}
	agent, err := countersOf(f.quick)
	return processCounters{entry: entry, agent: agent}, err
}

func countersOf(p *harness.Process) (counters, error) {
	used, err := usage.Of(p.PID())
	if err != nil {
		return counters{}, err
	}
	metrics, err := usage.MetricsOf(p.OpsAddr)
	return counters{cpu: used.CPU, mallocs: metrics[usage.Mallocs]}, err
}
