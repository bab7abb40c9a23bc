// Package callerhttptest provides fixtures for tests of the callers' interface and
// of its client: a server with a dispatcher that the test supplies.
package callerhttptest

import (
	"context"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/addressing"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

const (
	// WaitTimeout is the timeout for events that must happen.
	WaitTimeout = 20 * time.Second
	// MaxBody is the maximum size of the server's request bodies in bytes.
	MaxBody = 64
	// DefaultDeadline differs clearly from every deadline that a test sets.
	DefaultDeadline = 30 * time.Second
)

// Dispatcher adapts a function to calls.Dispatcher.
type Dispatcher func(ctx context.Context, r calls.Request, sink calls.Sink) (calls.Completion, error)

// Dispatch implements calls.Dispatcher.
func (d Dispatcher) Dispatch(ctx context.Context, r calls.Request, sink calls.Sink) (calls.Completion, error) {
	return d(ctx, r, sink)
}

// AddressBook returns addresses and issues keys. A nil field returns the zero value.
type AddressBook struct {
	Lookup func(fleet.Place) addressing.Result
	Issue  func(fleet.ServiceName) (string, error)
}

// Addresses implements calls.AddressBook.
func (b AddressBook) Addresses(place fleet.Place) addressing.Result {
	if b.Lookup == nil {
		return addressing.Result{}
	}
	return b.Lookup(place)
}

// IssueKey implements calls.KeyIssuer.
func (b AddressBook) IssueKey(service fleet.ServiceName) (string, error) {
	if b.Issue == nil {
		return "", nil
	}
	return b.Issue(service)
}

// Serve runs a server until the spec ends and returns its address.
func Serve(d Dispatcher, b AddressBook) netip.AddrPort {
	ginkgo.GinkgoHelper()
	return ServeWith(d, b, tally.NoopScope, zap.NewNop())
}

// ServeWith is Serve with metrics and a logger.
func ServeWith(d Dispatcher, b AddressBook, metrics tally.Scope, logger *zap.Logger) netip.AddrPort {
	ginkgo.GinkgoHelper()
	return ServeConfigured(d, b, func(opts *callerhttp.Options) { opts.Metrics, opts.Logger = metrics, logger })
}

// ServeConfigured is Serve with other options.
func ServeConfigured(d Dispatcher, b AddressBook, configure func(opts *callerhttp.Options)) netip.AddrPort {
	ginkgo.GinkgoHelper()
	return Start(d, b, configure).Addr()
}

// Start is ServeConfigured for tests that also need the server.
func Start(d Dispatcher, b AddressBook, configure func(opts *callerhttp.Options)) *callerhttp.Server {
	ginkgo.GinkgoHelper()
	opts := callerhttp.Options{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Dispatcher: d, Addresses: b, Keys: b,
		MaxBody: MaxBody, BodyTimeout: WaitTimeout, DefaultDeadline: DefaultDeadline,
		Tracer: telemetry.NewTracer("test", nil), Logger: zap.NewNop(), Metrics: tally.NoopScope,
	}
	configure(&opts)
	server, err := callerhttp.New(opts)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- server.Run() }()
	ginkgo.DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
		defer cancel()
		gomega.Expect(server.Shutdown(ctx)).To(gomega.Succeed())
		gomega.Eventually(done, WaitTimeout).Should(gomega.Receive(gomega.BeNil()))
	})
	return server
}

// Respond writes a response piece by piece and then returns err.
func Respond(status int, version fleet.Version, err error, pieces ...string) Dispatcher {
	return func(_ context.Context, _ calls.Request, sink calls.Sink) (calls.Completion, error) {
		if err := sink.Begin(calls.ResponseHeader{Status: status, Version: version}); err != nil {
			return calls.Completion{}, err
		}
		for _, piece := range pieces {
			if err := sink.Piece([]byte(piece)); err != nil {
				return calls.Completion{}, err
			}
		}
		return calls.Completion{Version: version, Server: "agent-1"}, err
	}
}

// Fail returns err without a response.
func Fail(err error) Dispatcher {
	return func(context.Context, calls.Request, calls.Sink) (calls.Completion, error) {
		return calls.Completion{}, err
	}
}

// NewError returns an error with an outcome, and with a retry delay if that is not 0.
func NewError(kind *errorx.Type, outcome failure.Outcome, retryAfter time.Duration) error {
	err := failure.WithOutcome(kind.New("for the test"), outcome)
	if retryAfter > 0 {
		err = failure.WithRetryAfter(err, retryAfter)
	}
	return err
}
