package peer

import (
	"context"
	"net/netip"
	"sync"
)

// pool holds the dialled connections, one for each address.
type pool struct {
	dial func(addr netip.AddrPort) (*connection, error)

	mu      sync.Mutex
	entries map[netip.AddrPort]*poolEntry
}

// poolEntry is a connection or a pending dial. The fields below ready are set
// before ready is closed.
type poolEntry struct {
	ready chan struct{}
	conn  *connection
	err   error
}

func newPool(dial func(addr netip.AddrPort) (*connection, error)) *pool {
	return &pool{dial: dial, entries: make(map[netip.AddrPort]*poolEntry)}
}

// get returns a usable connection to addr. Concurrent callers share one dial,
// which does not depend on their contexts: a caller that gives up does not fail
// the others. isNew reports that the connection was dialled for this call or
// during it.
func (p *pool) get(ctx context.Context, addr netip.AddrPort) (c *connection, isNew bool, err error) {
	entry, isNew := p.entry(addr)
	select {
	case <-entry.ready:
		return entry.conn, isNew, entry.err
	case <-ctx.Done():
		return nil, isNew, context.Cause(ctx)
	}
}

// entry returns the entry for addr, and starts a dial if there is no usable
// connection and none is being dialled.
func (p *pool) entry(addr netip.AddrPort) (entry *poolEntry, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry, ok := p.entries[addr]; ok {
		select {
		case <-entry.ready:
			if entry.conn.usable() {
				return entry, false
			}
			entry.conn.retire()
		default:
			return entry, true
		}
	}
	entry = &poolEntry{ready: make(chan struct{})}
	p.entries[addr] = entry
	go p.dialEntry(addr, entry)
	return entry, true
}

// dialEntry dials and completes the entry. A failed entry is removed before its
// callers are notified, so that the next caller dials again.
func (p *pool) dialEntry(addr netip.AddrPort, entry *poolEntry) {
	entry.conn, entry.err = p.dial(addr)
	if entry.err != nil {
		p.mu.Lock()
		delete(p.entries, addr)
		p.mu.Unlock()
	}
	close(entry.ready)
	if entry.err == nil && !entry.conn.usable() {
		p.remove(entry.conn) // it ended before it was ready
	}
}

// remove retires a connection and removes it from the pool.
func (p *pool) remove(c *connection) {
	c.retire()
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.entries[c.addr]
	if !ok {
		return
	}
	select {
	case <-entry.ready:
		if entry.conn == c {
			delete(p.entries, c.addr)
		}
	default:
	}
}
