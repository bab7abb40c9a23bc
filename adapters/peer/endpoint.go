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
	"syscall"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
)

// Flow-control windows, in bytes: what a peer may send that the reader has not
// taken yet, which is what a connection can cost in memory at worst. They grow
// from the initial to the maximal value only on connections whose reader keeps
// up and whose round trip needs it.
const (
	initialStreamWindow     = 128 << 10
	maxStreamWindow         = 2 << 20
	initialConnectionWindow = 256 << 10
	maxConnectionWindow     = 4 << 20
)

// wantedBuffer is the socket buffer that quic-go asks for, in bytes. The kernel
// reports twice of what it grants.
const wantedBuffer = 7 << 20

// quietBufferWarning is quic-go's switch for a line that it prints through
// package log when the kernel caps the socket buffer.
const quietBufferWarning = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"

// Endpoint is both client and server over one UDP socket.
type Endpoint struct {
	opts      Options
	socket    *net.UDPConn
	addr      netip.AddrPort
	transport *quic.Transport
	listener  *quic.Listener // nil without a Handler
	gate      *gate
	pool      *pool
	metrics   *metrics

	ctx    context.Context // ends with Close
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	links    map[*link]struct{}
	closed   bool
	draining bool           // accepted connections take no streams
	work     sync.WaitGroup // dials, connections and handlers; grows only while not closed

	closeOnce sync.Once
}

// New binds the UDP socket and starts to listen if there is a Handler. Peers
// are served once Run is called. The address is bound exclusively: a second
// process on it fails with AddressInUse, also while the first is paused.
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
		opts:    opts,
		socket:  socket,
		addr:    addrPortOf(socket.LocalAddr()),
		gate:    newGate(),
		metrics: newMetrics(opts.Metrics, opts.Logger),
		links:   make(map[*link]struct{}),
	}
	e.ctx, e.cancel = context.WithCancelCause(context.Background())
	e.pool = newPool(e.dial)
	e.gate.generation = opts.Keys.Generation
	e.gate.onLimit = func(from netip.AddrPort) {
		e.metrics.refused(refusedHandshakeLimit, zap.Stringer("from", from))
	}
	e.gate.onFailed = e.handshakeFailed
	if err := e.listen(); err != nil {
		_ = socket.Close()
		return nil, err
	}
	return e, nil
}

func (e *Endpoint) packetConn() net.PacketConn {
	if e.opts.Socket == nil {
		return e.socket
	}
	return e.opts.Socket(e.socket)
}

// listen makes the QUIC transport. The key of stateless resets comes from the
// private key, so that a restarted process can tell its peers at once that
// their old connections are gone; with a random key they would find out by
// their idle timeout.
func (e *Endpoint) listen() error {
	_ = os.Setenv(quietBufferWarning, "true") // fails only on a malformed name
	resetKey := quic.StatelessResetKey(e.opts.Keys.Secret("stateless reset"))
	e.transport = &quic.Transport{
		Conn:                e.packetConn(),
		StatelessResetKey:   &resetKey,
		VerifySourceAddress: e.gate.verifySource,
		ConnContext:         e.gate.admit,
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

// warnSmallBuffer says in a line of ours what quic-go would print: with a small
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
	if err == nil && size < wantedBuffer {
		e.opts.Logger.Warn("udp_buffer_small", zap.Int("bytes", size), zap.Int("wanted", wantedBuffer),
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
	return conf
}

// clientConfig sends keep-alives from the dialling side only: one side's
// questions and the other's answers keep both from timing out.
func (e *Endpoint) clientConfig() *quic.Config {
	conf := e.baseConfig()
	conf.KeepAlivePeriod = e.opts.KeepAlive
	conf.MaxIncomingStreams = -1
	return conf
}

// Addr returns the UDP address that the endpoint holds.
func (e *Endpoint) Addr() netip.AddrPort { return e.addr }

// Run accepts connections and closes unused ones until ctx ends or Close is
// called; it returns nil then. In both cases the endpoint is closed when Run
// returns. It fails with failure.Unavailable if the socket breaks.
func (e *Endpoint) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.Close() })
	defer stop()
	defer e.Close()
	if !e.begin() {
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
		e.accept(conn, e.gate.completed(conn.Context()))
	}
}

// Close tells the peers, ends all connections and streams, releases the
// address and waits for the handlers. What was sent but has not arrived is
// lost; see Drain. It must not be called by a handler.
func (e *Endpoint) Close() error {
	e.closeOnce.Do(e.shutDown)
	return nil
}

// refuseWork has all later work fail, and returns the links that there are. The
// reason is there from the moment on at which work is refused: a dial that found
// none gave neither a connection nor a failure.
func (e *Endpoint) refuseWork() []*link {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.cancel(Closed.New("endpoint %s was closed", e.addr))
	return slices.Collect(maps.Keys(e.links))
}

func (e *Endpoint) shutDown() {
	links := e.refuseWork()
	var closing sync.WaitGroup
	for _, l := range links {
		closing.Go(func() { _ = l.conn.CloseWithError(connClosing, "") })
	}
	closing.Wait()
	if e.listener != nil {
		_ = e.listener.Close()
	}
	_ = e.transport.Close()
	_ = e.socket.Close()
	e.work.Wait()
}

// begin counts one more piece of work that Close waits for. It returns false
// once the endpoint is closed.
func (e *Endpoint) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.work.Add(1)
	return true
}

// register adds a connection. It returns false once the endpoint is closed.
func (e *Endpoint) register(l *link) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.links[l] = struct{}{}
	if e.draining && !l.dialled {
		l.retire()
	}
	e.side(l).opened.Inc(1)
	context.AfterFunc(l.conn.Context(), func() { e.unregister(l) })
	return true
}

func (e *Endpoint) unregister(l *link) {
	if l.dialled {
		e.pool.forget(l)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.links, l)
	e.side(l).closed.Inc(1)
	if l.dialled {
		e.opts.Logger.Debug("peer_connection_closed", zap.Stringer("peer", l.peer), zap.Stringer("addr", l.addr),
			zap.NamedError("cause", context.Cause(l.conn.Context())))
	}
}

func (e *Endpoint) side(l *link) sideMetrics {
	if l.dialled {
		return e.metrics.dialled
	}
	return e.metrics.accepted
}
