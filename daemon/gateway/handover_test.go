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
	"chivespindle.example/core/placement"
	"chivespindle.example/core/routing"
	"chivespindle.example/daemon/wire"
)

// engines answer calls with streams that go on after the last event asked for.
type engines struct {
	mu      sync.Mutex
	sent    []Order
	streams map[fleet.InstanceID]*engineStream // the last one of each
	// declines has a server say that it does not run what it gets.
	declines map[fleet.InstanceID]bool
	// silent servers take a call and give nothing until the time for it is up.
	silent map[fleet.InstanceID]bool
	// changes are made to the next answer of a server.
	changes map[fleet.InstanceID]func(*engineStream)
}

func (e *engines) Keep([]placement.Server) {}

func (*engines) Check(context.Context, netip.AddrPort) Liveness { return Alive }

func (e *engines) Send(_ context.Context, _ *Call, o Order) (Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, o)
	s := &engineStream{declined: e.declines[o.Server.ID], silent: e.silent[o.Server.ID],
		next: o.LastEvent + 1, version: o.Server.Loaded, events: make(chan struct{}, 100), closed: make(chan struct{})}
	if change := e.changes[o.Server.ID]; change != nil {
		change(s)
	}
	e.streams[o.Server.ID] = s
	return s, nil
}

func (e *engines) stream(id fleet.InstanceID) *engineStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *engines) orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.sent...)
}

const streamEvents = 9

type engineStream struct {
	declined, silent bool
	status           int // 200 if 0
	next             int64
	version          placement.ModelVersion
	events           chan struct{} // one for each event that may be given
	closed           chan struct{}
	once             sync.Once
}

func (s *engineStream) Status() int                     { return max(s.status, 200) }
func (s *engineStream) NotRun() bool                    { return s.declined }
func (s *engineStream) Misdirected() bool               { return false }
func (s *engineStream) PromisesNotRun() bool            { return false }
func (s *engineStream) Version() placement.ModelVersion { return s.version }
func (s *engineStream) Limit() ServerLimit              { return ServerLimit{} }
func (s *engineStream) Streams() bool                   { return true }
func (s *engineStream) EndIsFramed() bool               { return true }
func (s *engineStream) SetDeadline(time.Time)           {}
func (s *engineStream) Body(int64) ([]byte, error)      { return nil, nil }
func (s *engineStream) Close(bool)                      { s.once.Do(func() { close(s.closed) }) }

func (s *engineStream) Next() (eventstream.Event, error) {
	if s.silent {
		return eventstream.Event{}, failure.Timeout.New("nothing came")
	}
	if s.next > streamEvents {
		return eventstream.Event{}, io.EOF
	}
	<-s.events
	event := eventstream.Event{ID: s.next, Raw: []byte{byte('0' + s.next)}}
	s.next++
	return event, nil
}

// give lets a stream give so many more events.
func (s *engineStream) give(n int) {
	for range n {
		s.events <- struct{}{}
	}
}

// reader is a caller that keeps what it got.
type reader struct {
	mu       sync.Mutex
	text     []byte
	complete bool
	leavesAt int // the write that fails, and all after it; 0 for none
	writes   int
}

func (*reader) Whole(Answer, []byte) error { return nil }
func (*reader) Begin(Answer) error         { return nil }
func (*reader) Refuse(Verdict)             {}

func (r *reader) Write(p []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writes++; r.leavesAt > 0 && r.writes >= r.leavesAt {
		return errCallerLeft
	}
	r.text = append(r.text, p...)
	return nil
}

func (r *reader) Complete() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
	return nil
}

func (r *reader) got() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.text)
}

