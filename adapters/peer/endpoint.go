package peer

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
)

// Flow-control windows, in bytes: how much a peer may send before the reader
// has consumed it, which bounds the memory of a connection. They grow from the
// initial to the maximal value only on connections whose reader keeps up and
// whose round-trip time needs it.
const (
	initialStreamWindow     = 128 << 10
	maxStreamWindow         = 2 << 20
	initialConnectionWindow = 256 << 10
	maxConnectionWindow     = 4 << 20
)

// wantedBufferBytes is the socket buffer that quic-go requests. The kernel
// reports twice the size that it grants.
const wantedBufferBytes = 7 << 20

// disableBufferWarningEnv is the environment variable that disables a warning
// that quic-go prints through package log when the kernel caps the socket
// buffer.
const disableBufferWarningEnv = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"

// Endpoint is both client and server over one UDP socket.
type Endpoint struct {
	opts       Options
	socket     *net.UDPConn
	addr       netip.AddrPort
	transport  *quic.Transport
	listener   *quic.Listener // nil without a Handler
	handshakes *handshakeLimiter
	messages   *messageMemory
	served     atomic.Int64 // streams of peers
	pool       *pool
	metrics    *metrics

	ctx    context.Context // canceled by Close
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	connections map[*connection]struct{}
	accepted    int // connections that were not dialled
	closed      bool
	draining    bool           // accepted connections take no new streams
	work        sync.WaitGroup // dials, connections and handlers; added to only while not closed

	closeOnce sync.Once
}

// New binds the UDP socket and starts to listen if there is a Handler. Peers
// are served once Run is called. The address is bound exclusively: a second
// process that binds it fails with AddressInUse, even while the first is
// suspended.
func New(opts Options) (*Endpoint, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(opts.Listen))
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, AddressInUse.New("UDP address %s is held by another process", opts.Listen)
	}
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "listen on UDP address %s", opts.Listen)
	}
	e := &Endpoint{
		opts:        opts,
		socket:      socket,
		addr:        addrPortOf(socket.LocalAddr()),
		handshakes:  newHandshakeLimiter(opts.MaxAcceptedPerAddress),
		messages:    newMessageMemory(int64(opts.MessageMemory)),
		metrics:     newMetrics(opts.Metrics, opts.Logger),
		connections: make(map[*connection]struct{}),
	}
	e.ctx, e.cancel = context.WithCancelCause(context.Background())
	e.pool = newPool(e.dial)
	e.handshakes.generation = opts.Keys.Generation
	e.handshakes.onLimitReached = func(reason string, from netip.AddrPort) {
		e.metrics.refused(reason, zap.Stringer("from", from))
	}
	e.handshakes.onFailed = e.handshakeFailed
	if err := e.listen(); err != nil {
		_ = socket.Close()
		return nil, err
	}
	return e, nil
}

func (e *Endpoint) packetConn() net.PacketConn {
	if e.opts.WrapSocket == nil {
		return e.socket
	}
	return e.opts.WrapSocket(e.socket)
}

// listen creates the QUIC transport. The key of stateless resets is derived
// from the private key, so that a restarted process can reset its peers' old
// connections at once; with a random key the peers would notice only at their
// idle timeout.
func (e *Endpoint) listen() error {
	_ = os.Setenv(disableBufferWarningEnv, "true") // fails only on a malformed name
	resetKey := quic.StatelessResetKey(e.opts.Keys.Secret("stateless reset"))
	e.transport = &quic.Transport{
		Conn:                e.packetConn(),
		StatelessResetKey:   &resetKey,
		VerifySourceAddress: e.handshakes.verifySource,
		ConnContext:         e.handshakes.admit,
	}
	if e.opts.Handler == nil {
		return nil
	}
	defer e.warnSmallBuffer()
	listener, err := e.transport.Listen(e.opts.Keys.ServerTLS(), e.serverConfig())
	if err != nil {
		return failure.Internal.Wrap(err, "listen")
	}
	e.listener = listener
	return nil
}

// warnSmallBuffer logs as an event what quic-go would print: with a small
// buffer the kernel drops packets of a burst, which shows as slow transfers.
func (e *Endpoint) warnSmallBuffer() {
	raw, err := e.socket.SyscallConn()
	if err != nil {
		return
	}
	var size int
	_ = raw.Control(func(fd uintptr) {
		size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	})
	if err == nil && size < wantedBufferBytes {
		e.opts.Logger.Warn("udp_buffer_small", zap.Int("bytes", size), zap.Int("wanted", wantedBufferBytes),
			zap.String("hint", "raise net.core.rmem_max"))
	}
}

func (e *Endpoint) handshakeFailed(from netip.AddrPort, cause error) {
	if e.ctx.Err() != nil {
		return
	}
	e.metrics.refused(refusedHandshakeFailed, zap.Stringer("from", from), zap.NamedError("cause", cause))
}

func (e *Endpoint) baseConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           e.opts.HandshakeTimeout,
		MaxIdleTimeout:                 e.opts.IdleTimeout,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingUniStreams:          -1,
	}
}

