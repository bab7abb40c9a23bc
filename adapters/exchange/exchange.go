// Package exchange sends HTTP/1.1 requests over kept connections, each request
// exactly as often as it is told to.
//
// The transport of net/http sends a request a second time by itself when a
// kept connection dies under it and the method looks safe. Here the operator's
// configuration says what may be repeated, so the connections are kept by this
// package and only the messages are written and read by net/http.
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
	// dialTimeout bounds the making of a connection: several round trips, and
	// less than a caller's patience.
	dialTimeout = 700 * time.Millisecond
	// refusalTimeout bounds the check whether a server refuses connections.
	refusalTimeout = 200 * time.Millisecond
	// acceptedFor is how long a new connection must stay open to show that its server
	// has not just ended.
	acceptedFor = 10 * time.Millisecond
	// writeTimeout bounds the sending of a request whose server does not read.
	writeTimeout = 2 * time.Second
	// keptFor is how long an unused connection is kept if the server told no
	// time of its own.
	keptFor = 4 * time.Second
	// keepMargin is taken off the time that the server told, so that a request
	// does not meet the server's close on its way.
	keepMargin = 1500 * time.Millisecond
	// maxKept bounds the unused connections to a server of which nothing is
	// known yet.
	maxKept = 32
	// readBuffer fits the header of an answer and some events.
	readBuffer = 4 << 10
	// userTimeout ends a connection whose other side has vanished.
	userTimeout = 3 * time.Second
)

// Pool keeps the connections to servers. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	kept   map[netip.AddrPort][]*conn
	// most bounds the unused connections to each server; nil before the first
	// Keep.
	most map[netip.AddrPort]int
	// dialled counts the connections that were made.
	dialled int64
}

// New returns a pool without connections.
func New() *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout},
		kept:   make(map[netip.AddrPort][]*conn),
	}
}

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 18

// setUserTimeout makes the kernel give up a connection on which sent bytes
// stay unacknowledged: a partition closes nothing.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
	})
	return errors.Join(err, failed)
}

// conn is one connection, used for one exchange at a time.
type conn struct {
	net.Conn
	addr  netip.AddrPort
	in    *bufio.Reader
	out   *bufio.Writer
	until time.Time // when it is used no more
}

// Dialled returns how many connections were made.
func (p *Pool) Dialled() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialled
}

// take returns a kept connection that is still quiet, or makes one.
func (p *Pool) take(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if time.Now().Before(c.until) && c.isQuiet() {
			return c, nil
		}
		_ = c.Close()
	}
}

// pop returns the connection that was used last: it is the one whose server is
// least about to close it.
func (p *Pool) pop(addr netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.kept[addr]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.kept[addr] = kept[:len(kept)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	c, err := p.connect(ctx, addr)
	if err != nil {
		return nil, failure.WithOutcome(failure.Unavailable.Wrap(err, "connect to %s", addr), failure.NotRun)
	}
	return c, nil
}

// connect makes a connection. Its failure is that of the dialer.
func (p *Pool) connect(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialled++
	p.mu.Unlock()
	return &conn{
		Conn: raw, addr: addr,
		in:  bufio.NewReaderSize(raw, readBuffer),
		out: bufio.NewWriter(raw),
	}, nil
}

// Refuses reports whether nothing accepts connections at addr; known is false if
// that was not found out within refusalTimeout. A connection that is made is kept.
//
// A process that ends closes its connections a moment before or after its listener.
// One that is made in between breaks at once, and the next one is refused.
func (p *Pool) Refuses(ctx context.Context, addr netip.AddrPort) (refuses, known bool) {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	const tries = 2
	for range tries {
		c, err := p.connect(ctx, addr)
		if err != nil {
			refuses = errors.Is(err, syscall.ECONNREFUSED)
			return refuses, refuses
		}
		if c.staysOpen() {
			p.put(c, 0)
			return false, true
		}
		_ = c.Close()
	}
	return false, false
}

// staysOpen reports whether a new connection is open and quiet for a moment.
func (c *conn) staysOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(acceptedFor))
	_, err := c.in.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// put keeps a connection whose exchange is over.
func (p *Pool) put(c *conn, told time.Duration) {
	life := keptFor
	if told > 0 {
		life = told - keepMargin
	}
	if life <= 0 || c.in.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.until = time.Now().Add(life)
	_ = c.SetDeadline(time.Time{}) // never fails on an open connection
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.kept[c.addr]) >= p.mostTo(c.addr) {
		_ = c.Close()
		return
	}
	p.kept[c.addr] = append(p.kept[c.addr], c)
}

func (p *Pool) mostTo(addr netip.AddrPort) int {
	if p.most == nil {
		return maxKept
	}
	return p.most[addr]
}

