package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/balance"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/once"
	"chivespindle.example/core/status"
	"chivespindle.example/daemon/entry"
	"chivespindle.example/daemon/internal/daemontest"
)

const workshopService fleet.ServiceName = "workshop-api"

// fleetConfig allows five attempts of an idempotent request, so that the retry budget
// and not the number of attempts bounds retries.
const fleetConfig = `[fleet]
name = ffsan
[service workshop-api]
kind = plain
max_attempts = 5
[service member-portal]
kind = plain
[workspace apapa]
requests_per_second = 1
burst = 1
`

// rig is an entry with fake agents.
type rig struct {
	*daemontest.Process
	role         *entry.Entry
	agents       []*daemontest.Agent
	requestCount atomic.Int64
}

// newRig starts an entry with agents agent-1, agent-2, ... of workshopService and
// waits until it routes to all of them.
func newRig(agents int) *rig {
	GinkgoHelper()
	r := newRigWithoutConfig(agents)
	r.ActivateConfig(1, fleetConfig)
	Eventually(r.eligible).Should(HaveLen(agents))
	return r
}

// newRigWithoutConfig starts an entry that has no active configuration.
func newRigWithoutConfig(agents int) *rig {
	GinkgoHelper()
	r := &rig{}
	self := fleet.Instance{ID: "entry-1", Role: fleet.RoleEntry, Place: daemontest.LocalPlace}
	r.Process = daemontest.NewProcess(daemontest.Options{Self: self, Config: daemontest.NewConfigService(1, fleetConfig)})
	r.role = entry.New(r.Context(), time.Now(), entry.Options{
		Self: r.Self, Loop: r.Loop, Endpoint: r.Endpoint, AddressTTL: time.Second, MaxInFlight: 128,
		Tracer: r.Tracer, Logger: r.Logger, Metrics: r.Metrics,
	})
	for n := range agents {
		r.agents = append(r.agents, daemontest.NewAgent(fleet.InstanceID("agent-"+strconv.Itoa(n+1)), workshopService))
		r.Instances.Add(r.agents[n].Instance)
	}
	r.AttachNode(r.role.HandleChange, nil)
	r.role.Attach(r.Node)
	r.Loop.AddTicker(r.role)
	r.Run(r.role)
	return r
}

// verdicts returns the entry's verdict on each agent that it routes to.
func (r *rig) verdicts() map[fleet.InstanceID]balance.Verdict {
	page := httptest.NewRecorder()
	r.role.ExplainHandler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/explain?service="+string(workshopService), nil))
	var explanation status.Explanation
	if page.Code != http.StatusOK || json.Unmarshal(page.Body.Bytes(), &explanation) != nil {
		return nil
	}
	found := make(map[fleet.InstanceID]balance.Verdict)
	for _, c := range explanation.Candidates {
		found[c.ID] = c.Verdict
	}
	return found
}

// eligible returns the agents that may be picked.
func (r *rig) eligible() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for id, verdict := range r.verdicts() {
		if verdict == balance.Eligible {
			ids = append(ids, id)
		}
	}
	return ids
}

// script applies first to the first request, whichever agent receives it, and later
// to all others.
func (r *rig) script(first, later func(*daemontest.Exchange)) {
	var begun atomic.Bool
	for _, a := range r.agents {
		a.SetScript(func(x *daemontest.Exchange) {
			if begun.Swap(true) {
				later(x)
				return
			}
			first(x)
		})
	}
}

// opened returns the number of requests that reached an agent, and passed the
// number of those that were read completely.
func (r *rig) opened() (sum int) {
	for _, a := range r.agents {
		sum += a.OpenedStreams()
	}
	return sum
}

func (r *rig) passed() (sum int) {
	for _, a := range r.agents {
		sum += len(a.ReceivedRequests())
	}
	return sum
}

// request returns an idempotent request with a deadline of daemontest.WaitTimeout.
func (r *rig) request(body string) calls.Request {
	return calls.Request{
		ID: "request-" + strconv.FormatInt(r.requestCount.Add(1), 10), Service: workshopService, Priority: -1,
		Deadline: time.Now().Add(daemontest.WaitTimeout), Body: []byte(body),
	}
}

// nonIdempotentRequest returns a non-idempotent request whose home is the given
// agent.
func (r *rig) nonIdempotentRequest(home *daemontest.Agent, body string) calls.Request {
	req := r.request(body)
	req.NonIdempotent = true
	req.IdempotencyKey = once.Issue("", home.Instance.ID, 1, time.Now(), uint64(r.requestCount.Add(1))).Text
	return req
}

// send dispatches a request and returns what the caller received.
func (r *rig) send(req calls.Request) callResult { return r.sendWithContext(context.Background(), req) }

func (r *rig) sendWithContext(ctx context.Context, req calls.Request) callResult {
	caller := &sink{}
	end, err := r.role.Dispatch(ctx, req, caller)
	return callResult{End: end, Err: err, Begins: caller.count(), Body: caller.body()}
}

// callResult is what a caller received.
type callResult struct {
	End    calls.Completion
	Err    error
	Begins int
	Body   string
}

// sink records a response as its caller receives it.
type sink struct {
	mu     sync.Mutex
	begins int
	pieces strings.Builder
}

func (s *sink) Begin(calls.ResponseHeader) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begins++
	return nil
}

func (s *sink) Piece(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces.Write(p)
	return nil
}

func (s *sink) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begins
}

func (s *sink) body() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pieces.String()
}
