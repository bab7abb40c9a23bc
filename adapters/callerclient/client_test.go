package callerclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gcustom"
	"github.com/onsi/gomega/types"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/adapters/callerhttp/callerhttptest"
	"chivespindle.example/core/addressing"
	"chivespindle.example/core/balance"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

var (
	ctx = context.Background()
	r1  = fleet.Version{Name: "r1", Manifest: fleet.DigestOf([]byte("r1"))}
)

func haveOutcome(want failure.Outcome) types.GomegaMatcher {
	return gcustom.MakeMatcher(func(err error) (bool, error) {
		return err != nil && failure.OutcomeOf(err) == want, nil
	}).WithTemplate("Expected\n{{.FormattedActual}}\nto have the outcome " + want.String())
}

func beOfType(want *errorx.Type) types.GomegaMatcher {
	return gcustom.MakeMatcher(func(err error) (bool, error) {
		return errorx.IsOfType(err, want), nil
	}).WithTemplate("Expected\n{{.FormattedActual}}\nto be of the type " + want.FullName())
}

// bookOf returns the given addresses and counts the requests for them.
func bookOf(requests *atomic.Int64, addresses func() []netip.AddrPort) callerhttptest.AddressBook {
	return callerhttptest.AddressBook{Lookup: func(fleet.Place) addressing.Result {
		requests.Add(1)
		return addressing.Result{Addresses: addresses(), TTL: time.Hour}
	}}
}

