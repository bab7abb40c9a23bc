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

// Engines began calls that entries had withdrawn from them, and no line told
// which calls those were, why, and how much of the version's time was left.
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
		ticket  *placement.Ticket
		failed  time.Time
	)
	silence := failure.Timeout.New("nothing came")
	closed := failure.Unavailable.New("use of closed connection")

	// place has a call wait at an engine of version 1. The call fails so long
	// after version 2 was named; 0 if that was never.
	place := func(named time.Duration) {
		g, _ = newGateway()
		var core zapcore.Core
		core, lines = observer.New(zap.InfoLevel)
		metrics = tally.NewTestScope("", nil)
		g.log = newRequestLog(start, zap.New(core), metrics)
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2))
		s.Config.Services[0].Engine = &enginemodel.Figures{
			Slots: 16, Layers: 4, Step: 10 * time.Millisecond, Stride: 5, UsualAnswer: 90}
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
		ticket, _ = g.board.Choose(placed, placement.Ask{
			Service: "pool", Engine: g.table.Service("pool").Engine, Aim: time.Second, Left: time.Minute})
		Expect(ticket).NotTo(BeNil())
		call := &Call{ID: "c", Arrived: placed, LastEvent: -1}
		j = &job{g: g, call: call, reply: newReply(g, call, nil), view: g.view.Load(), service: g.table.Service("pool"),
			route: g.table.Match("a.example", "/"), deadline: failed.Add(time.Minute), progressAt: placed}
	}

	line := func() map[string]any {
		told := lines.FilterMessage("attempt_failed").All()
		Expect(told).To(HaveLen(1))
		return told[0].ContextMap()
	}

	withdrawn := func(reason string) int64 {
		counter, found := metrics.Snapshot().Counters()["calls_withdrawn+reason="+reason]
		if !found {
			return 0
		}
		return counter.Value()
	}

	gone, cancel := context.WithCancel(context.Background())
	cancel()

	DescribeTable("is told with its reason and the time left of the version",
		func(named time.Duration, ctx context.Context, err error, reason string, left types.GomegaMatcher) {
			place(named)
			j.failed(ctx, failed, ticket, err)
			Expect(line()).To(And(
				HaveKeyWithValue("request", "c"), HaveKeyWithValue("server", "i-1"), HaveKeyWithValue("addr", "10.0.1.1:80"),
				HaveKeyWithValue("loaded", uint64(1)),
				HaveKeyWithValue("reason", reason), HaveKeyWithValue("waited", waited)))
			Expect(line()["version_left"]).To(left)
			Expect(withdrawn(reason)).To(Equal(int64(1)))
		},
		Entry("silence on a version that is not outdated", time.Duration(0), context.Background(), silence, "silent", BeNil()),
		Entry("silence on an outdated one", 2*time.Second, context.Background(), silence, "silent", Equal(versionTime-2*time.Second)),
		Entry("its time is nearly over", 7900*time.Millisecond, context.Background(), silence, "version_time", Equal(100*time.Millisecond)),
		Entry("its time is over", 8300*time.Millisecond, context.Background(), silence, "version_time", Equal(-300*time.Millisecond)),
		Entry("the caller left", 2*time.Second, gone, closed, "caller_left", Equal(versionTime-2*time.Second)),
		Entry("another call's answer came", 2*time.Second, context.Background(), failure.Corrupt.New("another"), "other_answer",
			Equal(versionTime-2*time.Second)),
	)

	It("is told to have been closed at its deadline", func() {
		place(0)
		j.deadline = failed
		j.failed(context.Background(), failed, ticket, silence)
		Expect(line()).To(HaveKeyWithValue("reason", "deadline"))
	})

	// A line that names as withdrawn what the engine had begun, or what never
	// reached it, sends its reader after the wrong calls.
	DescribeTable("is not told of",
		func(prepare func(), err error) {
			place(2 * time.Second)
			prepare()
			j.failed(context.Background(), failed, ticket, err)
			Expect(line()).NotTo(HaveKey("reason"))
			for _, counter := range metrics.Snapshot().Counters() {
				Expect(counter.Name()).NotTo(Equal("calls_withdrawn"))
			}
		},
		Entry("when an event had come", func() { ticket.Wrote(1) }, silence),
		Entry("when it could not be sent", func() {}, failure.WithOutcome(failure.Timeout.New("connect"), failure.NotRun)),
		Entry("when the connection broke by itself", func() {}, failure.Unavailable.New("connection reset by peer")),
		Entry("when a plain service had it", func() { j.service = g.table.Service("weights") }, silence),
	)

	// Retries of one request have other request ids, and a connection may break though
	// its server lives: the line did not let either be told.
	DescribeTable("has the content's fingerprint in its line if its connection broke",
		func(state Liveness) {
			place(0)
			g.opts.Backend = &noBackend{state: state}
			j.serverUntil = j.deadline
			j.failed(context.Background(), failed, ticket, failure.Unavailable.New("unexpected EOF"))
			Expect(line()).To(And(HaveKeyWithValue("fingerprint", j.contentFingerprint().String()), HaveKeyWithValue("server_state", state.String())))
		},
		Entry("and its server ended", Down),
		Entry("and its server lives", Alive),
		Entry("and nothing is known of its server", LivenessUnknown),
	)

	// A burst of withdrawals writes no more lines than any other burst, and none of
	// them is missing in the count.
	It("is counted beyond the bound of lines", func() {
		place(2 * time.Second)
		g.log.gate.second, g.log.gate.passed = failed.Add(time.Hour), linesPerSecond
		j.failed(context.Background(), failed, ticket, silence)
		Expect(lines.FilterMessage("attempt_failed").Len()).To(BeZero())
		Expect(withdrawn("silent")).To(Equal(int64(1)))
	})
})
