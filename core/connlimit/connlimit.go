// Package connlimit decides which connections of clients a process keeps and which requests
// it accepts, within bounds on connections, concurrent requests and the memory of request
// heads.
//
// At a bound, the connection that has made no progress for longest is evicted for the new one,
// so that clients that hold their connections don't lock out others. A connection whose
// request is being served is evicted only if its client accepts nothing of the response.
package connlimit

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minUnfinishedAge is the time without progress from which an unfinished request is evicted
	// before idle connections, which a client may be about to use again.
	minUnfinishedAge = time.Second
	// unfinishedDivisor bounds the unfinished requests that make progress, which slow clients
	// hold for long: beyond this part of all connections the oldest is evicted as well.
	unfinishedDivisor = 4
	// minStall is how long a client must have accepted nothing of its response to be evicted.
	minStall = 2 * time.Second
	// maxSlowRead is how long a client may read its response slowly while no other connection
	// can be evicted.
	maxSlowRead = 30 * time.Second
)

// Cause is why a connection was closed or a request was refused.
type Cause string

const (
	// Unfinished: a newer connection needed the place of one without a complete request.
	Unfinished Cause = "unfinished"
	// Idle: a newer connection needed the place of one without a request.
	Idle Cause = "idle"
	// Stalled: another connection or request needed the place of one whose client accepted
	// nothing of its response, or read it slowly.
	Stalled Cause = "stalled"
	// HeadMemory: the heads of all clients together exceeded their memory.
	HeadMemory Cause = "head_memory"
	// NoPlace: no other connection could be evicted.
	NoPlace Cause = "no_place"
	// Requests: too many requests were being served.
	Requests Cause = "requests"
)

type state int

const (
	unfinished state = iota // a request has not been received completely
	idle                    // between two requests
	serving
	closed
)

// Table holds the connections of one port. It is safe for concurrent use.
type Table struct {
	limits Limits

	mu sync.Mutex
	// unfinished, idle and serving hold the connections in these states, the longest there
	// first.
	unfinished, idle, serving list.List
	// large holds the connections with an unfinished request whose head is beyond
	// HeadAllowance, the oldest first.
	large     list.List
	open      int
	requests  int
	headBytes int64
}

// New returns a table without connections.
func New(limits Limits) *Table { return &Table{limits: limits} }

// Conn is an open connection of a client.
type Conn struct {
	table *Table
	// onEvict closes the connection.
	onEvict func(Cause)
	state   state
	since   time.Time // when it entered its state
	// progressAt is when a part of the current request was received last.
	progressAt time.Time
	place      *list.Element
	large      *list.Element
	// cost is the memory of the current head; what is beyond HeadAllowance is counted in
	// Table.headBytes.
	cost     int64
	accepted bool // the current request counts in Table.requests
	// writingSince is when the current write of a response began, in Unix nanoseconds, 0 if
	// there is none.
	writingSince atomic.Int64
}

// Usage is what the connections of a table use.
type Usage struct {
	Connections, Unfinished, Idle, Requests int
	HeadBytes                               int64
}

// Usage returns the current usage.
func (t *Table) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Usage{Connections: t.open, Unfinished: t.unfinished.Len(), Idle: t.idle.Len(), Requests: t.requests, HeadBytes: t.headBytes}
}

// Open adds a connection and evicts another one if there are too many. onEvict is called at
// most once, when the connection has to be closed. Open returns nil if none can be evicted; the
// new one must be closed then.
func (t *Table) Open(now time.Time, onEvict func(Cause)) *Conn {
	t.mu.Lock()
	var evicted *Conn
	var cause Cause
	if t.limits.Connections > 0 && t.open >= t.limits.Connections {
		if evicted, cause = t.victim(now); evicted == nil {
			t.mu.Unlock()
			return nil
		}
		evicted.remove()
	}
	c := &Conn{table: t, onEvict: onEvict}
	t.open++
	c.enter(unfinished, now)
	t.mu.Unlock()
	if evicted != nil {
		evicted.onEvict(cause)
	}
	return c
}

// victim returns the connection that is evicted for a new one, nil if there is none.
func (t *Table) victim(now time.Time) (*Conn, Cause) {
	oldest := first(&t.unfinished)
	if t.unfinished.Len() > t.limits.Connections/unfinishedDivisor {
		return oldest, Unfinished
	}
	for e := t.unfinished.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); now.Sub(c.progressAt) >= minUnfinishedAge {
			return c, Unfinished
		}
	}
	if reusable := first(&t.idle); reusable != nil {
		return reusable, Idle
	}
	if oldest != nil {
		return oldest, Unfinished
	}
	if stalled := t.stalled(now, false); stalled != nil {
		return stalled, Stalled
	}
	return t.slowest(now), Stalled
}

// slowest returns the connection whose client has been reading a response for longest, nil if
// none has for maxSlowRead.
func (t *Table) slowest(now time.Time) *Conn {
	for e := t.serving.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if now.Sub(c.since) < maxSlowRead {
			return nil
		}
		if c.writingSince.Load() != 0 {
			return c
		}
	}
	return nil
}

