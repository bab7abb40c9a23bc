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

const orders fleet.ServiceName = "workshop-api"

// fleetText lets an idempotent request be tried five times, so that it is not
// the number of tries that ends a storm of them.
const fleetText = `[fleet]
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

// rig is an entry before fake agents.
type rig struct {
	*daemontest.Process
	role   *entry.Entry
	agents []*daemontest.Agent
	asked  atomic.Int64
}

// newRig starts an entry before agents agent-1, agent-2, ... of the service
// orders, and waits until it routes to all of them.
func newRig(agents int) *rig {
	GinkgoHelper()
	r := newUnready(agents)
	r.TakeText(1, fleetText)
	Eventually(r.eligible).Should(HaveLen(agents))
	return r
}

// newUnready starts an entry that has no text in force.
func newUnready(agents int) *rig {
	GinkgoHelper()
	r := &rig{}
	self := fleet.Instance{ID: "entry-1", Role: fleet.RoleEntry, Place: daemontest.Here}
	r.Process = daemontest.NewProcess(daemontest.Options{Self: self, Text: daemontest.NewText(1, fleetText)})
	r.role = entry.New(r.Context(), time.Now(), entry.Options{
		Self: r.Self, Loop: r.Loop, Endpoint: r.Endpoint, AddressTTL: time.Second, MaxInFlight: 128,
		Tracer: r.Tracer, Logger: r.Logger, Metrics: r.Metrics,
	})
	for n := range agents {
		r.agents = append(r.agents, daemontest.NewAgent(fleet.InstanceID("agent-"+strconv.Itoa(n+1)), orders))
		r.List.Add(r.agents[n].Instance)
	}
	r.AttachNode(r.role.Changed, nil)
	r.role.Attach(r.Node)
	r.Loop.AddTicker(r.role)
	r.Run(r.role)
	return r
}

// verdicts is how the entry sees the agents that it routes to.
func (r *rig) verdicts() map[fleet.InstanceID]balance.Verdict {
	page := httptest.NewRecorder()
	r.role.ExplainHandler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/explain?service="+string(orders), nil))
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

// eligible lists the agents that may be chosen.
func (r *rig) eligible() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for id, verdict := range r.verdicts() {
		if verdict == balance.Eligible {
			ids = append(ids, id)
		}
	}
	return ids
}

// script lets the first request, whichever agent it reaches, meet one
// behaviour and all later ones another.
func (r *rig) script(first, later func(*daemontest.Exchange)) {
	var begun atomic.Bool
	for _, a := range r.agents {
		a.Do(func(x *daemontest.Exchange) {
			if begun.Swap(true) {
				later(x)
				return
			}
			first(x)
		})
	}
}

// opened sums the requests that reached an agent, passed those that were read
// whole.
func (r *rig) opened() (sum int) {
	for _, a := range r.agents {
		sum += a.Opened()
	}
	return sum
}

func (r *rig) passed() (sum int) {
	for _, a := range r.agents {
		sum += len(a.Passed())
	}
	return sum
}

// request is an idempotent one, whose caller waits for Patience.
func (r *rig) request(body string) calls.Request {
	return calls.Request{
		ID: "request-" + strconv.FormatInt(r.asked.Add(1), 10), Service: orders, Priority: -1,
		Deadline: time.Now().Add(daemontest.Patience), Body: []byte(body),
	}
}

// order is work that must run at most once; its home is the given agent.
func (r *rig) order(home *daemontest.Agent, body string) calls.Request {
	req := r.request(body)
	req.NonIdempotent = true
	req.IdempotencyKey = once.Issue("", home.Instance.ID, 1, time.Now(), uint64(r.asked.Add(1))).Text
	return req
}

// send dispatches a request and returns what the caller got.
func (r *rig) send(req calls.Request) got { return r.sendUntil(context.Background(), req) }

func (r *rig) sendUntil(ctx context.Context, req calls.Request) got {
	caller := &sink{}
	end, err := r.role.Dispatch(ctx, req, caller)
	return got{End: end, Err: err, Begins: caller.count(), Body: caller.body()}
}

// got is what a caller got.
type got struct {
	End    calls.Completion
	Err    error
	Begins int
	Body   string
}

// sink is a caller's end of an answer.
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
