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

// Tally counts what callers saw. Callers check each answer against what the
// stand-in must have answered, not against what the system says.
type Tally struct {
	Answers      int // whole and right
	Lost         int // asked for and never answered, though asked again as docs/CALLERS.md allows
	WrongVersion int // from a version that the caller's header does not name, or from none that was intended
	Wrong        int // not the answer to the caller's own request
	Refusals     int // responses "not run" before the last
	Unknown      int // outcomes unknown before the last
	Latencies    []time.Duration
	NotRunKeys   []string // keys of non-idempotent requests whose last response was "not run"
	RanKeys      []string // keys of non-idempotent requests that were answered
	UnknownKeys  []string // keys of non-idempotent requests that ended otherwise
}

// Load sends requests until it is stopped.
type Load struct {
	client   *callerclient.Client
	intended func(version string) bool

	mu    sync.Mutex
	tally Tally
	stop  context.CancelFunc
	wait  sync.WaitGroup
}

// LoadSpec says what callers ask for.
type LoadSpec struct {
	// Models are asked for tokens, Plain for calls that must not be repeated.
	Models, Plain []fleet.ServiceName
	// Callers is how many ask at once.
	Callers   int
	MaxTokens int
	Deadline  time.Duration
	// Intended tells whether "name@digest" is a version that the operator's
	// text has published so far.
	Intended func(version string) bool
}

// StartLoad starts callers that go on until Stop.
func StartLoad(client *callerclient.Client, spec LoadSpec) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{client: client, intended: spec.Intended, stop: cancel}
	for i := range spec.Callers {
		l.wait.Add(1)
		go l.caller(ctx, spec, i)
	}
	return l
}

// Stop lets each caller finish its request and returns what they saw.
func (l *Load) Stop() Tally {
	l.stop()
	l.wait.Wait()
	return l.Tally()
}

// Tally returns what was seen so far.
func (l *Load) Tally() Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally
}

func (l *Load) count(f func(t *Tally)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.tally)
}

func (l *Load) caller(ctx context.Context, spec LoadSpec, number int) {
	defer l.wait.Done()
	for turn := number; ctx.Err() == nil; turn++ {
		if n := len(spec.Models); turn%(n+len(spec.Plain)) < n {
			l.askModel(spec, spec.Models[turn%n])
		} else {
			l.callPlain(spec, spec.Plain[turn%len(spec.Plain)])
		}
	}
}

// askTimes bounds how often a caller asks again before it counts the request
// as lost.
const askTimes = 20

// persist asks until there is an answer, or asking again is not allowed.
func (l *Load) persist(r callerclient.Request) (callerclient.Answer, error) {
	var last error
	for range askTimes {
		answer, err := l.client.Do(context.Background(), r)
		if err == nil {
			return answer, nil
		}
		last = err
		outcome := failure.OutcomeOf(err)
		l.count(func(t *Tally) {
			if outcome == failure.NotRun {
				t.Refusals++
			} else {
				t.Unknown++
			}
		})
		if outcome != failure.NotRun && r.NonIdempotent {
			return callerclient.Answer{}, err
		}
		const shortest = 20 * time.Millisecond
		time.Sleep(max(shortest, failure.RetryAfter(err)))
	}
	return callerclient.Answer{}, last
}

// Prompt is the body of a request to a model engine.
type Prompt struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (l *Load) askModel(spec LoadSpec, service fleet.ServiceName) {
	prompt := Prompt{Prompt: "fault log " + uuid.NewString(), MaxTokens: spec.MaxTokens}
	body, _ := json.Marshal(prompt)
	started := time.Now()
	answer, err := l.persist(callerclient.Request{Service: service, Deadline: spec.Deadline, Body: body})
	took := time.Since(started)
	if err != nil {
		l.count(func(t *Tally) { t.Lost++ })
		return
	}
	version, whole := CheckAnswer(answer.Body, prompt)
	l.count(func(t *Tally) {
		t.Latencies = append(t.Latencies, took)
		switch {
		case !whole:
			t.Wrong++
		case answer.Version != version || !l.intended(version):
			t.WrongVersion++
		default:
			t.Answers++
		}
	})
}

// CheckAnswer reads a model's answer and reports the version that it names
// and whether its tokens are those of the prompt from that version, all of
// them.
func CheckAnswer(body []byte, prompt Prompt) (version string, whole bool) {
	type line struct {
		Token   *string        `json:"token"`
		Done    bool           `json:"done"`
		Version *fleet.Version `json:"version"`
	}
	var tokens []string
	var named fleet.Version
	done := false
	for _, text := range strings.Split(strings.TrimSpace(string(body)), "\n") {
		var l line
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			return "", false
		}
		if l.Version != nil {
			named = *l.Version
		}
		if l.Token != nil {
			tokens = append(tokens, *l.Token)
		}
		done = l.Done
	}
	want := engine.ExpectedTokens(prompt.Prompt, prompt.MaxTokens, named)
	same := strings.Join(tokens, " ") == strings.Join(want, " ") && len(tokens) == len(want)
	return VersionText(named), done && same
}

// VersionText is the form of the header Model-Version.
func VersionText(v fleet.Version) string {
	return fmt.Sprintf("%s@%s", v.Name, v.Manifest)
}

// issueKey asks for a key until there is one.
func (l *Load) issueKey(service fleet.ServiceName) (string, error) {
	var key string
	var err error
	for range askTimes {
		key, err = l.client.IssueKey(context.Background(), service)
		if err == nil {
			return key, nil
		}
		const pause = 50 * time.Millisecond
		time.Sleep(max(pause, failure.RetryAfter(err)))
	}
	return "", err
}

// callPlain sends work that must run at most once.
func (l *Load) callPlain(spec LoadSpec, service fleet.ServiceName) {
	key, err := l.issueKey(service)
	if err != nil {
		l.count(func(t *Tally) { t.Lost++ })
		return
	}
	body := []byte("parts order " + key)
	started := time.Now()
	answer, err := l.persist(callerclient.Request{Service: service, Path: "orders", FirstAsk: true, IdempotencyKey: key,
		NonIdempotent: true, Deadline: spec.Deadline, Body: body})
	took := time.Since(started)
	if err != nil {
		l.count(func(t *Tally) {
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
	wrong := json.Unmarshal(answer.Body, &receipt) != nil || receipt.Key != key || string(receipt.Body) != string(body)
	l.count(func(t *Tally) {
		t.Latencies = append(t.Latencies, took)
		t.RanKeys = append(t.RanKeys, key)
		if wrong {
			t.Wrong++
			return
		}
		t.Answers++
	})
}

// Executions sums how often each key ran over all plain services.
func (f *Fleet) Executions() map[string]int {
	sum := make(map[string]int)
	for _, p := range f.Plain {
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

// Mixed counts requests that engines ran on bytes which do not match the
// version that the answer names.
func (f *Fleet) Mixed() int {
	mixed := 0
	for _, e := range f.Engines {
		mixed += e.Counters().WeightMismatches
	}
	return mixed
}

// PercentileMS returns a percentile of durations in milliseconds; 0 of none.
func PercentileMS(all []time.Duration, percent int) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return float64(sorted[(len(sorted)-1)*percent/100].Microseconds()) / 1000
}
