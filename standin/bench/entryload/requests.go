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
	// tokens is the length of an answer in the measurement of the overhead.
	tokens = 16
	// oneByOne is how many requests are sent one after another for the latency.
	oneByOne = 300
	callers  = 16
	flow     = 3 * time.Second
	deadline = 10 * time.Second
)

// Result is what the path adds to a request.
type Result struct {
	// Through and Direct are the medians of the time to a whole answer through
	// entry and agent, and of an agent's client straight to the engine.
	Through, Direct time.Duration
	Requests        int
	Failed          int
	Entry, Agent    Cost
}

// Cost is what one process spent on the requests.
type Cost struct {
	PerCore float64 // requests for each second of a core
	Allocs  float64 // for each request
}

// String returns the line that bench prints.
func (r Result) String() string {
	return fmt.Sprintf("bench=entry overhead_us=%d requests_per_core_s=%.0f allocs=%.0f through_us=%d direct_us=%d agent_requests_per_core_s=%.0f agent_allocs=%.0f tokens=%d requests=%d failed=%d load=%.1f",
		(r.Through - r.Direct).Microseconds(), r.Entry.PerCore, r.Entry.Allocs, r.Through.Microseconds(), r.Direct.Microseconds(),
		r.Agent.PerCore, r.Agent.Allocs, tokens, r.Requests, r.Failed, usage.Load())
}

// Run measures short answers of the quick engine.
func (f *Fleet) Run() (Result, error) {
	var r Result
	var err error
	if r.Through, err = median(func() error { _, err := f.ask(quick, tokens); return err }); err != nil {
		return r, err
	}
	direct, err := f.direct()
	if err != nil {
		return r, err
	}
	if r.Direct, err = median(direct); err != nil {
		return r, err
	}
	return r, f.flow(&r)
}

// median returns the median time of oneByOne calls.
func median(ask func() error) (time.Duration, error) {
	var took []time.Duration
	for range oneByOne {
		started := time.Now()
		if err := ask(); err != nil {
			return 0, err
		}
		took = append(took, time.Since(started))
	}
	slices.Sort(took)
	return took[len(took)/2], nil
}

// ask sends one request through the entry and checks its answer.
func (f *Fleet) ask(service fleet.ServiceName, n int) (harness.Prompt, error) {
	prompt := harness.Prompt{Prompt: "fault log " + uuid.NewString(), MaxTokens: n}
	body, err := json.Marshal(prompt)
	if err != nil {
		return prompt, failure.Internal.Wrap(err, "encode a prompt")
	}
	answer, err := client.DoAt(context.Background(), f.entryAddr(),
		callerclient.Request{Service: service, Deadline: deadline, Body: body})
	if err != nil {
		return prompt, err
	}
	return prompt, checked(answer.Body, prompt)
}

// client keeps its connections to the entry.
var client = callerclient.New(callerclient.Options{})

func checked(body []byte, prompt harness.Prompt) error {
	if _, whole := harness.CheckResponse(body, prompt); !whole {
		return failure.Corrupt.New("an answer of %d bytes is not whole", len(body))
	}
	return nil
}

// direct returns a call straight to the quick engine.
func (f *Fleet) direct() (func() error, error) {
	addr, err := netip.ParseAddrPort(strings.TrimPrefix(f.Engines[f.quick.Instance.ID].URL(), "http://"))
	if err != nil {
		return nil, failure.Internal.Wrap(err, "address of the engine")
	}
	straight := adapter.New(adapter.Options{Addr: addr})
	return func() error {
		prompt := harness.Prompt{Prompt: "fault log " + uuid.NewString(), MaxTokens: tokens}
		body, err := json.Marshal(prompt)
		if err != nil {
			return failure.Internal.Wrap(err, "encode a prompt")
		}
		var answer []byte
		_, err = straight.Do(context.Background(), serving.Call{ID: uuid.NewString(), Body: body}, func(p serving.Piece) error {
			answer = append(answer, p.Data...)
			return nil
		})
		if err != nil {
			return err
		}
		return checked(answer, prompt)
	}, nil
}

// flow lets callers ask for a while and counts what the processes spent.
func (f *Fleet) flow(r *Result) error {
	before, err := f.spent()
	if err != nil {
		return err
	}
	var answered, failed atomic.Int64
	var asking sync.WaitGroup
	end := time.Now().Add(flow)
	for range callers {
		asking.Go(func() {
			for time.Now().Before(end) {
				if _, err := f.ask(quick, tokens); err != nil {
					failed.Add(1)
					continue
				}
				answered.Add(1)
			}
		})
	}
	asking.Wait()
	after, err := f.spent()
	if err != nil {
		return err
	}
	r.Requests, r.Failed = int(answered.Load()), int(failed.Load())
	r.Entry = after.entry.costSince(before.entry, r.Requests)
	r.Agent = after.agent.costSince(before.agent, r.Requests)
	return nil
}

// spent is what the processes have used so far.
type spent struct{ entry, agent counters }

type counters struct {
	cpu     time.Duration
	mallocs float64
}

func (c counters) costSince(before counters, requests int) Cost {
	n := float64(requests)
	return Cost{PerCore: n / (c.cpu - before.cpu).Seconds(), Allocs: (c.mallocs - before.mallocs) / n}
}

func (f *Fleet) spent() (spent, error) {
	entry, err := countersOf(f.entry)
	if err != nil {
		return spent{}, err
	}
	agent, err := countersOf(f.quick)
	return spent{entry: entry, agent: agent}, err
}

func countersOf(p *harness.Process) (counters, error) {
	used, err := usage.Of(p.PID())
	if err != nil {
		return counters{}, err
	}
	metrics, err := usage.MetricsOf(p.OpsAddr)
	return counters{cpu: used.CPU, mallocs: metrics[usage.Mallocs]}, err
}
