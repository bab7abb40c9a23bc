package mesh

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/wire"
)

// heardDigest is a digest that a link brought.
type heardDigest struct {
	wire.Digest
	at time.Time // when its entry told it
}

// digestsFor returns the digests that an entry is told. One of the own group is
// told what others told over links between groups, so that a digest is passed on
// once and does not go round. What this entry hears itself is told to other
// groups, and for a while to all that it is newly linked with: they may know
// nobody else yet.
func (m *Mesh) digestsFor(now time.Time, l *link) []wire.Digest {
	var all []wire.Digest
	near := m.isNear(l)
	if !near || now.Sub(l.since) < introduceFor {
		all = append(all, l.untold(m.ownDigest(now)))
	}
	if !near {
		return all
	}
	for _, other := range m.links {
		heard, ok := other.digests[other.addr]
		if !ok || m.isNear(other) || now.Sub(heard.at) > digestLife {
			continue
		}
		d := heard.Digest
		d.AgeMS = now.Sub(heard.at).Milliseconds()
		all = append(all, l.untold(d))
	}
	return all
}

// untold returns a digest without its entries if they were told over the link.
func (l *link) untold(d wire.Digest) wire.Digest {
	if l.toldVersions[d.Reporter] == d.Version {
		d.Entries = nil
	}
	l.toldVersions[d.Reporter] = d.Version
	return d
}

// ownDigest tells of this entry's group and of the entries that it hears.
func (m *Mesh) ownDigest(now time.Time) wire.Digest {
	var entries []wire.EntryState
	for addr, c := range m.contacts {
		if c.last.ID != "" && now.Sub(c.heard) <= silentAfter {
			entries = append(entries, c.last.State(addr))
		}
	}
	slices.SortFunc(entries, func(a, b wire.EntryState) int { return a.Addr.Compare(b.Addr) })
	return wire.Digest{
		Reporter: m.addr, Group: m.plan.Group, Version: m.versionOf(entries), Entries: entries,
		Loads: m.opts.GroupLoads(now),
	}
}

// versionOf is a hash of what is told of entries. It is never 0.
func (m *Mesh) versionOf(entries []wire.EntryState) uint64 {
	encoded, err := cbor.Marshal(entries)
	if err != nil {
		m.opts.Logger.Error("digest_not_encoded", zap.Error(err))
	}
	return cmp.Or(xxhash.Sum64(encoded), 1)
}

// heardDigests takes the digests of a beat.
func (m *Mesh) heardDigests(now time.Time, l *link, digests []wire.Digest) {
	for _, d := range digests {
		before := l.digests[d.Reporter]
		if d.Entries == nil && before.Version == d.Version {
			d.Entries = before.Entries
		}
		at := now.Add(-time.Duration(d.AgeMS) * time.Millisecond)
		l.digests[d.Reporter] = heardDigest{d, at}
		if d.Reporter == l.addr && d.Version != before.Version && !m.isNear(l) {
			m.newsNear = true
		}
		for _, e := range d.Entries {
			m.told(now, e, at)
		}
	}
}

// told takes what another entry tells of one.
func (m *Mesh) told(now time.Time, e wire.EntryState, at time.Time) {
	if IDOf(e.Addr) == m.opts.Self || !e.Addr.IsValid() {
		return
	}
	c := m.contact(now, e.Addr)
	if !c.told.Addr.IsValid() {
		m.planAt = time.Time{} // at the next tick
	}
	if at.After(c.toldAt) {
		c.told, c.toldAt = e, at
	}
}

// noteChange has the links planned anew with an entry that is new, and the
// entries of other groups hear at once of one that came, leaves or is ready.
func (m *Mesh) noteChange(before wire.Heartbeat, b wire.Heartbeat, addr netip.Addr) {
	if before.ID == "" {
		m.planAt = time.Time{} // at the next tick
	}
	if before.ID == "" || before.State(addr) != b.State(addr) {
		m.newsFar = true
	}
}

// addrOf returns the address that names a process; the zero one if the id is
// none of ours.
func addrOf(id fleet.InstanceID) netip.Addr {
	addr, err := netip.ParseAddr(string(id))
	if err != nil {
		return netip.Addr{}
	}
	return addr
}
