// Package boundedhttp is an HTTP server for clients that are not trusted. It bounds the
// connections, the memory of request heads, the concurrent requests, and the time for which a
// client may be idle, send a head or accept nothing of a response.
//
// core/connlimit decides which connection is evicted at a bound.
package boundedhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/core/connlimit"
)

// Bounds for a client while no configuration sets others.
const (
	DefaultHeadBytes   = 64 << 10
	DefaultHeadTimeout = 10 * time.Second
	DefaultIdleTimeout = 2 * time.Minute
)

const (
	// maxHeadBytes is the bound of net/http, above those that a configuration may set.
	maxHeadBytes = 16 << 20
	// retryAfter is the Retry-After of requests that are refused before a handler is called, in
	// seconds.
	retryAfter = "1"
	// receiveBufferBytes bounds what the kernel holds of the bytes that a client has sent and
	// that are not read, since its request is being served. bodyBufferBytes is the bound while
	// a larger body is read: with the other one, a link with a delay could not be used fully.
	// What arrived meanwhile stays unread if it belongs to later requests, so only one in
	// enlargedDivisor of the connections may have the larger buffer at a time.
	receiveBufferBytes = 16 << 10
	bodyBufferBytes    = 128 << 10
	enlargedDivisor    = 16
	// sendBufferBytes bounds what the kernel holds of a response that the client doesn't read.
	sendBufferBytes = 64 << 10
	// logInterval is the least time between two log lines of a port.
	logInterval = 10 * time.Second
)

// headTooLarge is why a request is refused whose head is longer than one client may send.
const headTooLarge connlimit.Cause = "head_too_large"

// ClientLimits bound what a single client may do.
type ClientLimits struct {
	HeadBytes   int
	HeadTimeout time.Duration
	IdleTimeout time.Duration
	// IsProvisional is true if a longer head may be allowed later, so that it is refused as not
	// run rather than as too large.
	IsProvisional bool
}

// DefaultClientLimits returns the bounds while no configuration sets others.
func DefaultClientLimits() ClientLimits {
	return ClientLimits{HeadBytes: DefaultHeadBytes, HeadTimeout: DefaultHeadTimeout, IdleTimeout: DefaultIdleTimeout}
}

// Options configures a Server.
type Options struct {
	// Port is the name of the port in logs and metrics.
	Port    string
	Handler http.Handler
	// Limits bound all clients of the port together.
	Limits connlimit.Limits
	// ClientLimits returns the bounds for one client; nil for the default ones.
	ClientLimits func() ClientLimits
	// BodyTimeout bounds the receipt of a request's body, also of one that the handler does
	// not read.
	BodyTimeout time.Duration
	Logger      *zap.Logger
	Metrics     tally.Scope
}

// Server is an HTTP server with bounds.
type Server struct {
	http  *http.Server
	opts  Options
	table *connlimit.Table
	// enlarged is the number of connections whose receive buffer was enlarged and whose
	// request has not ended.
	enlarged atomic.Int64
	// active is the number of requests whose head was read and that have not ended, and of
	// connections that wait for their client to read the last response.
	active atomic.Int64
	// lingerTimeout bounds that wait.
	lingerTimeout time.Duration

	mu       sync.Mutex         // protects listener and open
	listener *listener          // nil before Serve
	open     map[*conn]struct{} // accepted connections that were not closed
	// isClosed is true once no more connections are accepted.
	isClosed atomic.Bool

	loggedAt atomic.Int64 // Unix nanoseconds
	omitted  atomic.Int64
}

// New returns a server that accepts connections once Serve is called.
func New(opts Options) *Server {
	if opts.ClientLimits == nil {
		opts.ClientLimits = DefaultClientLimits
	}
	s := &Server{opts: opts, table: connlimit.New(opts.Limits), lingerTimeout: refusalTimeout, open: make(map[*conn]struct{})}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), ConnContext: connContext, DisableGeneralOptionsHandler: true,
		ConnState: func(c net.Conn, state http.ConnState) { c.(*conn).setState(state) },
		// conn replaces the timeouts by those in force.
		ReadHeaderTimeout: DefaultHeadTimeout, IdleTimeout: DefaultIdleTimeout, MaxHeaderBytes: maxHeadBytes,
		// net/http logs panics of handlers and failures to accept connections, but nothing that
		// a client causes.
		ErrorLog: errorLog(opts.Logger),
	}
	s.http.RegisterOnShutdown(s.closeUnused)
	return s
}

