package peer

import (
	"context"
	"net/netip"
	"sync"
)

// pool holds the dialled connections, one for each address.
type pool struct {
	dial func(addr netip.AddrPort) (*link, error)

	mu      sync.Mutex
	entries map[netip.AddrPort]*poolEntry
}

// poolEntry is a connection, or a dial that runs. The fields below ready are
// set before ready is closed.
type poolEntry struct {
	ready chan struct{}
	link  *link
	err   error
}

func newPool(dial func(addr netip.AddrPort) (*link, error)) *pool {
	return &pool{dial: dial, entries: make(map[netip.AddrPort]*poolEntry)}
}

// get returns a usable connection to addr. Concurrent callers share one dial,
// which runs on its own: a caller that gives up does not fail the others.
// Fresh tells that the connection was made for this call or while it waited.
func (p *pool) get(ctx context.Context, addr netip.AddrPort) (l *link, fresh bool, err error) {
	entry, fresh := p.entry(addr)
	select {
	case <-entry.ready:
		return entry.link, fresh, entry.err
	case <-ctx.Done():
		return nil, fresh, context.Cause(ctx)
	}
}

// entry returns the entry for addr, and starts to dial if there is none that
// works.
func (p *pool) entry(addr netip.AddrPort) (entry *poolEntry, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry, ok := p.entries[addr]; ok {
		select {
		case <-entry.ready:
			if entry.link.usable() {
				return entry, false
			}
			entry.link.retire()
		default:
			return entry, true
		}
	}
	entry = &poolEntry{ready: make(chan struct{})}
	p.entries[addr] = entry
	go p.fill(addr, entry)
	return entry, true
}

// fill dials. A failed entry is removed before its callers learn of it, so
// that the next caller dials again.
func (p *pool) fill(addr netip.AddrPort, entry *poolEntry) {
	entry.link, entry.err = p.dial(addr)
	if entry.err != nil {
		p.mu.Lock()
		delete(p.entries, addr)
		p.mu.Unlock()
	}
	close(entry.ready)
	if entry.err == nil && !entry.link.usable() {
		p.forget(entry.link) // it died before it could be found here
	}
}

// forget takes a connection out of use for new streams.
func (p *pool) forget(l *link) {
	l.retire()
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.entries[l.addr]
	if !ok {
		return
	}
	select {
	case <-entry.ready:
		if entry.link == l {
			delete(p.entries, l.addr)
		}
	default:
	}
}
