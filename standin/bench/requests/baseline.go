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

// Baselines are policies to compare with: the same callers straight to the
// same engines, the server picked without looking at it.
func Baselines() map[string]func(n int) func() int {
	return map[string]func(n int) func() int{
		"round_robin": func(n int) func() int {
			var turn atomic.Int64
			return func() int { return int(turn.Add(1)) % n }
		},
		"random": func(n int) func() int {
			return func() int { return rand.IntN(n) }
		},
	}
}

// RunBaseline lets the same number of callers ask the engines by a baseline.
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
	repair, err := f.inject(fault)
	if err != nil {
		return r, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), flow)
	defer cancel()
	var mu sync.Mutex
	var callersDone sync.WaitGroup
	for range callers {
		callersDone.Go(func() {
			for ctx.Err() == nil {
				took, whole := ask(clients[pick()])
				mu.Lock()
				if whole {
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
	return r, repair()
}

// engineClient speaks to an engine without the system between.
func (f *Fleet) engineClient(i int) (*adapter.Client, error) {
	addr, err := netip.ParseAddrPort(strings.TrimPrefix(f.Engines[engineID(i)].URL(), "http://"))
	if err != nil {
		return nil, failure.Internal.Wrap(err, "address of an engine")
	}
	return adapter.New(adapter.Options{Addr: addr}), nil
}

// ask asks again while an engine declines, as a caller of the system does.
func ask(client *adapter.Client) (time.Duration, bool) {
	prompt := harness.Prompt{Prompt: "fault log " + uuid.NewString(), MaxTokens: tokens}
	body, err := json.Marshal(prompt)
	if err != nil {
		return 0, false
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	for range 5 {
		var answer []byte
		_, err = client.Do(ctx, serving.Call{ID: uuid.NewString(), Body: body}, func(p serving.Piece) error {
			answer = append(answer, p.Data...)
			return nil
		})
		if err == nil {
			_, whole := harness.CheckResponse(answer, prompt)
			return time.Since(started), whole
		}
	}
	return time.Since(started), false
}