func errorLog(logger *zap.Logger) *log.Logger {
	std, err := zap.NewStdLogAt(logger, zap.WarnLevel)
	if err != nil { // only for an unknown level
		return log.New(io.Discard, "", 0)
	}
	return std
}

// Serve serves the connections of a TCP listener, usually one of Listen, until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	s.boundUnaccepted(l)
	bounded := &listener{Listener: l, server: s, closed: make(chan struct{})}
	s.mu.Lock()
	s.listener = bounded
	if s.isClosed.Load() {
		bounded.stopAccepting()
	}
	s.mu.Unlock()
	return s.http.Serve(bounded)
}

// idlePollInterval is the interval at which Shutdown checks whether requests are running.
const idlePollInterval = 5 * time.Millisecond

// Shutdown stops accepting connections and waits until no request is running or ctx ends. Until
// then the requests that arrive on open connections are served as well: net/http closes the
// connection of a request that it reads during its own shutdown without a response.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.isClosed.Store(true)
	if s.listener != nil {
		s.listener.stopAccepting()
	}
	s.mu.Unlock()
	if err := s.awaitInactive(ctx); err != nil {
		return err
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return err
	}
	// net/http doesn't wait for connections that are closed for writing only.
	return s.awaitInactive(ctx)
}

// awaitInactive waits until active is 0 or ctx ends.
func (s *Server) awaitInactive(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for s.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeUnused closes the connections without a running request. net/http keeps those that have
// carried none for seconds, and closes them without a response if a request comes. It calls this
// function once it begins no more requests.
func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if !c.isActive.Load() {
			_ = c.TCPConn.Close() // fails only if it is already closed
		}
	}
}

// track adds or removes a connection.
func (s *Server) track(c *conn, isOpen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isOpen {
		s.open[c] = struct{}{}
	} else {
		delete(s.open, c)
	}
}

// Close closes all connections.
func (s *Server) Close() error { return s.http.Close() }

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// serve calls the handler with a bound on the time for the body.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && !c.countBuffered(r.Header) {
		s.countRefused(connlimit.HeadMemory)
		// net/http reads what is left of a short body. Fails only on a closed connection.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.opts.BodyTimeout))
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.isClosed.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength == 0 {
		Accept(r)
	} else {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(s.opts.BodyTimeout)) // fails only on a closed connection
		// A copy, since net/http decides by the type of the original's body whether it waits for
		// the client to read the response, and whether it reads what the handler did not.
		body := &boundedBody{ReadCloser: r.Body, control: control, large: s.largeBody(r), request: r}
		r = r.WithContext(r.Context())
		r.Body = body
	}
	s.opts.Handler.ServeHTTP(w, r)
}

// largeBody enlarges the receive buffer of a request's connection if its body may be larger,
// unless many others are enlarged. It returns the connection then, nil otherwise.
func (s *Server) largeBody(r *http.Request) *conn {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || r.ContentLength > 0 && r.ContentLength <= receiveBufferBytes || !c.enlargeBuffer() {
		return nil
	}
	return c
}

// boundedBody is the body of a request. Its deadline ends with it: a later read by net/http
// that fails would cancel the request.
type boundedBody struct {
	io.ReadCloser
	control *http.ResponseController
	large   *conn // whose receive buffer was enlarged, nil if it was not
	request *http.Request
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{}) // fails only on a closed connection
		b.request.Trailer = nil                    // nobody reads it, and its memory is not counted
		if b.large != nil {
			b.large.shrinkBuffer()
		}
	}
	return n, err
}

// Accept records that a request has been received completely, with its body, and reports whether it
// may be served. Otherwise it must be refused at once, as not run: too many requests are being
// served, or the connection was evicted. Until then the connection may be evicted for others. A
// handler that reads no body need not call it.
func Accept(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return !ok || c.accept(time.Now())
}

