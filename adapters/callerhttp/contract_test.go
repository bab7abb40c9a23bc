package callerhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/adapters/callerhttp/callerhttptest"
	"chivespindle.example/core/balance"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

var r1 = fleet.Version{Name: "r1", Manifest: fleet.DigestOf([]byte("r1"))}

// post returns a POST request with additional header lines.
func post(target, body string, header ...string) string {
	lines := append([]string{"POST " + target + " HTTP/1.1", "Host: test", "Connection: close"}, header...)
	lines = append(lines, "Content-Length: "+strconv.Itoa(len(body)), "", body)
	return strings.Join(lines, "\r\n")
}

func get(target string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"
}

const (
	service = "/v1/services/workshop-api"
	key     = "Idempotency-Key: order-1"
	once    = "Chivespindle-Non-Idempotent: ?1"
)

// Checks the status, headers, body and trailer that docs/CALLERS.md specifies;
// callers' code depends on each line of the golden files. Run with -update to
// rewrite them, and review the changes.
//
// Guards against a truncated response that ends normally: if the handler of an
// aborted response returned without closing the connection, all three aborted
// responses would end as complete ones.
var _ = DescribeTable("The callers' interface, as callers see it",
	func(name, request string, d callerhttptest.Dispatcher, b callerhttptest.AddressBook) {
		expectGolden(name, exchangeRaw(callerhttptest.Serve(d, b), request))
	},
	Entry("a complete response of a model engine", "whole-model", post(service, "{}"), callerhttptest.Respond(200, r1, nil, "one\n", "two\n"), testBook(nil)),
	Entry("a complete response of a plain service", "whole-plain", post(service+"/orders/7", "{}"), callerhttptest.Respond(201, fleet.Version{}, nil, "done"), testBook(nil)),
	Entry("an error status of a plain service", "whole-404", post(service+"/orders/8", "{}"), callerhttptest.Respond(404, fleet.Version{}, nil, "no order 8"), testBook(nil)),
	Entry("a response without pieces", "whole-empty", post(service, ""), callerhttptest.Respond(200, fleet.Version{}, nil), testBook(nil)),
	Entry("a response without a body", "whole-204", post(service, ""), callerhttptest.Respond(204, fleet.Version{}, nil), testBook(nil)),
	Entry("a response aborted after its first piece", "cut", post(service, ""), callerhttptest.Respond(200, r1, callerhttptest.NewError(calls.Interrupted, failure.Unknown, 0), "one\n"), testBook(nil)),
	Entry("a response aborted before its first piece", "cut-first", post(service, ""), callerhttptest.Respond(200, r1, callerhttptest.NewError(calls.Interrupted, failure.Unknown, 0)), testBook(nil)),
	Entry("a 204 aborted at its end", "cut-204", post(service, ""), callerhttptest.Respond(204, fleet.Version{}, callerhttptest.NewError(failure.Corrupt, failure.Unknown, 0)), testBook(nil)),
	Entry("no server", "503", post(service, ""), callerhttptest.Fail(callerhttptest.NewError(balance.NoServer, failure.NotRun, 1400*time.Millisecond)), testBook(nil)),
	Entry("not ready", "503-not-ready", post(service, ""), callerhttptest.Fail(callerhttptest.NewError(calls.NotReady, failure.NotRun, time.Second)), testBook(nil)),
	Entry("over the limit", "429", post(service, ""), callerhttptest.Fail(callerhttptest.NewError(calls.OverLimit, failure.NotRun, 20*time.Millisecond)), testBook(nil)),
	Entry("an unknown service", "404", post(service, ""), callerhttptest.Fail(callerhttptest.NewError(calls.UnknownService, failure.NotRun, 0)), testBook(nil)),
	Entry("an interrupted request", "502", post(service, ""), callerhttptest.Fail(callerhttptest.NewError(calls.Interrupted, failure.Unknown, 0)), testBook(nil)),
	Entry("an expired deadline", "504", post(service, ""), callerhttptest.Fail(callerhttptest.NewError(calls.DeadlinePassed, failure.Unknown, 0)), testBook(nil)),
	Entry("a key whose request is running", "409-unknown", post(service, "", key, once), callerhttptest.Fail(callerhttptest.NewError(calls.Duplicate, failure.Unknown, time.Second)), testBook(nil)),
	Entry("a key whose request has run", "409-ran", post(service, "", key, once), callerhttptest.Fail(callerhttptest.NewError(calls.Duplicate, failure.Ran, 0)), testBook(nil)),
	Entry("an error without a failure type", "502-unclassified", post(service, ""), callerhttptest.Fail(io.ErrUnexpectedEOF), testBook(nil)),
	Entry("addresses", "addresses", get("/v1/addresses?zone=apapa-hall&region=lagos"), nil, testBook(nil)),
	Entry("no addresses", "addresses-none", get("/v1/addresses"), nil, testBook(nil)),
	Entry("a key", "key", post("/v1/keys/workshop-api", ""), nil, testBook(nil)),
	Entry("no key", "key-503", post("/v1/keys/workshop-api", ""), nil, testBook(callerhttptest.NewError(balance.NoServer, failure.NotRun, time.Second))),
)

