package mesh

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/linking"
)

// planLinks plans the links of an entry anew, and closes those that it dialled
// and needs no more.
func (m *Mesh) planLinks(now time.Time) {
	if now.Before(m.planAt) {
		return
	}
	m.planAt = now.Add(planEvery)
	self := linking.Member{ID: m.opts.Self, Region: m.opts.Place.Region}
	var others []linking.Member
	for _, c := range m.contacts {
		if s, known := m.standing(now, c); known && !s.silent && IDOf(c.addr) != m.opts.Self {
			others = append(others, linking.Member{ID: IDOf(c.addr), Region: s.Place.Region})
		}
	}
	m.plan = linking.NewPlan(self, others)
	for _, l := range m.links {
		if l.role != fleet.RoleEntry || m.plan.Includes(l.id) {
			l.unwantedSince = time.Time{}
			continue
		}
		if l.unwantedSince.IsZero() {
			l.unwantedSince = now
		}
		if l.dialer == m.opts.Self && now.Sub(l.unwantedSince) > unwantedFor {
			m.down(now, l, "not planned")
		}
	}
}

// dialPlanned dials the entries of the plan that are not linked, those with a
// greater id first, so that two entries have one link. A seed of which nothing
// is heard is dialled as well: through it, parts of the fleet that lost each
// other meet again.
func (m *Mesh) dialPlanned(now time.Time) {
	for addr, c := range m.contacts {
		id := IDOf(addr)
		if !c.seed && now.Sub(c.named) > forgetAfter {
			delete(m.contacts, addr)
			continue
		}
		planned := m.plan.Includes(id)
		if id == m.opts.Self || m.links[id] != nil || !planned && !m.isLostSeed(now, c) {
			c.wantedSince = time.Time{}
			continue
		}
		if c.wantedSince.IsZero() {
			c.wantedSince = now
		}
		othersTurn := planned && id < m.opts.Self && !c.seed && now.Sub(c.wantedSince) < dialAnyway
		if !c.dialing && !now.Before(c.retryAt) && !othersTurn {
			c.dialing = true
			go m.dial(addr)
		}
	}
}

// isLostSeed reports whether a contact is a seed that nobody is known to hear.
func (m *Mesh) isLostSeed(now time.Time, c *contact) bool {
	if !c.seed {
		return false
	}
	s, known := m.standing(now, c)
	return !known || s.silent
}

// dialEntries dials entries for an agent until it has enough links, near ones
// first, and closes links with others once it has.
func (m *Mesh) dialEntries(now time.Time) {
	good := m.goodLinks()
	if good >= agentLinks {
		m.closeOthers(now)
		return
	}
	dialing := m.dialing()
	for _, c := range m.byNearness() {
		if good+dialing >= agentLinks {
			return
		}
		id := IDOf(c.addr)
		if !c.seed && now.Sub(c.named) > forgetAfter {
			delete(m.contacts, c.addr)
			continue
		}
		isSpare := len(m.links)+dialing >= agentLinks && !c.near
		if c.dialing || m.links[id] != nil || now.Before(c.retryAt) || isSpare {
			continue
		}
		c.dialing = true
		dialing++
		go m.dial(c.addr)
	}
}

// closeOthers closes an agent's links with entries that are not near.
func (m *Mesh) closeOthers(now time.Time) {
	for _, l := range m.links {
		if !m.isNearEntry(l) {
			m.down(now, l, "nearer ones found")
		}
	}
}

// goodLinks is the number of an agent's links with near entries.
func (m *Mesh) goodLinks() int {
	n := 0
	for _, l := range m.links {
		if m.isNearEntry(l) {
			n++
		}
	}
	return n
}

func (m *Mesh) isNearEntry(l *link) bool {
	c := m.contacts[l.addr]
	return c != nil && c.near
}

func (m *Mesh) dialing() int {
	n := 0
	for _, c := range m.contacts {
		if c.dialing {
			n++
		}
	}
	return n
}

// byNearness orders the contacts of an agent: those that it was told of as near
// first, those that leave last, then spread by hash, so that agents share the
// entries out evenly.
func (m *Mesh) byNearness() []*contact {
	all := make([]*contact, 0, len(m.contacts))
	for _, c := range m.contacts {
		all = append(all, c)
	}
	weight := func(c *contact) uint64 { return fleet.RendezvousRank(m.opts.Self, IDOf(c.addr)) }
	far := func(c *contact) int {
		switch {
		case c.last.ID != "" && (c.last.Place.Region != m.opts.Place.Region || c.last.Leaving):
			return 2
		case c.near:
			return 0
		default:
			return 1
		}
	}
	slices.SortFunc(all, func(a, b *contact) int {
		return cmp.Or(far(a)-far(b), cmp.Compare(weight(b), weight(a)))
	})
	return all
}
