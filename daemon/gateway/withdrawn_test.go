package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/placement"
)

// Guards against engines that begin calls which entries have withdrawn from them while no
// log line says which calls those are, why they were withdrawn and how long the version
// may still be used.
var _ = Describe("A call that an entry closes at an engine before its first event", func() {
	const (
		versionTime = 8 * time.Second // of the gateway in these specs
		waited      = 1600 * time.Millisecond
	)
	var (
		g       *Gateway
		lines   *observer.ObservedLogs
		metrics tally.TestScope
		j       *job
		ticket  *placement.Assignment
		failed  time.Time
	)
	timeout := failure.Timeout.New("no event before the deadline")
	closed := failure.Unavailable.New("use of closed connection")

	// place puts a call at an engine of version 1. The call fails the given time after
	// version 2 was named, 0 if it never was.
	place := func(named time.Duration) {
		g, _ = newGateway()
		var core zapcore.Core
		core, lines = observer.New(zap.InfoLevel)
		metrics = tally.NewTestScope("", nil)
		g.log = newRequestLog(start, zap.New(core), metrics)
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2))
		s.Config.Services[0].Engine = &enginemodel.Profile{
			Slots: 16, Layers: 4, StepTime: 10 * time.Millisecond, StepsPerPass: 5, MeanOutputTokens: 90}
		failed = time.Now()
		if named > 0 {
			s.Wanted = []catalog.Wanted{{Model: "m", Version: 2}}
		}
		g.adopt(failed, s, "platform")
		if named > 0 {
			g.names["m"] = loading.NamedVersions{{Version: 2, Since: failed.Add(-named)}}
		}
		g.publish(failed)
		placed := failed.Add(-waited)
		ticket, _ = g.balancer.Choose(placed, placement.Request{
			Service: "pool", Engine: g.table.Service("pool").Engine, TargetLatency: time.Second, TimeLeft: time.Minute})
		Expect(ticket).NotTo(BeNil())
		call := &Call{ID: "c", Arrived: placed, LastEvent: -1}
		j = &job{g: g, call: call, reply: newReply(g, call, nil), view: g.view.Load(), service: g.table.Service("pool"),
			route: g.table.Match("a.example", "/"), deadline: failed.Add(time.Minute), progressAt: placed}
	}

	line := func() map[string]any {
		logged := lines.FilterMessage("attempt_failed").All()
		Expect(logged).To(HaveLen(1))
		return logged[0].ContextMap()
	}

	withdrawn := func(reason string) int64 {
		counter, found := metrics.Snapshot().Counters()["calls_withdrawn+reason="+reason]
		if !found {
			return 0
		}
		return counter.Value()
	}

	canceled, cancel := context.WithCancel(context.Background())
	cancel()

	DescribeTable("is logged with its reason and the time left of the version",
		func(named time.Duration, ctx context.Context, err error, reason string, left types.GomegaMatcher) {
			place(named)
			j.endFailedAttempt(ctx, failed, ticket, err)
			Expect(line()).To(And(
				HaveKeyWithValue("request", "c"), HaveKeyWithValue("server", "i-1"), HaveKeyWithValue("addr", "10.0.1.1:80"),
				HaveKeyWithValue("loaded", uint64(1)),
				HaveKeyWithValue("reason", reason), HaveKeyWithValue("waited", waited)))
			Expect(line()["version_left"]).To(left)
			Expect(withdrawn(reason)).To(Equal(int64(1)))
		},
		Entry("silence on a version that is not outdated", time.Duration(0), context.Background(), timeout, "silent", BeNil()),
		Entry("silence on an outdated version", 2*time.Second, context.Background(), timeout, "silent", Equal(versionTime-2*time.Second)),
		Entry("the time of the version is nearly over", 7900*time.Millisecond, context.Background(), timeout, "version_time", Equal(100*time.Millisecond)),
		Entry("the time of the version is over", 8300*time.Millisecond, context.Background(), timeout, "version_time", Equal(-300*time.Millisecond)),
		Entry("the caller disconnected", 2*time.Second, canceled, closed, "caller_left", Equal(versionTime-2*time.Second)),
		Entry("the response belonged to another call", 2*time.Second, context.Background(), failure.Corrupt.New("response to another call"), "other_answer",
			Equal(versionTime-2*time.Second)),
	)

	// Guards against engines that begin calls late while nothing shows it.
	DescribeTable("is logged as started late if its response starts once the version has expired",
		func(named time.Duration, want int) {
			place(named)
			j.checkLateStart(failed, ticket.Server)
			Expect(lines.FilterMessage("response_started_late").Len()).To(Equal(want))
		},
		Entry("before the end of its time", 7900*time.Millisecond, 0),
		Entry("after it", 8200*time.Millisecond, 1),
	)

	It("is logged as closed at its deadline", func() {
		place(0)
		j.deadline = failed
		j.endFailedAttempt(context.Background(), failed, ticket, timeout)
		Expect(line()).To(HaveKeyWithValue("reason", "deadline"))
	})

	// Guards against misleading lines that report calls as withdrawn which the engine had
	// begun or never received.
	DescribeTable("is not logged as withdrawn",
		func(prepare func(), err error) {
			place(2 * time.Second)
			prepare()
			j.endFailedAttempt(context.Background(), failed, ticket, err)
			Expect(line()).NotTo(HaveKey("reason"))
			for _, counter := range metrics.Snapshot().Counters() {
				Expect(counter.Name()).NotTo(Equal("calls_withdrawn"))
			}
		},
		Entry("when an event had been received", func() { ticket.AddTokens(1) }, timeout),
		Entry("when it could not be sent", func() {}, failure.WithOutcome(failure.Timeout.New("connect"), failure.NotRun)),
		Entry("when the connection broke by itself", func() {}, failure.Unavailable.New("connection reset by peer")),
		Entry("when it was sent to a plain service", func() { j.service = g.table.Service("weights") }, timeout),
	)

	// Retries of a request have different request ids, and a connection may break though its
	// server is alive. The line must identify the request's content and the server's state.
	DescribeTable("is logged with the fingerprint of its content if its connection broke",
		func(state Liveness) {
			place(0)
			g.opts.Backend = &rejectingBackend{state: state}
			j.serverDeadline = j.deadline
			j.endFailedAttempt(context.Background(), failed, ticket, failure.Unavailable.New("unexpected EOF"))
			Expect(line()).To(And(HaveKeyWithValue("fingerprint", j.contentFingerprint().String()), HaveKeyWithValue("server_state", state.String())))
		},
		Entry("and its server is down", Down),
		Entry("and its server is alive", Alive),
		Entry("and the state of its server is unknown", LivenessUnknown),
	)

	// A burst of withdrawals is subject to the limit on log lines, but all of them must be
	// counted.
	It("is counted even if the limit on log lines is reached", func() {
		place(2 * time.Second)
		g.log.limiter.windowStart, g.log.limiter.written = failed.Add(time.Hour), maxLinesPerSecond
		j.endFailedAttempt(context.Background(), failed, ticket, timeout)
		Expect(lines.FilterMessage("attempt_failed").Len()).To(BeZero())
		Expect(withdrawn("silent")).To(Equal(int64(1)))
	})
})