func (e *Endpoint) serverConfig() *quic.Config {
	conf := e.baseConfig()
	conf.MaxIncomingStreams = int64(e.opts.MaxStreams)
	for _, window := range []*uint64{
		&conf.InitialStreamReceiveWindow, &conf.MaxStreamReceiveWindow,
		&conf.InitialConnectionReceiveWindow, &conf.MaxConnectionReceiveWindow,
	} {
		*window = min(*window, uint64(e.opts.ReceiveWindow))
	}
	return conf
}

// clientConfig enables keep-alives on the dialling side only: its packets and
// the peer's acknowledgements keep the connection from timing out on both
// sides.
func (e *Endpoint) clientConfig() *quic.Config {
	conf := e.baseConfig()
	conf.KeepAlivePeriod = e.opts.KeepAlive
	conf.MaxIncomingStreams = -1
	return conf
}

// Addr returns the UDP address that the endpoint is bound to.
func (e *Endpoint) Addr() netip.AddrPort { return e.addr }

// Run accepts connections and closes unused ones until ctx ends or Close is
// called, and returns nil then. The endpoint is closed when Run returns. It
// fails with failure.Unavailable if the socket fails.
func (e *Endpoint) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.Close() })
	defer stop()
	defer e.Close()
	if !e.addWork() {
		return nil
	}
	go e.sweep()
	if e.listener == nil {
		<-e.ctx.Done()
		return nil
	}
	for {
		conn, err := e.listener.Accept(e.ctx)
		if e.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return failure.Unavailable.Wrap(err, "accept connections on %s", e.addr)
		}
		e.accept(conn, e.handshakes.completed(conn.Context()))
	}
}

// Close notifies the peers, ends all connections and streams, releases the
// address and waits for the handlers. Data that was sent but not yet delivered
// is lost; see Drain. It must not be called by a handler.
func (e *Endpoint) Close() error {
	e.closeOnce.Do(e.shutdown)
	return nil
}

// markClosed makes all later work fail, and returns the existing connections.
// The context is canceled with the Closed failure under the same lock: a dial
// that is refused reads its error from there, and without it would return
// neither a connection nor an error.
func (e *Endpoint) markClosed() []*connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.cancel(Closed.New("endpoint %s was closed", e.addr))
	return slices.Collect(maps.Keys(e.connections))
}

func (e *Endpoint) shutdown() {
	connections := e.markClosed()
	var closing sync.WaitGroup
	for _, c := range connections {
		closing.Go(func() { _ = c.quic.CloseWithError(connClosing, "") })
	}
	closing.Wait()
	if e.listener != nil {
		_ = e.listener.Close()
	}
	_ = e.transport.Close()
	_ = e.socket.Close()
	e.work.Wait()
}

// addWork adds one task that Close waits for. It returns false once the
// endpoint is closed.
func (e *Endpoint) addWork() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.work.Add(1)
	return true
}

// register adds a connection. It returns false once the endpoint is closed.
func (e *Endpoint) register(c *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	if !c.dialled && e.accepted >= e.opts.MaxAccepted && !e.closeUnused() {
		e.metrics.refused(refusedConnectionLimit, zap.Stringer("peer", c.peer), zap.Stringer("from", c.addr))
		return false
	}
	e.connections[c] = struct{}{}
	if !c.dialled {
		e.accepted++
	}
	if e.draining && !c.dialled {
		c.retire()
	}
	e.sideMetrics(c).opened.Inc(1)
	context.AfterFunc(c.quic.Context(), func() { e.unregister(c) })
	return true
}

func (e *Endpoint) unregister(c *connection) {
	if c.dialled {
		e.pool.remove(c)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget(c)
	e.sideMetrics(c).closed.Inc(1)
	if c.dialled {
		e.opts.Logger.Debug("peer_connection_closed", zap.Stringer("peer", c.peer), zap.Stringer("addr", c.addr),
			zap.NamedError("cause", context.Cause(c.quic.Context())))
	}
}

// forget removes a connection from the live ones. The caller holds mu.
func (e *Endpoint) forget(c *connection) {
	if _, live := e.connections[c]; !live {
		return
	}
	delete(e.connections, c)
	if !c.dialled {
		e.accepted--
	}
}

// closeUnused closes the accepted connection that has had no streams for longest, and
// reports whether there is one. The caller holds mu.
func (e *Endpoint) closeUnused() bool {
	var oldest *connection
	var oldestSince time.Time
	for c := range e.connections {
		since, unused := c.unusedSince()
		if !c.dialled && unused && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = c, since
		}
	}
	if oldest == nil || !oldest.retireIfUnused(time.Now(), closeDelay) {
		return false
	}
	e.forget(oldest)
	e.metrics.refused(refusedConnectionLimit, zap.Stringer("peer", oldest.peer), zap.Stringer("from", oldest.addr))
	go func() { _ = oldest.quic.CloseWithError(connUnused, "") }()
	return true
}

func (e *Endpoint) sideMetrics(c *connection) sideMetrics {
	if c.dialled {
		return e.metrics.dialled
	}
	return e.metrics.accepted
}
