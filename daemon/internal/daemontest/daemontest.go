// Package daemontest holds what the failure tests of the daemons share: a
// process put together in the test's own process, with real QUIC over
// loopback, and fakes of everything else: the platform's text and list, a
// backend server, an engine, a stage, sources of weights, an agent and an
// entry whose every step the test decides.
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

// Patience bounds the wait for something that must happen; nothing in a test
// passes because of it.
const Patience = 20 * time.Second

// Here and There are the places of the tests.
var (
	Here  = fleet.Place{Zone: "apapa-hall", Region: "lagos"}
	There = fleet.Place{Zone: "ikeja-hall", Region: "lagos"}
)

// Loopback is a UDP or TCP address of which the system chooses the port.
var Loopback = netip.MustParseAddrPort("127.0.0.1:0")

var authority = sync.OnceValues(pki.NewAuthority)

// Keys issues a certificate by the authority that all of a test share.
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

// Logger writes to the spec's own output, which is shown if it fails.
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

// Endpoint runs an endpoint on a port of its own. handler may be nil for one
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
// then waits for its end.
func RunUntilEnd(f func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f(ctx)
	}()
	stop = func() {
		cancel()
		gomega.Eventually(done, Patience).Should(gomega.BeClosed())
	}
	ginkgo.DeferCleanup(stop)
	return stop
}

// Link is a machine's link under its QUIC endpoint. It can be cut towards
// others: nothing is delivered to them then and nothing tells so, as when a
// link between racks fails.
type Link struct {
	mu  sync.Mutex
	cut map[netip.AddrPort]bool
}

// NewLink returns a whole link.
func NewLink() *Link { return &Link{cut: make(map[netip.AddrPort]bool)} }

// Cut drops what goes to the addresses from now on. A partition needs a cut on
// both sides.
func (l *Link) Cut(to ...netip.AddrPort) { l.set(true, to) }

// Join ends Cut.
func (l *Link) Join(to ...netip.AddrPort) { l.set(false, to) }

func (l *Link) set(cut bool, to []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, addr := range to {
		l.cut[addr] = cut
	}
}

func (l *Link) isCut(to net.Addr) bool {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return false
	}
	addr := udp.AddrPort()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
}

func (l *Link) socket(bound *net.UDPConn) net.PacketConn {
	return &cutSocket{PacketConn: bound, link: l}
}

// cutSocket hides all of the socket but net.PacketConn, so that quic-go sends
// each datagram by WriteTo.
type cutSocket struct {
	net.PacketConn
	link *Link
}

// WriteTo implements net.PacketConn.
func (s *cutSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	if s.link.isCut(to) {
		return len(p), nil
	}
	return s.PacketConn.WriteTo(p, to)
}
