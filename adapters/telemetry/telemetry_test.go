package telemetry_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/failure"
)

const sampledParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

var _ = Describe("NewLogger", func() {
	It("writes one line of key=value pairs, and only the message of an error", func() {
		var out bytes.Buffer
		logger := telemetry.NewLogger(zap.InfoLevel, &out).With(zap.NamedError("cause", failure.Corrupt.New("bad\nchunk")))
		logger.Debug("unseen")
		logger.Info("chunk_refused",
			zap.Error(failure.Invalid.New("not this")), zap.Int("index", 3),
			zap.Duration("after", 1500*time.Millisecond), zap.String("region", "Port Harcourt"), zap.String("empty", ""))
		Expect(out.String()).To(MatchRegexp(
			`^ts=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=info event=chunk_refused ` +
				`cause="chivespindle.corrupt: bad\\nchunk" error="chivespindle.invalid: not this" ` +
				`index=3 after=1.5s region="Port Harcourt" empty=\n$`))
	})

	It("does not modify the caller's fields", func() {
		err := failure.Invalid.New("not this")
		fields := []zap.Field{zap.Error(err)}
		telemetry.NewLogger(zap.InfoLevel, &bytes.Buffer{}).Info("event", fields...)
		Expect(fields[0].Interface).To(BeIdenticalTo(err))
	})
})

// FuzzLogLine logs arbitrary text as a value, as it may come from a caller's
// header. It must never produce a second line, which would forge an event.
func FuzzLogLine(f *testing.F) {
	f.Add("plain")
	f.Add("a=b \"c\"\nts=1 level=info event=forged")
	f.Add("\r\u2028\x00\xff")
	f.Fuzz(func(t *testing.T, text string) {
		g := NewWithT(t)
		var out bytes.Buffer
		telemetry.NewLogger(zap.InfoLevel, &out).Info("event", zap.String("key", text))
		g.Expect(strings.Count(out.String(), "\n")).To(Equal(1))
		g.Expect(out.String()).NotTo(ContainSubstring("\r"))
	})
}

func metricsPage(handler http.Handler) string {
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return response.Body.String()
}

var _ = Describe("NewMetrics", func() {
	It("shows counters, gauges, timers and the runtime", func() {
		scope, page, closer := telemetry.NewMetrics()
		scope.SubScope("fetch").Tagged(map[string]string{"source": "peer"}).Counter("chunks").Inc(7)
		scope.Gauge("in_flight").Update(3)
		scope.Timer("first_token").Record(300 * time.Millisecond)
		Expect(closer.Close()).To(Succeed()) // the last report
		text := metricsPage(page)
		Expect(text).To(ContainSubstring(`chivespindle_fetch_chunks{source="peer"} 7`))
		Expect(text).To(ContainSubstring("chivespindle_in_flight 3"))
		Expect(text).To(ContainSubstring(`chivespindle_first_token_bucket{le="0.2"} 0`))
		Expect(text).To(ContainSubstring(`chivespindle_first_token_bucket{le="0.33"} 1`))
		Expect(text).To(ContainSubstring("go_goroutines"))
		Expect(text).To(ContainSubstring("chivespindle_metrics_refused_total 0"))
	})

	// A metric name with two sets of tags is a programming error. The reporter
	// would panic at the first use, in the middle of a request.
	It("counts a metric that conflicts with another, and does not panic", func() {
		scope, page, closer := telemetry.NewMetrics()
		scope.Counter("requests").Inc(1)
		Expect(func() { scope.Tagged(map[string]string{"zone": "z"}).Counter("requests").Inc(1) }).NotTo(Panic())
		Expect(closer.Close()).To(Succeed())
		Expect(metricsPage(page)).To(ContainSubstring("chivespindle_requests 1"))
		Expect(metricsPage(page)).To(ContainSubstring("chivespindle_metrics_refused_total 1"))
	})
})

