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
	addr            netip.Addr
	seed            bool
	dialing         bool
	failures        int
	retryAt         time.Time
	lastMentionAt   time.Time      // when it was last mentioned or reported
	lastHeartbeat   wire.Heartbeat // last complete one; zero until received over a link
	lastHeartbeatAt time.Time      // when a heartbeat was last received over a link
	// reported is the state of the entry in a digest, reportedAt the time of that
	// state.
	reported   wire.EntryState
	reportedAt time.Time
	// preferred is true for an entry that an agent knows to be in its region.
	preferred bool
	// missingSince is since when the planned link with the entry is missing; zero if it
	// is not.
	missingSince time.Time
}

// entryStatus is what is known of an entry at a moment.
type entryStatus struct {
	wire.EntryState
	silent bool
}

// status returns what is known of a contact; false if nothing was ever received about
// it. The entry's own heartbeats take precedence over reports of others. So does its
// silence, if there should be a link with it.
func (m *Mesh) status(now time.Time, c *contact) (entryStatus, bool) {
	isConnected := c.lastHeartbeat.ID != "" && now.Sub(c.lastHeartbeatAt) <= silenceTimeout
	mustBeLinked := c.lastHeartbeat.ID != "" && m.plan.SameGroup[IDOf(c.addr)]
	switch {
	case isConnected:
		return entryStatus{EntryState: c.lastHeartbeat.State(c.addr)}, true
	case !mustBeLinked && now.Sub(c.reportedAt) <= digestLifetime:
		return entryStatus{EntryState: c.reported}, true
	case c.lastHeartbeat.ID != "":
		return entryStatus{EntryState: c.lastHeartbeat.State(c.addr), silent: true}, true
	case c.reported.Addr.IsValid():
		return entryStatus{EntryState: c.reported, silent: true}, true
	default:
		return entryStatus{}, false
	}
}

// seenAgo returns the time since an entry was last known to be alive. An entry that reports
// another one had a heartbeat of it within silenceTimeout.
func (c *contact) seenAgo(now time.Time) time.Duration {
	seen := c.lastHeartbeatAt
	if reported := c.reportedAt.Add(-silenceTimeout); reported.After(seen) {
		seen = reported
	}
	return min(maxSeenAgo, now.Sub(seen))
}

func (m *Mesh) contact(now time.Time, addr netip.Addr) *contact {
	c := m.contacts[addr]
	if c == nil {
		c = &contact{addr: addr}
		m.contacts[addr] = c
	}
	c.lastMentionAt = now
	return c
}

// mayMention reports whether an entry that another one mentions may become a contact. An
// entry that has a link becomes one in any case.
func (m *Mesh) mayMention(addr netip.Addr) bool {
	isAllowed := isPlainAddr(addr) && (m.contacts[addr] != nil || len(m.contacts) < maxContacts)
	if !isAllowed {
		m.opts.Metrics.Counter("entries_left_out").Inc(1)
	}
	return isAllowed
}

// isPlainAddr reports whether an address is valid and has no zone, which could be a text of
// any length.
func isPlainAddr(addr netip.Addr) bool { return addr.IsValid() && addr.Zone() == "" }

func isShortPlace(p fleet.Place) bool {
	return len(p.Zone) <= maxNameBytes && len(p.Region) <= maxNameBytes
}

// learnEntries marks the entries that a heartbeat lists as preferred. An entry lists
// the other entries of the agent's region, and is preferred itself if it is in that
// region and not leaving.
func (m *Mesh) learnEntries(now time.Time, from *contact, b wire.Heartbeat) {
	isPreferred := b.Place.Region == m.opts.Place.Region && !b.Leaving
	if len(b.Entries) > 0 {
		for _, c := range m.contacts {
			c.preferred = slices.Contains(b.Entries, c.addr)
		}
	}
	for _, addr := range b.Entries {
		if m.mayMention(addr) {
			m.contact(now, addr).preferred = true
		}
	}
	from.preferred = from.preferred || isPreferred
}

// Entries returns the other known entries, ordered by ID.
func (m *Mesh) Entries(now time.Time) []Entry {
	var all []Entry
	for _, c := range m.contacts {
		s, known := m.status(now, c)
		if !known {
			continue
		}
		all = append(all, Entry{
			ID: IDOf(c.addr), Place: s.Place, CallerAddr: s.CallerAddr,
			Ready: s.Ready, Leaving: s.Leaving, ReachesPlatform: s.ReachesPlatform, PlatformUnresponsive: s.PlatformUnresponsive,
			Silent: s.silent, SeenAgo: c.seenAgo(now), SameGroup: m.plan.SameGroup[IDOf(c.addr)],
		})
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// HasLiveEntry reports whether heartbeats of any entry arrive over a link.
func (m *Mesh) HasLiveEntry(now time.Time) bool {
	for _, c := range m.contacts {
		if c.lastHeartbeat.ID != "" && now.Sub(c.lastHeartbeatAt) <= silenceTimeout {
			return true
		}
	}
	return false
}

// LiveEntries returns the addresses of the live entries of a region that are not
// leaving.
func (m *Mesh) LiveEntries(now time.Time, region fleet.Region) []netip.Addr {
	var live []netip.Addr
	for addr, c := range m.contacts {
		s, known := m.status(now, c)
		if known && !s.silent && !s.Leaving && s.Place.Region == region {
			live = append(live, addr)
		}
	}
	slices.SortFunc(live, netip.Addr.Compare)
	return live
}

// FindEntry returns a live entry whose last complete heartbeat is accepted, preferably
// one of the local region, and whether it is in that region; ok is false if there is
// none.
func (m *Mesh) FindEntry(now time.Time, accept func(wire.Heartbeat) bool) (addr netip.Addr, sameRegion, ok bool) {
	for a, c := range m.contacts {
		if c.lastHeartbeat.ID == "" || now.Sub(c.lastHeartbeatAt) > silenceTimeout || !accept(c.lastHeartbeat) {
			continue
		}
		if c.lastHeartbeat.Place.Region == m.opts.Place.Region {
			return a, true, true
		}
		addr, ok = a, true
	}
	return addr, false, ok
}
