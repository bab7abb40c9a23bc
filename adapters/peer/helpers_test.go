package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/pki"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// waitTimeout bounds the wait for an expected event.
const waitTimeout = 10 * time.Second

// testMessage is the message that the tests exchange.
type testMessage struct {
	Text    string        `cbor:"1,keyasint"`
	Version fleet.Version `cbor:"2,keyasint"`
}

type handlerFunc func(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream)

func (f handlerFunc) ServeStream(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	f(ctx, from, kind, s)
}

// echo returns each message until the peer finishes sending.
func echo(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
	for {
		var got testMessage
		if err := s.Recv(&got); err != nil {
			return
		}
		if err := s.Send(got); err != nil {
			return
		}
	}
}

// waitForEnd receives a message and then waits for the end of the exchange.
func waitForEnd(ctx context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
	_ = s.Recv(&testMessage{})
	<-ctx.Done()
}

// checkLeaks fails the spec if a goroutine outlives its cleanups.
func checkLeaks() {
	before := goleak.IgnoreCurrent()
	ginkgo.DeferCleanup(func() {
		gomega.Eventually(func() error { return goleak.Find(before) }, waitTimeout).Should(gomega.Succeed())
	})
}

func newAuthority() *pki.Authority {
	ginkgo.GinkgoHelper()
	authority, err := pki.NewAuthority()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return authority
}

// loadFiles issues a certificate, writes its files and loads them.
func loadFiles(authority *pki.Authority, dir string, role fleet.Role, id fleet.InstanceID) *keys.Store {
	ginkgo.GinkgoHelper()
	files, err := authority.WriteFiles(dir, role, id)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	store, err := keys.Load(files)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return store
}

func newStore(authority *pki.Authority, role fleet.Role, id fleet.InstanceID) *keys.Store {
	ginkgo.GinkgoHelper()
	return loadFiles(authority, ginkgo.GinkgoT().TempDir(), role, id)
}

// start runs an endpoint until the spec ends.
func start(opts peer.Options) *peer.Endpoint {
	ginkgo.GinkgoHelper()
	if !opts.Listen.IsValid() {
		opts.Listen = loopback
	}
	endpoint, err := peer.New(opts)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { done <- endpoint.Run(ctx) }()
	ginkgo.DeferCleanup(func() {
		cancel()
		gomega.Eventually(done, waitTimeout).Should(gomega.Receive(gomega.BeNil()))
	})
	return endpoint
}

// pair is an agent that serves and an entry that sends requests.
type pair struct {
	authority  *pki.Authority
	serverKeys *keys.Store
	server     *peer.Endpoint
	client     *peer.Endpoint
	metrics    tally.TestScope // of both endpoints
}

func newPair(handler handlerFunc, change func(server, client *peer.Options)) pair {
	ginkgo.GinkgoHelper()
	p := pair{authority: newAuthority(), metrics: tally.NewTestScope("", nil)}
	server := peer.Options{Keys: newStore(p.authority, fleet.RoleAgent, "agent-1"), Handler: handler, Metrics: p.metrics}
	client := peer.Options{Keys: newStore(p.authority, fleet.RoleEntry, "entry-1"), Metrics: p.metrics}
	if change != nil {
		change(&server, &client)
	}
	p.serverKeys = server.Keys
	p.server = start(server)
	p.client = start(client)
	return p
}

// open opens a stream from the client to the server.
func (p pair) open(kind peer.Kind) *peer.Stream {
	ginkgo.GinkgoHelper()
	s, err := p.client.Open(context.Background(), p.server.Addr(), "", kind)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(s.Abort)
	return s
}

// count returns the value of one counter, by its name and tags in tally's
// format.
func (p pair) count(name string) func() int64 {
	return func() int64 {
		counter, ok := p.metrics.Snapshot().Counters()[name]
		if !ok {
			return 0
		}
		return counter.Value()
	}
}

// roundTrip sends one message and returns the text of the response.
func roundTrip(client *peer.Endpoint, addr netip.AddrPort, kind peer.Kind, text string) (string, error) {
	s, err := client.Open(context.Background(), addr, "", kind)
	if err != nil {
		return "", err
	}
	defer s.Abort()
	s.SetStallTimeout(waitTimeout)
	if err := s.Send(testMessage{Text: text}); err != nil {
		return "", err
	}
	if err := s.CloseSend(); err != nil {
		return "", err
	}
	var got testMessage
	if err := s.Recv(&got); err != nil {
		return "", err
	}
	if err := s.Recv(&testMessage{}); !errors.Is(err, io.EOF) {
		return "", err
	}
	return got.Text, nil
}

// expectNotRun checks the type and the outcome of a failed Open.
func expectNotRun(err error) {
	ginkgo.GinkgoHelper()
	gomega.Expect(err).To(beFailureOfType(failure.Unavailable))
	gomega.Expect(failure.OutcomeOf(err)).To(gomega.Equal(failure.NotRun))
}

// relay forwards datagrams between one client and a server. While blocked, it
// drops them, as a stalled link does.
type relay struct {
	front   *net.UDPConn
	back    *net.UDPConn
	blocked atomic.Bool
	client  atomic.Pointer[netip.AddrPort]
}

func newRelay(to netip.AddrPort) *relay {
	ginkgo.GinkgoHelper()
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r := &relay{front: front, back: back}
	go r.forward()
	go r.forwardReplies()
	ginkgo.DeferCleanup(func() { _ = front.Close(); _ = back.Close() })
	return r
}

func (r *relay) addr() netip.AddrPort { return r.front.LocalAddr().(*net.UDPAddr).AddrPort() }

func (r *relay) forward() {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := r.front.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		r.client.Store(&from)
		if !r.blocked.Load() {
			_, _ = r.back.Write(buf[:n])
		}
	}
}

func (r *relay) forwardReplies() {
	buf := make([]byte, 1<<16)
	for {
		n, err := r.back.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && !r.blocked.Load() {
			_, _ = r.front.WriteToUDPAddrPort(buf[:n], *r.client.Load())
		}
	}
}
