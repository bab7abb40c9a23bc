package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/plainservice"
)

// Tally counts the results that callers received. A response is checked against
// what the stand-in must have sent, not against what the system reports.
type Tally struct {
	Correct         int // complete and correct responses
	Lost            int // requests without a response after all retries that docs/CALLERS.md allows
	WrongVersion    int // responses from another version than the header names, or from an unpublished one
	Incorrect       int // responses that are incomplete or belong to another request
	NotRunAttempts  int // failed attempts with the outcome "not run"
	UnknownAttempts int // failed attempts with another outcome
	Latencies       []time.Duration
	NotRunKeys      []string // keys of lost non-idempotent requests with the outcome "not run"
	RespondedKeys   []string // keys of non-idempotent requests with a response
	UnknownKeys     []string // keys of lost non-idempotent requests with another outcome
}

// LoadGenerator sends requests until it is stopped.
type LoadGenerator struct {
	client      *callerclient.Client
	isPublished func(version string) bool

	mu    sync.Mutex
	tally Tally
	stop  context.CancelFunc
	wait  sync.WaitGroup
}

// LoadSpec specifies the requests of a LoadGenerator.
type LoadSpec struct {
	// ModelServices are sent generation requests, PlainServices are sent
	// non-idempotent calls.
	ModelServices, PlainServices []fleet.ServiceName
	// Callers is the number of concurrent callers.
	Callers   int
	MaxTokens int
	Deadline  time.Duration
	// IsPublished reports whether "name@digest" is a version that the operator's
	// configuration has published so far.
	IsPublished func(version string) bool
}

// StartLoad starts the callers, which send requests until Stop.
func StartLoad(client *callerclient.Client, spec LoadSpec) *LoadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &LoadGenerator{client: client, isPublished: spec.IsPublished, stop: cancel}
	for i := range spec.Callers {
		l.wait.Add(1)
		go l.runCaller(ctx, spec, i)
	}
	return l
}

// Stop waits until each caller has finished its request and returns the
// results.
func (l *LoadGenerator) Stop() Tally {
	l.stop()
	l.wait.Wait()
	return l.Tally()
}

// Tally returns the results so far.
func (l *LoadGenerator) Tally() Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally
}

func (l *LoadGenerator) update(f func(t *Tally)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.tally)
}

func (l *LoadGenerator) runCaller(ctx context.Context, spec LoadSpec, number int) {
	defer l.wait.Done()
	for sequence := number; ctx.Err() == nil; sequence++ {
		if n := len(spec.ModelServices); sequence%(n+len(spec.PlainServices)) < n {
			l.callModel(spec, spec.ModelServices[sequence%n])
		} else {
			l.callPlain(spec, spec.PlainServices[sequence%len(spec.PlainServices)])
		}
	}
}

// maxAttempts bounds the attempts of a caller before it counts a request as lost.
const maxAttempts = 20

// doWithRetries retries a request until there is a response or a retry is not
// allowed.
func (l *LoadGenerator) doWithRetries(r callerclient.Request) (callerclient.Response, error) {
	var lastErr error
	for range maxAttempts {
		response, err := l.client.Do(context.Background(), r)
		if err == nil {
			return response, nil
		}
		lastErr = err
		outcome := failure.OutcomeOf(err)
		l.update(func(t *Tally) {
			if outcome == failure.NotRun {
				t.NotRunAttempts++
			} else {
				t.UnknownAttempts++
			}
		})
		if outcome != failure.NotRun && r.NonIdempotent {
			return callerclient.Response{}, err
		}
		const minPause = 20 * time.Millisecond
		time.Sleep(max(minPause, failure.RetryAfter(err)))
	}
	return callerclient.Response{}, lastErr
}

// Prompt is the body of a request to a model engine.
type Prompt struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (l *LoadGenerator) callModel(spec LoadSpec, service fleet.ServiceName) {
	prompt := Prompt{Prompt: "fault log " + uuid.NewString(), MaxTokens: spec.MaxTokens}
	body, _ := json.Marshal(prompt)
	started := time.Now()
	response, err := l.doWithRetries(callerclient.Request{Service: service, Deadline: spec.Deadline, Body: body})
	latency := time.Since(started)
	if err != nil {
		l.update(func(t *Tally) { t.Lost++ })
		return
	}
	version, complete := CheckResponse(response.Body, prompt)
	l.update(func(t *Tally) {
		t.Latencies = append(t.Latencies, latency)
		switch {
		case !complete:
			t.Incorrect++
		case response.Version != version || !l.isPublished(version):
			t.WrongVersion++
		default:
			t.Correct++
		}
	})
}

