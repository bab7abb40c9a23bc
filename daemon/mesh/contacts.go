package mesh

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/wire"
)

// contact is an entry that may be dialled.
type contact struct {
	addr    netip.Addr
	seed    bool
	dialing bool
	failed  int
	retryAt time.Time
	named   time.Time      // when it was last heard of
	last    wire.Heartbeat // zero until heard over a link
	heard   time.Time      // over a link
	// told is what a digest tells of it, toldAt as of when.
	told   wire.EntryState
	toldAt time.Time
	// near is true for an entry that an agent was told of as near.
	near bool
	// wantedSince is since when the plan has a link that is missing; zero if none
	// is.
	wantedSince time.Time
}

// standing is what is known of an entry at a moment.
type standing struct {
	wire.EntryState
	silent bool
}

// standing returns what is known of a contact; false if it was never heard of.
// What an entry says itself over a link counts for more than what others tell,
// and the silence of one whose link ought to be there as well.
func (m *Mesh) standing(now time.Time, c *contact) (standing, bool) {
	direct := c.last.ID != "" && now.Sub(c.heard) <= silentAfter
	ought := c.last.ID != "" && m.plan.SameGroup[IDOf(c.addr)]
	switch {
	case direct:
		return standing{EntryState: c.last.State(c.addr)}, true
	case !ought && now.Sub(c.toldAt) <= digestLife:
		return standing{EntryState: c.told}, true
	case c.last.ID != "":
		return standing{EntryState: c.last.State(c.addr), silent: true}, true
	case c.told.Addr.IsValid():
		return standing{EntryState: c.told, silent: true}, true
	default:
		return standing{}, false
	}
}

func (m *Mesh) contact(now time.Time, addr netip.Addr) *contact {
	c := m.contacts[addr]
	if c == nil {
		c = &contact{addr: addr}
		m.contacts[addr] = c
	}
	c.named = now
	return c
}

// learn takes the entries that a message lists as near the agent. An entry lists the
// others of the agent's region, and is near itself if it is of that region.
func (m *Mesh) learn(now time.Time, from *contact, b wire.Heartbeat) {
	isNear := b.Place.Region == m.opts.Place.Region && !b.Leaving
	if len(b.Entries) > 0 {
		for _, c := range m.contacts {
			c.near = slices.Contains(b.Entries, c.addr)
		}
	}
	for _, addr := range b.Entries {
		m.contact(now, addr).near = true
	}
	from.near = from.near || isNear
}

// Entries returns the other entries that were heard of, by id.
func (m *Mesh) Entries(now time.Time) []Entry {
	var all []Entry
	for _, c := range m.contacts {
		s, known := m.standing(now, c)
		if !known {
			continue
		}
		all = append(all, Entry{
			ID: IDOf(c.addr), Place: s.Place, CallerAddr: s.CallerAddr,
			Ready: s.Ready, Leaving: s.Leaving, ReachesPlatform: s.ReachesPlatform, PlatformUnresponsive: s.PlatformUnresponsive,
			Silent: s.silent, SameGroup: m.plan.SameGroup[IDOf(c.addr)],
		})
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// HasLiveEntry reports whether any entry is heard over a link now.
func (m *Mesh) HasLiveEntry(now time.Time) bool {
	for _, c := range m.contacts {
		if c.last.ID != "" && now.Sub(c.heard) <= silentAfter {
			return true
		}
	}
	return false
}

// LiveEntries returns the addresses of the entries of a region that are there and do
// not leave.
func (m *Mesh) LiveEntries(now time.Time, region fleet.Region) []netip.Addr {
	var live []netip.Addr
	for addr, c := range m.contacts {
		s, known := m.standing(now, c)
		if known && !s.silent && !s.Leaving && s.Place.Region == region {
			live = append(live, addr)
		}
	}
	slices.SortFunc(live, netip.Addr.Compare)
	return live
}

// FindEntry returns a live entry whose last whole beat isAhead accepts, one of the
// own region if there is any, and whether it is; ok is false if there is none.
func (m *Mesh) FindEntry(now time.Time, isAhead func(wire.Heartbeat) bool) (addr netip.Addr, near, ok bool) {
	for a, c := range m.contacts {
		if c.last.ID == "" || now.Sub(c.heard) > silentAfter || !isAhead(c.last) {
			continue
		}
		if c.last.Place.Region == m.opts.Place.Region {
			return a, true, true
		}
		addr, ok = a, true
	}
	return addr, false, ok
}
