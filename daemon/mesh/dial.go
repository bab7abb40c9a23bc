package mesh

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/linking"
)

// planLinks plans the links of an entry again, and closes those that this entry dialled
// and that are no longer planned.
func (m *Mesh) planLinks(now time.Time) {
	if now.Before(m.nextPlanAt) {
		return
	}
	m.nextPlanAt = now.Add(planInterval)
	self := linking.Member{ID: m.opts.Self, Region: m.opts.Place.Region}
	var others []linking.Member
	for _, c := range m.contacts {
		if s, known := m.status(now, c); known && !s.silent && IDOf(c.addr) != m.opts.Self {
			others = append(others, linking.Member{ID: IDOf(c.addr), Region: s.Place.Region})
		}
	}
	m.plan = linking.NewPlan(self, others)
	for _, l := range m.links {
		if l.role != fleet.RoleEntry || m.plan.Includes(l.id) {
			l.unplannedSince = time.Time{}
			continue
		}
		if l.unplannedSince.IsZero() {
			l.unplannedSince = now
		}
		if l.dialer == m.opts.Self && now.Sub(l.unplannedSince) > unplannedLinkLifetime {
			m.removeLink(now, l, "not planned")
		}
	}
}

// dialPlanned dials the planned entries without a link. The entry with the lower ID
// dials first, so that two entries have one link. A seed that is not known to be live
// is dialled as well: through seeds, parts of the fleet that lost contact find each
// other again.
func (m *Mesh) dialPlanned(now time.Time) {
	for addr, c := range m.contacts {
		id := IDOf(addr)
		if !c.seed && now.Sub(c.lastMentionAt) > contactLifetime {
			delete(m.contacts, addr)
			continue
		}
		planned := m.plan.Includes(id)
		if id == m.opts.Self || m.links[id] != nil || !planned && !m.isLostSeed(now, c) {
			c.missingSince = time.Time{}
			continue
		}
		if c.missingSince.IsZero() {
			c.missingSince = now
		}
		othersTurn := planned && id < m.opts.Self && !c.seed && now.Sub(c.missingSince) < dialFallbackDelay
		if !c.dialing && !now.Before(c.retryAt) && !othersTurn {
			c.dialing = true
			go m.dial(addr)
		}
	}
}

// isLostSeed reports whether a contact is a seed that is not known to be live.
func (m *Mesh) isLostSeed(now time.Time, c *contact) bool {
	if !c.seed {
		return false
	}
	s, known := m.status(now, c)
	return !known || s.silent
}

// dialEntries dials entries for an agent until it has enough links, preferred entries
// first, and then closes its links with other entries.
func (m *Mesh) dialEntries(now time.Time) {
	preferred := m.preferredLinks()
	if preferred >= agentLinks {
		m.closeUnpreferredLinks(now)
		return
	}
	dialing := m.dialCount()
	for _, c := range m.byPreference() {
		if preferred+dialing >= agentLinks {
			return
		}
		id := IDOf(c.addr)
		if !c.seed && now.Sub(c.lastMentionAt) > contactLifetime {
			delete(m.contacts, c.addr)
			continue
		}
		isSpare := len(m.links)+dialing >= agentLinks && !c.preferred
		if c.dialing || m.links[id] != nil || now.Before(c.retryAt) || isSpare {
			continue
		}
		c.dialing = true
		dialing++
		go m.dial(c.addr)
	}
}

// closeUnpreferredLinks closes an agent's links with entries that are not preferred.
func (m *Mesh) closeUnpreferredLinks(now time.Time) {
	for _, l := range m.links {
		if !m.isPreferredEntry(l) {
			m.removeLink(now, l, "nearer ones found")
		}
	}
}

// preferredLinks returns the number of an agent's links with preferred entries.
func (m *Mesh) preferredLinks() int {
	n := 0
	for _, l := range m.links {
		if m.isPreferredEntry(l) {
			n++
		}
	}
	return n
}

func (m *Mesh) isPreferredEntry(l *link) bool {
	c := m.contacts[l.addr]
	return c != nil && c.preferred
}

func (m *Mesh) dialCount() int {
	n := 0
	for _, c := range m.contacts {
		if c.dialing {
			n++
		}
	}
	return n
}

// byPreference returns the contacts of an agent in the order in which it dials them:
// preferred entries first, entries of other regions and leaving ones last, and
// otherwise by hash, so that the agents are spread evenly over the entries.
func (m *Mesh) byPreference() []*contact {
	all := make([]*contact, 0, len(m.contacts))
	for _, c := range m.contacts {
		all = append(all, c)
	}
	rank := func(c *contact) uint64 { return fleet.RendezvousRank(m.opts.Self, IDOf(c.addr)) }
	distance := func(c *contact) int {
		switch {
		case c.lastHeartbeat.ID != "" && (c.lastHeartbeat.Place.Region != m.opts.Place.Region || c.lastHeartbeat.Leaving):
			return 2
		case c.preferred:
			return 0
		default:
			return 1
		}
	}
	slices.SortFunc(all, func(a, b *contact) int {
		return cmp.Or(distance(a)-distance(b), cmp.Compare(rank(b), rank(a)))
	})
	return all
}