// CheckResponse parses a model's response. It returns the version that the
// response names and whether the response is complete and has exactly the
// tokens that this version generates for the prompt.
func CheckResponse(body []byte, prompt Prompt) (version string, complete bool) {
	type line struct {
		Token   *string        `json:"token"`
		Done    bool           `json:"done"`
		Version *fleet.Version `json:"version"`
	}
	var tokens []string
	var responseVersion fleet.Version
	done := false
	for _, text := range strings.Split(strings.TrimSpace(string(body)), "\n") {
		var l line
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			return "", false
		}
		if l.Version != nil {
			responseVersion = *l.Version
		}
		if l.Token != nil {
			tokens = append(tokens, *l.Token)
		}
		done = l.Done
	}
	want := engine.ExpectedTokens(prompt.Prompt, prompt.MaxTokens, responseVersion)
	tokensMatch := strings.Join(tokens, " ") == strings.Join(want, " ") && len(tokens) == len(want)
	return FormatVersion(responseVersion), done && tokensMatch
}

// FormatVersion formats a version as in the header Model-Version.
func FormatVersion(v fleet.Version) string {
	return fmt.Sprintf("%s@%s", v.Name, v.Manifest)
}

// issueKey requests an idempotency key, with retries.
func (l *LoadGenerator) issueKey(service fleet.ServiceName) (string, error) {
	var key string
	var err error
	for range maxAttempts {
		key, err = l.client.IssueKey(context.Background(), service)
		if err == nil {
			return key, nil
		}
		const pause = 50 * time.Millisecond
		time.Sleep(max(pause, failure.RetryAfter(err)))
	}
	return "", err
}

// callPlain sends a non-idempotent call, which must run at most once.
func (l *LoadGenerator) callPlain(spec LoadSpec, service fleet.ServiceName) {
	key, err := l.issueKey(service)
	if err != nil {
		l.update(func(t *Tally) { t.Lost++ })
		return
	}
	body := []byte("parts order " + key)
	started := time.Now()
	response, err := l.doWithRetries(callerclient.Request{Service: service, Path: "orders", FirstAttempt: true, IdempotencyKey: key,
		NonIdempotent: true, Deadline: spec.Deadline, Body: body})
	latency := time.Since(started)
	if err != nil {
		l.update(func(t *Tally) {
			t.Lost++
			if failure.OutcomeOf(err) == failure.NotRun {
				t.NotRunKeys = append(t.NotRunKeys, key)
			} else {
				t.UnknownKeys = append(t.UnknownKeys, key)
			}
		})
		return
	}
	var receipt plainservice.Receipt
	incorrect := json.Unmarshal(response.Body, &receipt) != nil || receipt.Key != key || string(receipt.Body) != string(body)
	l.update(func(t *Tally) {
		t.Latencies = append(t.Latencies, latency)
		t.RespondedKeys = append(t.RespondedKeys, key)
		if incorrect {
			t.Incorrect++
			return
		}
		t.Correct++
	})
}

// Executions returns the number of executions of each key, summed over all
// plain services.
func (f *Fleet) Executions() map[string]int {
	sum := make(map[string]int)
	for _, p := range f.PlainServices {
		for key, n := range p.Counters().ExecutionsByKey {
			sum[key] += n
		}
	}
	return sum
}

// Duplicates counts executions beyond the first of each key.
func (f *Fleet) Duplicates() int {
	duplicates := 0
	for _, n := range f.Executions() {
		duplicates += max(0, n-1)
	}
	return duplicates
}

// WeightMismatches counts requests that engines ran on weights that do not match the
// version named in the response.
func (f *Fleet) WeightMismatches() int {
	mismatches := 0
	for _, e := range f.Engines {
		mismatches += e.Counters().WeightMismatches
	}
	return mismatches
}

// PercentileMS returns a percentile of durations in milliseconds, 0 if there
// are none.
func PercentileMS(all []time.Duration, percent int) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return float64(sorted[(len(sorted)-1)*percent/100].Microseconds()) / 1000
}
