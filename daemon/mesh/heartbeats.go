package mesh

import (
	"time"

	"chivespindle.example/core/fleet"
)

// peer returns the process at the other end of a link.
func (m *Mesh) peer(l *link) Peer {
	return Peer{ID: l.id, Role: l.role, SameGroup: m.isSameGroup(l), Region: l.place.Region, AsOf: l.asOf}
}

// isSameGroup reports whether a link leads to an entry of the same group.
func (m *Mesh) isSameGroup(l *link) bool {
	return m.opts.Role == fleet.RoleEntry && l.role == fleet.RoleEntry && m.plan.SameGroup[l.id]
}

// sendDue sends the heartbeat that is due on a link.
func (m *Mesh) sendDue(now time.Time, l *link) {
	switch {
	case now.Sub(l.lastCompleteAt) >= m.completePause(l):
		m.send(now, l, Complete)
	case !m.isSameGroup(l):
	case now.Sub(l.lastSentAt) >= livenessInterval, now.Sub(l.lastSentAt) >= m.briefPause(l) && m.opts.HasChanges(l.id):
		m.send(now, l, Brief)
	}
}

// completePause returns the pause between two complete heartbeats on a link.
func (m *Mesh) completePause(l *link) time.Duration {
	if m.opts.Role == fleet.RoleAgent || l.role == fleet.RoleAgent {
		return agentHeartbeatInterval
	}
	return heartbeatInterval
}

// briefPause returns the pause between two brief heartbeats on a link. It grows with
// the number of links, so that the traffic of an entry does not.
func (m *Mesh) briefPause(l *link) time.Duration {
	pause := min(maxBriefPause, max(minBriefPause, time.Duration(len(m.plan.SameGroup))*briefPausePerLink))
	if m.opts.ThrottleOtherRegions && l.place.Region != m.opts.Place.Region {
		pause = min(maxBriefPause, otherRegionFactor*pause)
	}
	return pause
}

// Flush sends a heartbeat over every link at once, after a change that all peers must
// know.
func (m *Mesh) Flush(now time.Time) {
	for _, l := range m.links {
		m.send(now, l, Complete)
	}
}

// FlushGroup is Flush for the entries of the same group.
func (m *Mesh) FlushGroup(now time.Time) {
	for _, l := range m.links {
		if m.isSameGroup(l) {
			m.send(now, l, Complete)
		}
	}
}

// sendEntryChanges reports changed entries at once, at most once per minChangePause.
func (m *Mesh) sendEntryChanges(now time.Time) {
	if !m.notifyOtherGroups && !m.notifyGroup || now.Before(m.nextNotifyAt) {
		return
	}
	m.nextNotifyAt = now.Add(minChangePause)
	for _, l := range m.links {
		sameGroup := m.isSameGroup(l)
		if l.role == fleet.RoleEntry && (sameGroup && m.notifyGroup || !sameGroup && m.notifyOtherGroups) {
			m.send(now, l, Complete)
		}
	}
	m.notifyOtherGroups, m.notifyGroup = false, false
}

// send composes and queues a heartbeat, unless the previous one is still queued: the
// next heartbeat contains what was left out.
func (m *Mesh) send(now time.Time, l *link, form Form) {
	if len(l.queue) == cap(l.queue) {
		m.opts.Metrics.Counter("beats_left_out").Inc(1)
		return
	}
	l.lastSentAt = now
	if form != Brief {
		l.lastCompleteAt = now
	}
	b := m.opts.Compose(now, m.peer(l), form)
	if l.role == fleet.RoleEntry && m.opts.Role == fleet.RoleEntry && !b.Brief {
		b.Digests = m.digestsFor(now, l)
	}
	l.queue <- b
}
