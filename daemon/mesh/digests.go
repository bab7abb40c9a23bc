package mesh

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/wire"
)

// receivedDigest is a digest that was received over a link.
type receivedDigest struct {
	wire.Digest
	at time.Time // when its reporter sent it
}

// digestsFor returns the digests to send over a link. An entry of the same group gets
// the digests that were received over links with other groups, so that a digest is
// forwarded once and does not circulate. The digest of this entry itself goes to other
// groups, and for a while to every entry with a new link, which may not know any other
// entry yet.
func (m *Mesh) digestsFor(now time.Time, l *link) []wire.Digest {
	var all []wire.Digest
	sameGroup := m.isSameGroup(l)
	if !sameGroup || now.Sub(l.upSince) < introductionPeriod {
		all = append(all, l.omitSentEntries(m.ownDigest(now)))
	}
	if !sameGroup {
		return all
	}
	for _, other := range m.links {
		received, ok := other.digests[other.addr]
		if !ok || m.isSameGroup(other) || now.Sub(received.at) > digestLifetime {
			continue
		}
		d := received.Digest
		d.AgeMS = now.Sub(received.at).Milliseconds()
		all = append(all, l.omitSentEntries(d))
	}
	return all
}

// omitSentEntries returns a digest without its entries if they were sent over the link
// before.
func (l *link) omitSentEntries(d wire.Digest) wire.Digest {
	if l.sentVersions[d.Reporter] == d.Version {
		d.Entries = nil
	}
	l.sentVersions[d.Reporter] = d.Version
	return d
}

// ownDigest returns the digest of this entry's group and of the entries whose
// heartbeats this entry receives.
func (m *Mesh) ownDigest(now time.Time) wire.Digest {
	var entries []wire.EntryState
	for addr, c := range m.contacts {
		if c.lastHeartbeat.ID != "" && now.Sub(c.lastHeartbeatAt) <= silenceTimeout {
			entries = append(entries, c.lastHeartbeat.State(addr))
		}
	}
	slices.SortFunc(entries, func(a, b wire.EntryState) int { return a.Addr.Compare(b.Addr) })
	return wire.Digest{
		Reporter: m.addr, Group: m.plan.Group, Version: m.entriesVersion(entries), Entries: entries,
		Loads: m.opts.GroupLoads(now),
	}
}

// entriesVersion returns a hash of the reported entries. It is never 0.
func (m *Mesh) entriesVersion(entries []wire.EntryState) uint64 {
	encoded, err := cbor.Marshal(entries)
	if err != nil {
		m.opts.Logger.Error("digest_not_encoded", zap.Error(err))
	}
	return cmp.Or(xxhash.Sum64(encoded), 1)
}

// handleDigests processes the digests of a heartbeat.
func (m *Mesh) handleDigests(now time.Time, l *link, digests []wire.Digest) {
	if len(digests) > maxContacts {
		m.opts.Metrics.Counter("digests_left_out").Inc(int64(len(digests) - maxContacts))
		digests = digests[:maxContacts]
	}
	for _, d := range digests {
		before, isKnown := l.digests[d.Reporter]
		keptItems := 0
		if isKnown {
			keptItems = before.Items()
		}
		if d.Entries == nil && before.Version == d.Version {
			d.Entries = before.Entries
		}
		if !l.hasRoom(now, d, keptItems) {
			m.opts.Metrics.Counter("digests_left_out").Inc(1)
			continue
		}
		l.digestItems += d.Items() - keptItems
		at := fleet.Ago(now, d.AgeMS)
		l.digests[d.Reporter] = receivedDigest{d, at}
		if d.Reporter == l.addr && d.Version != before.Version && !m.isSameGroup(l) {
			m.notifyGroup = true
		}
		for _, e := range d.Entries {
			m.handleEntryReport(now, e, at)
		}
	}
}

// hasRoom reports whether a digest may be kept in place of its predecessor, which has
// keptItems, beside the others that were received over the link. If there is no room, the expired ones are
// dropped.
func (l *link) hasRoom(now time.Time, d wire.Digest, keptItems int) bool {
	if !isPlainAddr(d.Reporter) || len(d.Group) > maxNameBytes {
		return false
	}
	if l.digestItems-keptItems+d.Items() <= maxDigestItems {
		return true
	}
	maps.DeleteFunc(l.digests, func(reporter netip.Addr, kept receivedDigest) bool {
		isExpired := reporter != d.Reporter && now.Sub(kept.at) > digestLifetime
		if isExpired {
			l.digestItems -= kept.Items()
		}
		return isExpired
	})
	return l.digestItems-keptItems+d.Items() <= maxDigestItems
}

// handleEntryReport processes the state of an entry that another entry reports.
func (m *Mesh) handleEntryReport(now time.Time, e wire.EntryState, at time.Time) {
	if IDOf(e.Addr) == m.opts.Self || !isShortPlace(e.Place) || !m.mayMention(e.Addr) {
		return
	}
	c := m.contact(now, e.Addr)
	if !c.reported.Addr.IsValid() {
		m.nextPlanAt = time.Time{} // plans at the next tick
	}
	if at.After(c.reportedAt) {
		c.reported, c.reportedAt = e, at
	}
}

// recordChange schedules a plan of the links if an entry is new, and a heartbeat to the
// entries of other groups if an entry is new or its state changed.
func (m *Mesh) recordChange(before wire.Heartbeat, b wire.Heartbeat, addr netip.Addr) {
	if before.ID == "" {
		m.nextPlanAt = time.Time{} // plans at the next tick
	}
	if before.ID == "" || before.State(addr) != b.State(addr) {
		m.notifyOtherGroups = true
	}
}

// addrOf returns the address that an ID stands for; the zero address if the ID is not
// an address.
func addrOf(id fleet.InstanceID) netip.Addr {
	addr, err := netip.ParseAddr(string(id))
	if err != nil {
		return netip.Addr{}
	}
	return addr
}
