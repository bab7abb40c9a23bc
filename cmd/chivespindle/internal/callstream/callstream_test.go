package callstream_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/adapters/exchange/exchangetest"
	"chivespindle.example/cmd/chivespindle/internal/callstream"
	"chivespindle.example/core/failure"
)

func start(handler http.HandlerFunc) netip.AddrPort {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

var request = callerclient.Request{Service: "workshop-api", IdempotencyKey: "k-1", NonIdempotent: true, Body: []byte("{}")}

// writeComplete writes a complete response as an entry does.
func writeComplete(w http.ResponseWriter, pieces ...string) {
	w.Header().Set("Trailer", callerhttp.HeaderOutcome)
	for _, piece := range pieces {
		_, _ = io.WriteString(w, piece)
		_ = http.NewResponseController(w).Flush()
	}
	w.Header().Set(callerhttp.HeaderOutcome, failure.Ran.String())
}

var _ = Describe("Send", func() {
	// Guards against a command that ends for want of memory.
	It("gives up a response whose head has no end", func() {
		exchangetest.ExpectBoundedHead(func(ctx context.Context, addr netip.AddrPort) error {
			_, err := callstream.New().Send(ctx, []netip.AddrPort{addr}, request, io.Discard)
			return err
		})
	})

	// Guards against a client that buffers the whole response. The entry holds
	// the second piece back until the first one has been forwarded, so a
	// buffering client would wait forever.
	It("forwards each piece as it arrives", func(ctx SpecContext) {
		forwarded := make(chan string, 2)
		addr := start(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", callerhttp.HeaderOutcome)
			_, _ = io.WriteString(w, "first")
			_ = http.NewResponseController(w).Flush()
			Expect(<-forwarded).To(Equal("first"))
			writeComplete(w, "second")
		})
		response, err := callstream.New().Send(ctx, []netip.AddrPort{addr}, request, writerFunc(func(p []byte) (int, error) {
			forwarded <- string(p)
			return len(p), nil
		}))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Bytes).To(BeEquivalentTo(len("firstsecond")))
	}, NodeTimeout(10*time.Second))

	// Guards against running work twice. The entry receives an order and dies
	// before it responds. The order may have run, so it must not be sent again,
	// neither to this entry by the HTTP library nor to the next one.
	It("sends once when the connection breaks after the request", func(ctx SpecContext) {
		var orders atomic.Int32
		var broken atomic.Bool
		entry := start(func(w http.ResponseWriter, _ *http.Request) {
			if !broken.Load() { // the first request leaves a connection that could be reused
				writeComplete(w, "good")
				return
			}
			orders.Add(1)
			panic(http.ErrAbortHandler)
		})
		next := start(func(http.ResponseWriter, *http.Request) { orders.Add(1) })
		client := callstream.New()
		_, err := client.Send(ctx, []netip.AddrPort{entry}, request, io.Discard)
		Expect(err).NotTo(HaveOccurred())
		broken.Store(true)
		response, err := client.Send(ctx, []netip.AddrPort{entry, next}, request, io.Discard)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown), "%v", err)
		Expect(response.Entry).To(Equal(entry))
		Expect(orders.Load()).To(BeEquivalentTo(1))
	})

	DescribeTable("takes the outcome of a refusal from its header",
		func(ctx SpecContext, header, body string, outcome failure.Outcome) {
			addr := start(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(callerhttp.HeaderOutcome, header)
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, body)
			})
			_, err := callstream.New().Send(ctx, []netip.AddrPort{addr}, request, io.Discard)
			Expect(err).To(HaveOccurred())
			Expect(failure.OutcomeOf(err)).To(Equal(outcome))
		},
		Entry("not run", "not_run", `{"reason":"full"}`, failure.NotRun),
		Entry("ran", "ran", `{"reason":"taken before"}`, failure.Ran),
		Entry("unknown", "unknown", `{"reason":"cut"}`, failure.Unknown),
		Entry("a value of a later version", "maybe", `{"reason":"?"}`, failure.Unknown),
		Entry("a truncated body", "not_run", `{"reas`, failure.NotRun),
	)

	// Guards against taking the response of a server that is not an entry for a
	// complete one.
	DescribeTable("accepts a response without a body as complete by its header alone",
		func(ctx SpecContext, header string, complete bool) {
			addr := start(func(w http.ResponseWriter, _ *http.Request) {
				if header != "" {
					w.Header().Set(callerhttp.HeaderOutcome, header)
				}
				w.WriteHeader(http.StatusNoContent)
			})
			_, err := callstream.New().Send(ctx, []netip.AddrPort{addr}, request, io.Discard)
			if complete {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(HaveOccurred())
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		},
		Entry("ran", "ran", true),
		Entry("none", "", false),
		Entry("another value", "unknown", false),
	)

	It("reports an unknown outcome when the response cannot be written", func(ctx SpecContext) {
		addr := start(func(w http.ResponseWriter, _ *http.Request) { writeComplete(w, "good") })
		full := writerFunc(func([]byte) (int, error) { return 0, io.ErrShortWrite })
		_, err := callstream.New().Send(ctx, []netip.AddrPort{addr}, request, full)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		Expect(err.Error()).To(ContainSubstring("the response cannot be written"))
	})

	It("reports not run when there is no entry to connect to", func() {
		_, err := callstream.New().Send(context.Background(), nil, request, io.Discard)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
	})
})

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