// A version is replaced. The engine that writes a caller's stream is ordered to
// load, and takes nothing new until the stream has ended, seconds later. The
// stream goes on at another engine with the same version, and the caller sees
// one answer, each event once and in order.
var _ = Describe("The stream of an engine that is to load weights", func() {
	const oneID, twoID = fleet.InstanceID("i-1"), fleet.InstanceID("i-2")
	var (
		g       *Gateway
		backend *engines
		caller  *reader
		ended   chan struct{}
		from    *engineStream
		first   fleet.InstanceID
		second  fleet.InstanceID
		lines   *observer.ObservedLogs
		metrics tally.TestScope
	)

	tell := func(id fleet.InstanceID, seq uint64, changing bool) {
		addr := map[fleet.InstanceID]netip.Addr{oneID: netip.MustParseAddr("10.0.1.1"), twoID: netip.MustParseAddr("10.0.1.2")}[id]
		now := time.Now()
		g.heard(now, nearEntry, wire.Beat{ID: fleet.InstanceID(addr.String()), Role: fleet.RoleAgent, Replicas: []wire.Replica{
			{Addr: addr, Incarnation: 1, Seq: seq, Loaded: 1, Changing: changing}}})
		g.publish(now)
	}

	begin := func(kind routing.Kind, resumable bool) {
		g, _ = newGateway()
		core, logged := observer.New(zap.InfoLevel)
		lines, metrics = logged, tally.NewTestScope("", nil)
		g.log = newRequestLog(start, zap.New(core), metrics)
		backend = &engines{streams: make(map[fleet.InstanceID]*engineStream),
			declines: make(map[fleet.InstanceID]bool), silent: make(map[fleet.InstanceID]bool),
			changes: make(map[fleet.InstanceID]func(*engineStream))}
		g.opts.Backend = backend
		s := snapshot(5, server(oneID, "10.0.1.1:80", 2), server(twoID, "10.0.1.2:80", 3))
		s.Config.Services[0].Engine = &enginemodel.Figures{
			Slots: 16, Layers: 4, Step: 10 * time.Millisecond, Stride: 5, UsualAnswer: 400}
		route := &s.Config.Routes[0]
		route.Kind, route.Resumable, route.MaxAttempts = kind, resumable, 2
		route.Aim, route.PauseAim, route.Timeout = 2*time.Second, time.Second, 30*time.Second
		g.adopt(time.Now(), s, "platform")
		tell(oneID, 1, false)
		tell(twoID, 1, false)
		caller = &reader{}
		ended = make(chan struct{})
		go func() {
			defer close(ended)
			g.Serve(context.Background(), &Call{ID: "c", Host: "a.example", Path: "/", Arrived: time.Now(),
				Patience: 30 * time.Second, LastEvent: -1, Expected: 400}, caller)
		}()
		Eventually(backend.orders).Should(HaveLen(1))
		first = backend.orders()[0].Server.ID
		second = map[fleet.InstanceID]fleet.InstanceID{oneID: twoID, twoID: oneID}[first]
		from = backend.stream(first)
		from.give(3)
		Eventually(caller.got).Should(Equal("012"))
	}

	// change makes an answer of the next engine, whose events are there at once.
	change := func(f func(*engineStream)) {
		backend.changes[second] = func(s *engineStream) { s.give(streamEvents); f(s) }
	}

	It("goes on at another engine, after the last event", func() {
		begin(routing.Stream, true)
		tell(first, 2, true)
		from.give(1)
		Eventually(backend.orders).Should(HaveLen(2))
		order := backend.orders()[1]
		Expect(order.Server.ID).To(Equal(second))
		Expect(order.LastEvent).To(Equal(int64(3)))
		Expect(from.closed).NotTo(BeClosed(), "the first engine is left once the next one goes on")
		backend.stream(second).give(streamEvents)
		Eventually(ended).Should(BeClosed())
		Expect(from.closed).To(BeClosed())
		Expect(caller.got()).To(Equal("0123456789"))
	})

	// Guards against a served line that does not tell a stream that its last server
	// finished from one that it gave nothing of.
	It("is logged with the events of its last run and whether its end was marked", func() {
		begin(routing.Stream, true)
		tell(first, 2, true)
		from.give(1)
		Eventually(backend.orders).Should(HaveLen(2))
		backend.stream(second).give(streamEvents)
		Eventually(ended).Should(BeClosed())
		served := lines.FilterMessage("served").All()
		Expect(served).To(HaveLen(1))
		Expect(served[0].ContextMap()).To(And(HaveKeyWithValue("run_events", int64(6)), HaveKeyWithValue("end_framed", true)))
	})

	// The next engine was full, or gave nothing in the time that the route allows
	// for a pause. Left before, the first engine could not have gone on, and the
	// caller's answer was cut.
	DescribeTable("stays when the next engine does not go on",
		func(prepare func()) {
			begin(routing.Stream, true)
			prepare()
			tell(first, 2, true)
			from.give(streamEvents)
			Eventually(ended).Should(BeClosed())
			Expect(backend.orders()).To(HaveLen(2))
			Expect(caller.got()).To(Equal("0123456789"))
			Expect(caller.complete).To(BeTrue())
			Expect(lines.FilterMessage("handed_over").All()[0].ContextMap()).To(HaveKey("error"))
		},
		Entry("it declines", func() { backend.declines[second] = true }),
		Entry("it is silent", func() { backend.silent[second] = true }),
		Entry("it fails", func() { change(func(s *engineStream) { s.status = 500 }) }),
		Entry("it has another version", func() { change(func(s *engineStream) { s.version++ }) }),
		Entry("it skips an event", func() { change(func(s *engineStream) { s.next++ }) }),
		Entry("it has no event", func() { change(func(s *engineStream) { s.next = streamEvents + 1 }) }),
	)

	// Guards against an answer that ends as complete though the last event, which the
	// next engine returned, could not be written.
	It("is not complete if the caller leaves at the next engine's first event", func() {
		begin(routing.Stream, true)
		from.give(streamEvents - 4)
		Eventually(caller.got).Should(Equal("01234567"))
		caller.mu.Lock()
		caller.leavesAt = streamEvents + 1 // the last event
		caller.mu.Unlock()
		tell(first, 2, true)
		from.give(2)
		Eventually(backend.orders).Should(HaveLen(2))
		backend.stream(second).give(1)
		Eventually(ended).Should(BeClosed())
		Expect(caller.got()).To(Equal("012345678"))
		Expect(caller.complete).To(BeFalse())
		Expect(from.closed).To(BeClosed())
		Expect(metrics.Snapshot().Counters()).To(HaveKey("calls_abandoned+"))
		Expect(metrics.Snapshot().Counters()).NotTo(HaveKey("illegal_deliveries+"))
	})

	// The call waits at the next engine, and nothing told that it was closed there
	// before that began it.
	It("is told to have been withdrawn from a next engine that is silent", func() {
		begin(routing.Stream, true)
		backend.silent[second] = true
		tell(first, 2, true)
		from.give(streamEvents)
		Eventually(ended).Should(BeClosed())
		told := lines.FilterMessage("handed_over").All()
		Expect(told).To(HaveLen(1))
		Expect(told[0].ContextMap()).To(And(
			HaveKeyWithValue("to", string(second)), HaveKeyWithValue("reason", "silent"), HaveKey("waited")))
		Expect(metrics.Snapshot().Counters()).To(HaveKey("calls_withdrawn+reason=silent"))
	})

	// Guards against a stream that begins at its next engine after the time of the
	// version that it must go on with.
	It("gives the next engine no more than the time of its version", func() {
		begin(routing.Stream, true)
		named := time.Now()
		g.names["m"] = loading.NamedVersions{{Version: 2, Since: named}}
		tell(first, 2, true)
		from.give(1)
		Eventually(backend.orders).Should(HaveLen(2))
		Expect(backend.orders()[0].Until).To(BeTemporally(">", named.Add(g.opts.VersionTime)))
		Expect(backend.orders()[1].Until).To(BeTemporally("<", named.Add(g.opts.VersionTime)))
		backend.stream(second).give(streamEvents)
		Eventually(ended).Should(BeClosed())
	})

	It("stays where the route does not let streams be resumed", func() {
		begin(routing.Stream, false)
		tell(first, 2, true)
		from.give(streamEvents)
		Eventually(ended).Should(BeClosed())
		Expect(backend.orders()).To(HaveLen(1))
	})

	// Guards against events of two runs in one answer that nothing says can be resumed.
	It("stays on a safe route, which declares no resumption", func() {
		begin(routing.Safe, false)
		tell(first, 2, true)
		from.give(streamEvents)
		Eventually(ended).Should(BeClosed())
		Expect(backend.orders()).To(HaveLen(1))
		Expect(caller.complete).To(BeTrue())
	})

	It("stays when the retry budget is used up", func() {
		begin(routing.Stream, true)
		for g.allowRepeat(time.Now(), "pool") {
		}
		tell(first, 2, true)
		from.give(streamEvents)
		Eventually(ended).Should(BeClosed())
		Expect(backend.orders()).To(HaveLen(1))
	})
})
