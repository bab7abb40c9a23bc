package boundedhttp

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"chivespindle.example/core/connlimit"
)

const (
	// writeStallTimeout is how long a client may accept nothing of a response.
	writeStallTimeout = 10 * time.Second
	// writeDeadlineStep is the age of a write deadline after which it is renewed: a renewal
	// for each event of a stream would cost more than the write.
	writeDeadlineStep = time.Second
	// writePieceBytes is the size of the pieces in which a response is written. A client
	// that accepts one makes progress.
	writePieceBytes = 16 << 10
	// refusalTimeout bounds the write of the refusal of an unfinished head, and the wait for
	// the client to read it, or the last response of a connection: a close with unread bytes
	// would reset the connection.
	refusalTimeout = 500 * time.Millisecond
	// maxDiscardedBytes bounds the bytes that are read meanwhile.
	maxDiscardedBytes = 256 << 10
	// bufferBytes is the size of net/http's buffer. A longer read doesn't go through it.
	bufferBytes = 4 << 10
)

// phase is what net/http waits for at a connection.
type phase int

const (
	awaitsRequest phase = iota // between two requests
	readsHead
	serves
)

// conn is the connection of a client. Except for Close, its methods are called by the
// goroutine of net/http that serves it, or by one that this goroutine waits for.
type conn struct {
	*net.TCPConn
	server *Server
	entry  *connlimit.Conn
	phase  phase
	// headBytes is the number of bytes that were read for the current head.
	headBytes int
	// headLines is the number of its lines that were counted, lineBytes the length of the line
	// that has begun, headBegun is true once a line that is not empty was read, and headEnded
	// once the empty line after it was.
	headLines, lineBytes int
	headBegun, headEnded bool
	// bufferedLines is the number of lines of the last read, without those of the head that it
	// was for. Some may belong to the next head.
	bufferedLines int
	// isRefused is true if the part of the current head that was read with an earlier request
	// takes too much memory.
	isRefused bool
	// accepted is the result of accept for the current request.
	accepted, hasAccepted bool
	// isEnlarged is true if the receive buffer was enlarged for the body of the current request.
	isEnlarged atomic.Bool
	// isActive is true while a request is running.
	isActive atomic.Bool
	// isReused is true if an earlier request was served.
	isReused bool
	// idleSince is when the last request ended, zero once a part of the next one was read.
	idleSince time.Time
	// writeDeadline is the time by which the handler wants the response to be written, zero
	// for none, and stallDeadline the deadline that is set at the connection.
	writeDeadline, stallDeadline time.Time
	// hasWriteFailed is true once a write of a response has failed.
	hasWriteFailed bool
	// hasStalled is true once a write of a response has failed since the client accepted nothing.
	hasStalled atomic.Bool
	// isAnswered is true between the end of a response and the next state of net/http.
	isAnswered atomic.Bool
	// isLingering is true once Close has left it to setState to close the connection.
	isLingering atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.isLingering.Load() {
		return 0, net.ErrClosed
	}
	if c.phase == serves {
		return c.readBody(p)
	}
	if c.isRefused {
		c.server.countRefused(connlimit.HeadMemory)
		return 0, c.refuseHead(http.StatusServiceUnavailable)
	}
	// net/http asks for more only if the head is not complete yet.
	if limits := c.server.clientLimits(); c.headBytes > limits.HeadBytes {
		c.server.countRefused(headTooLarge)
		status := http.StatusRequestHeaderFieldsTooLarge
		if limits.IsProvisional {
			status = http.StatusServiceUnavailable
		}
		return 0, c.refuseHead(status)
	}
	n, err := c.readHead(p)
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.TCPConn.Close() // net/http would take the line that has begun for a complete one and respond 400
		}
		return n, err
	}
	c.headBytes += n
	lines := c.countLines(p[:n])
	c.headLines += lines
	c.bufferedLines = bytes.Count(p[:n], []byte{'\n'}) - lines
	if !c.entry.ReceiveHead(time.Now(), n, lines) {
		c.server.countRefused(connlimit.HeadMemory)
		return 0, c.refuseHead(http.StatusServiceUnavailable)
	}
	return n, err
}

// readHead reads a part of a head. A deadline of an idle connection is extended if the idle
// timeout has become longer since it was set.
func (c *conn) readHead(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			c.idleSince = time.Time{}
			return n, err
		}
		if c.idleSince.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		deadline := c.idleSince.Add(c.server.clientLimits().IdleTimeout)
		if !deadline.After(time.Now()) {
			return n, err
		}
		_ = c.TCPConn.SetReadDeadline(deadline) // fails only on a closed connection
	}
}

