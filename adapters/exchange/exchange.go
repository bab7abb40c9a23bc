// Package exchange sends HTTP/1.1 requests over pooled connections, one attempt
// for each call of Do.
//
// The transport of net/http retries a request by itself when a reused
// connection breaks and the method is idempotent. Here the operator's
// configuration decides which requests may be retried, so this package pools
// the connections itself and uses net/http only to write and read messages.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
)

const (
	// dialTimeout bounds establishing a connection: it allows several round
	// trips, and is shorter than the time that a caller waits.
	dialTimeout = 700 * time.Millisecond
	// probeTimeout bounds the check whether a server refuses connections.
	probeTimeout = 200 * time.Millisecond
	// openCheckTime is how long a new connection must stay open to show that
	// the server's process is not ending.
	openCheckTime = 10 * time.Millisecond
	// writeTimeout bounds the sending of a request to a server that does not
	// read.
	writeTimeout = 2 * time.Second
	// earlyResponseTime bounds the read of a response on a connection that the server
	// has closed, where what was sent before has arrived.
	earlyResponseTime = 10 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is pooled if the server
	// advertises no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the server's advertised timeout, so
	// that a request is not sent while the server closes the connection.
	idleTimeoutMargin = 1500 * time.Millisecond
	// defaultMaxIdle bounds the idle connections to each server before the
	// first SetMaxIdle.
	defaultMaxIdle = 32
	// readBufferBytes is enough for the header of a response and some events.
	readBufferBytes = 4 << 10
	// unacknowledgedTimeout ends a connection whose peer has vanished.
	unacknowledgedTimeout = 3 * time.Second
)

// Revoked is the type of the error of a request that was revoked before it was sent.
var Revoked = failure.Namespace.NewType("revoked")

// Refused is the type of the error of a request whose server refused the connection. A
// refusal takes a round trip, unlike a connection attempt that times out.
var Refused = failure.Unavailable.NewSubtype("connection_refused")

// LargeHead is the type of the error of a request with a large head whose connection broke.
// Servers bound the heads that they read, and some close the connection of a longer one.
var LargeHead = failure.Unavailable.NewSubtype("request_head_large")

// UploadRejected is the type of the error of a request with a body whose rejection was cut off:
// servers that reject a request may close its connection without reading the body.
var UploadRejected = failure.Unavailable.NewSubtype("upload_rejected")

// Pool is a pool of connections to servers. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	// maxIdle bounds the idle connections to each server; nil before the first
	// SetMaxIdle.
	maxIdle map[netip.AddrPort]int
	// dialled counts the established connections.
	dialled int64
}

// New returns a pool without connections.
func New() *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setSocketOptions},
		idle:   make(map[netip.AddrPort][]*conn),
	}
}

// optTCPUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const optTCPUserTimeout = 18

// receiveBufferBytes bounds what the kernel holds of a response while nothing is read from its
// server, since the client does not read.
const receiveBufferBytes = 32 << 10

// setSocketOptions makes the kernel close a connection on which sent bytes
// stay unacknowledged: a network partition closes nothing by itself. It also
// bounds the receive buffer.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var timeoutErr, bufferErr error
	err := raw.Control(func(fd uintptr) {
		timeoutErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(unacknowledgedTimeout/time.Millisecond))
		bufferErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(err, timeoutErr, bufferErr)
}

// conn is a connection, used for one exchange at a time.
type conn struct {
	net.Conn
	addr      netip.AddrPort
	input     *BoundedReader // of the connection
	head      *headReader    // of input
	end       connEnd
	reader    *bufio.Reader // of head
	writer    *bufio.Writer
	idleUntil time.Time // not reused after this time
	// readDeadline and onSilence belong to the current exchange.
	readDeadline time.Time
	onSilence    OnSilence
}

// Dialled returns the number of connections established so far.
func (p *Pool) Dialled() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialled
}

