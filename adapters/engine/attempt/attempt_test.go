package attempt_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"

	"chivespindle.example/adapters/engine/attempt"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/serving"
)

// Timeouts: one that no passing spec reaches, and one that must expire.
const (
	longTimeout  = time.Minute
	shortTimeout = 50 * time.Millisecond
)

// server runs a handler and counts the connections that it accepts.
type server struct {
	*httptest.Server
	mu          sync.Mutex
	connections int
}

func serve(handler http.HandlerFunc) *server {
	s := &server{Server: httptest.NewUnstartedServer(handler)}
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.connections++
		}
	}
	s.Start()
	DeferCleanup(s.Close)
	return s
}

func (s *server) addr() netip.AddrPort { return netip.MustParseAddrPort(s.Listener.Addr().String()) }

func (s *server) accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

func request(body string) attempt.Request {
	call := serving.Call{ID: "a1", IdempotencyKey: "order-1", Priority: 2, Traceparent: "00-01-02-01"}
	return attempt.Request{
		Method:           http.MethodPost,
		Path:             "/v1/call/parts",
		Header:           attempt.CallHeader(call),
		Body:             []byte(body),
		FirstByteTimeout: longTimeout,
		StallTimeout:     longTimeout,
	}
}

// send makes an attempt and reads the response body.
func send(ctx context.Context, client *attempt.Client, r attempt.Request) (string, error) {
	a, err := client.Send(ctx, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := a.ReadAll(1 << 20)
	return string(body), err
}

// runCounter counts the requests that a server ran.
type runCounter struct {
	mu sync.Mutex
	n  int
}

func (r *runCounter) add() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	return r.n
}

func (r *runCounter) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// abortSecond responds to requests and keeps their connections open, but closes the
// connection of the second request after it ran it.
func (r *runCounter) abortSecond(_ http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	if r.add() == 2 {
		panic(http.ErrAbortHandler)
	}
}

// respondFive responds with five bytes and announces length, or no length if it is
// negative.
func respondFive(length int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if length >= 0 {
			w.Header().Set("Content-Length", strconv.Itoa(length))
		}
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "12345")
	}
}