// lineOf returns the only line of out that contains text, and fails if there is
// not exactly one.
func lineOf(out, text string) string {
	var found []string
	for _, line := range strings.Split(out, "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	ExpectWithOffset(1, found).To(HaveLen(1))
	return found[0]
}

var _ = Describe("Tracer", func() {
	It("writes one line per span, each with its parent", func() {
		ignore := goleak.IgnoreCurrent()
		var out bytes.Buffer
		tracer := telemetry.NewTracer("entry", telemetry.NewLogger(zap.InfoLevel, &out))
		ctx, parent := tracer.Start(telemetry.Extract(context.Background(), sampledParent), "request")
		_, child := tracer.Start(ctx, "try", trace.WithAttributes(
			attribute.String("server", "a b"), attribute.Int("name", 2), attribute.String("long", strings.Repeat("x", 1000))))
		child.SetStatus(codes.Error, "timed out")
		child.End()
		parent.End()
		Expect(tracer.Shutdown(context.Background())).To(Succeed())

		first := lineOf(out.String(), "name=request")
		Expect(first).To(MatchRegexp(`level=info event=span trace_id=0af7651916cd43dd8448eb211c80319c ` +
			`span_id=[0-9a-f]{16} parent_id=b7ad6b7169203331 name=request service=entry start=\S+ duration_ms=[0-9.]+$`))
		second := lineOf(out.String(), "name=try")
		Expect(second).To(ContainSubstring("parent_id=" + parent.SpanContext().SpanID().String()))
		Expect(second).To(MatchRegexp(`error="timed out" server="a b" attr.name=2 long=x{256}$`))
		Expect(tracer.Stats()).To(Equal(telemetry.SpanStats{Ended: 2, Written: 2}))
		Eventually(func() error { return goleak.Find(ignore) }).Should(Succeed())
	})

	It("does not sample a span whose parent was not sampled", func() {
		var out bytes.Buffer
		tracer := telemetry.NewTracer("entry", telemetry.NewLogger(zap.InfoLevel, &out))
		parent := strings.TrimSuffix(sampledParent, "01") + "00"
		_, span := tracer.Start(telemetry.Extract(context.Background(), parent), "request")
		span.End()
		Expect(tracer.Shutdown(context.Background())).To(Succeed())
		Expect(out.String()).To(BeEmpty())
		Expect(tracer.Stats()).To(BeZero())
	})

	DescribeTable("propagates a trace context when spans are disabled", func(tracer *telemetry.Tracer) {
		ctx, span := tracer.Start(telemetry.Extract(context.Background(), sampledParent), "request")
		Expect(telemetry.Inject(ctx)).To(Equal(sampledParent))
		span.End()
		Expect(tracer.Shutdown(context.Background())).To(Succeed())
	},
		Entry("no logger", telemetry.NewTracer("entry", nil)),
		Entry("a logger above level info", telemetry.NewTracer("entry", telemetry.NewLogger(zap.WarnLevel, &bytes.Buffer{}))),
	)

	// The log reader is blocked, so the span writer blocks in Write and the
	// queue fills up. Requests that end spans must not wait for the log: the
	// newest spans are dropped, and the counters show how many.
	It("drops spans, and never delays a request, while the log is blocked", func() {
		const spans = 10_000
		stuck := &stuckWriter{entered: make(chan struct{}), release: make(chan struct{})}
		tracer := telemetry.NewTracer("entry", telemetry.NewLogger(zap.InfoLevel, stuck))
		end := func(count int) {
			for range count {
				_, span := tracer.Start(context.Background(), "request")
				span.End()
			}
		}
		end(1)
		Eventually(stuck.entered, "5s").Should(BeClosed())
		end(spans - 1)
		Expect(tracer.Stats().Ended).To(BeEquivalentTo(spans))
		Expect(tracer.Stats().Written).To(BeZero())
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(tracer.Shutdown(canceled)).To(MatchError(ContainSubstring("chivespindle.timeout")))
		close(stuck.release)
		Eventually(func() uint64 { return tracer.Stats().Written }).Should(BeNumerically(">", 0))
		Expect(tracer.Stats().Written).To(BeNumerically("<", spans/2))
	})
})

// stuckWriter blocks every write until it is released.
type stuckWriter struct {
	entered chan struct{} // closed at the first write
	release chan struct{}
	seen    bool
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	if !w.seen {
		w.seen = true
		close(w.entered)
	}
	<-w.release
	return len(p), nil
}

var _ = Describe("Inject and Extract", func() {
	It("propagate a span between processes", func() {
		ctx := telemetry.Extract(context.Background(), sampledParent)
		Expect(trace.SpanContextFromContext(ctx).IsRemote()).To(BeTrue())
		Expect(telemetry.Inject(ctx)).To(Equal(sampledParent))
	})

	DescribeTable("ignore a text that is not a valid traceparent", func(text string) {
		ctx := telemetry.Extract(context.Background(), text)
		Expect(telemetry.Inject(ctx)).To(BeEmpty())
	},
		Entry("empty", ""),
		Entry("zero ids", "00-00000000000000000000000000000000-0000000000000000-01"),
		Entry("short", "00-0af7-b7ad-01"),
		Entry("not hex", strings.ReplaceAll(sampledParent, "a", "z")),
	)
})
