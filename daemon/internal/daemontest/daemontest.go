// Package daemontest provides the fixtures of the daemons' failure tests: a
// daemon that runs inside the test process, with real QUIC over the loopback
// interface, and fakes of everything else: the platform's configuration service
// and instance list, a backend server, an engine, a stage, weight sources, and
// an agent and an entry whose every step is controlled by the test.
//
// Everything that is started here ends with the spec that started it.
package daemontest

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/pki"
)

// WaitTimeout is the maximum wait for a condition that must become true; no test
// passes because it expires.
const WaitTimeout = 20 * time.Second

// LocalPlace and RemotePlace are two places in different availability zones of
// one region.
var (
	LocalPlace  = fleet.Place{Zone: "apapa-hall", Region: "lagos"}
	RemotePlace = fleet.Place{Zone: "ikeja-hall", Region: "lagos"}
)

// Loopback is a UDP or TCP address whose port is chosen by the system.
var Loopback = netip.MustParseAddrPort("127.0.0.1:0")

var authority = sync.OnceValues(pki.NewAuthority)

// Keys issues a certificate signed by the certificate authority that all specs
// share.
func Keys(role fleet.Role, id fleet.InstanceID) *keys.Store {
	ginkgo.GinkgoHelper()
	signer, err := authority()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	files, err := signer.WriteFiles(ginkgo.GinkgoT().TempDir(), role, id)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	store, err := keys.Load(files)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return store
}

// Logger returns a logger that writes to the spec's output, which is shown if
// the spec fails.
func Logger(name string) *zap.Logger {
	encoder := zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(ginkgo.GinkgoWriter), zap.DebugLevel)).Named(name)
}

// Handler adapts a function to peer.Handler.
type Handler func(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream)

// ServeStream implements peer.Handler.
func (h Handler) ServeStream(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	h(ctx, from, kind, s)
}

// Endpoint runs an endpoint on its own port. handler may be nil for an endpoint
// that only dials.
func Endpoint(role fleet.Role, id fleet.InstanceID, handler peer.Handler) *peer.Endpoint {
	ginkgo.GinkgoHelper()
	endpoint := newEndpoint(role, id, handler, nil)
	RunUntilEnd(endpoint.Run)
	return endpoint
}

func newEndpoint(role fleet.Role, id fleet.InstanceID, handler peer.Handler, link *Link) *peer.Endpoint {
	ginkgo.GinkgoHelper()
	options := peer.Options{Listen: Loopback, Keys: Keys(role, id), Handler: handler, Logger: zap.NewNop()}
	if link != nil {
		options.WrapSocket = link.socket
	}
	endpoint, err := peer.New(options)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return endpoint
}

// RunUntilEnd runs f on a goroutine until the spec ends or stop is called, and
// then waits for f to return.
func RunUntilEnd(f func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f(ctx)
	}()
	stop = func() {
		cancel()
		gomega.Eventually(done, WaitTimeout).Should(gomega.BeClosed())
	}
	ginkgo.DeferCleanup(stop)
	return stop
}

// Link is the network link below a process's QUIC endpoint. Other addresses can
// be blocked: datagrams to them are then dropped without an error, as when a
// link between racks fails.
type Link struct {
	mu      sync.Mutex
	blocked map[netip.AddrPort]bool
}

// NewLink returns a link that drops nothing.
func NewLink() *Link { return &Link{blocked: make(map[netip.AddrPort]bool)} }

// Block drops datagrams to the given addresses from now on. A partition needs a
// block on both sides.
func (l *Link) Block(to ...netip.AddrPort) { l.set(true, to) }

// Unblock ends a Block.
func (l *Link) Unblock(to ...netip.AddrPort) { l.set(false, to) }

func (l *Link) set(blocked bool, to []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, addr := range to {
		l.blocked[addr] = blocked
	}
}

func (l *Link) isBlocked(to net.Addr) bool {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return false
	}
	addr := udp.AddrPort()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blocked[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
}

func (l *Link) socket(bound *net.UDPConn) net.PacketConn {
	return &linkSocket{PacketConn: bound, link: l}
}

// linkSocket exposes only the methods of net.PacketConn, so that quic-go sends
// each datagram with WriteTo.
type linkSocket struct {
	net.PacketConn
	link *Link
}

// WriteTo implements net.PacketConn.
func (s *linkSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	if s.link.isBlocked(to) {
		return len(p), nil
	}
	return s.PacketConn.WriteTo(p, to)
}
