package callerhttp_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/adapters/callerhttp/callerhttptest"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/connlimit"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/memlimit"
)

const (
	small        = "POST /v1/services/workshop-api HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok"
	smallUnsafe  = "POST /v1/services/workshop-api HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nIdempotency-Key: k1\r\nChivespindle-Non-Idempotent: ?1\r\n\r\nok"
	smallFirst   = "POST /v1/services/workshop-api HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nIdempotency-Key: k1\r\nChivespindle-Non-Idempotent: ?1\r\nChivespindle-First-Ask: ?1\r\n\r\nok"
	stalled      = "POST /v1/services/workshop-api HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf"
	longHeadSize = 80 << 10
)

// serveOccupied starts a server with one request that runs until the end of the spec.
func serveOccupied(configure func(opts *callerhttp.Options)) netip.AddrPort {
	GinkgoHelper()
	running, end := make(chan struct{}, 1), make(chan struct{})
	addr := callerhttptest.ServeConfigured(func(context.Context, calls.Request, calls.Sink) (calls.Completion, error) {
		running <- struct{}{}
		<-end
		return calls.Completion{}, nil
	}, callerhttptest.AddressBook{}, configure)
	DeferCleanup(func() { close(end) })
	send(addr, small)
	Eventually(running, callerhttptest.WaitTimeout).Should(Receive())
	return addr
}

// send sends a request on a connection that stays open.
func send(addr netip.AddrPort, request string) {
	GinkgoHelper()
	conn, err := net.Dial("tcp", addr.String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = conn.Write([]byte(request))
	Expect(err).NotTo(HaveOccurred())
}

// Guards against a refusal of a full entry that promises too much or is held back.
var _ = DescribeTable("While a request takes the only place, another one is refused", func(request, golden string) {
	addr := serveOccupied(func(opts *callerhttp.Options) { opts.Limits = connlimit.Limits{Connections: 4, Requests: 1} })
	expectGolden(golden, exchangeRaw(addr, request))
},
	Entry("as not run", small, "503-full"),
	Entry("as unknown if its key may have been sent before", smallUnsafe, "502-full"),
	Entry("as not run if its key was not sent before", smallFirst, "503-full"),
)

// Guards against bodies that together take more memory than the process has.
var _ = It("A body is refused while others use all memory", func() {
	addr := serveOccupied(func(opts *callerhttp.Options) {
		opts.Bodies = memlimit.New(10) // 3 bytes: a body and the byte after it
	})
	expectGolden("503-memory", exchangeRaw(addr, small))
})

// Guards against a body that holds memory until its client disconnects.
var _ = It("A body that stalls is refused", func() {
	addr := callerhttptest.ServeConfigured(callerhttptest.Fail(nil), callerhttptest.AddressBook{}, func(opts *callerhttp.Options) {
		opts.BodyTimeout = 50 * time.Millisecond
	})
	expectGolden("400-stalled", exchangeRaw(addr, stalled))
})

// Guards against heads that take memory without a bound.
var _ = It("A head that is too long is refused", func() {
	addr := callerhttptest.Serve(callerhttptest.Respond(200, fleet.Version{}, nil), callerhttptest.AddressBook{})
	request := "GET /v1/addresses HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", longHeadSize)
	expectGolden("431", exchangeRaw(addr, request))
})

// Guards against a log that grows by the size of each request's head.
var _ = It("The names that a caller makes up are shortened in logs", func() {
	core, logs := observer.New(zap.InfoLevel)
	addr := callerhttptest.ServeWith(callerhttptest.Respond(200, fleet.Version{}, nil), callerhttptest.AddressBook{}, tally.NoopScope, zap.New(core))
	long := strings.Repeat("x", 10<<10)
	_ = exchangeRaw(addr, strings.Replace(small, "Host: x", "Host: x\r\nChivespindle-Workspace: "+long, 1))
	Eventually(logs.Len, callerhttptest.WaitTimeout).Should(Equal(1))
	Expect(len(logs.All()[0].ContextMap()["workspace"].(string))).To(Equal(fleettext.MaxNameBytes))
	expectGolden("404-long-name", exchangeRaw(addr, strings.Replace(small, "workshop-api", long, 1)))
	Expect(logs.Len()).To(Equal(1))
})
