package requests

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	adapter "chivespindle.example/adapters/engine"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/serving"
	"chivespindle.example/standin/harness"
)

// Baselines returns load balancing policies for comparison. The same callers
// send directly to the same engines, chosen without regard to their state.
func Baselines() map[string]func(n int) func() int {
	return map[string]func(n int) func() int{
		"round_robin": func(n int) func() int {
			var next atomic.Int64
			return func() int { return int(next.Add(1)) % n }
		},
		"random": func(n int) func() int {
			return func() int { return rand.IntN(n) }
		},
	}
}

// RunBaseline runs the same number of callers with a baseline policy.
func (f *Fleet) RunBaseline(name string, fault Fault) (Result, error) {
	r := Result{Fault: fault, Policy: name}
	pick := Baselines()[name](engines)
	var clients []*adapter.Client
	for i := range engines {
		client, err := f.engineClient(i)
		if err != nil {
			return r, err
		}
		clients = append(clients, client)
	}
	undo, err := f.inject(fault)
	if err != nil {
		return r, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), flowTime)
	defer cancel()
	var mu sync.Mutex
	var callersDone sync.WaitGroup
	for range callers {
		callersDone.Go(func() {
			for ctx.Err() == nil {
				took, complete := sendWithRetries(clients[pick()])
				mu.Lock()
				if complete {
					r.Tally.Correct++
					r.Tally.Latencies = append(r.Tally.Latencies, took)
				} else {
					r.Tally.Lost++
				}
				mu.Unlock()
			}
		})
	}
	callersDone.Wait()
	return r, undo()
}

// engineClient returns a client that calls an engine directly, without entry
// and agent.
func (f *Fleet) engineClient(i int) (*adapter.Client, error) {
	addr, err := netip.ParseAddrPort(strings.TrimPrefix(f.Engines[engineID(i)].URL(), "http://"))
	if err != nil {
		return nil, failure.Internal.Wrap(err, "parse the address of an engine")
	}
	return adapter.New(adapter.Options{Addr: addr}), nil
}

// sendWithRetries sends a request and retries it after a failure, as a caller
// of the system does. It reports whether the response was complete.
func sendWithRetries(client *adapter.Client) (time.Duration, bool) {
	prompt := harness.Prompt{Prompt: "fault log " + uuid.NewString(), MaxTokens: tokens}
	body, err := json.Marshal(prompt)
	if err != nil {
		return 0, false
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for range 5 {
		var response []byte
		_, err = client.Do(ctx, serving.Call{ID: uuid.NewString(), Body: body}, func(p serving.Piece) error {
			response = append(response, p.Data...)
			return nil
		})
		if err == nil {
			_, complete := harness.CheckResponse(response, prompt)
			return time.Since(started), complete
		}
	}
	return time.Since(started), false
}