// readBody reads a part of the body of the current request, or what follows it.
func (c *conn) readBody(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	// net/http reads a single byte while it waits for the client to close the connection.
	if n > 0 && len(p) > 1 {
		c.entry.ReceiveBody(time.Now())
		c.bufferedLines = 0
		if len(p) <= bufferBytes {
			c.bufferedLines = bytes.Count(p[:n], []byte{'\n'})
		}
	}
	return n, err
}

// countLines returns the number of lines of the head in p, which may end with a part of the
// body. Empty lines before the head don't end it: net/http skips them after a POST.
func (c *conn) countLines(p []byte) int {
	lines := 0
	for len(p) > 0 && !c.headEnded {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			c.lineBytes += countVisible(p)
			break
		}
		lines++
		isEmpty := c.lineBytes+countVisible(p[:end]) == 0
		c.headEnded = isEmpty && c.headBegun
		c.headBegun = c.headBegun || !isEmpty
		c.lineBytes = 0
		p = p[end+1:]
	}
	return lines
}

// countVisible returns the number of bytes that are no carriage returns.
func countVisible(p []byte) int { return len(p) - bytes.Count(p, []byte{'\r'}) }

// refuseHead responds to a request whose head is not complete, and returns an error after
// which net/http closes the connection without another response.
func (c *conn) refuseHead(status int) error {
	deadline := time.Now().Add(refusalTimeout)
	_ = c.TCPConn.SetDeadline(deadline) // fails only on a closed connection
	if _, err := io.WriteString(c.TCPConn, c.server.refusal(status)); err == nil {
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxDiscardedBytes) // until the client closes
	}
	return io.EOF
}

// SetReadDeadline implements net.Conn. While no request is served, net/http sets the constant
// timeouts of its server, which are replaced by those in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || c.phase == serves {
		return c.TCPConn.SetReadDeadline(t)
	}
	limits := c.server.clientLimits()
	timeout := limits.HeadTimeout
	if c.phase == awaitsRequest {
		c.phase = readsHead
		c.idleSince = time.Now()
		timeout = limits.IdleTimeout
	} else if !c.idleSince.IsZero() {
		c.idleSince = time.Time{}
		c.beginBuffered()
	}
	return c.TCPConn.SetReadDeadline(time.Now().Add(timeout))
}

// Write implements net.Conn. It fails if the client accepts nothing for writeStallTimeout.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	c.isAnswered.Store(false)
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		now := time.Now()
		c.renewWriteDeadline(now)
		c.entry.BeginWrite(now)
		n, err := c.TCPConn.Write(piece)
		c.entry.EndWrite()
		written += n
		c.hasWriteFailed = c.hasWriteFailed || err != nil
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.stallDeadline.Equal(c.writeDeadline) {
			c.hasStalled.Store(true)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *conn) renewWriteDeadline(now time.Time) {
	deadline := now.Add(writeStallTimeout)
	isHandlerDeadline := !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline)
	if isHandlerDeadline {
		deadline = c.writeDeadline
	}
	// The deadline of the handler doesn't move on with the next writes, so an older one that is
	// only a little earlier would end the response too soon.
	if d := deadline.Sub(c.stallDeadline); d < 0 || d >= writeDeadlineStep || isHandlerDeadline && d > 0 {
		c.stallDeadline = deadline
		_ = c.TCPConn.SetWriteDeadline(deadline) // fails only on a closed connection
	}
}

// SetWriteDeadline implements net.Conn. The deadline holds besides the one for a client that
// accepts nothing.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	// net/http removes the deadline when it has written a response.
	c.isAnswered.Store(t.IsZero() && !c.hasWriteFailed)
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.writeDeadline = t
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn. After a response, a connection with unread bytes is only closed for
// writing, so that the client can read all of the response: a full close would reset it. setState
// waits for the client and closes it, since Close may be called under the lock of net/http's server.
func (c *conn) Close() error {
	if c.isAnswered.Swap(false) && c.hasUnread() {
		c.isLingering.Store(true)
		c.entry.EndRequest(time.Now()) // the connection may be evicted for others
		return c.TCPConn.CloseWrite()
	}
	return c.closeFully()
}

// CloseWrite closes the connection for writing. net/http then waits itself before it calls Close.
func (c *conn) CloseWrite() error {
	c.isAnswered.Store(false)
	return c.TCPConn.CloseWrite()
}

// hasUnread reports whether bytes of the client have arrived that were not read.
func (c *conn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		unread, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}

