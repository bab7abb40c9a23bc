package gateway

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/memlimit"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/routing"
	"chivespindle.example/daemon/wire"
)

// streamBackend is a backend that answers calls with streams which continue after the
// requested last event.
type streamBackend struct {
	mu      sync.Mutex
	sent    []SendOptions
	streams map[fleet.InstanceID]*engineStream // the latest one of each server
	// declines holds servers that state that they do not run the call.
	declines map[fleet.InstanceID]bool
	// silent holds servers that accept a call and return nothing until its deadline.
	silent map[fleet.InstanceID]bool
	// changes modify the next stream of a server.
	changes map[fleet.InstanceID]func(*engineStream)
}

func (e *streamBackend) Retain([]placement.Server) {}

func (*streamBackend) CheckLiveness(context.Context, netip.AddrPort) Liveness { return Alive }

func (e *streamBackend) Send(_ context.Context, _ *Call, o SendOptions) (Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, o)
	s := &engineStream{declined: e.declines[o.Server.ID], silent: e.silent[o.Server.ID],
		next: o.LastEvent + 1, version: o.Server.LoadedVersion, events: make(chan struct{}, 100), closed: make(chan struct{})}
	if change := e.changes[o.Server.ID]; change != nil {
		change(s)
	}
	e.streams[o.Server.ID] = s
	return s, nil
}

func (e *streamBackend) stream(id fleet.InstanceID) *engineStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *streamBackend) orders() []SendOptions {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]SendOptions(nil), e.sent...)
}

const streamEvents = 9

type engineStream struct {
	declined, silent bool
	status           int // 200 if 0
	next             int64
	version          placement.ModelVersion
	events           chan struct{} // one element for each event that may be returned
	closed           chan struct{}
	once             sync.Once
}

func (s *engineStream) Status() int                     { return max(s.status, 200) }
func (s *engineStream) NotRun() bool                    { return s.declined }
func (s *engineStream) Misdirected() bool               { return false }
func (s *engineStream) ImpliesNotRun() bool             { return false }
func (s *engineStream) Version() placement.ModelVersion { return s.version }
func (s *engineStream) State() ServerState              { return ServerState{} }
func (s *engineStream) IsEventStream() bool             { return true }
func (s *engineStream) EndIsFramed() bool               { return true }
func (s *engineStream) SetDeadline(time.Time)           {}
func (s *engineStream) Read([]byte) (int, error)        { return 0, io.EOF }
func (s *engineStream) Close(bool)                      { s.once.Do(func() { close(s.closed) }) }

func (s *engineStream) Body(int64, *memlimit.Hold) ([]byte, error) { return nil, nil }

func (s *engineStream) Next() (eventstream.Event, error) {
	if s.silent {
		return eventstream.Event{}, failure.Timeout.New("no event before the deadline")
	}
	if s.next > streamEvents {
		return eventstream.Event{}, io.EOF
	}
	<-s.events
	event := eventstream.Event{ID: s.next, Raw: []byte{byte('0' + s.next)}}
	s.next++
	return event, nil
}

// release lets a stream return n more events.
func (s *engineStream) release(n int) {
	for range n {
		s.events <- struct{}{}
	}
}

// textRecorder is a caller that records the text that it receives.
type textRecorder struct {
	mu            sync.Mutex
	text          []byte
	complete      bool
	disconnectsAt int // the first write that fails, as all after it do; 0 for none
	writes        int
}

func (*textRecorder) SetWriteDeadline(time.Time)           {}
func (*textRecorder) WriteResponse(Response, []byte) error { return nil }
func (*textRecorder) Begin(Response) error                 { return nil }
func (*textRecorder) Refuse(ErrorResponse)                 {}

func (r *textRecorder) Write(p []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writes++; r.disconnectsAt > 0 && r.writes >= r.disconnectsAt {
		return errDisconnected
	}
	r.text = append(r.text, p...)
	return nil
}

func (r *textRecorder) Complete() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
	return nil
}

func (r *textRecorder) received() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.text)
}

