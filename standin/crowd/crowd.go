// Package crowd runs a bounded number of misbehaving clients at once, for tests that show
// what a server holds while they are connected and whether it still serves others. It
// depends on Linux.
package crowd

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chivespindle.example/core/failure"
)

const (
	// MaxConnections bounds the connections of a crowd at any time.
	MaxConnections = 1000
	// MaxReopen bounds how often each client opens its connection again.
	MaxReopen = 3
	// maxLifetime ends a crowd that is not stopped.
	maxLifetime = 3 * time.Minute
	dialTimeout = 10 * time.Second
	// stallTime is how long a client makes no progress before it counts as settled: the
	// server reads nothing more from it or sends nothing more to it.
	stallTime = time.Second
	// stateInterval is how often a client that reads nothing checks its connection.
	stateInterval = 50 * time.Millisecond
)

// Crowd is a number of clients that all do the same. The exported fields must not change
// after Start.
type Crowd struct {
	// Addr is the TCP address of the server.
	Addr string
	// Connections is the number of clients, each with one connection at a time.
	Connections int
	// Reopen is how often each client connects again after the server refused or closed
	// its connection.
	Reopen int
	// Speak sends what a client sends on one connection. Afterwards the connection is held
	// until the server closes it or the crowd is stopped. An error ends the connection.
	Speak func(c *Conn) error
	// ReadsNothing leaves what the server sends in the socket. Otherwise it is discarded
	// once Speak has returned.
	ReadsNothing bool
	// ReceiveBuffer is the size of the clients' receive buffers in bytes, 0 for the default.
	ReceiveBuffer int
	// Wrap replaces a new connection, for example by a TLS connection; nil to keep it.
	Wrap func(c net.Conn) (net.Conn, error)

	cancel   context.CancelFunc
	running  sync.WaitGroup
	clients  []*client
	counters struct{ opened, refused, closed, written atomic.Int64 }
}

// Counts are what a crowd has done so far.
type Counts struct {
	// Opened counts connections that were established, Refused those that were not, and
	// Closed those that ended before the crowd was stopped.
	Opened, Refused, Closed int64
	// Written is the number of bytes that the sockets accepted.
	Written int64
	// Connected is the number of clients that are connected at present.
	Connected int
}

// phase is what a client is doing.
type phase int32

const (
	connecting phase = iota
	speaking
	holding
	finished // it does not connect again
)

type client struct {
	crowd  *Crowd
	number int
	phase  atomic.Int32
	// progress is the time of the last progress in Unix nanoseconds.
	progress atomic.Int64
}

// Start starts the clients. It fails if the crowd is larger than the bounds of this package.
func (c *Crowd) Start() error {
	if c.Connections > MaxConnections || c.Reopen > MaxReopen {
		return failure.Invalid.New("%d connections, opened again %d times: at most %d and %d",
			c.Connections, c.Reopen, MaxConnections, MaxReopen)
	}
	var ctx context.Context
	ctx, c.cancel = context.WithTimeout(context.Background(), maxLifetime)
	for n := range c.Connections {
		one := &client{crowd: c, number: n}
		one.progressed()
		c.clients = append(c.clients, one)
	}
	for _, one := range c.clients {
		c.running.Go(func() { one.run(ctx) })
	}
	return nil
}

// Stop closes all connections and waits for the clients to end.
func (c *Crowd) Stop() {
	if c.cancel != nil {
		c.cancel()
	}
	c.running.Wait()
}

// Settled reports whether every client holds its connection, makes no more progress or has
// finished.
func (c *Crowd) Settled() bool {
	for _, one := range c.clients {
		if !one.isSettled() {
			return false
		}
	}
	return true
}

// Counts returns what the crowd has done so far.
func (c *Crowd) Counts() Counts {
	counts := Counts{Opened: c.counters.opened.Load(), Refused: c.counters.refused.Load(),
		Closed: c.counters.closed.Load(), Written: c.counters.written.Load()}
	for _, one := range c.clients {
		if p := phase(one.phase.Load()); p == speaking || p == holding {
			counts.Connected++
		}
	}
	return counts
}

func (one *client) isSettled() bool {
	switch phase(one.phase.Load()) {
	case holding, finished:
		return true
	case speaking:
		return time.Since(time.Unix(0, one.progress.Load())) > stallTime
	default:
		return false
	}
}

func (one *client) progressed() { one.progress.Store(time.Now().UnixNano()) }

func (one *client) enter(p phase) {
	one.progressed()
	one.phase.Store(int32(p))
}

func (one *client) run(ctx context.Context) {
	defer one.enter(finished)
	for range one.crowd.Reopen + 1 {
		one.enter(connecting)
		one.connect(ctx)
		if ctx.Err() != nil {
			return
		}
	}
}

// connect opens a connection and returns when it has ended.
func (one *client) connect(ctx context.Context) {
	counters := &one.crowd.counters
	dialer := net.Dialer{Timeout: dialTimeout}
	if one.crowd.ReceiveBuffer > 0 {
		dialer.Control = setReceiveBuffer(one.crowd.ReceiveBuffer)
	}
	dialed, err := dialer.DialContext(ctx, "tcp", one.crowd.Addr)
	if err != nil {
		counters.refused.Add(1)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = dialed.Close() })
	defer func() {
		if stop() {
			counters.closed.Add(1)
			_ = dialed.Close()
		}
	}()
	counters.opened.Add(1)
	wrapped := dialed
	if one.crowd.Wrap != nil {
		if wrapped, err = one.crowd.Wrap(dialed); err != nil {
			return
		}
	}
	c := &Conn{Conn: wrapped, Number: one.number, ctx: ctx, client: one, tcp: dialed.(*net.TCPConn)}
	one.enter(speaking)
	if one.crowd.Speak != nil && one.crowd.Speak(c) != nil {
		return
	}
	c.Hold()
	c.awaitEnd()
}