// IsReused reports whether the connection of a request has carried an earlier one.
func IsReused(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return ok && c.isReused
}

// listener accepts connections within the bounds.
type listener struct {
	net.Listener
	server *Server
	// isStopped is true once no more connections are accepted. Accept then blocks until net/http
	// closes the listener itself: at an error of Accept, net/http would stop serving.
	isStopped atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// stopAccepting closes the listener's port.
func (l *listener) stopAccepting() {
	if !l.isStopped.Swap(true) {
		_ = l.Listener.Close() // fails only if it is already closed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.stopAccepting()
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			if l.isStopped.Load() {
				<-l.closed
			}
			return nil, acceptError(err)
		}
		c := &conn{TCPConn: accepted.(*net.TCPConn), server: l.server}
		// Unlike the receive buffer, it is not inherited from the listener. Fails only on a closed connection.
		_ = c.SetWriteBuffer(sendBufferBytes)
		if c.entry = l.server.table.Open(time.Now(), c.evict); c.entry != nil {
			l.server.track(c, true)
			return c, nil
		}
		c.evict(connlimit.NoPlace)
	}
}

// singleErrors are errors of accept(2) that concern one connection, or a shortage that passes,
// and that package net doesn't report as temporary.
var singleErrors = []syscall.Errno{
	syscall.ENOMEM, syscall.ENOBUFS, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
	syscall.ENONET, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EPERM,
}

// acceptError returns an error after which net/http goes on accepting connections if err concerns
// a single one.
func acceptError(err error) error {
	var errno syscall.Errno
	if errors.As(err, &errno) && slices.Contains(singleErrors, errno) {
		return temporaryError{cause: err}
	}
	return err
}

// temporaryError is an error after which net/http tries again. It implements net.Error.
type temporaryError struct{ cause error }

// Error implements error.
func (e temporaryError) Error() string { return e.cause.Error() }

// Timeout implements net.Error.
func (temporaryError) Timeout() bool { return false }

// Temporary implements net.Error.
func (temporaryError) Temporary() bool { return true }

// Unwrap returns the cause.
func (e temporaryError) Unwrap() error { return e.cause }

func (s *Server) clientLimits() ClientLimits { return s.opts.ClientLimits() }

// countClosed records a connection that was closed for another one.
func (s *Server) countClosed(cause connlimit.Cause) {
	s.counted(cause).Counter("client_connections_closed").Inc(1)
	s.log("client_connections_closed", cause)
}

// countRefused records a request that was refused.
func (s *Server) countRefused(cause connlimit.Cause) {
	s.counted(cause).Counter("client_requests_refused").Inc(1)
	s.log("client_requests_refused", cause)
}

func (s *Server) counted(cause connlimit.Cause) tally.Scope {
	return s.opts.Metrics.Tagged(map[string]string{"port": s.opts.Port, "cause": string(cause)})
}

// log writes at most one line in each logInterval, so that misbehaving clients don't fill the
// log.
func (s *Server) log(event string, cause connlimit.Cause) {
	now := time.Now().UnixNano()
	last := s.loggedAt.Load()
	if last != 0 && now-last < int64(logInterval) || !s.loggedAt.CompareAndSwap(last, now) {
		s.omitted.Add(1)
		return
	}
	usage := s.table.Usage()
	s.opts.Logger.Warn(event, zap.String("port", s.opts.Port), zap.String("cause", string(cause)),
		zap.Int64("omitted", s.omitted.Swap(0)), zap.Int("connections", usage.Connections), zap.Int("unfinished", usage.Unfinished),
		zap.Int("idle", usage.Idle), zap.Int("requests", usage.Requests), zap.Int64("head_bytes", usage.HeadBytes))
}

// refusal returns the response to a request whose head is not complete.
func (s *Server) refusal(status int) string {
	if status == http.StatusServiceUnavailable {
		return refusal(status, "Retry-After: "+retryAfter)
	}
	return refusal(status)
}

func statusLine(status int) string { return fmt.Sprintf("%d %s", status, http.StatusText(status)) }
