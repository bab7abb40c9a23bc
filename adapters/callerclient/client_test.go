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

// naming answers address questions with the given addresses and counts them.
func naming(asked *atomic.Int64, addresses func() []netip.AddrPort) callerhttptest.AddressBook {
	return callerhttptest.AddressBook{Lookup: func(fleet.Place) addressing.Result {
		asked.Add(1)
		return addressing.Result{Addresses: addresses(), TTL: time.Hour}
	}}
}

// closedPort is an address at which nothing listens.
func closedPort() netip.AddrPort {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func clientOf(seeds ...netip.AddrPort) *callerclient.Client {
	return callerclient.New(callerclient.Options{Seeds: seeds})
}

// echo gives the request's path and body back.
func echo(_ context.Context, r calls.Request, sink calls.Sink) (calls.End, error) {
	if err := sink.Begin(calls.Begin{Status: http.StatusOK}); err != nil {
		return calls.End{}, err
	}
	return calls.End{}, sink.Piece([]byte(r.Path + " " + string(r.Body)))
}

var _ = Describe("Addresses", func() {
	// A caller starts with two addresses that it was once told, of which one is
	// gone. It gets an answer from the other, keeps it for its time to live, and
	// sends its request to the first address of the answer that takes a
	// connection.
	It("that are gone are passed over", func() {
		var asked, ran atomic.Int64
		entry := callerhttptest.Serve(func(ctx context.Context, r calls.Request, sink calls.Sink) (calls.End, error) {
			ran.Add(1)
			return echo(ctx, r, sink)
		}, callerhttptest.AddressBook{})
		guide := callerhttptest.Serve(nil, naming(&asked, func() []netip.AddrPort { return []netip.AddrPort{closedPort(), entry} }))
		client := clientOf(closedPort(), guide)
		answer, err := client.Do(ctx, callerclient.Request{Service: "workshop-api", Body: []byte("two cones")})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(SatisfyAll(HaveField("Entry", entry), HaveField("Body", []byte(" two cones"))))
		Expect(ran.Load()).To(BeEquivalentTo(1))
		Expect(asked.Load()).To(BeEquivalentTo(1))

		_, err = client.Do(ctx, callerclient.Request{Service: "workshop-api"})
		Expect(err).NotTo(HaveOccurred())
		Expect(asked.Load()).To(BeEquivalentTo(2), "asked again, since a connection had failed")
	})

	// While all goes well the answer is kept: entries are not asked before each
	// request.
	It("are kept for their time to live", func() {
		var asked atomic.Int64
		var self netip.AddrPort
		self = callerhttptest.Serve(echo, naming(&asked, func() []netip.AddrPort { return []netip.AddrPort{self} }))
		client := clientOf(self)
		const requests = 5
		for range requests {
			_, err := client.Do(ctx, callerclient.Request{Service: "workshop-api"})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(asked.Load()).To(BeEquivalentTo(1))
	})

	// No entry can be connected to, or all that can be leave and name none. The
	// caller is told that nothing was run.
	It("that lead nowhere mean that nothing was run", func() {
		_, err := clientOf(closedPort(), closedPort()).Do(ctx, callerclient.Request{Service: "workshop-api"})
		Expect(err).To(SatisfyAll(beOfType(failure.Unavailable), haveOutcome(failure.NotRun)))

		var asked atomic.Int64
		leaving := callerhttptest.Serve(nil, naming(&asked, func() []netip.AddrPort { return nil }))
		_, err = clientOf(leaving).Do(ctx, callerclient.Request{Service: "workshop-api"})
		Expect(err).To(SatisfyAll(beOfType(failure.Unavailable), haveOutcome(failure.NotRun)))
		_, err = clientOf(leaving).IssueKey(ctx, "workshop-api")
		Expect(err).To(haveOutcome(failure.NotRun))

		var gone netip.AddrPort
		guide := callerhttptest.Serve(nil, naming(&asked, func() []netip.AddrPort { return []netip.AddrPort{gone} }))
		gone = closedPort()
		_, err = clientOf(guide).Do(ctx, callerclient.Request{Service: "workshop-api"})
		Expect(err).To(SatisfyAll(beOfType(callerclient.NotConnected), haveOutcome(failure.NotRun)))
	})
})

// A caller gets the answer, or the word on whether its request ran, of every
// kind of ending.
var _ = Describe("An answer", func() {
	at := func(d callerhttptest.Dispatcher) (callerclient.Answer, error) {
		return clientOf(closedPort()).DoAt(ctx, callerhttptest.Serve(d, callerhttptest.AddressBook{}), callerclient.Request{Service: "workshop-api"})
	}

	It("that is whole is given with its version", func() {
		answer, err := at(callerhttptest.Respond(200, r1, nil, "one\n", "two\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(SatisfyAll(HaveField("Status", 200), HaveField("Body", []byte("one\ntwo\n")),
			HaveField("Version", r1.Name+"@"+r1.Manifest.String()), HaveField("FirstByte", BeNumerically(">", 0))))
	})
	It("without a body is whole by its header", func() {
		answer, err := at(callerhttptest.Respond(204, fleet.Version{}, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(SatisfyAll(HaveField("Status", 204), HaveField("Body", BeEmpty())))
	})
	It("with the service's own error status is an answer", func() {
		answer, err := at(callerhttptest.Respond(404, fleet.Version{}, nil, "no order 8"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(SatisfyAll(HaveField("Status", 404), HaveField("Body", []byte("no order 8"))))
	})

	// The entry cuts an answer by closing the connection, at each point. What came
	// is given back with the word "unknown", never as a whole answer.
	DescribeTable("that was cut is unknown", func(d callerhttptest.Dispatcher, part string) {
		answer, err := at(d)
		Expect(err).To(SatisfyAll(beOfType(calls.Interrupted), haveOutcome(failure.Unknown)))
		Expect(string(answer.Body)).To(Equal(part))
	},
		Entry("in its middle", callerhttptest.Respond(200, r1, callerhttptest.NewError(calls.Interrupted, failure.Unknown, 0), "one\n"), "one\n"),
		Entry("before its first piece", callerhttptest.Respond(200, r1, callerhttptest.NewError(calls.Interrupted, failure.Unknown, 0)), ""),
		Entry("without a body", callerhttptest.Respond(204, r1, callerhttptest.NewError(failure.Corrupt, failure.Unknown, 0)), ""),
	)

	// Guards against a prefix of an answer that is taken for the whole.
	DescribeTable("that was cut after any byte is not whole", func(d callerhttptest.Dispatcher) {
		text := bytesOf(callerhttptest.Serve(d, callerhttptest.AddressBook{}))
		for n := range len(text) {
			_, err := clientOf(closedPort()).DoAt(ctx, speak(text[:n]), callerclient.Request{Service: "workshop-api"})
			Expect(err).To(HaveOccurred(), "after %d of %d bytes", n, len(text))
			Expect(err).To(haveOutcome(failure.Unknown), "after %d of %d bytes", n, len(text))
		}
		_, err := clientOf(closedPort()).DoAt(ctx, speak(text), callerclient.Request{Service: "workshop-api"})
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("of a model engine", callerhttptest.Respond(200, r1, nil, "one\n", "two\n")),
		Entry("without pieces", callerhttptest.Respond(200, fleet.Version{}, nil)),
		Entry("without a body", callerhttptest.Respond(204, fleet.Version{}, nil)),
	)

	// An entry of another make, or a proxy on the way, ends an answer in order
	// and without the trailer. The client does not take it for whole.
	// Seen with the trailer not looked at: a whole answer.
	It("without its trailer was cut, though it ended in order", func() {
		addr := speak("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\none\n")
		answer, err := clientOf(closedPort()).DoAt(ctx, addr, callerclient.Request{Service: "workshop-api"})
		Expect(err).To(SatisfyAll(beOfType(calls.Interrupted), haveOutcome(failure.Unknown)))
		Expect(string(answer.Body)).To(Equal("one\n"))
	})

	DescribeTable("that is a refusal is told with its outcome and pause",
		func(kind *errorx.Type, outcome failure.Outcome, comeBack time.Duration) {
			_, err := at(callerhttptest.Fail(callerhttptest.NewError(kind, outcome, comeBack)))
			Expect(err).To(SatisfyAll(beOfType(callerclient.Refused), haveOutcome(outcome),
				WithTransform(failure.RetryAfter, Equal(comeBack))))
		},
		Entry("not run", balance.NoServer, failure.NotRun, 1400*time.Millisecond),
		Entry("unknown", calls.Duplicate, failure.Unknown, time.Second),
		Entry("ran before", calls.Duplicate, failure.Ran, time.Duration(0)),
	)

	It("that is no refusal though it says so is unknown", func() {
		addr := speak("HTTP/1.1 503 Service Unavailable\r\nRequest-Outcome: not_run\r\nContent-Length: 5\r\n\r\n<html")
		_, err := clientOf(closedPort()).DoAt(ctx, addr, callerclient.Request{Service: "workshop-api"})
		Expect(err).To(SatisfyAll(beOfType(failure.Corrupt), haveOutcome(failure.Unknown)))
	})
})

// bytesOf returns all bytes of an entry's answer.
func bytesOf(entry netip.AddrPort) string {
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

// speak takes one connection at a time, reads a request and answers with text.
func speak(text string) netip.AddrPort {
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
	// A caller's connection is kept open and the entry closes it under the next
	// request, which carries a key. Go's client would send a request with such a
	// key once more by itself; this one tells the caller that the outcome is not
	// known, and the second entry of the answer is not asked.
	// Seen with a body that net/http can rewind: the request came twice.
	It("is sent once, also on a connection that dies under it", func() {
		var came atomic.Int64
		other := callerhttptest.Serve(func(context.Context, calls.Request, calls.Sink) (calls.End, error) {
			came.Add(1)
			return calls.End{}, nil
		}, callerhttptest.AddressBook{})
		dying := dieAtSecond(&came)
		var asked atomic.Int64
		guide := callerhttptest.Serve(nil, naming(&asked, func() []netip.AddrPort { return []netip.AddrPort{dying, other} }))
		client := clientOf(guide)
		order := callerclient.Request{Service: "workshop-api", IdempotencyKey: "order-1", Body: []byte("two cones")}
		_, err := client.Do(ctx, order)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Do(ctx, order)
		Expect(err).To(SatisfyAll(beOfType(calls.Interrupted), haveOutcome(failure.Unknown)))
		Expect(came.Load()).To(BeEquivalentTo(2), "one each time")
	})

	// An entry takes a request and its machine resets the connection. The request
	// may have run: only a connection that was never made means that it was not.
	// Seen with every failure of the network taken for one to connect: "not_run".
	It("whose connection is reset is unknown", func() {
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
		_, err = clientOf(addr).DoAt(ctx, addr, callerclient.Request{Service: "workshop-api"})
		Expect(err).To(SatisfyAll(beOfType(calls.Interrupted), haveOutcome(failure.Unknown)))
	})

	// A caller names a path with characters that mean something in a URL. The
	// service gets the path as the caller wrote it.
	// Seen before the mend: what followed a question mark was lost, a percent sign
	// or a hash changed the path.
	DescribeTable("carries its path as it is", func(path string) {
		addr := callerhttptest.Serve(echo, callerhttptest.AddressBook{})
		answer, err := clientOf(addr).DoAt(ctx, addr, callerclient.Request{Service: "workshop-api", Path: path})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(Equal(path + " "))
	},
		Entry("with two segments", "orders/7"),
		Entry("with a space", "orders/two cones"),
		Entry("with a question mark", "orders/why?"),
		Entry("with a hash", "orders/#7"),
		Entry("with a percent sign", "orders/50%25"),
		Entry("with letters beyond ASCII", "tilaus/käämi"),
	)

	// All that a caller may say of its request arrives.
	It("carries its headers", func() {
		seen := make(chan calls.Request, 1)
		addr := callerhttptest.Serve(func(ctx context.Context, r calls.Request, sink calls.Sink) (calls.End, error) {
			seen <- r
			return echo(ctx, r, sink)
		}, callerhttptest.AddressBook{})
		_, err := clientOf(addr).DoAt(ctx, addr, callerclient.Request{
			Service: "workshop-api", Workspace: "apapa", IdempotencyKey: "order-1", NonIdempotent: true, FirstAsk: true,
			Priority: "u=1", Prefix: "fault-log", Deadline: time.Minute, Body: []byte("two cones")})
		Expect(err).NotTo(HaveOccurred())
		Expect(seen).To(Receive(SatisfyAll(
			HaveField("Service", fleet.ServiceName("workshop-api")), HaveField("Workspace", fleet.Workspace("apapa")),
			HaveField("IdempotencyKey", "order-1"), HaveField("NonIdempotent", true), HaveField("FirstAsk", true),
			HaveField("Priority", 1), HaveField("PrefixKey", Not(BeZero())), HaveField("Body", []byte("two cones")),
			HaveField("Deadline", BeTemporally(">", time.Now().Add(callerhttptest.DefaultDeadline))))))
	})

	// A caller stops waiting. The entry's dispatcher is told, and the caller that
	// the outcome is not known.
	It("that is given up is unknown", func() {
		running, ended := make(chan struct{}), make(chan struct{})
		addr := callerhttptest.Serve(func(ctx context.Context, _ calls.Request, _ calls.Sink) (calls.End, error) {
			close(running)
			<-ctx.Done()
			close(ended)
			return calls.End{}, callerhttptest.NewError(calls.Interrupted, failure.Unknown, 0)
		}, callerhttptest.AddressBook{})
		giveUp, cancel := context.WithCancel(ctx)
		failed := make(chan error, 1)
		go func() {
			_, err := clientOf(addr).DoAt(giveUp, addr, callerclient.Request{Service: "workshop-api"})
			failed <- err
		}()
		Eventually(running).Should(BeClosed())
		cancel()
		Eventually(failed).Should(Receive(haveOutcome(failure.Unknown)))
		Eventually(ended).Should(BeClosed())
	})
})

// dieAtSecond answers the first request of a connection and closes the
// connection when the second has come, counting both.
func dieAtSecond(came *atomic.Int64) netip.AddrPort {
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
			answerOne(conn, came)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func answerOne(conn net.Conn, came *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	buf := make([]byte, 4<<10)
	if _, err := conn.Read(buf); err != nil {
		return
	}
	came.Add(1)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Request-Outcome\r\n\r\n"+
		"2\r\nok\r\n0\r\nRequest-Outcome: ran\r\n\r\n")
	if _, err := conn.Read(buf); err != nil {
		return
	}
	came.Add(1)
}
