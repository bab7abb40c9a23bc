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

// post is a request for a service, with header lines of its own.
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

// A caller sees the status, headers, body and trailer of docs/CALLERS.md. The
// golden files are what the page promises; a caller's code rests on each line.
// Run with -update to write them anew, and read what changed.
//
// Seen with a cut answer's handler returning in place of closing the
// connection: the three cut answers ended in order.
var _ = DescribeTable("The callers' page, as callers see it",
	func(name, request string, d callerhttptest.Dispatcher, b callerhttptest.Book) {
		expectGolden(name, raw(callerhttptest.Serve(d, b), request))
	},
	Entry("a whole answer of a model engine", "whole-model", post(service, "{}"), callerhttptest.Answered(200, r1, nil, "one\n", "two\n"), pages(nil)),
	Entry("a whole answer of a plain service", "whole-plain", post(service+"/orders/7", "{}"), callerhttptest.Answered(201, fleet.Version{}, nil, "done"), pages(nil)),
	Entry("a plain service's own refusal", "whole-404", post(service+"/orders/8", "{}"), callerhttptest.Answered(404, fleet.Version{}, nil, "no order 8"), pages(nil)),
	Entry("an answer without pieces", "whole-empty", post(service, ""), callerhttptest.Answered(200, fleet.Version{}, nil), pages(nil)),
	Entry("an answer that has no body", "whole-204", post(service, ""), callerhttptest.Answered(204, fleet.Version{}, nil), pages(nil)),
	Entry("an answer cut in its middle", "cut", post(service, ""), callerhttptest.Answered(200, r1, callerhttptest.Failed(calls.Interrupted, failure.Unknown, 0), "one\n"), pages(nil)),
	Entry("an answer cut before its first piece", "cut-first", post(service, ""), callerhttptest.Answered(200, r1, callerhttptest.Failed(calls.Interrupted, failure.Unknown, 0)), pages(nil)),
	Entry("a 204 cut at its end", "cut-204", post(service, ""), callerhttptest.Answered(204, fleet.Version{}, callerhttptest.Failed(failure.Corrupt, failure.Unknown, 0)), pages(nil)),
	Entry("no server", "503", post(service, ""), callerhttptest.Refused(callerhttptest.Failed(balance.NoServer, failure.NotRun, 1400*time.Millisecond)), pages(nil)),
	Entry("not ready", "503-not-ready", post(service, ""), callerhttptest.Refused(callerhttptest.Failed(calls.NotReady, failure.NotRun, time.Second)), pages(nil)),
	Entry("over the limit", "429", post(service, ""), callerhttptest.Refused(callerhttptest.Failed(calls.OverLimit, failure.NotRun, 20*time.Millisecond)), pages(nil)),
	Entry("an unknown service", "404", post(service, ""), callerhttptest.Refused(callerhttptest.Failed(calls.UnknownService, failure.NotRun, 0)), pages(nil)),
	Entry("interrupted", "502", post(service, ""), callerhttptest.Refused(callerhttptest.Failed(calls.Interrupted, failure.Unknown, 0)), pages(nil)),
	Entry("the deadline passed", "504", post(service, ""), callerhttptest.Refused(callerhttptest.Failed(calls.DeadlinePassed, failure.Unknown, 0)), pages(nil)),
	Entry("a key that runs", "409-unknown", post(service, "", key, once), callerhttptest.Refused(callerhttptest.Failed(calls.Duplicate, failure.Unknown, time.Second)), pages(nil)),
	Entry("a key that ran", "409-ran", post(service, "", key, once), callerhttptest.Refused(callerhttptest.Failed(calls.Duplicate, failure.Ran, 0)), pages(nil)),
	Entry("a failure that nobody classified", "502-unclassified", post(service, ""), callerhttptest.Refused(io.ErrUnexpectedEOF), pages(nil)),
	Entry("addresses", "addresses", get("/v1/addresses?zone=apapa-hall&region=lagos"), nil, pages(nil)),
	Entry("no addresses", "addresses-none", get("/v1/addresses"), nil, pages(nil)),
	Entry("a key", "key", post("/v1/keys/workshop-api", ""), nil, pages(nil)),
	Entry("no key", "key-503", post("/v1/keys/workshop-api", ""), nil, pages(callerhttptest.Failed(balance.NoServer, failure.NotRun, time.Second))),
)

// A caller breaks a rule of the page. It is told which, with the outcome
// "not_run", and nothing reaches the dispatcher.
var _ = DescribeTable("A request that breaks the rules",
	func(name, request string) {
		expectGolden(name, raw(callerhttptest.Serve(func(context.Context, calls.Request, calls.Sink) (calls.Completion, error) {
			defer GinkgoRecover()
			Fail("the dispatcher was asked")
			return calls.Completion{}, nil
		}, pages(nil)), request))
	},
	Entry("a mark that is none", "400-mark", post(service, "", key, "Chivespindle-Non-Idempotent: yes")),
	Entry("a first ask that is none", "400-first-ask", post(service, "", key, "Chivespindle-First-Ask: 1")),
	Entry("non-idempotent without a key", "400-no-key", post(service, "", once)),
	Entry("a key that is too long", "400-long-key", post(service, "", "Idempotency-Key: "+strings.Repeat("k", 257))),
	Entry("a priority out of range", "400-priority", post(service, "", "Priority: u=8")),
	Entry("a priority that is no number", "400-priority-word", post(service, "", "Priority: u=high")),
	Entry("a deadline that is none", "400-deadline", post(service, "", "Chivespindle-Deadline: 5")),
	Entry("a deadline in the past", "400-deadline-past", post(service, "", "Chivespindle-Deadline: -5s")),
	Entry("a deadline of a day", "400-deadline-day", post(service, "", "Chivespindle-Deadline: 24h")),
	Entry("a body that is too large", "400-body", post(service, strings.Repeat("x", callerhttptest.MaxBody+1))),
	Entry("a page that is none", "no-page", get("/v2/addresses")),
	Entry("a method that is none", "no-method", get(service)),
	// Guards against a cut answer that looks whole, since it has neither chunks nor a trailer.
	Entry("an old version of HTTP", "400-http-1.0", strings.Replace(post(service, "{}"), "HTTP/1.1", "HTTP/1.0", 1)),
	Entry("an empty segment in the path", "400-path", post(service+"/orders//7", "")),
	Entry("a relative segment in the path", "400-path-up", post(service+"/../../keys/workshop-api", "")),
)