// get returns an idle connection on which nothing has arrived, or dials one.
func (p *Pool) get(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	for {
		c := p.popIdle(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if time.Now().Before(c.idleUntil) && c.isIdle() {
			return c, nil
		}
		_ = c.Close()
	}
}

// popIdle returns the most recently used idle connection: it is the one that
// the server will close last.
func (p *Pool) popIdle(addr netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[addr] = idle[:len(idle)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	c, err := p.connect(ctx, addr)
	if err != nil {
		kind := failure.Unavailable
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = Refused
		}
		return nil, failure.WithOutcome(kind.Wrap(err, "connect to %s", addr), failure.NotRun)
	}
	return c, nil
}

// connect dials. Its error is the dialer's, without an outcome.
func (p *Pool) connect(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialled++
	p.mu.Unlock()
	c := &conn{Conn: raw, addr: addr, writer: bufio.NewWriter(raw), end: connEnd{socket: raw}}
	c.input = NewBoundedReader(c, MaxHeadBytes, "the head")
	c.head = newHeadReader(c.input)
	c.reader = bufio.NewReaderSize(c.head, readBufferBytes)
	return c, nil
}

// ProbeRefused reports whether connections to addr are refused; known is false
// if that could not be determined within probeTimeout. A connection that is
// established is pooled.
//
// A process that ends closes its connections shortly before or after its
// listener. A connection that is accepted in between breaks at once, and the
// next one is refused.
func (p *Pool) ProbeRefused(ctx context.Context, addr netip.AddrPort) (refused, known bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	const tries = 2
	for range tries {
		c, err := p.connect(ctx, addr)
		if err != nil {
			refused = errors.Is(err, syscall.ECONNREFUSED)
			return refused, refused
		}
		if c.staysOpen() {
			p.put(c, 0)
			return false, true
		}
		_ = c.Close()
	}
	return false, false
}

// staysOpen reports whether a new connection stays open and idle for
// openCheckTime.
func (c *conn) staysOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(openCheckTime))
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// put returns a connection to the pool after an exchange. serverTimeout is the
// idle timeout that the server advertised, 0 if none.
func (p *Pool) put(c *conn, serverTimeout time.Duration) {
	idleTimeout := defaultIdleTimeout
	if serverTimeout > 0 {
		idleTimeout = serverTimeout - idleTimeoutMargin
	}
	if idleTimeout <= 0 || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.idleUntil = time.Now().Add(idleTimeout)
	c.onSilence = nil
	_ = c.SetDeadline(time.Time{}) // never fails on an open connection
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.maxIdleTo(c.addr) {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

func (p *Pool) maxIdleTo(addr netip.AddrPort) int {
	if p.maxIdle == nil {
		return defaultMaxIdle
	}
	return p.maxIdle[addr]
}

// SetMaxIdle sets the maximal number of idle connections to each server. Excess
// ones are closed: a server resets connections beyond the number that it
// accepts from all callers together, so idle ones would displace those of other
// requests. Connections to servers that are not listed are closed too, so that
// a later server at the same address does not get requests over its
// predecessor's connections.
func (p *Pool) SetMaxIdle(maxIdle map[netip.AddrPort]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = maxIdle
	for addr, idle := range p.idle {
		remaining := min(len(idle), maxIdle[addr])
		for _, c := range idle[:len(idle)-remaining] {
			_ = c.Close()
		}
		p.idle[addr] = slices.Clone(idle[len(idle)-remaining:])
		if remaining == 0 {
			delete(p.idle, addr)
		}
	}
}

// CloseIdle closes the idle connections to a server whose process was replaced.
func (p *Pool) CloseIdle(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

// isIdle reports whether nothing has arrived since the last exchange. If the
// server closed the connection or sent an extra response, that is detected
// here, before a request is sent that may be executed and whose response could
// not be told from the extra one.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Response is a response whose header has been read. Close must be called.
type Response struct {
	*http.Response
	pool      *Pool
	conn      *conn
	body      *bodyReader
	headBytes int64
	stopAbort func() bool
}

// bodyReader records whether the end of the body was read.
type bodyReader struct {
	io.ReadCloser
	reachedEnd bool
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.reachedEnd = b.reachedEnd || errors.Is(err, io.EOF)
	return n, err
}

// Do sends a request once to the server at addr and reads the header of the
// response, until deadline at the latest. request is called once a connection
// is available, since the request may contain the time left; if it returns nil,
// nothing is sent. When ctx ends, the connection is closed, so that the server can
// stop its work.
//
// The outcome of a failure is failure.NotRun only if no byte of the request was
// sent.
func (p *Pool) Do(ctx context.Context, addr netip.AddrPort, request func() *http.Request, deadline time.Time) (*Response, error) {
	return p.DoExtendable(ctx, addr, request, deadline, nil)
}

// DoExtendable is Do, but onSilence may extend the deadline, and those that SetDeadline sets
// later.
func (p *Pool) DoExtendable(ctx context.Context, addr netip.AddrPort, request func() *http.Request, deadline time.Time, onSilence OnSilence) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, failure.WithOutcome(failure.Unavailable.Wrap(err, "not sent to %s", addr), failure.NotRun)
	}
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, err
	}
	if !time.Now().Before(deadline) {
		p.put(c, 0)
		return nil, failure.WithOutcome(failure.Timeout.New("no time was left when %s was reached", addr), failure.NotRun)
	}
	r := request()
	if r == nil {
		p.put(c, 0)
		return nil, failure.WithOutcome(Revoked.New("revoked when %s was reached", addr), failure.NotRun)
	}
	stopAbort := context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(err error, operation string) (*Response, error) {
		stopAbort()
		_ = c.Close()
		return nil, failure.WithOutcome(failureType(err).Wrap(err, "%s %s", operation, addr), failure.Unknown)
	}
	if err := c.send(r); err != nil {
		if response := c.readEarlyResponse(r); response != nil {
			return newResponse(p, c, response, stopAbort), nil
		}
		return fail(err, "send to")
	}
	c.onSilence = onSilence
	c.setReadDeadline(deadline)
	response, err := c.readHead(r)
	if err != nil {
		return fail(err, "read from")
	}
	return newResponse(p, c, response, stopAbort), nil
}

