package daemontest

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/admission"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/serving"
	"chivespindle.example/daemon/wire"
)

// reportEvery is the time between two reports of a fake agent.
const reportEvery = 20 * time.Millisecond

// Agent is an agent as an entry meets it on the wire. It reports that it
// takes requests and answers each with its own body, until told otherwise.
type Agent struct {
	Instance fleet.Instance
	Endpoint *peer.Endpoint
	Link     *Link

	mu      sync.Mutex
	report  wire.Report
	mute    bool
	script  func(*Exchange)
	opened  int
	passed  []wire.Request
	started time.Time
	stop    func()
}

// NewAgent starts a fake agent of a service.
func NewAgent(id fleet.InstanceID, service fleet.ServiceName) *Agent {
	ginkgo.GinkgoHelper()
	a := &Agent{Link: NewLink(), script: (*Exchange).Echo, started: time.Now()}
	a.report = wire.Report{
		Service: service, State: gossip.StateServing, Admitting: true,
		Load: serving.Load{Slots: 64},
	}
	a.Endpoint = newEndpoint(fleet.RoleAgent, id, Handler(a.serve), a.Link)
	a.Instance = fleet.Instance{ID: id, Role: fleet.RoleAgent, Service: service, Place: Here, PeerAddr: a.Endpoint.Addr()}
	a.stop = RunUntilEnd(a.Endpoint.Run)
	return a
}

// Kill ends the agent; its peers are told that its connections are closed.
func (a *Agent) Kill() { a.stop() }

// Report changes what the agent reports from now on.
func (a *Agent) Report(edit func(*wire.Report)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	edit(&a.report)
}

// StopReports ends the streams of reports and opens none.
func (a *Agent) StopReports() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mute = true
}

// Do replaces what the agent does with later requests.
func (a *Agent) Do(script func(*Exchange)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.script = script
}

// Opened returns how many streams of requests reached the agent.
func (a *Agent) Opened() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.opened
}

// Passed returns the requests that were read whole, so that a real agent
// would pass them on.
func (a *Agent) Passed() []wire.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.passed)
}

func (a *Agent) serve(ctx context.Context, _ keys.Identity, kind peer.Kind, s *peer.Stream) {
	switch kind {
	case peer.KindGossip:
		<-ctx.Done()
	case peer.KindReport:
		a.serveReports(ctx, s)
	case peer.KindRequest:
		a.mu.Lock()
		a.opened++
		script := a.script
		a.mu.Unlock()
		script(&Exchange{Ctx: ctx, Stream: s, agent: a})
	}
}

func (a *Agent) serveReports(ctx context.Context, s *peer.Stream) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		a.mu.Lock()
		report, mute := a.report, a.mute
		a.mu.Unlock()
		report.Clock = admission.ClockReading{Incarnation: 1, Elapsed: time.Since(a.started)}
		if mute || s.Send(report) != nil {
			s.Abort()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Exchange is one request at a fake agent. Its script does one step after the
// other; the stream is closed when the script returns.
type Exchange struct {
	Ctx     context.Context
	Stream  *peer.Stream
	Request wire.Request
	Body    []byte
	agent   *Agent
}

// ReadHead reads the request without its body.
func (x *Exchange) ReadHead() { _ = x.Stream.Recv(&x.Request) }

// Read reads the whole request.
func (x *Exchange) Read() {
	x.ReadHead()
	for len(x.Body) < x.Request.BodyBytes {
		piece, err := x.Stream.RecvBytes(nil)
		if err != nil {
			return
		}
		x.Body = append(x.Body, piece...)
	}
	x.agent.mu.Lock()
	defer x.agent.mu.Unlock()
	x.agent.passed = append(x.agent.passed, x.Request)
}

// Begin opens the answer.
func (x *Exchange) Begin(version fleet.Version) {
	_ = x.Stream.Send(wire.AnswerPart{Begin: &wire.AnswerBegin{Status: http.StatusOK, Version: version}})
}

// Piece sends a part of the answer.
func (x *Exchange) Piece(data string) { _ = x.Stream.Send(wire.AnswerPart{Piece: []byte(data)}) }

// End ends the answer. An end without an id gets the request's.
func (x *Exchange) End(end wire.AnswerEnd) {
	if end.ID == "" {
		end.ID = x.Request.ID
	}
	_ = x.Stream.Send(wire.AnswerPart{End: &end})
	_ = x.Stream.CloseSend()
}

// Echo answers a request with its body.
func (x *Exchange) Echo() {
	x.Read()
	x.Begin(fleet.Version{})
	x.Piece(string(x.Body))
	x.End(wire.AnswerEnd{Outcome: wire.OutcomeRan, Status: http.StatusOK})
}

// Entry is an entry as an agent meets it on the wire.
type Entry struct {
	Endpoint *peer.Endpoint
	agent    netip.AddrPort
	id       fleet.InstanceID
}

// NewEntry starts a fake entry that asks one agent.
func NewEntry(id fleet.InstanceID, agent fleet.Instance) *Entry {
	ginkgo.GinkgoHelper()
	return &Entry{Endpoint: Endpoint(fleet.RoleEntry, id, nil), agent: agent.PeerAddr, id: agent.ID}
}

// Open opens a stream to the agent.
func (e *Entry) Open(kind peer.Kind) *peer.Stream {
	ginkgo.GinkgoHelper()
	s, err := e.Endpoint.Open(context.Background(), e.agent, e.id, kind)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(s.Abort)
	s.SetStallTimeout(Patience)
	return s
}

// Report returns the agent's first report.
func (e *Entry) Report() wire.Report {
	ginkgo.GinkgoHelper()
	s := e.Open(peer.KindReport)
	defer s.Abort()
	gomega.Expect(s.Send(wire.ReportAsk{})).To(gomega.Succeed())
	var report wire.Report
	gomega.Expect(s.Recv(&report)).To(gomega.Succeed())
	return report
}

// Send sends a request and leaves its answer to the caller. Without a
// deadline the caller waits for Patience, by the agent's clock.
func (e *Entry) Send(req wire.Request, body string) *peer.Stream {
	ginkgo.GinkgoHelper()
	if req.Deadline.Sent.IsZero() {
		req.Deadline = admission.Deadline{Sent: e.Report().Clock, Remaining: Patience}
	}
	req.BodyBytes = len(body)
	s := e.Open(peer.KindRequest)
	gomega.Expect(s.Send(req)).To(gomega.Succeed())
	if body != "" {
		gomega.Expect(s.SendBytes([]byte(body))).To(gomega.Succeed())
	}
	return s
}

// Answer is all that came of an agent's answer.
type Answer struct {
	Begin *wire.AnswerBegin
	Body  string
	End   *wire.AnswerEnd // nil: the stream ended without one
}

// Ask sends a request and reads its answer.
func (e *Entry) Ask(req wire.Request, body string) Answer {
	ginkgo.GinkgoHelper()
	return ReadAnswer(e.Send(req, body))
}

// ReadAnswer reads an answer to its end.
func ReadAnswer(s *peer.Stream) Answer {
	defer s.Abort()
	var answer Answer
	for {
		var part wire.AnswerPart
		if err := s.Recv(&part); err != nil {
			return answer
		}
		switch {
		case part.Begin != nil:
			answer.Begin = part.Begin
		case part.End != nil:
			answer.End = part.End
			return answer
		default:
			answer.Body += string(part.Piece)
		}
	}
}