// During a version change, an engine that is ordered to load accepts no calls until
// its streams have ended, seconds later. A stream is resumed on another engine with
// the same version, and the caller must see one response, with each event once and in
// order.
var _ = Describe("The stream of an engine that has been ordered to load weights", func() {
	const oneID, twoID = fleet.InstanceID("i-1"), fleet.InstanceID("i-2")
	var (
		g       *Gateway
		backend *streamBackend
		caller  *textRecorder
		ended   chan struct{}
		from    *engineStream
		first   fleet.InstanceID
		second  fleet.InstanceID
		lines   *observer.ObservedLogs
		metrics tally.TestScope
	)

	report := func(id fleet.InstanceID, seq uint64, changing bool) {
		addr := map[fleet.InstanceID]netip.Addr{oneID: netip.MustParseAddr("10.0.1.1"), twoID: netip.MustParseAddr("10.0.1.2")}[id]
		now := time.Now()
		g.receive(now, nearEntry, wire.Heartbeat{ID: fleet.InstanceID(addr.String()), Role: fleet.RoleAgent, Replicas: []wire.Replica{
			{Addr: addr, Incarnation: 1, Seq: seq, Loaded: 1, Reloading: changing}}})
		g.publish(now)
	}

	begin := func(kind routing.Kind, resumable bool) {
		g, _ = newGateway()
		core, logged := observer.New(zap.InfoLevel)
		lines, metrics = logged, tally.NewTestScope("", nil)
		g.log = newRequestLog(start, zap.New(core), metrics)
		backend = &streamBackend{streams: make(map[fleet.InstanceID]*engineStream),
			declines: make(map[fleet.InstanceID]bool), silent: make(map[fleet.InstanceID]bool),
			changes: make(map[fleet.InstanceID]func(*engineStream))}
		g.opts.Backend = backend
		s := snapshot(5, server(oneID, "10.0.1.1:80", 2), server(twoID, "10.0.1.2:80", 3))
		s.Config.Services[0].Engine = &enginemodel.Profile{
			Slots: 16, Layers: 4, StepTime: 10 * time.Millisecond, StepsPerPass: 5, MeanOutputTokens: 400}
		route := &s.Config.Routes[0]
		route.Kind, route.Resumable, route.MaxAttempts = kind, resumable, 2
		route.TargetLatency, route.TargetPause, route.Timeout = 2*time.Second, time.Second, 30*time.Second
		g.adopt(time.Now(), s, "platform")
		report(oneID, 1, false)
		report(twoID, 1, false)
		caller = &textRecorder{}
		ended = make(chan struct{})
		go func() {
			defer close(ended)
			g.Serve(context.Background(), &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(),
				Timeout: 30 * time.Second, LastEvent: -1, ExpectedTokens: 400}, caller)
		}()
		Eventually(backend.orders).Should(HaveLen(1))
		first = backend.orders()[0].Server.ID
		second = map[fleet.InstanceID]fleet.InstanceID{oneID: twoID, twoID: oneID}[first]
		from = backend.stream(first)
		from.release(3)
		Eventually(caller.received).Should(Equal("012"))
	}

	// change modifies the response of the next engine. Its events are available
	// immediately.
	change := func(f func(*engineStream)) {
		backend.changes[second] = func(s *engineStream) { s.release(streamEvents); f(s) }
	}

	It("is resumed on another engine, after the last event", func() {
		begin(routing.Stream, true)
		report(first, 2, true)
		from.release(1)
		Eventually(backend.orders).Should(HaveLen(2))
		order := backend.orders()[1]
		Expect(order.Server.ID).To(Equal(second))
		Expect(order.LastEvent).To(Equal(int64(3)))
		Expect(from.closed).NotTo(BeClosed(), "the first engine's response is closed before the next engine has resumed the stream")
		backend.stream(second).release(streamEvents)
		Eventually(ended).Should(BeClosed())
		Expect(from.closed).To(BeClosed())
		Expect(caller.received()).To(Equal("0123456789"))
	})

	// Guards against a log line that does not distinguish a stream that its last server
	// completed from one to which it contributed nothing, or names another server.
	It("is logged with its last server, the number of events of its last attempt and whether its end was marked", func() {
		begin(routing.Stream, true)
		report(first, 2, true)
		from.release(1)
		Eventually(backend.orders).Should(HaveLen(2))
		backend.stream(second).release(streamEvents)
		Eventually(ended).Should(BeClosed())
		served := lines.FilterMessage("served").All()
		Expect(served).To(HaveLen(1))
		Expect(served[0].ContextMap()).To(And(HaveKeyWithValue("run_events", int64(6)), HaveKeyWithValue("end_framed", true),
			HaveKeyWithValue("server", string(second))))
	})

	// Guards against an aborted response: the next engine is full, or returns nothing
	// within the pause that the route allows, and the first engine's stream has already
	// been closed.
	DescribeTable("stays when the next engine does not resume it",
		func(prepare func()) {
			begin(routing.Stream, true)
			prepare()
			report(first, 2, true)
			from.release(streamEvents)
			Eventually(ended).Should(BeClosed())
			Expect(backend.orders()).To(HaveLen(2))
			Expect(caller.received()).To(Equal("0123456789"))
			Expect(caller.complete).To(BeTrue())
			Expect(lines.FilterMessage("handed_over").All()[0].ContextMap()).To(HaveKey("error"))
		},
		Entry("it declines", func() { backend.declines[second] = true }),
		Entry("it is silent", func() { backend.silent[second] = true }),
		Entry("it fails", func() { change(func(s *engineStream) { s.status = 500 }) }),
		Entry("it has another version", func() { change(func(s *engineStream) { s.version++ }) }),
		Entry("it skips an event", func() { change(func(s *engineStream) { s.next++ }) }),
		Entry("it returns no event", func() { change(func(s *engineStream) { s.next = streamEvents + 1 }) }),
	)

	// Guards against a response that ends as complete though the last event, which the
	// next engine returned, could not be written.
	It("is not complete if the caller disconnects at the next engine's first event", func() {
		begin(routing.Stream, true)
		from.release(streamEvents - 4)
		Eventually(caller.received).Should(Equal("01234567"))
		caller.mu.Lock()
		caller.disconnectsAt = streamEvents + 1 // the last event
		caller.mu.Unlock()
		report(first, 2, true)
		from.release(2)
		Eventually(backend.orders).Should(HaveLen(2))
		backend.stream(second).release(1)
		Eventually(ended).Should(BeClosed())
		Expect(caller.received()).To(Equal("012345678"))
		Expect(caller.complete).To(BeFalse())
		Expect(from.closed).To(BeClosed())
		Expect(metrics.Snapshot().Counters()).To(HaveKey("calls_abandoned+"))
		Expect(metrics.Snapshot().Counters()).NotTo(HaveKey("illegal_deliveries+"))
	})

	// Guards against a call that is closed at the next engine before that began it,
	// without a log line.
	It("is logged as withdrawn from a next engine that is silent", func() {
		begin(routing.Stream, true)
		backend.silent[second] = true
		report(first, 2, true)
		from.release(streamEvents)
		Eventually(ended).Should(BeClosed())
		logged := lines.FilterMessage("handed_over").All()
		Expect(logged).To(HaveLen(1))
		Expect(logged[0].ContextMap()).To(And(
			HaveKeyWithValue("to", string(second)), HaveKeyWithValue("reason", "silent"), HaveKey("waited")))
		Expect(metrics.Snapshot().Counters()).To(HaveKey("calls_withdrawn+reason=silent"))
	})

	// Guards against a stream that begins on its next engine when the version that it
	// must continue on may no longer be used.
	It("gives the next engine a deadline within the time of its version", func() {
		begin(routing.Stream, true)
		named := time.Now()
		g.names["m"] = loading.NamedVersions{{Version: 2, Since: named}}
		report(first, 2, true)
		from.release(1)
		Eventually(backend.orders).Should(HaveLen(2))
		Expect(backend.orders()[0].Deadline).To(BeTemporally(">", named.Add(g.opts.VersionTime)))
		Expect(backend.orders()[1].Deadline).To(BeTemporally("<", named.Add(g.opts.VersionTime)))
		backend.stream(second).release(streamEvents)
		Eventually(ended).Should(BeClosed())
	})

	It("stays if the route does not allow resumption", func() {
		begin(routing.Stream, false)
		report(first, 2, true)
		from.release(streamEvents)
		Eventually(ended).Should(BeClosed())
		Expect(backend.orders()).To(HaveLen(1))
	})

	// Guards against events of two attempts in one response of a route that does not declare
	// its streams resumable.
	It("stays on a safe route, which does not allow resumption", func() {
		begin(routing.Safe, false)
		report(first, 2, true)
		from.release(streamEvents)
		Eventually(ended).Should(BeClosed())
		Expect(backend.orders()).To(HaveLen(1))
		Expect(caller.complete).To(BeTrue())
	})

	It("stays when the retry budget is used up", func() {
		begin(routing.Stream, true)
		for g.allowRetry(time.Now(), "pool") {
		}
		report(first, 2, true)
		from.release(streamEvents)
		Eventually(ended).Should(BeClosed())
		Expect(backend.orders()).To(HaveLen(1))
	})
})
