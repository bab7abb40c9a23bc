package mesh

import (
	"time"

	"chivespindle.example/core/fleet"
)

// peer returns whom a link leads to.
func (m *Mesh) peer(l *link) Peer {
	return Peer{ID: l.id, Role: l.role, SameGroup: m.isNear(l), Region: l.place.Region, AsOf: l.asOf}
}

// isNear reports whether a link leads to an entry of the own group.
func (m *Mesh) isNear(l *link) bool {
	return m.opts.Role == fleet.RoleEntry && l.role == fleet.RoleEntry && m.plan.SameGroup[l.id]
}

// beat sends what is due on a link.
func (m *Mesh) beat(now time.Time, l *link) {
	switch {
	case now.Sub(l.beaten) >= m.wholePause(l):
		m.send(now, l, Complete)
	case !m.isNear(l):
	case now.Sub(l.briefed) >= liveEvery, now.Sub(l.briefed) >= m.briefPause(l) && m.opts.HasChanges(l.id):
		m.send(now, l, Brief)
	}
}

// wholePause is the pause between two whole beats on a link.
func (m *Mesh) wholePause(l *link) time.Duration {
	if m.opts.Role == fleet.RoleAgent || l.role == fleet.RoleAgent {
		return agentBeatEvery
	}
	return beatEvery
}

// briefPause grows with the number of links, so that what an entry sends does
// not.
func (m *Mesh) briefPause(l *link) time.Duration {
	pause := min(briefMax, max(briefMin, time.Duration(len(m.plan.SameGroup))*briefEvery))
	if m.opts.ThrottleOtherRegions && l.place.Region != m.opts.Place.Region {
		pause = min(briefMax, farTimes*pause)
	}
	return pause
}

// Flush sends a beat over every link at once, as after a change that others
// must hear of.
func (m *Mesh) Flush(now time.Time) {
	for _, l := range m.links {
		m.send(now, l, Complete)
	}
}

// FlushGroup is Flush for the entries of the own group.
func (m *Mesh) FlushGroup(now time.Time) {
	for _, l := range m.links {
		if m.isNear(l) {
			m.send(now, l, Complete)
		}
	}
}

// tellNews passes on at once that entries changed.
func (m *Mesh) tellNews(now time.Time) {
	if !m.newsFar && !m.newsNear || now.Before(m.newsAt) {
		return
	}
	m.newsAt = now.Add(newsEvery)
	for _, l := range m.links {
		near := m.isNear(l)
		if l.role == fleet.RoleEntry && (near && m.newsNear || !near && m.newsFar) {
			m.send(now, l, Complete)
		}
	}
	m.newsFar, m.newsNear = false, false
}

// send composes and queues a beat, unless the link is still busy with the one
// before: what that one lacks comes with the next.
func (m *Mesh) send(now time.Time, l *link, form Form) {
	if len(l.out) == cap(l.out) {
		m.opts.Metrics.Counter("beats_left_out").Inc(1)
		return
	}
	l.briefed = now
	if form != Brief {
		l.beaten = now
	}
	b := m.opts.Compose(now, m.peer(l), form)
	if l.role == fleet.RoleEntry && m.opts.Role == fleet.RoleEntry && !b.Brief {
		b.Digests = m.digestsFor(now, l)
	}
	l.out <- b
}