var _ = Describe("Attempt", func() {
	// Guards against a duplicate order. A service responds to one order and keeps
	// the connection open; when the second order arrives on it, the service runs
	// the order and the connection breaks. A client that resends the order orders
	// the part twice, so the attempt must end with an unknown outcome after one
	// run.
	DescribeTable("is sent once when its connection breaks",
		func(ctx SpecContext, body string) {
			var ran runCounter
			s := serve(ran.abortSecond)
			client := attempt.New(s.addr())
			_, err := send(ctx, client, request(body))
			Expect(err).NotTo(HaveOccurred())
			_, err = send(ctx, client, request(body))
			Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue(), "%v", err)
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
			Expect(ran.count()).To(Equal(2))
			Expect(s.accepted()).To(Equal(2), "each attempt uses a new connection")
		},
		Entry("with a body", "mast chain"),
		Entry("without a body", ""),
	)

	// The same service with the default client of net/http, to show that the spec
	// above provokes the failure: the second order runs twice.
	It("would be sent twice by a client that reuses connections", func(ctx SpecContext) {
		var ran runCounter
		s := serve(ran.abortSecond)
		usual := s.Client()
		for range 2 {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL, strings.NewReader("mast chain"))
			Expect(err).NotTo(HaveOccurred())
			r.Header.Set("Idempotency-Key", "order-1")
			response, err := usual.Do(r)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, response.Body)
			Expect(response.Body.Close()).To(Succeed())
		}
		Expect(ran.count()).To(Equal(3))
	})

	DescribeTable("does not follow a redirect",
		func(ctx SpecContext, body string) {
			var ran runCounter
			s := serve(func(w http.ResponseWriter, r *http.Request) {
				ran.add()
				http.Redirect(w, r, "/v1/elsewhere", http.StatusTemporaryRedirect)
			})
			a, err := attempt.New(s.addr()).Send(ctx, request(body))
			Expect(err).NotTo(HaveOccurred())
			defer a.Close()
			Expect(a.Status).To(Equal(http.StatusTemporaryRedirect))
			Expect(ran.count()).To(Equal(1))
		},
		Entry("with a body", "x"),
		Entry("without a body", ""),
	)

	It("sends the headers of the call", func(ctx SpecContext) {
		got := make(chan http.Header, 1)
		s := serve(func(_ http.ResponseWriter, r *http.Request) { got <- r.Header })
		_, err := send(ctx, attempt.New(s.addr()), request("x"))
		Expect(err).NotTo(HaveOccurred())
		header := <-got
		Expect(header.Get("Request-Id")).To(Equal("a1"))
		Expect(header.Get("Idempotency-Key")).To(Equal("order-1"))
		Expect(header.Get("Priority")).To(Equal("u=2"))
		Expect(header.Get("Traceparent")).To(Equal("00-01-02-01"))
		Expect(attempt.CallHeader(serving.Call{ID: "a1"})).NotTo(HaveKey("Idempotency-Key"))
	})

	DescribeTable("accepts the server's outcome only with an error status",
		func(ctx SpecContext, status int, outcome string, want failure.Outcome, pause time.Duration) {
			s := serve(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Request-Outcome", outcome)
				w.Header().Set("Retry-After", "3")
				w.WriteHeader(status)
				_, _ = io.WriteString(w, "why")
			})
			a, err := attempt.New(s.addr()).Send(ctx, request("x"))
			Expect(err).NotTo(HaveOccurred())
			defer a.Close()
			err = a.StatusError(failure.Unavailable)
			Expect(failure.OutcomeOf(err)).To(Equal(want))
			Expect(failure.RetryAfter(err)).To(Equal(pause))
			Expect(err).To(MatchError(ContainSubstring(`"why"`)))
		},
		Entry("503 not run", 503, "not_run", failure.NotRun, 3*time.Second),
		Entry("503 without an outcome", 503, "", failure.Unknown, 3*time.Second),
		Entry("503 ran", 503, "ran", failure.Unknown, 3*time.Second),
		Entry("400 not run", 400, "not_run", failure.NotRun, 3*time.Second),
		Entry("200 not run", 200, "not_run", failure.Unknown, 3*time.Second),
	)

	// A server stalls and its connection stays open, so no error is ever reported.
	// Wherever it stalls, the attempt must time out by itself, with an unknown
	// outcome, since the server has received all or part of the request.
	DescribeTable("times out without progress",
		func(ctx SpecContext, handler http.HandlerFunc, body string) {
			release := make(chan struct{})
			s := serve(func(w http.ResponseWriter, r *http.Request) {
				handler(w, r)
				<-release
			})
			DeferCleanup(func() { close(release) })
			r := request(body)
			r.FirstByteTimeout = shortTimeout
			r.StallTimeout = shortTimeout
			_, err := send(ctx, attempt.New(s.addr()), r)
			Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		},
		Entry("after the response header", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = http.NewResponseController(w).Flush()
		}, "x"),
		Entry("before the response", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
		}, "x"),
		Entry("inside the response body", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
		}, "x"),
		Entry("while the request body is sent", func(http.ResponseWriter, *http.Request) {}, strings.Repeat("x", 32<<20)),
	)

	// A server starts its response before it has read the whole request body, reads
	// the rest, and stalls. The rest of the body must not restart the long timeout
	// for the first byte: the caller would wait that long for an incomplete
	// response. The spec's own timeout ends a client that does.
	It("times out a stalled response although the request body was read late", func(ctx SpecContext) {
		started := make(chan struct{})
		release := make(chan struct{})
		s := serve(func(w http.ResponseWriter, r *http.Request) {
			control := http.NewResponseController(w)
			_ = control.EnableFullDuplex()
			_, _ = io.WriteString(w, "half")
			_ = control.Flush()
			<-started
			_, _ = io.Copy(io.Discard, r.Body)
			<-release
		})
		DeferCleanup(func() { close(release) })
		r := request(strings.Repeat("x", 32<<20))
		r.FirstByteTimeout = time.Hour
		r.StallTimeout = 500 * time.Millisecond
		a, err := attempt.New(s.addr()).Send(ctx, r)
		Expect(err).NotTo(HaveOccurred())
		defer a.Close()
		_, err = io.ReadFull(a, make([]byte, len("half")))
		Expect(err).NotTo(HaveOccurred())
		close(started)
		_, err = a.Read(make([]byte, 1))
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
	}, SpecTimeout(30*time.Second))

	It("is not run if its context was canceled before", func(ctx SpecContext) {
		s := serve(func(http.ResponseWriter, *http.Request) { Fail("the request was sent") })
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		_, err := send(canceled, attempt.New(s.addr()), request("x"))
		Expect(errorx.IsOfType(err, attempt.Canceled)).To(BeTrue(), "%v", err)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
	})

	It("ends at the deadline of its context", func(ctx SpecContext) {
		release := make(chan struct{})
		s := serve(func(http.ResponseWriter, *http.Request) { <-release })
		DeferCleanup(func() { close(release) })
		limited, cancel := context.WithTimeout(ctx, shortTimeout)
		defer cancel()
		_, err := send(limited, attempt.New(s.addr()), request("x"))
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
	})

	DescribeTable("reads a complete body up to the limit",
		func(ctx SpecContext, handler http.HandlerFunc, limit int64, kind *errorx.Type) {
			a, err := attempt.New(serve(handler).addr()).Send(ctx, request("x"))
			Expect(err).NotTo(HaveOccurred())
			defer a.Close()
			data, err := a.ReadAll(limit)
			if kind == nil {
				Expect(err).NotTo(HaveOccurred())
				Expect(string(data)).To(Equal("12345"))
				return
			}
			Expect(errorx.IsOfType(err, kind)).To(BeTrue(), "%v", err)
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		},
		Entry("with a known length", respondFive(5), int64(5), nil),
		Entry("with a known length above the limit", respondFive(5), int64(4), failure.Corrupt),
		Entry("with a known length, truncated", respondFive(6), int64(9), failure.Unavailable),
		Entry("with an unknown length", respondFive(-1), int64(5), nil),
		Entry("with an unknown length, above the limit", respondFive(-1), int64(4), failure.Corrupt),
	)

	// An agent runs for months. Attempts that end early must not leak goroutines,
	// or memory grows until the instance kills the process.
	It("does not leak goroutines however it ends", func(ctx SpecContext) {
		before := goleak.IgnoreCurrent()
		release := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				<-release
			}
		}))
		client := attempt.New(netip.MustParseAddrPort(s.Listener.Addr().String()))
		stalled := request("x")
		stalled.FirstByteTimeout = shortTimeout
		_, err := send(ctx, client, stalled)
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
		limited, cancel := context.WithTimeout(ctx, shortTimeout)
		defer cancel()
		_, err = send(limited, client, request("x"))
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
		complete := request("")
		complete.Method = http.MethodGet
		_, err = send(ctx, client, complete)
		Expect(err).NotTo(HaveOccurred())
		close(release)
		s.Close()
		Expect(goleak.Find(before)).To(Succeed())
	})
})
