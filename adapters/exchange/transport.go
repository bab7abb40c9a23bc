package exchange

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Transport is a transport of net/http that fails with Malformed or TooLong, and closes the
// connection, instead of returning a response whose head is malformed or has too many fields.
// Reading a body fails with Truncated instead of io.EOF if it may not be complete.
type Transport struct{ base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport adds the check to base, which must not be used by itself, and bounds the heads
// of responses to MaxHeadBytes as well.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(raw, raw), nil
	}
	base.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return dialTLS(ctx, base, raw, addr)
	}
	base.MaxResponseHeaderBytes = MaxHeadBytes
	return &Transport{base: base}
}

// dialTLS returns a connection that checks the decrypted bytes.
func dialTLS(ctx context.Context, base *http.Transport, raw net.Conn, addr string) (net.Conn, error) {
	config := base.TLSClientConfig.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			_ = raw.Close()
			return nil, err
		}
		config.ServerName = host
	}
	if base.TLSHandshakeTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, base.TLSHandshakeTimeout)
		defer cancel()
	}
	encrypted := tls.Client(raw, config)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return newCheckedConn(encrypted, raw), nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var current atomic.Pointer[checkedConn]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn.(*checkedConn) // of the dial functions above
			c.end.expectResponse()
			c.awaitsResponse.Store(true)
			current.Store(c)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { current.Load().end.recordSend(info.Err) },
	})
	response, err := t.base.RoundTrip(r.WithContext(ctx))
	used := current.Load()
	if used == nil {
		return response, err
	}
	if invalid := used.headErr.Load(); err != nil && invalid != nil {
		return nil, *invalid
	}
	if err == nil && used.awaitsResponse.Load() {
		_ = response.Body.Close()
		_ = used.Close()
		return nil, Malformed.New("the response arrived before its request was sent")
	}
	if err == nil {
		used.end.expectBody(response)
	}
	return response, err
}

// CloseIdleConnections closes the connections without a request; see http.Client.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// checkedConn is a connection that checks the heads of responses, and its own end.
type checkedConn struct {
	net.Conn
	head *headReader
	// awaitsResponse is true from when the connection is given to a request until a byte of
	// the response, and so of a head, arrives.
	awaitsResponse atomic.Bool
	headErr        atomic.Pointer[error]
	end            connEnd
}

// newCheckedConn returns a connection that reads from c, whose TCP connection is socket.
func newCheckedConn(c, socket net.Conn) *checkedConn {
	checked := &checkedConn{Conn: c, end: connEnd{socket: socket}}
	checked.head = newHeadReader(responseBytes{checked})
	return checked
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.end.recordSend(err)
	}
	return n, err
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.head.Read(p)
	if invalid := c.head.Err(); invalid != nil {
		c.headErr.Store(&invalid)
	}
	return n, err
}

// responseBytes reads the bytes that a headReader checks. net/http reads from an idle connection
// already, so the head of a response begins with the first bytes that arrive once the connection
// is given to a request.
type responseBytes struct{ conn *checkedConn }

// Read implements io.Reader.
func (r responseBytes) Read(p []byte) (int, error) {
	n, err := r.conn.Conn.Read(p)
	if n > 0 && r.conn.awaitsResponse.Swap(false) {
		r.conn.head.restart()
	}
	return n, r.conn.end.check(err, time.Time{})
}