// What a caller asks reaches the dispatcher as it is: each header in its field,
// and the defaults where there is none.
var _ = DescribeTable("A request as the dispatcher gets it",
	func(request string, want func() any) {
		seen := make(chan calls.Request, 1)
		_ = raw(callerhttptest.Serve(func(_ context.Context, r calls.Request, sink calls.Sink) (calls.Completion, error) {
			seen <- r
			return calls.Completion{}, sink.Begin(calls.ResponseHeader{Status: http.StatusOK})
		}, pages(nil)), request)
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
	Entry("with everything", post(service+"/orders/two%20cones%3F", "{}", key, once, "Chivespindle-First-Ask: ?1",
		"Chivespindle-Workspace: apapa", "Chivespindle-Deadline: 1h", "Priority: u=5, i", "Chivespindle-Prefix: fault-log"), func() any {
		return SatisfyAll(HaveField("Path", "orders/two cones?"), HaveField("Workspace", fleet.Workspace("apapa")),
			HaveField("IdempotencyKey", "order-1"), HaveField("NonIdempotent", true), HaveField("FirstAttempt", true),
			HaveField("Priority", 5), HaveField("PrefixKey", callerhttp.PrefixKey("fault-log")),
			HaveField("Deadline", BeTemporally(">", time.Now().Add(callerhttptest.DefaultDeadline))))
	}),
	Entry("with marks that say no", post(service, "", "Chivespindle-Non-Idempotent: ?0", "Chivespindle-First-Ask: ?0"), func() any {
		return SatisfyAll(HaveField("NonIdempotent", false), HaveField("FirstAttempt", false))
	}),
	Entry("with parameters of a priority that are not used", post(service, "", "Priority: i, x=1"), func() any {
		return HaveField("Priority", -1)
	}),
	Entry("with a body at its bound", post(service, strings.Repeat("x", callerhttptest.MaxBody)), func() any {
		return HaveField("Body", HaveLen(callerhttptest.MaxBody))
	}),
	Entry("with a key at its bound", post(service, "", "Idempotency-Key: "+strings.Repeat("k", 255)), func() any {
		return HaveField("IdempotencyKey", HaveLen(255))
	}),
)

var _ = Describe("A caller that goes away", func() {
	// A caller closes its connection while its request runs. That is how it
	// cancels: the dispatcher's context ends, and with it the work at the agent.
	It("ends its request", func() {
		running, ended := make(chan struct{}), make(chan struct{})
		addr := callerhttptest.Serve(func(ctx context.Context, _ calls.Request, _ calls.Sink) (calls.Completion, error) {
			close(running)
			<-ctx.Done()
			close(ended)
			return calls.Completion{}, callerhttptest.Failed(calls.Interrupted, failure.Unknown, 0)
		}, pages(nil))
		conn, err := net.Dial("tcp", addr.String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, post(service, "{}"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(running).Should(BeClosed())
		Expect(conn.Close()).To(Succeed())
		Eventually(ended).Should(BeClosed())
	})

	// A caller goes away in the middle of its answer. The next piece cannot be
	// written, which the dispatcher is told, so that it stops the agent.
	It("is noticed by the next pieces of its answer", func() {
		told := make(chan error, 1)
		gone := make(chan struct{})
		addr := callerhttptest.Serve(func(_ context.Context, _ calls.Request, sink calls.Sink) (calls.Completion, error) {
			_ = sink.Begin(calls.ResponseHeader{Status: http.StatusOK})
			err := sink.Piece([]byte("one\n"))
			<-gone
			for err == nil {
				err = sink.Piece([]byte("two\n"))
			}
			told <- err
			return calls.Completion{}, err
		}, pages(nil))
		conn, err := net.Dial("tcp", addr.String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, post(service, "{}"))
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		close(gone)
		Eventually(told).Should(Receive(HaveOccurred()))
	})

	// A caller promises a body and goes away before it is whole. Half a request
	// reaches nobody.
	It("before its body is whole has asked for nothing", func() {
		asked := make(chan struct{}, 1)
		addr := callerhttptest.Serve(func(context.Context, calls.Request, calls.Sink) (calls.Completion, error) {
			asked <- struct{}{}
			return calls.Completion{}, nil
		}, pages(nil))
		conn, err := net.Dial("tcp", addr.String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "POST "+service+" HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\nhalf")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(SatisfyAll(ContainSubstring("400 Bad Request"), ContainSubstring(`"outcome":"not_run"`)))
		Expect(asked).NotTo(Receive())
	})
})
