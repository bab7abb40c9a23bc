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

// deafEngines never learn that a call was taken back, and begin it as late as the
// time that they were given allows.
type deafEngines struct {
	mu   sync.Mutex
	sent []Order
	// gives is how many events the first call gets before its engine fails.
	gives int
}

func (*deafEngines) Keep([]placement.Server) {}

func (*deafEngines) Check(context.Context, netip.AddrPort) Liveness { return Alive }

func (e *deafEngines) Send(_ context.Context, _ *Call, o Order) (Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, o)
	if len(e.sent) == 1 && e.gives > 0 {
		return &brokenStream{left: e.gives, version: o.Server.Loaded}, nil
	}
	return nil, failure.WithOutcome(failure.Timeout.New("nothing came"), failure.Unknown)
}

func (e *deafEngines) orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.sent...)
}

// brokenStream gives some events and fails.
type brokenStream struct {
	emptyAnswer
	left    int
	next    int64
	version placement.ModelVersion
}

func (s *brokenStream) Version() placement.ModelVersion { return s.version }
func (s *brokenStream) Limit() ServerLimit              { return ServerLimit{} }

func (s *brokenStream) Next() (eventstream.Event, error) {
	if s.left == 0 {
		return eventstream.Event{}, failure.WithOutcome(failure.Unavailable.Wrap(io.ErrUnexpectedEOF, "read"), failure.Unknown)
	}
	s.left--
	s.next++
	return eventstream.Event{ID: s.next, Raw: []byte("e")}, nil
}

// Two callers had a 502 at 30.03 and 30.33 s, since their entries had withdrawn
// both calls from an engine that gave nothing. The engine began them at 31.02 and
// 30.74 s ("a request began on version 2, 10004 ms after version 3 was acked" and
// 9719 ms, where 9700 are allowed). The entries closed their connections before
// that, but a close ends no call that waits in an engine until it is read there.
// The time given to the engine was all of the callers' 6 s, so nothing else ended
// them.
var _ = Describe("A call at an engine whose version is outdated", func() {
	const (
		timeout = 30 * time.Second
		passed  = 4 * time.Second // of the 8 s for the version
	)
	var (
		g        *Gateway
		backend  *deafEngines
		named    time.Time
		expected int // tokens of the answer
	)

	// serve has a call answered at engines that hold version 1, some time after
	// version 2 was named.
	serve := func(resumable bool, attempts int) []Order {
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3))
		s.Config.Services[0].Engine = &enginemodel.Figures{
			Slots: 16, Layers: 4, Step: 10 * time.Millisecond, Stride: 5, UsualAnswer: 50}
		route := &s.Config.Routes[0]
		route.Kind, route.Resumable, route.MaxAttempts = routing.Stream, resumable, attempts
		route.Aim, route.PauseAim, route.Timeout = 2*time.Second, time.Second, timeout
		s.Wanted = []catalog.Wanted{{Model: "m", Version: 2}}
		now := time.Now()
		g.adopt(now, s, "platform")
		named = now.Add(-passed)
		g.names["m"] = loading.NamedVersions{{Version: 2, Since: named}}
		g.publish(now)
		call := &Call{ID: "c", Host: "a.example", Path: "/", Arrived: now, Patience: timeout, LastEvent: -1, Expected: expected}
		g.Serve(context.Background(), call, &reader{})
		return backend.orders()
	}

	prepare := func() {
		g, _ = newGateway()
		backend = &deafEngines{}
		g.opts.Backend = backend
		expected = 50
	}
	BeforeEach(prepare)

	// Guards against calls that begin on outdated weights because the word that
	// takes them back is late or lost.
	It("cannot begin there after the time of the version, whatever the engine hears", func() {
		for _, c := range []struct {
			name            string
			resumable       bool
			attempts, gives int
			sent            int
		}{
			{name: "a call that may be repeated", resumable: true, attempts: 2, sent: 2},
			{name: "one on its last attempt", resumable: true, attempts: 1, sent: 1},
			{name: "one that may run only once", attempts: 2, sent: 1},
			{name: "a stream that goes on at another engine", resumable: true, attempts: 2, gives: 3, sent: 2},
		} {
			By(c.name)
			prepare()
			backend.gives = c.gives
			got := serve(c.resumable, c.attempts)
			Expect(got).To(HaveLen(c.sent))
			for _, o := range got {
				Expect(o.Server.Loaded).To(Equal(placement.ModelVersion(1)))
				Expect(o.Until).To(BeTemporally("<", named.Add(g.opts.VersionTime)))
			}
		}
	})

	// Guards against long calls that wait there with nothing to end them, or are cut
	// off when the time is over.
	It("is not sent there if its answer is not expected in time", func() {
		expected = 500
		Expect(serve(true, 2)).To(BeEmpty())
	})

	// Guards against engines left unused while they may still answer.
	It("is sent there while its answer is expected in time", func() {
		Expect(serve(true, 2)).NotTo(BeEmpty())
	})

	// Guards against a whole answer that is cut off since its end came a moment after
	// the time that the engine was given.
	It("is whole if its stream ends as the time of the engine is over", func() {
		g.adopt(time.Now(), snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
		g.publish(time.Now())
		caller := &reader{}
		call := &Call{ID: "c", LastEvent: -1}
		j := &job{g: g, call: call, reply: newReply(g, call, caller), view: g.view.Load(), service: g.table.Service("pool"),
			route: g.table.Match("a.example", "/"), mayHaveRun: true,
			deadline: time.Now().Add(time.Minute), serverUntil: time.Now()}
		ticket, _ := g.board.Choose(time.Now(), placement.Ask{Service: "pool", Left: time.Minute})
		var err error
		j.run, err = j.reply.accept(emptyAnswer{})
		Expect(err).NotTo(HaveOccurred())
		Expect(j.takeEvent(ticket, emptyAnswer{}, j.run, eventstream.Event{ID: 0, Raw: []byte("0")})).To(Succeed())
		Expect(j.streamEnded(context.Background(), ticket, emptyAnswer{})).To(BeFalse())
		Expect(caller.complete).To(BeTrue())
	})
})
