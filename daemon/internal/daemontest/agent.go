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

// reportInterval is the interval between two load reports of a fake agent.
const reportInterval = 20 * time.Millisecond

// Agent is a fake agent that an entry connects to over the network. It reports
// that it accepts requests and echoes the body of each until SetScript replaces
// its script.
type Agent struct {
	Instance fleet.Instance
	Endpoint *peer.Endpoint
	Link     *Link

	mu       sync.Mutex
	report   wire.Report
	silent   bool
	script   func(*Exchange)
	opened   int
	received []wire.Request
	started  time.Time
	stop     func()
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
	a.Instance = fleet.Instance{ID: id, Role: fleet.RoleAgent, Service: service, Place: LocalPlace, PeerAddr: a.Endpoint.Addr()}
	a.stop = RunUntilEnd(a.Endpoint.Run)
	return a
}

// Kill stops the agent; its peers are notified that its connections are closed.
func (a *Agent) Kill() { a.stop() }

// UpdateReport changes the content of the agent's reports from now on.
func (a *Agent) UpdateReport(edit func(*wire.Report)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	edit(&a.report)
}

// StopReports ends the open report streams and refuses new ones.
func (a *Agent) StopReports() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = true
}

// SetScript replaces the script for later requests.
func (a *Agent) SetScript(script func(*Exchange)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.script = script
}

// OpenedStreams returns the number of request streams that reached the agent.
func (a *Agent) OpenedStreams() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.opened
}

// ReceivedRequests returns the requests that were read completely, so that a
// real agent would forward them.
func (a *Agent) ReceivedRequests() []wire.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.received)
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
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		a.mu.Lock()
		report, silent := a.report, a.silent
		a.mu.Unlock()
		report.Clock = admission.ClockReading{Incarnation: 1, Elapsed: time.Since(a.started)}
		if silent || s.Send(report) != nil {
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

// Exchange is one request at a fake agent. A script calls its methods one after
// the other; the stream is closed when the script returns.
type Exchange struct {
	Ctx     context.Context
	Stream  *peer.Stream
	Request wire.Request
	Body    []byte
	agent   *Agent
}

// ReadHeader reads the request without its body.
func (x *Exchange) ReadHeader() { _ = x.Stream.Recv(&x.Request) }

// Read reads the request and its body.
func (x *Exchange) Read() {
	x.ReadHeader()
	for len(x.Body) < x.Request.BodyBytes {
		piece, err := x.Stream.RecvBytes(nil)
		if err != nil {
			return
		}
		x.Body = append(x.Body, piece...)
	}
	x.agent.mu.Lock()
	defer x.agent.mu.Unlock()
	x.agent.received = append(x.agent.received, x.Request)
}

// Begin sends the start of the response.
func (x *Exchange) Begin(version fleet.Version) {
	_ = x.Stream.Send(wire.ResponsePart{Header: &wire.ResponseHeader{Status: http.StatusOK, Version: version}})
}

// Piece sends a part of the response body.
func (x *Exchange) Piece(data string) { _ = x.Stream.Send(wire.ResponsePart{Piece: []byte(data)}) }

// End sends the end of the response. If end has no ID, it gets that of the
// request.
func (x *Exchange) End(end wire.ResponseEnd) {
	if end.ID == "" {
		end.ID = x.Request.ID
	}
	_ = x.Stream.Send(wire.ResponsePart{End: &end})
	_ = x.Stream.CloseSend()
}

// Echo reads a request and responds with its body.
func (x *Exchange) Echo() {
	x.Read()
	x.Begin(fleet.Version{})
	x.Piece(string(x.Body))
	x.End(wire.ResponseEnd{Outcome: wire.OutcomeRan, Status: http.StatusOK})
}

// Entry is a fake entry that connects to an agent over the network.
type Entry struct {
	Endpoint *peer.Endpoint
	agent    netip.AddrPort
	id       fleet.InstanceID
}

// NewEntry starts a fake entry that sends requests to one agent.
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
	s.SetStallTimeout(WaitTimeout)
	return s
}

// Report returns the agent's first load report.
func (e *Entry) Report() wire.Report {
	ginkgo.GinkgoHelper()
	s := e.Open(peer.KindReport)
	defer s.Abort()
	gomega.Expect(s.Send(wire.ReportRequest{})).To(gomega.Succeed())
	var report wire.Report
	gomega.Expect(s.Recv(&report)).To(gomega.Succeed())
	return report
}

// Send sends a request without reading its response. Without a deadline, one is
// set that is WaitTimeout from now on the agent's clock.
func (e *Entry) Send(req wire.Request, body string) *peer.Stream {
	ginkgo.GinkgoHelper()
	if req.Deadline.Sent.IsZero() {
		req.Deadline = admission.Deadline{Sent: e.Report().Clock, Remaining: WaitTimeout}
	}
	req.BodyBytes = len(body)
	s := e.Open(peer.KindRequest)
	gomega.Expect(s.Send(req)).To(gomega.Succeed())
	if body != "" {
		gomega.Expect(s.SendBytes([]byte(body))).To(gomega.Succeed())
	}
	return s
}

// Response is the part of a response that was received.
type Response struct {
	Begin *wire.ResponseHeader
	Body  string
	End   *wire.ResponseEnd // nil: the stream ended without one
}

// Do sends a request and reads its response.
func (e *Entry) Do(req wire.Request, body string) Response {
	ginkgo.GinkgoHelper()
	return ReadResponse(e.Send(req, body))
}

// ReadResponse reads a response until its end or until the stream fails.
func ReadResponse(s *peer.Stream) Response {
	defer s.Abort()
	var response Response
	for {
		var part wire.ResponsePart
		if err := s.Recv(&part); err != nil {
			return response
		}
		switch {
		case part.Header != nil:
			response.Begin = part.Header
		case part.End != nil:
			response.End = part.End
			return response
		default:
			response.Body += string(part.Piece)
		}
	}
}