// stalled returns the connection whose client has accepted nothing of a response for longest,
// nil if there is none. If onlyAccepted is true, the responses to refused requests don't count.
func (t *Table) stalled(now time.Time, onlyAccepted bool) *Conn {
	var longest *Conn
	since := now.Add(-minStall).UnixNano()
	for e := t.serving.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if started := c.writingSince.Load(); (c.accepted || !onlyAccepted) && started != 0 && started <= since {
			longest, since = c, started
		}
	}
	return longest
}

// BeginWrite records that a part of a response is being written; EndWrite that the client has
// accepted it.
func (c *Conn) BeginWrite(now time.Time) { c.writingSince.Store(now.UnixNano()) }

// EndWrite records the end of a write.
func (c *Conn) EndWrite() { c.writingSince.Store(0) }

func first(l *list.List) *Conn {
	if e := l.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// ReceiveHead records the receipt of a part of a head. If the heads of all clients take too
// much memory, the oldest large ones are evicted. It returns false if there are none but
// this one, which must be refused then.
func (c *Conn) ReceiveHead(now time.Time, bytes, fields int) bool {
	t := c.table
	t.mu.Lock()
	if c.state == idle {
		c.enter(unfinished, now)
	}
	c.progressAt = now
	if c.state != unfinished {
		t.mu.Unlock()
		return true // of an evicted connection, nothing more can be read
	}
	before := c.excess()
	c.cost += headCost(bytes, fields)
	t.headBytes += c.excess() - before
	if c.excess() > 0 && c.large == nil {
		c.large = t.large.PushBack(c)
	}
	evicted, fits := c.makeRoom()
	t.mu.Unlock()
	for _, other := range evicted {
		other.onEvict(HeadMemory)
	}
	return fits
}

// ReceiveBody records the receipt of a part of a body.
func (c *Conn) ReceiveBody(now time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.progressAt = now
}

// makeRoom evicts unfinished large heads, the oldest first, until the head of c takes at most
// half of what the others leave, so that a few large heads leave room for smaller ones. It
// returns false if that would evict c. A large head without others may take all memory.
func (c *Conn) makeRoom() (evicted []*Conn, fits bool) {
	t := c.table
	for t.limits.HeadBytes > 0 && c.large != nil && t.headBytes+c.excess() > t.limits.HeadBytes {
		if isAlone := t.headBytes == c.excess(); isAlone && t.headBytes <= t.limits.HeadBytes {
			return evicted, true
		}
		oldest := first(&t.large)
		if oldest == c {
			return evicted, false
		}
		oldest.remove()
		evicted = append(evicted, oldest)
	}
	return evicted, true
}

// excess returns the memory of the head that is counted in Table.headBytes.
func (c *Conn) excess() int64 { return max(0, c.cost-HeadAllowance) }

// BeginRequest records that a request has been received completely. It returns false if the request
// must be refused as not run, since too many are being served or the connection was evicted.
func (c *Conn) BeginRequest(now time.Time) bool {
	evicted, ok := c.beginRequest(now)
	if evicted != nil {
		evicted.onEvict(Stalled)
	}
	return ok
}

func (c *Conn) beginRequest(now time.Time) (evicted *Conn, ok bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.state == closed || c.accepted {
		return nil, c.accepted
	}
	c.enter(serving, now)
	if t.limits.Requests > 0 && t.requests >= t.limits.Requests {
		if evicted = t.stalled(now, true); evicted == nil {
			return nil, false
		}
		evicted.remove()
	}
	c.accepted = true
	t.requests++
	return evicted, true
}

// EndRequest records that a response is complete and that the connection may carry another
// request.
func (c *Conn) EndRequest(now time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state == closed {
		return
	}
	c.releaseRequest()
	c.enter(idle, now)
}

// Close records that the connection is closed. It may be called more than once.
func (c *Conn) Close() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state != closed {
		c.remove()
	}
}

func (c *Conn) remove() {
	c.releaseRequest()
	c.leave()
	c.state = closed
	c.table.open--
}

// releaseRequest releases the memory of the head and the place of the request.
func (c *Conn) releaseRequest() {
	c.table.headBytes -= c.excess()
	c.cost = 0
	if c.accepted {
		c.accepted = false
		c.table.requests--
	}
}

func (c *Conn) enter(s state, now time.Time) {
	c.leave()
	c.state, c.since, c.progressAt = s, now, now
	switch s {
	case unfinished:
		c.place = c.table.unfinished.PushBack(c)
	case idle:
		c.place = c.table.idle.PushBack(c)
	case serving:
		c.place = c.table.serving.PushBack(c)
	}
}

// leave removes the connection from the lists of its state.
func (c *Conn) leave() {
	if c.place != nil {
		// Remove has no effect on a list that doesn't hold the element.
		c.table.unfinished.Remove(c.place)
		c.table.idle.Remove(c.place)
		c.table.serving.Remove(c.place)
		c.place = nil
	}
	if c.large != nil {
		c.table.large.Remove(c.large)
		c.large = nil
	}
}
