package boundedhttp

import (
	"net"
	"net/http"
	"time"

	"chivespindle.example/core/connlimit"
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
	// accepted is the result of accept for the current request.
	accepted, hasAccepted bool
	// isReused is true if an earlier request was served.
	isReused bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.phase != serves {
		c.entry.ReceiveHead(time.Now())
	}
	return n, err
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
		timeout = limits.IdleTimeout
	}
	return c.TCPConn.SetReadDeadline(time.Now().Add(timeout))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.entry.Close()
	return c.TCPConn.Close()
}

// evict closes the connection for another one.
func (c *conn) evict(cause connlimit.Cause) {
	c.server.countClosed(cause)
	_ = c.TCPConn.Close() // already closed by the client
}

// setState follows the states of net/http.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateNew:
		c.await(readsHead)
	case http.StateActive:
		c.phase = serves
		c.hasAccepted = false
	case http.StateIdle:
		c.entry.EndRequest(time.Now())
		c.isReused = true
		c.await(awaitsRequest)
	}
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
}