// A request is invalid. The error response has the outcome "not_run" and a reason,
// and the dispatcher is not called.
var _ = DescribeTable("An invalid request",
	func(name, request string) {
		expectGolden(name, exchangeRaw(callerhttptest.Serve(func(context.Context, calls.Request, calls.Sink) (calls.Completion, error) {
			defer GinkgoRecover()
			Fail("the dispatcher was called")
			return calls.Completion{}, nil
		}, testBook(nil)), request))
	},
	Entry("an invalid non-idempotent header", "400-mark", post(service, "", key, "Chivespindle-Non-Idempotent: yes")),
	Entry("an invalid first-attempt header", "400-first-ask", post(service, "", key, "Chivespindle-First-Ask: 1")),
	Entry("non-idempotent without a key", "400-no-key", post(service, "", once)),
	Entry("a key that is too long", "400-long-key", post(service, "", "Idempotency-Key: "+strings.Repeat("k", 257))),
	Entry("a priority out of range", "400-priority", post(service, "", "Priority: u=8")),
	Entry("a priority that is not a number", "400-priority-word", post(service, "", "Priority: u=high")),
	Entry("a deadline without a unit", "400-deadline", post(service, "", "Chivespindle-Deadline: 5")),
	Entry("a deadline in the past", "400-deadline-past", post(service, "", "Chivespindle-Deadline: -5s")),
	Entry("a deadline of a day", "400-deadline-day", post(service, "", "Chivespindle-Deadline: 24h")),
	Entry("a body that is too large", "400-body", post(service, strings.Repeat("x", callerhttptest.MaxBody+1))),
	Entry("an unknown path", "no-page", get("/v2/addresses")),
	Entry("a method that is not allowed", "no-method", get(service)),
	// Guards against a truncated response that looks complete, since HTTP/1.0 has
	// neither chunks nor trailers.
	Entry("an old version of HTTP", "400-http-1.0", strings.Replace(post(service, "{}"), "HTTP/1.1", "HTTP/1.0", 1)),
	Entry("an empty segment in the path", "400-path", post(service+"/orders//7", "")),
	Entry("a relative segment in the path", "400-path-up", post(service+"/../../keys/workshop-api", "")),
)