// closedPort returns an address on which nothing listens.
func closedPort() netip.AddrPort {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func newClient(seeds ...netip.AddrPort) *callerclient.Client {
	return callerclient.New(callerclient.Options{Seeds: seeds})
}

// echo responds with the path and body of the request.
func echo(_ context.Context, r calls.Request, sink calls.Sink) (calls.Completion, error) {
	if err := sink.Begin(calls.ResponseHeader{Status: http.StatusOK}); err != nil {
		return calls.Completion{}, err
	}
	return calls.Completion{}, sink.Piece([]byte(r.Path + " " + string(r.Body)))
}

var _ = Describe("Addresses", func() {
	// A caller starts with two seed addresses, one of which is no longer in use. It
	// gets the addresses from the other, caches them for their time to live, and
	// sends its request to the first of them that accepts a connection.
	It("that do not accept connections are skipped", func() {
		var addressRequests, ran atomic.Int64
		entry := callerhttptest.Serve(func(ctx context.Context, r calls.Request, sink calls.Sink) (calls.Completion, error) {
			ran.Add(1)
			return echo(ctx, r, sink)
		}, callerhttptest.AddressBook{})
		directory := callerhttptest.Serve(nil, bookOf(&addressRequests, func() []netip.AddrPort { return []netip.AddrPort{closedPort(), entry} }))
		client := newClient(closedPort(), directory)
		response, err := client.Do(ctx, callerclient.Request{Service: "workshop-api", Body: []byte("two cones")})
		Expect(err).NotTo(HaveOccurred())
		Expect(response).To(SatisfyAll(HaveField("Entry", entry), HaveField("Body", []byte(" two cones"))))
		Expect(ran.Load()).To(BeEquivalentTo(1))
		Expect(addressRequests.Load()).To(BeEquivalentTo(1))

		_, err = client.Do(ctx, callerclient.Request{Service: "workshop-api"})
		Expect(err).NotTo(HaveOccurred())
		Expect(addressRequests.Load()).To(BeEquivalentTo(2), "requested again, since a connection had failed")
	})

	// As long as no connection fails, the addresses are cached: the client does not
	// request them before each request.
	It("are cached for their time to live", func() {
		var addressRequests atomic.Int64
		var self netip.AddrPort
		self = callerhttptest.Serve(echo, bookOf(&addressRequests, func() []netip.AddrPort { return []netip.AddrPort{self} }))
		client := newClient(self)
		const requests = 5
		for range requests {
			_, err := client.Do(ctx, callerclient.Request{Service: "workshop-api"})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(addressRequests.Load()).To(BeEquivalentTo(1))
	})

	// No entry accepts a connection, or all that do are leaving and return no
	// addresses. The error says that nothing was run.
	It("of which none works mean that nothing was run", func() {
		_, err := newClient(closedPort(), closedPort()).Do(ctx, callerclient.Request{Service: "workshop-api"})
		Expect(err).To(SatisfyAll(beOfType(failure.Unavailable), haveOutcome(failure.NotRun)))

		var addressRequests atomic.Int64
		leaving := callerhttptest.Serve(nil, bookOf(&addressRequests, func() []netip.AddrPort { return nil }))
		_, err = newClient(leaving).Do(ctx, callerclient.Request{Service: "workshop-api"})
		Expect(err).To(SatisfyAll(beOfType(failure.Unavailable), haveOutcome(failure.NotRun)))
		_, err = newClient(leaving).IssueKey(ctx, "workshop-api")
		Expect(err).To(haveOutcome(failure.NotRun))

		var closed netip.AddrPort
		directory := callerhttptest.Serve(nil, bookOf(&addressRequests, func() []netip.AddrPort { return []netip.AddrPort{closed} }))
		closed = closedPort()
		_, err = newClient(directory).Do(ctx, callerclient.Request{Service: "workshop-api"})
		Expect(err).To(SatisfyAll(beOfType(callerclient.NotConnected), haveOutcome(failure.NotRun)))
	})
})

// A caller gets the response, or the outcome of its request, in all cases in which
// a request can end.
var _ = Describe("A response", func() {
	at := func(d callerhttptest.Dispatcher) (callerclient.Response, error) {
		return newClient(closedPort()).DoAt(ctx, callerhttptest.Serve(d, callerhttptest.AddressBook{}), callerclient.Request{Service: "workshop-api"})
	}

	It("that is complete is returned with its version", func() {
		response, err := at(callerhttptest.Respond(200, r1, nil, "one\n", "two\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response).To(SatisfyAll(HaveField("Status", 200), HaveField("Body", []byte("one\ntwo\n")),
			HaveField("Version", r1.Name+"@"+r1.Manifest.String()), HaveField("TimeToHeader", BeNumerically(">", 0))))
	})
	It("without a body is complete according to its header", func() {
		response, err := at(callerhttptest.Respond(204, fleet.Version{}, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(response).To(SatisfyAll(HaveField("Status", 204), HaveField("Body", BeEmpty())))
	})
	It("with an error status of the service is a response", func() {
		response, err := at(callerhttptest.Respond(404, fleet.Version{}, nil, "no order 8"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response).To(SatisfyAll(HaveField("Status", 404), HaveField("Body", []byte("no order 8"))))
	})

	// The entry aborts a response by closing the connection, at each point. The
	// part that arrived is returned with the outcome "unknown", never as a complete
	// response.
	DescribeTable("that was aborted has an unknown outcome", func(d callerhttptest.Dispatcher, part string) {
		response, err := at(d)
		Expect(err).To(SatisfyAll(beOfType(calls.Interrupted), haveOutcome(failure.Unknown)))
		Expect(string(response.Body)).To(Equal(part))
	},
		Entry("after its first piece", callerhttptest.Respond(200, r1, callerhttptest.NewError(calls.Interrupted, failure.Unknown, 0), "one\n"), "one\n"),
		Entry("before its first piece", callerhttptest.Respond(200, r1, callerhttptest.NewError(calls.Interrupted, failure.Unknown, 0)), ""),
		Entry("without a body", callerhttptest.Respond(204, r1, callerhttptest.NewError(failure.Corrupt, failure.Unknown, 0)), ""),
	)

	// Guards against a truncated response that is taken for a complete one.
	DescribeTable("that was truncated after any byte is not complete", func(d callerhttptest.Dispatcher) {
		text := readResponse(callerhttptest.Serve(d, callerhttptest.AddressBook{}))
		for n := range len(text) {
			_, err := newClient(closedPort()).DoAt(ctx, serveRaw(text[:n]), callerclient.Request{Service: "workshop-api"})
			Expect(err).To(HaveOccurred(), "after %d of %d bytes", n, len(text))
			Expect(err).To(haveOutcome(failure.Unknown), "after %d of %d bytes", n, len(text))
		}
		_, err := newClient(closedPort()).DoAt(ctx, serveRaw(text), callerclient.Request{Service: "workshop-api"})
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("of a model engine", callerhttptest.Respond(200, r1, nil, "one\n", "two\n")),
		Entry("without pieces", callerhttptest.Respond(200, fleet.Version{}, nil)),
		Entry("without a body", callerhttptest.Respond(204, fleet.Version{}, nil)),
	)

	// Another implementation of an entry, or a proxy in between, ends a response
	// normally but without the trailer. The client must check the trailer and not
	// take the response for a complete one.
	It("without its trailer is truncated, although it ended normally", func() {
		addr := serveRaw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\none\n")
		response, err := newClient(closedPort()).DoAt(ctx, addr, callerclient.Request{Service: "workshop-api"})
		Expect(err).To(SatisfyAll(beOfType(calls.Interrupted), haveOutcome(failure.Unknown)))
		Expect(string(response.Body)).To(Equal("one\n"))
	})

	DescribeTable("that is an error response is returned with its outcome and retry delay",
		func(kind *errorx.Type, outcome failure.Outcome, retryAfter time.Duration) {
			_, err := at(callerhttptest.Fail(callerhttptest.NewError(kind, outcome, retryAfter)))
			Expect(err).To(SatisfyAll(beOfType(callerclient.Refused), haveOutcome(outcome),
				WithTransform(failure.RetryAfter, Equal(retryAfter))))
		},
		Entry("not run", balance.NoServer, failure.NotRun, 1400*time.Millisecond),
		Entry("unknown", calls.Duplicate, failure.Unknown, time.Second),
		Entry("ran before", calls.Duplicate, failure.Ran, time.Duration(0)),
	)

	It("that is not a valid error response has an unknown outcome", func() {
		addr := serveRaw("HTTP/1.1 503 Service Unavailable\r\nRequest-Outcome: not_run\r\nContent-Length: 5\r\n\r\n<html")
		_, err := newClient(closedPort()).DoAt(ctx, addr, callerclient.Request{Service: "workshop-api"})
		Expect(err).To(SatisfyAll(beOfType(failure.Corrupt), haveOutcome(failure.Unknown)))
	})
})

// readResponse returns all bytes of an entry's response.
func readResponse(entry netip.AddrPort) string {
	GinkgoHelper()
	conn, err := net.Dial("tcp", entry.String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(callerhttptest.WaitTimeout))).To(Succeed())
	_, err = io.WriteString(conn, "POST /v1/services/workshop-api HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(conn)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// serveRaw accepts one connection at a time, reads a request and responds with
// text.
func serveRaw(text string) netip.AddrPort {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

var _ = Describe("A request", func() {
	// The entry closes a reused connection while it receives the next request,
	// which has a key. Go's HTTP client would resend such a request by itself, at
	// least if it could rewind the body, and the request would arrive twice; this
	// client reports an unknown outcome, and does not try the second entry.
	It("is sent once, also on a reused connection that breaks", func() {
		var received atomic.Int64
		other := callerhttptest.Serve(func(context.Context, calls.Request, calls.Sink) (calls.Completion, error) {
			received.Add(1)
			return calls.Completion{}, nil
		}, callerhttptest.AddressBook{})
		dying := closeAtSecond(&received)
		var addressRequests atomic.Int64
		directory := callerhttptest.Serve(nil, bookOf(&addressRequests, func() []netip.AddrPort { return []netip.AddrPort{dying, other} }))
		client := newClient(directory)
		order := callerclient.Request{Service: "workshop-api", IdempotencyKey: "order-1", Body: []byte("two cones")}
		_, err := client.Do(ctx, order)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Do(ctx, order)
		Expect(err).To(SatisfyAll(beOfType(calls.Interrupted), haveOutcome(failure.Unknown)))
		Expect(received.Load()).To(BeEquivalentTo(2), "one for each call")
	})

	// An entry receives a request and its host resets the connection. The request
	// may have run: only a connection that was never established proves that it did
	// not. Guards against a client that takes each network error for a failed
	// connection attempt and reports "not_run".
	It("whose connection is reset has an unknown outcome", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4<<10))
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}()
		addr := listener.Addr().(*net.TCPAddr).AddrPort()
		_, err = newClient(addr).DoAt(ctx, addr, callerclient.Request{Service: "workshop-api"})
		Expect(err).To(SatisfyAll(beOfType(calls.Interrupted), haveOutcome(failure.Unknown)))
	})

	// A caller specifies a path with characters that have a meaning in URLs. The
	// service must get the path as the caller wrote it. Without escaping, the part
	// after a question mark was lost, and a percent sign or a hash changed the
	// path.
	DescribeTable("transmits its path unchanged", func(path string) {
		addr := callerhttptest.Serve(echo, callerhttptest.AddressBook{})
		response, err := newClient(addr).DoAt(ctx, addr, callerclient.Request{Service: "workshop-api", Path: path})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal(path + " "))
	},
		Entry("with two segments", "orders/7"),
		Entry("with a space", "orders/two cones"),
		Entry("with a question mark", "orders/why?"),
		Entry("with a hash", "orders/#7"),
		Entry("with a percent sign", "orders/50%25"),
		Entry("with non-ASCII letters", "tilaus/käämi"),
	)

	// All fields of a request must arrive at the dispatcher.
	It("transmits its headers", func() {
		seen := make(chan calls.Request, 1)
		addr := callerhttptest.Serve(func(ctx context.Context, r calls.Request, sink calls.Sink) (calls.Completion, error) {
			seen <- r
			return echo(ctx, r, sink)
		}, callerhttptest.AddressBook{})
		_, err := newClient(addr).DoAt(ctx, addr, callerclient.Request{
			Service: "workshop-api", Workspace: "apapa", IdempotencyKey: "order-1", NonIdempotent: true, FirstAttempt: true,
			Priority: "u=1", Prefix: "fault-log", Deadline: time.Minute, Body: []byte("two cones")})
		Expect(err).NotTo(HaveOccurred())
		Expect(seen).To(Receive(SatisfyAll(
			HaveField("Service", fleet.ServiceName("workshop-api")), HaveField("Workspace", fleet.Workspace("apapa")),
			HaveField("IdempotencyKey", "order-1"), HaveField("NonIdempotent", true), HaveField("FirstAttempt", true),
			HaveField("Priority", 1), HaveField("PrefixKey", Not(BeZero())), HaveField("Body", []byte("two cones")),
			HaveField("Deadline", BeTemporally(">", time.Now().Add(callerhttptest.DefaultDeadline))))))
	})

	// A caller cancels its request. The dispatcher's context must end, and the
	// caller's error must have an unknown outcome.
	It("that is canceled has an unknown outcome", func() {
		running, ended := make(chan struct{}), make(chan struct{})
		addr := callerhttptest.Serve(func(ctx context.Context, _ calls.Request, _ calls.Sink) (calls.Completion, error) {
			close(running)
			<-ctx.Done()
			close(ended)
			return calls.Completion{}, callerhttptest.NewError(calls.Interrupted, failure.Unknown, 0)
		}, callerhttptest.AddressBook{})
		canceled, cancel := context.WithCancel(ctx)
		failed := make(chan error, 1)
		go func() {
			_, err := newClient(addr).DoAt(canceled, addr, callerclient.Request{Service: "workshop-api"})
			failed <- err
		}()
		Eventually(running).Should(BeClosed())
		cancel()
		Eventually(failed).Should(Receive(haveOutcome(failure.Unknown)))
		Eventually(ended).Should(BeClosed())
	})
})

// closeAtSecond responds to the first request of a connection and closes the
// connection when the second one has arrived. It counts both.
func closeAtSecond(received *atomic.Int64) netip.AddrPort {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serveConn(conn, received)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func serveConn(conn net.Conn, received *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	buf := make([]byte, 4<<10)
	if _, err := conn.Read(buf); err != nil {
		return
	}
	received.Add(1)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Request-Outcome\r\n\r\n"+
		"2\r\nok\r\n0\r\nRequest-Outcome: ran\r\n\r\n")
	if _, err := conn.Read(buf); err != nil {
		return
	}
	received.Add(1)
}
