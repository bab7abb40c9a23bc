package gateway

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/routing"
)

// unresponsiveBackend is a backend whose engines do not notice that a call was withdrawn, and may
// begin it at any time up to its deadline.
type unresponsiveBackend struct {
	mu   sync.Mutex
	sent []SendOptions
	// eventsBeforeFailure is the number of events that the first call gets before its engine fails.
	eventsBeforeFailure int
}

func (*unresponsiveBackend) Retain([]placement.Server) {}

func (*unresponsiveBackend) CheckLiveness(context.Context, netip.AddrPort) Liveness { return Alive }

func (e *unresponsiveBackend) Send(_ context.Context, _ *Call, o SendOptions) (Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, o)
	if len(e.sent) == 1 && e.eventsBeforeFailure > 0 {
		return &brokenStream{left: e.eventsBeforeFailure, version: o.Server.LoadedVersion}, nil
	}
	return nil, failure.WithOutcome(failure.Timeout.New("no response before the deadline"), failure.Unknown)
}

func (e *unresponsiveBackend) orders() []SendOptions {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]SendOptions(nil), e.sent...)
}

// brokenStream returns some events and then fails.
type brokenStream struct {
	emptyResponse
	left    int
	next    int64
	version placement.ModelVersion
}

func (s *brokenStream) Version() placement.ModelVersion { return s.version }
func (s *brokenStream) State() ServerState              { return ServerState{} }

func (s *brokenStream) Next() (eventstream.Event, error) {
	if s.left == 0 {
		return eventstream.Event{}, failure.WithOutcome(failure.Unavailable.Wrap(io.ErrUnexpectedEOF, "read"), failure.Unknown)
	}
	s.left--
	s.next++
	return eventstream.Event{ID: s.next, Raw: []byte("e")}, nil
}

