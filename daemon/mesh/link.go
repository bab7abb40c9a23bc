package mesh

import (
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/wire"
)

// link is an open stream of beats with one process.
type link struct {
	id     fleet.InstanceID
	role   fleet.Role
	dialer fleet.InstanceID
	stream *peer.Stream
	out    chan wire.Beat
	once   sync.Once
	closed chan struct{}
	heard  time.Time
	addr   netip.Addr  // that names the process
	place  fleet.Place // zero until heard
	asOf   catalog.Revision
	since  time.Time // it is up
	// unwantedSince is since when the plan lacks the link; zero if it does not.
	unwantedSince time.Time
	// digests are the newest ones that the link brought, and toldVersions those
	// that were sent over it, by the entry that they are of.
	digests      map[netip.Addr]heardDigest
	toldVersions map[netip.Addr]uint64
	// beaten and briefed are when the last whole and the last beat were sent.
	beaten, briefed time.Time
}

func newLink(id fleet.InstanceID, role fleet.Role, dialer fleet.InstanceID, s *peer.Stream) *link {
	return &link{
		id: id, role: role, dialer: dialer, stream: s, addr: addrOf(id),
		digests: make(map[netip.Addr]heardDigest), toldVersions: make(map[netip.Addr]uint64),
		out: make(chan wire.Beat, sendQueue), closed: make(chan struct{}),
	}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		l.stream.Abort()
	})
}

func (m *Mesh) dial(addr netip.Addr) {
	id := IDOf(addr)
	s, err := m.opts.Endpoint.Open(m.ctx, m.PeerAddr(addr), id, peer.KindGossip)
	m.post(func(now time.Time) {
		c := m.contact(now, addr)
		c.dialing = false
		if err != nil {
			c.failed++
			c.retryAt = now.Add(min(redialMax, redialMin<<min(c.failed-1, maxDoublings)))
			return
		}
		c.failed = 0
		m.up(now, newLink(id, s.Peer().Role, m.opts.Self, s))
	})
}

// up takes a link into use. Two processes that dial each other at the same
// time both keep the link that the lesser id dialled, so that neither closes
// the one that the other keeps. Otherwise the newer one stays: the older may
// lead to a process that has ended.
func (m *Mesh) up(now time.Time, l *link) {
	if old := m.links[l.id]; old != nil {
		fresh := now.Sub(old.heard) < crossedWithin
		if fresh && old.dialer != l.dialer && old.dialer < l.dialer {
			l.close()
			return
		}
		old.close()
	}
	m.links[l.id] = l
	l.heard, l.since = now, now
	go m.read(l)
	go m.write(l)
	m.send(now, l, First)
	m.opts.Logger.Info("link_up", zap.String("peer", string(l.id)), zap.String("role", string(l.role)))
}

func (m *Mesh) down(now time.Time, l *link, reason string) {
	l.close()
	if m.links[l.id] != l {
		return
	}
	delete(m.links, l.id)
	m.newsFar = m.newsFar || l.role == fleet.RoleEntry
	m.opts.Logger.Info("link_down", zap.String("peer", string(l.id)), zap.String("role", string(l.role)),
		zap.String("reason", reason), zap.Duration("heard_ago", now.Sub(l.heard)))
	m.opts.Lost(now, l.id)
}

// dropDead gives up links that bring nothing, so that they are dialled anew.
func (m *Mesh) dropDead(now time.Time) {
	for _, l := range m.links {
		if now.Sub(l.heard) > m.deadLimit(l) {
			m.down(now, l, "silent")
		}
	}
}

// deadLimit is how long a link may bring nothing.
func (m *Mesh) deadLimit(l *link) time.Duration {
	switch {
	case m.opts.Role == fleet.RoleAgent || l.role == fleet.RoleAgent:
		return deadAfter + agentBeatEvery
	case m.isNear(l):
		return deadAfter
	default:
		return farDeadAfter
	}
}

func (m *Mesh) read(l *link) {
	for {
		var b wire.Beat
		if err := l.stream.Recv(&b); err != nil {
			m.post(func(now time.Time) { m.down(now, l, "closed") })
			return
		}
		m.post(func(now time.Time) { m.heard(now, l, b) })
	}
}

func (m *Mesh) write(l *link) {
	l.stream.SetStallTimeout(0)
	for {
		select {
		case <-l.closed:
			return
		case b := <-l.out:
			if err := l.stream.Send(b); err != nil {
				m.post(func(now time.Time) { m.down(now, l, "not sent") })
				return
			}
		}
	}
}

func (m *Mesh) heard(now time.Time, l *link, b wire.Beat) {
	if m.links[l.id] != l || b.ID != l.id {
		return
	}
	l.heard = now
	if b.Role == fleet.RoleEntry && b.Brief {
		m.stillThere(now, b)
	}
	if !b.Brief && !m.heardWhole(now, l, b) {
		return
	}
	m.opts.Heard(now, m.peer(l), b)
}

// heardWhole takes a whole beat and reports whether it is one.
func (m *Mesh) heardWhole(now time.Time, l *link, b wire.Beat) bool {
	if !l.addr.IsValid() {
		m.opts.Logger.Warn("beat_refused", zap.String("peer", string(l.id)), zap.String("reason", "its id is no address"))
		return false
	}
	isFirst := l.place == fleet.Place{}
	l.place, l.asOf = b.Place, b.AsOf
	if b.Role != fleet.RoleEntry {
		if isFirst {
			m.send(now, l, Whole) // what it is told depends on its region
		}
		return true
	}
	c := m.contact(now, l.addr)
	m.noteChange(c.last, b, l.addr)
	c.last = b
	c.heard = now
	if m.opts.Role == fleet.RoleAgent {
		m.learn(now, c, b)
		return true
	}
	m.heardDigests(now, l, b.Digests)
	return true
}

// stillThere notes a brief beat of an entry.
func (m *Mesh) stillThere(now time.Time, b wire.Beat) {
	if c := m.contacts[addrOf(b.ID)]; c != nil && c.last.ID != "" {
		c.heard = now
		c.named = now
		c.last.ConfigRevision = max(c.last.ConfigRevision, b.ConfigRevision)
	}
}