func (c *conn) send(r *http.Request) error {
	c.end.expectResponse()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := r.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	c.end.recordSend(err)
	return err
}

// readEarlyResponse returns the error response of a server that closed the connection before it
// had read the whole request, nil if there is none: it rejects requests that are too large, or
// any while it is full. A success would be of a request that has not arrived.
func (c *conn) readEarlyResponse(r *http.Request) *http.Response {
	// net/http hides the type of an error of writing the body; the writer repeats it.
	_, err := c.writer.Write(nil)
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return nil
	}
	c.setReadDeadline(time.Now().Add(earlyResponseTime))
	response, err := c.readHead(r)
	if err != nil || response.StatusCode < http.StatusBadRequest {
		return nil
	}
	response.Close = true
	return response
}

func newResponse(p *Pool, c *conn, response *http.Response, stopAbort func() bool) *Response {
	// Callers keep the response for as long as a stream lasts, and a head with thousands of
	// short fields takes many times its length.
	response.Request = nil
	r := &Response{Response: response, pool: p, conn: c, headBytes: c.head.bytes, stopAbort: stopAbort}
	if response.Body != http.NoBody {
		r.body = &bodyReader{ReadCloser: response.Body}
		response.Body = r.body
	}
	return r
}

// SetDeadline bounds the reads of the body.
func (r *Response) SetDeadline(deadline time.Time) { r.conn.setReadDeadline(deadline) }

// Close ends the exchange. With reuse the connection is returned to the pool,
// unless the server closes it or the end of the body has not been read.
// serverTimeout is the idle timeout that the server advertised, 0 if none.
func (r *Response) Close(reuse bool, serverTimeout time.Duration) {
	atEnd := r.body == nil || r.body.reachedEnd && r.EndIsFramed()
	if !r.stopAbort() || !reuse || r.Response.Close || !atEnd {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.conn, serverTimeout)
}

// HeadBytes returns the length of the head, with the interim responses before it.
func (r *Response) HeadBytes() int64 { return r.headBytes }

// EndIsFramed reports whether the sender marks the end of the body; see the
// function EndIsFramed.
func (r *Response) EndIsFramed() bool { return EndIsFramed(r.Response) }

// EndIsFramed reports whether the sender marks the end of the body, by a length
// or by chunked encoding, or sends none. Otherwise the body ends with its
// connection, and io.EOF does not distinguish a complete body from one whose
// sender was killed.
func EndIsFramed(r *http.Response) bool {
	return r.Body == http.NoBody || r.ContentLength >= 0 ||
		len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// failureType distinguishes a response without an end, a malformed one, a truncated one and a
// timeout from a broken connection. bufio.ErrTooLong is the error of an event without an end.
func failureType(err error) *errorx.Type {
	switch {
	case errorx.IsOfType(err, TooLong), errors.Is(err, bufio.ErrTooLong):
		return TooLong
	case errorx.IsOfType(err, Malformed):
		return Malformed
	case errorx.IsOfType(err, Truncated):
		return Truncated
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.Timeout
	default:
		return failure.Unavailable
	}
}

// WrapReadError classifies an error of reading the body: TooLong if it has exceeded a bound,
// failure.Timeout if nothing arrived in time, else failure.Unavailable or its subtype Truncated.
// io.EOF is returned as it is.
func WrapReadError(err error) error {
	if errors.Is(err, io.EOF) {
		return err
	}
	return failure.WithOutcome(failureType(err).Wrap(err, "read the answer"), failure.Unknown)
}