// The dispatcher receives each header in its field, and the defaults for headers
// that are missing.
var _ = DescribeTable("A request as the dispatcher receives it",
	func(request string, want func() any) {
		seen := make(chan calls.Request, 1)
		_ = exchangeRaw(callerhttptest.Serve(func(_ context.Context, r calls.Request, sink calls.Sink) (calls.Completion, error) {
			seen <- r
			return calls.Completion{}, sink.Begin(calls.ResponseHeader{Status: http.StatusOK})
		}, testBook(nil)), request)
		var r calls.Request
		Expect(seen).To(Receive(&r))
		Expect(r.ID).NotTo(BeEmpty())
		Expect(r).To(want().(OmegaMatcher))
	},
	Entry("with defaults", post(service, "{}"), func() any {
		return SatisfyAll(HaveField("Service", fleet.ServiceName("workshop-api")), HaveField("Path", ""),
			HaveField("Workspace", fleet.Workspace("")), HaveField("IdempotencyKey", ""), HaveField("NonIdempotent", false),
			HaveField("FirstAttempt", false), HaveField("Priority", -1), HaveField("PrefixKey", BeZero()),
			HaveField("Body", []byte("{}")),
			HaveField("Deadline", BeTemporally("~", time.Now().Add(callerhttptest.DefaultDeadline), callerhttptest.DefaultDeadline/2)))
	}),
	Entry("with all headers", post(service+"/orders/two%20cones%3F", "{}", key, once, "Chivespindle-First-Ask: ?1",
		"Chivespindle-Workspace: apapa", "Chivespindle-Deadline: 1h", "Priority: u=5, i", "Chivespindle-Prefix: fault-log"), func() any {
		return SatisfyAll(HaveField("Path", "orders/two cones?"), HaveField("Workspace", fleet.Workspace("apapa")),
			HaveField("IdempotencyKey", "order-1"), HaveField("NonIdempotent", true), HaveField("FirstAttempt", true),
			HaveField("Priority", 5), HaveField("PrefixKey", callerhttp.PrefixKey("fault-log")),
			HaveField("Deadline", BeTemporally(">", time.Now().Add(callerhttptest.DefaultDeadline))))
	}),
	Entry("with headers that are false", post(service, "", "Chivespindle-Non-Idempotent: ?0", "Chivespindle-First-Ask: ?0"), func() any {
		return SatisfyAll(HaveField("NonIdempotent", false), HaveField("FirstAttempt", false))
	}),
	Entry("with priority parameters that are ignored", post(service, "", "Priority: i, x=1"), func() any {
		return HaveField("Priority", -1)
	}),
	Entry("with a body of the maximum size", post(service, strings.Repeat("x", callerhttptest.MaxBody)), func() any {
		return HaveField("Body", HaveLen(callerhttptest.MaxBody))
	}),
	Entry("with a key of nearly the maximum size", post(service, "", "Idempotency-Key: "+strings.Repeat("k", 255)), func() any {
		return HaveField("IdempotencyKey", HaveLen(255))
	}),
)

var _ = Describe("A caller that disconnects", func() {
	// A caller cancels a request by closing its connection. The dispatcher's
	// context ends, and with it the work at the agent.
	It("cancels its request", func() {
		running, ended := make(chan struct{}), make(chan struct{})
		addr := callerhttptest.Serve(func(ctx context.Context, _ calls.Request, _ calls.Sink) (calls.Completion, error) {
			close(running)
			<-ctx.Done()
			close(ended)
			return calls.Completion{}, callerhttptest.NewError(calls.Interrupted, failure.Unknown, 0)
		}, testBook(nil))
		conn, err := net.Dial("tcp", addr.String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, post(service, "{}"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(running).Should(BeClosed())
		Expect(conn.Close()).To(Succeed())
		Eventually(ended).Should(BeClosed())
	})

	// A caller disconnects in the middle of its response. Writing the next pieces
	// fails, and the dispatcher gets the error, so that it can stop the agent.
	It("is detected by the next pieces of its response", func() {
		writeErr := make(chan error, 1)
		disconnected := make(chan struct{})
		addr := callerhttptest.Serve(func(_ context.Context, _ calls.Request, sink calls.Sink) (calls.Completion, error) {
			_ = sink.Begin(calls.ResponseHeader{Status: http.StatusOK})
			err := sink.Piece([]byte("one\n"))
			<-disconnected
			for err == nil {
				err = sink.Piece([]byte("two\n"))
			}
			writeErr <- err
			return calls.Completion{}, err
		}, testBook(nil))
		conn, err := net.Dial("tcp", addr.String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, post(service, "{}"))
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		close(disconnected)
		Eventually(writeErr).Should(Receive(HaveOccurred()))
	})

	// A caller announces a body and disconnects before it is complete. An
	// incomplete request must not reach the dispatcher.
	It("before its body is complete has sent no request", func() {
		dispatched := make(chan struct{}, 1)
		addr := callerhttptest.Serve(func(context.Context, calls.Request, calls.Sink) (calls.Completion, error) {
			dispatched <- struct{}{}
			return calls.Completion{}, nil
		}, testBook(nil))
		conn, err := net.Dial("tcp", addr.String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "POST "+service+" HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\nhalf")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		response, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response)).To(SatisfyAll(ContainSubstring("400 Bad Request"), ContainSubstring(`"outcome":"not_run"`)))
		Expect(dispatched).NotTo(Receive())
	})
})