// Keep tells how many unused connections to each server are kept. Those beyond
// are closed: a server resets the connections that exceed what it accepts from
// all callers together, so unused ones take the place of others' requests. Those
// to servers that are not listed go too, so that a later server at the same
// address is not met on its predecessor's.
func (p *Pool) Keep(most map[netip.AddrPort]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
	for addr, kept := range p.kept {
		stay := min(len(kept), most[addr])
		for _, c := range kept[:len(kept)-stay] {
			_ = c.Close()
		}
		p.kept[addr] = slices.Clone(kept[len(kept)-stay:])
		if stay == 0 {
			delete(p.kept, addr)
		}
	}
}

// Drop closes the unused connections to a server whose process was replaced.
func (p *Pool) Drop(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.kept[addr] {
		_ = c.Close()
	}
	delete(p.kept, addr)
}

// isQuiet reports whether nothing came since the last exchange. A server that
// closed the connection, or sent an answer too many, shows here, before a
// request is sent that may run and whose answer cannot be told from the other.
func (c *conn) isQuiet() bool {
	if c.in.Buffered() > 0 {
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

// Response is an answer whose header was read. Close must be called.
type Response struct {
	*http.Response
	pool *Pool
	conn *conn
	body *bodyReader
	stop func() bool
}

// bodyReader notes when the end of a body was read.
type bodyReader struct {
	io.ReadCloser
	atEnd bool
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.atEnd = b.atEnd || errors.Is(err, io.EOF)
	return n, err
}

// Do sends a request once to the server at addr and reads the header of the
// answer, until by at the latest. The request is made once a connection is there:
// it may tell a time that is left. Ending ctx closes the connection, so that the
// server stops its work.
//
// A failure's outcome is failure.NotRun only if no byte of the request was
// sent.
func (p *Pool) Do(ctx context.Context, addr netip.AddrPort, request func() *http.Request, by time.Time) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, failure.WithOutcome(failure.Unavailable.Wrap(err, "not sent to %s", addr), failure.NotRun)
	}
	c, err := p.take(ctx, addr)
	if err != nil {
		return nil, err
	}
	if !time.Now().Before(by) {
		p.put(c, 0)
		return nil, failure.WithOutcome(failure.Timeout.New("no time was left when %s was reached", addr), failure.NotRun)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(err error, doing string) (*Response, error) {
		stop()
		_ = c.Close()
		return nil, failure.WithOutcome(kindOf(err).Wrap(err, "%s %s", doing, addr), failure.Unknown)
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	r := request()
	if err := r.Write(c.out); err != nil {
		return fail(err, "send to")
	}
	if err := c.out.Flush(); err != nil {
		return fail(err, "send to")
	}
	_ = c.SetReadDeadline(by)
	response, err := readFinal(c.in, r)
	if err != nil && !time.Now().Before(by) {
		// Of a line that was cut by the deadline net/http says that it is malformed.
		err = errors.Join(os.ErrDeadlineExceeded, err)
	}
	if err != nil {
		return fail(err, "read from")
	}
	return newResponse(p, c, response, stop), nil
}

func newResponse(p *Pool, c *conn, response *http.Response, stop func() bool) *Response {
	r := &Response{Response: response, pool: p, conn: c, stop: stop}
	if response.Body != http.NoBody {
		r.body = &bodyReader{ReadCloser: response.Body}
		response.Body = r.body
	}
	return r
}

// readFinal passes over interim answers.
func readFinal(in *bufio.Reader, r *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(in, r)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// SetDeadline bounds the reads of the body.
func (r *Response) SetDeadline(by time.Time) { _ = r.conn.SetReadDeadline(by) }

// Close ends the exchange. With keep the connection is used again, unless the
// server said that it closes it or the end of the body has not been read. told is
// for how long the server keeps it, 0 if it did not say.
func (r *Response) Close(keep bool, told time.Duration) {
	atEnd := r.body == nil || r.body.atEnd && r.EndIsFramed()
	if !r.stop() || !keep || r.Response.Close || !atEnd {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.conn, told)
}

// EndIsFramed reports whether the sender marks the end of the body; see the function.
func (r *Response) EndIsFramed() bool { return EndIsFramed(r.Response) }

// EndIsFramed reports whether the sender marks the end of the body, by a length or by
// chunks, or sends none. Otherwise the body ends with its connection, and io.EOF does
// not tell a complete body from one whose sender was killed.
func EndIsFramed(r *http.Response) bool {
	return r.Body == http.NoBody || r.ContentLength >= 0 ||
		len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// kindOf tells silence from a connection that broke.
func kindOf(err error) *errorx.Type {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return failure.Timeout
	}
	return failure.Unavailable
}

// Failure types the failure of a read of the body: failure.Timeout for
// silence, else failure.Unavailable. io.EOF is returned as it is.
func Failure(err error) error {
	if errors.Is(err, io.EOF) {
		return err
	}
	return failure.WithOutcome(kindOf(err).Wrap(err, "read the answer"), failure.Unknown)
}
