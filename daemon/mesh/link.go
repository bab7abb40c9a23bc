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

// link is an open stream of heartbeats with one process.
type link struct {
	id             fleet.InstanceID
	role           fleet.Role
	dialer         fleet.InstanceID
	stream         *peer.Stream
	queue          chan wire.Heartbeat
	closeOnce      sync.Once
	closed         chan struct{}
	lastReceivedAt time.Time
	addr           netip.Addr  // address of the process
	place          fleet.Place // zero until received
	asOf           catalog.Revision
	upSince        time.Time // when the link was added
	// unplannedSince is since when the plan does not include the link; zero if it does.
	unplannedSince time.Time
	// digests are the newest digests received over the link, and sentVersions the
	// versions of the digests sent over it, both by reporter.
	digests      map[netip.Addr]receivedDigest
	sentVersions map[netip.Addr]uint64
	digestItems  int // of digests
	// lastCompleteAt and lastSentAt are when the last complete and the last heartbeat
	// were sent.
	lastCompleteAt, lastSentAt time.Time
}

func newLink(id fleet.InstanceID, role fleet.Role, dialer fleet.InstanceID, s *peer.Stream) *link {
	return &link{
		id: id, role: role, dialer: dialer, stream: s, addr: addrOf(id),
		digests: make(map[netip.Addr]receivedDigest), sentVersions: make(map[netip.Addr]uint64),
		queue: make(chan wire.Heartbeat, sendQueueLen), closed: make(chan struct{}),
	}
}

func (l *link) close() {
	l.closeOnce.Do(func() {
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
			c.failures++
			c.retryAt = now.Add(min(maxRedialPause, minRedialPause<<min(c.failures-1, maxDoublings)))
			return
		}
		c.failures = 0
		m.addLink(now, newLink(id, s.Peer().Role, m.opts.Self, s))
	})
}

// addLink adds a link. If two processes dialled each other at the same time, both keep
// the link that the lower ID dialled, so that neither closes the one that the other
// keeps. Otherwise the newer link stays: the older one may lead to a process that has
// ended.
func (m *Mesh) addLink(now time.Time, l *link) {
	if old := m.links[l.id]; old != nil {
		isRecent := now.Sub(old.lastReceivedAt) < crossedDialWindow
		if isRecent && old.dialer != l.dialer && old.dialer < l.dialer {
			l.close()
			return
		}
		old.close()
	}
	m.links[l.id] = l
	l.lastReceivedAt, l.upSince = now, now
	go m.receiveLoop(l)
	go m.sendLoop(l)
	m.send(now, l, First)
	if m.mayLog(now, l) {
		m.opts.Logger.Info("link_up", zap.String("peer", string(l.id)), zap.String("role", string(l.role)))
	}
}

func (m *Mesh) removeLink(now time.Time, l *link, reason string) {
	l.close()
	if m.links[l.id] != l {
		return
	}
	delete(m.links, l.id)
	m.notifyOtherGroups = m.notifyOtherGroups || l.role == fleet.RoleEntry
	if m.mayLog(now, l) {
		m.opts.Logger.Info("link_down", zap.String("peer", string(l.id)), zap.String("role", string(l.role)),
			zap.String("reason", reason), zap.Duration("heard_ago", now.Sub(l.lastReceivedAt)))
	}
	m.opts.OnLost(now, l.id)
}

// mayLog reports whether a line about a link may be logged.
func (m *Mesh) mayLog(now time.Time, l *link) bool {
	return l.dialer == m.opts.Self || m.linkLogs.AllowN(now, 1)
}

// dropSilentLinks closes links that receive nothing, so that they are dialled again.
func (m *Mesh) dropSilentLinks(now time.Time) {
	for _, l := range m.links {
		if now.Sub(l.lastReceivedAt) > m.timeoutOf(l) {
			m.removeLink(now, l, "silent")
		}
	}
}

// timeoutOf returns how long a link may receive nothing.
func (m *Mesh) timeoutOf(l *link) time.Duration {
	switch {
	case m.opts.Role == fleet.RoleAgent || l.role == fleet.RoleAgent:
		return linkTimeout + agentHeartbeatInterval
	case m.isSameGroup(l):
		return linkTimeout
	default:
		return otherGroupLinkTimeout
	}
}

// receiveLoop receives a heartbeat only once the previous one was handled: the queue of the
// control loop would hold a thousand of them, of any size, while the loop is busy.
func (m *Mesh) receiveLoop(l *link) {
	for {
		var b wire.Heartbeat
		if err := l.stream.Recv(&b); err != nil {
			m.post(func(now time.Time) { m.removeLink(now, l, "closed") })
			return
		}
		if m.opts.Loop.Do(m.ctx, func(now time.Time) { m.handleHeartbeat(now, l, b) }) != nil {
			return // the process ends
		}
	}
}

func (m *Mesh) sendLoop(l *link) {
	l.stream.SetStallTimeout(0)
	for {
		select {
		case <-l.closed:
			return
		case b := <-l.queue:
			if err := l.stream.Send(b); err != nil {
				m.post(func(now time.Time) { m.removeLink(now, l, "not sent") })
				return
			}
		}
	}
}

func (m *Mesh) handleHeartbeat(now time.Time, l *link, b wire.Heartbeat) {
	if m.links[l.id] != l || b.ID != l.id {
		return
	}
	l.lastReceivedAt = now
	if b.Role == fleet.RoleEntry && b.Brief {
		m.handleBrief(now, b)
	}
	if !b.Brief && !m.handleComplete(now, l, b) {
		return
	}
	m.opts.OnHeartbeat(now, m.peer(l), b)
}

// handleComplete processes a complete heartbeat and reports whether it is valid.
func (m *Mesh) handleComplete(now time.Time, l *link, b wire.Heartbeat) bool {
	if !isPlainAddr(l.addr) || !isShortPlace(b.Place) {
		m.opts.Metrics.Counter("beats_refused").Inc(1)
		if !now.Before(m.nextRefusalLogAt) {
			m.nextRefusalLogAt = now.Add(refusalLogInterval)
			m.opts.Logger.Warn("beat_refused", zap.String("peer", string(l.id)), zap.String("reason", "its id is no address, or its place is too long"))
		}
		return false
	}
	isFirst := l.place == fleet.Place{}
	l.place, l.asOf = b.Place, b.AsOf
	if b.Role != fleet.RoleEntry {
		if isFirst {
			m.send(now, l, Complete) // the content for an agent depends on its region
		}
		return true
	}
	c := m.contact(now, l.addr)
	m.recordChange(c.lastHeartbeat, b, l.addr)
	c.lastHeartbeat = b.WithoutLists()
	c.lastHeartbeatAt = now
	if m.opts.Role == fleet.RoleAgent {
		m.learnEntries(now, c, b)
		return true
	}
	m.handleDigests(now, l, b.Digests)
	return true
}

// handleBrief records a brief heartbeat of an entry.
func (m *Mesh) handleBrief(now time.Time, b wire.Heartbeat) {
	if c := m.contacts[addrOf(b.ID)]; c != nil && c.lastHeartbeat.ID != "" {
		c.lastHeartbeatAt = now
		c.lastMentionAt = now
		c.lastHeartbeat.ConfigVersion = max(c.lastHeartbeat.ConfigVersion, b.ConfigVersion)
		c.lastHeartbeat.ConfigRevision = max(c.lastHeartbeat.ConfigRevision, b.ConfigRevision)
	}
}