// Guards against calls that an engine begins on an outdated version after the entry has
// withdrawn them. An engine does not notice a closed connection while a call waits in
// its queue, so only the deadline sent with the call ends it. For example, with the
// full timeout of the callers (6 s) as deadline, two calls that are withdrawn at 30.03
// and 30.33 s begin at 31.02 and 30.74 s: 10004 and 9719 ms after the newer version is
// acknowledged, where 9700 ms are allowed.
var _ = Describe("A call at an engine whose version is outdated", func() {
	const timeout = 30 * time.Second
	var (
		passed   time.Duration // of the 8 s for which the outdated version may be used
		g        *Gateway
		backend  *unresponsiveBackend
		named    time.Time
		expected int // expected tokens of the response
	)

	// serve sends a call to engines that have version 1 loaded, passed after version 2 was
	// named, and returns the attempts.
	serve := func(resumable bool, attempts int) []SendOptions {
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3))
		s.Config.Services[0].Engine = &enginemodel.Profile{
			Slots: 16, Layers: 4, StepTime: 10 * time.Millisecond, StepsPerPass: 5, MeanOutputTokens: 50}
		route := &s.Config.Routes[0]
		route.Kind, route.Resumable, route.MaxAttempts = routing.Stream, resumable, attempts
		route.TargetLatency, route.TargetPause, route.Timeout = 2*time.Second, time.Second, timeout
		s.Wanted = []catalog.Wanted{{Model: "m", Version: 2}}
		now := time.Now()
		g.adopt(now, s, "platform")
		named = now.Add(-passed)
		g.names["m"] = loading.NamedVersions{{Version: 2, Since: named}}
		g.publish(now)
		call := &Call{ID: "c", Host: "a.example", Path: "/", Arrived: now, Timeout: timeout, LastEvent: -1, ExpectedTokens: expected}
		g.Serve(context.Background(), call, &textRecorder{})
		return backend.orders()
	}

	prepare := func() {
		g, _ = newGateway()
		backend = &unresponsiveBackend{}
		g.opts.Backend = backend
		expected = 50
		passed = 4 * time.Second
	}
	BeforeEach(prepare)

	// Guards against calls that begin on outdated weights because their withdrawal
	// arrives late or is lost.
	It("has a deadline within the time of the version, even if the engine misses its withdrawal", func() {
		for _, c := range []struct {
			name            string
			resumable       bool
			attempts, gives int
			sent            int
		}{
			{name: "a call that may be retried", resumable: true, attempts: 2, sent: 2},
			{name: "a call on its last attempt", resumable: true, attempts: 1, sent: 1},
			{name: "a call that must not run twice", attempts: 2, sent: 1},
			{name: "a stream that is resumed on another engine", resumable: true, attempts: 2, gives: 3, sent: 2},
		} {
			By(c.name)
			prepare()
			backend.eventsBeforeFailure = c.gives
			got := serve(c.resumable, c.attempts)
			Expect(got).To(HaveLen(c.sent))
			for _, o := range got {
				Expect(o.Server.LoadedVersion).To(Equal(placement.ModelVersion(1)))
				Expect(o.Deadline).To(BeTemporally("<", named.Add(g.opts.VersionTime)))
			}
		}
	})

	// Guards against calls that a silent engine reads late and therefore begins late, since it
	// counts their deadline from then on.
	It("is begun within the time of the version by an engine that reads it 1.2 s late", func() {
		const (
			silence = 1200 * time.Millisecond
			others  = 400 * time.Millisecond // for the naming and the network
		)
		sent := 0
		for after := 3 * time.Second; after < 8*time.Second; after += 100 * time.Millisecond {
			prepare()
			passed, expected = after, 10
			for _, o := range serve(true, 2) {
				Expect(o.Deadline.Add(silence+others)).To(BeTemporally("<=", named.Add(g.opts.VersionTime)), "sent %v after the naming", after)
				sent++
			}
		}
		Expect(sent).NotTo(BeZero())
	})

	// Guards against long calls that a silent engine begins late. Their deadlines leave time for
	// the response, so only the time of sending bounds their start.
	It("is sent early enough to start in time after a silence of 1.2 s", func() {
		const (
			silence, others = 1200 * time.Millisecond, 400 * time.Millisecond
			startError      = 800 * time.Millisecond // beyond the prediction
		)
		sent := 0
		for after := 3 * time.Second; after < 8*time.Second; after += 100 * time.Millisecond {
			prepare()
			passed, expected = after, 130
			if got := serve(true, 1); len(got) > 0 {
				Expect(after + silence + startError).To(BeNumerically("<=", g.opts.VersionTime-others))
				sent++
			}
		}
		Expect(sent).NotTo(BeZero())
	})

	// Guards against long calls that wait there with nothing to end them, or are aborted
	// when the time of the version is over.
	It("is not sent there if its response is not expected in time", func() {
		expected = 500
		Expect(serve(true, 2)).To(BeEmpty())
	})

	// Guards against engines that are left unused while they may still answer.
	It("is sent there while its response is expected in time", func() {
		Expect(serve(true, 2)).NotTo(BeEmpty())
	})

	// Guards against a complete response that is aborted because its end came a moment
	// after the engine's deadline.
	It("is complete if its stream ends just after the engine's deadline", func() {
		g.adopt(time.Now(), snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
		g.publish(time.Now())
		caller := &textRecorder{}
		call := &Call{ID: "c", LastEvent: -1}
		j := &job{g: g, call: call, reply: newReply(g, call, caller), view: g.view.Load(), service: g.table.Service("pool"),
			route: g.table.Match("a.example", "/"), mayHaveRun: true,
			deadline: time.Now().Add(time.Minute), serverDeadline: time.Now()}
		ticket, _ := g.balancer.Choose(time.Now(), placement.Request{Service: "pool", TimeLeft: time.Minute})
		var err error
		j.lastAttempt, err = j.reply.accept(emptyResponse{})
		Expect(err).NotTo(HaveOccurred())
		Expect(j.forwardEvent(ticket, emptyResponse{}, j.lastAttempt, eventstream.Event{ID: 0, Raw: []byte("0")})).To(Succeed())
		Expect(j.handleStreamEnd(context.Background(), ticket, emptyResponse{})).To(BeFalse())
		Expect(caller.complete).To(BeTrue())
	})
})