// linger discards what the client sends until it closes the connection, within bounds, and closes it.
func (c *conn) linger() {
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(c.server.lingerTimeout)) // fails only on a closed connection
	_, _ = io.CopyN(io.Discard, c.TCPConn, maxDiscardedBytes)
	_ = c.closeFully() // fails only if the connection was evicted
}

func (c *conn) closeFully() error {
	c.server.track(c, false)
	c.entry.Close()
	c.releaseBuffer()
	if c.hasStalled.Load() {
		c.discardUnsent()
	}
	return c.TCPConn.Close()
}

// discardUnsent makes the close of the connection discard the bytes that the client has not accepted.
// Otherwise the kernel would hold them for minutes, in addition to those of the open connections.
func (c *conn) discardUnsent() { _ = c.SetLinger(0) } // fails only on a closed connection

// evict closes the connection for another one.
func (c *conn) evict(cause connlimit.Cause) {
	c.server.countClosed(cause)
	if cause == connlimit.Stalled {
		c.discardUnsent()
	}
	_ = c.TCPConn.Close() // already closed by the client
}

// setState follows the states of net/http.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateNew:
		c.await(readsHead)
	case http.StateActive:
		c.setActive(true)
		c.isAnswered.Store(false)
		c.phase = serves
		c.hasAccepted = false
	case http.StateClosed, http.StateHijacked:
		if c.isLingering.Load() {
			c.linger()
		}
		c.setActive(false)
	case http.StateIdle:
		c.setActive(false)
		c.isAnswered.Store(false)
		c.writeDeadline = time.Time{}
		c.entry.EndRequest(time.Now())
		c.isReused = true
		c.await(awaitsRequest)
	}
}

// setActive counts the connection among those that have a running request.
func (c *conn) setActive(active bool) {
	if c.isActive.Swap(active) == active {
		return
	}
	if active {
		c.server.active.Add(1)
	} else {
		c.server.active.Add(-1)
	}
}

// enlargeBuffer enlarges the receive buffer, unless too many others are enlarged.
func (c *conn) enlargeBuffer() bool {
	connections := int64(c.server.opts.Limits.Connections)
	if n := c.server.enlarged.Add(1); connections > 0 && n > max(1, connections/enlargedDivisor) {
		c.server.enlarged.Add(-1)
		return false
	}
	c.isEnlarged.Store(true)
	_ = c.SetReadBuffer(bodyBufferBytes) // fails only on a closed connection
	return true
}

// shrinkBuffer restores the size of the receive buffer. What the larger one holds stays there.
func (c *conn) shrinkBuffer() {
	_ = c.SetReadBuffer(receiveBufferBytes) // fails only on a closed connection
}

// releaseBuffer lets another connection enlarge its buffer.
func (c *conn) releaseBuffer() {
	if c.isEnlarged.Swap(false) {
		c.server.enlarged.Add(-1)
	}
}

// beginBuffered counts the lines that may belong to a head that begins in net/http's buffer, where
// it was read together with an earlier request.
func (c *conn) beginBuffered() {
	c.headBegun, c.headLines = true, c.bufferedLines
	c.isRefused = !c.entry.ReceiveHead(time.Now(), 0, c.bufferedLines)
}

// countBuffered counts the fields of a head that net/http read together with an earlier request.
// Its bytes are in net/http's buffer, which is part of what a connection counts. It returns false
// if the request must be refused.
func (c *conn) countBuffered(header http.Header) bool {
	if c.isRefused {
		return false
	}
	fields := -c.headLines
	for _, values := range header {
		fields += len(values)
	}
	return !c.isReused || fields <= 0 || c.entry.ReceiveHead(time.Now(), 0, fields)
}

// accept records that the current request has been received and reports whether it may be
// served.
func (c *conn) accept(now time.Time) bool {
	if !c.hasAccepted {
		c.hasAccepted = true
		if c.accepted = c.entry.BeginRequest(now); !c.accepted {
			c.server.countRefused(connlimit.Requests)
		}
	}
	return c.accepted
}

// await prepares for the next head.
func (c *conn) await(p phase) {
	c.phase = p
	c.headBytes, c.headLines, c.lineBytes, c.headBegun, c.headEnded = 0, 0, 0, false, false
	c.isRefused = false
	if c.isEnlarged.Load() { // the body of the last request may not have been read completely
		c.shrinkBuffer()
		c.releaseBuffer()
	}
}

// refusal returns a response without a body.
func refusal(status int, header ...string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 " + statusLine(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n")
	for _, line := range header {
		b.WriteString(line + "\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}
