package gateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/linking"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

// Intervals and timeouts of the mesh.
const (
	modelBeatInterval   = 500 * time.Millisecond
	modelBriefInterval  = 200 * time.Millisecond
	modelSilenceTimeout = 900 * time.Millisecond
	modelLinkTimeout    = 1200 * time.Millisecond
	modelPlanInterval   = 200 * time.Millisecond
)

// modelLinks simulates the mesh of one entry.
type modelLinks struct {
	e      *modelEntry
	byID   map[fleet.InstanceID]*modelLink
	sorted []*modelLink
	plan   linking.Plan
	planAt time.Time
}

// modelLink is one entry's side of a link with another, up or not.
type modelLink struct {
	to   *modelEntry
	up   bool
	last wire.Heartbeat // the last complete one
	// linkReceivedAt and asOf belong to the link, reportedAt to the entry at its other
	// end.
	linkReceivedAt, reportedAt time.Time
	asOf                       catalog.Revision
	region                     fleet.Region
	beatSentAt, sentAt         time.Time
	// inTransit is the number of heartbeats in transit, lastArrival the arrival time of the
	// last one.
	inTransit   int
	lastArrival time.Time
	// epoch counts how often the link went up. Heartbeats sent in an earlier epoch are lost.
	epoch int
}

func (l *modelLinks) link(to *modelEntry) *modelLink {
	id := to.g.opts.Self
	if l.byID[id] == nil {
		l.byID[id] = &modelLink{to: to}
		l.sorted = append(l.sorted, l.byID[id])
	}
	return l.byID[id]
}

func (l *modelLinks) isUp(to *modelEntry) bool {
	k := l.byID[to.g.opts.Self]
	return k != nil && k.up
}

func (l *modelLinks) bringUp(now time.Time, to *modelEntry) {
	k := l.link(to)
	k.up, k.linkReceivedAt, k.asOf, k.region = true, now, 0, ""
	k.epoch++
	k.inTransit, k.lastArrival = 0, now
	l.send(now, k, mesh.First)
}

func (l *modelLinks) takeDown(now time.Time, k *modelLink) {
	if k.up {
		k.up = false
		l.e.g.dropPeer(now, k.to.g.opts.Self)
	}
}

func (l *modelLinks) peer(k *modelLink) mesh.Peer {
	id := k.to.g.opts.Self
	return mesh.Peer{ID: id, Role: fleet.RoleEntry, SameGroup: l.plan.SameGroup[id] && !k.to.isHidden(l.e.m.now), Region: k.region, AsOf: k.asOf}
}

func (l *modelLinks) send(now time.Time, k *modelLink, form mesh.Form) {
	const maxInTransit = 2 // one that is being written and one that waits for it
	if !k.up || k.inTransit >= maxInTransit {
		return
	}
	k.sentAt = now
	if form != mesh.Brief {
		k.beatSentAt = now
	}
	b := l.e.g.compose(now, l.peer(k), form)
	l.e.countBeat(b)
	if l.e.isCut(now) || !k.to.alive || k.to.isCut(now) {
		return
	}
	k.inTransit++
	k.lastArrival = later(k.lastArrival, now.Add(l.e.m.beatDelay()))
	epoch, back := k.epoch, k.to.links.link(l.e)
	backEpoch := back.epoch
	l.e.m.at(k.lastArrival, func(now time.Time) {
		if k.epoch == epoch {
			k.inTransit--
		}
		if k.epoch == epoch && k.up && k.to.alive && back.up && (back.epoch == backEpoch || form == mesh.First) {
			k.to.links.receive(now, back, b)
		}
	})
}

func (l *modelLinks) receive(now time.Time, k *modelLink, b wire.Heartbeat) {
	k.linkReceivedAt = now
	if !b.Brief {
		k.asOf, k.region, k.last, k.reportedAt = b.AsOf, b.Place.Region, b, now
	} else if k.last.ID != "" {
		k.reportedAt = now
		k.last.ConfigVersion = max(k.last.ConfigVersion, b.ConfigVersion)
		k.last.ConfigRevision = max(k.last.ConfigRevision, b.ConfigRevision)
	}
	l.e.g.receive(now, l.peer(k), b)
}

func (l *modelLinks) Tick(now time.Time) {
	for _, k := range l.sorted {
		if k.up && now.Sub(k.linkReceivedAt) > modelLinkTimeout {
			l.takeDown(now, k)
		}
	}
	l.planLinks(now)
	for _, k := range l.sorted {
		near := l.plan.SameGroup[k.to.g.opts.Self]
		switch {
		case !k.up:
		case now.Sub(k.beatSentAt) >= modelBeatInterval:
			l.send(now, k, mesh.Complete)
		case near && now.Sub(k.sentAt) >= modelBriefInterval:
			l.send(now, k, mesh.Brief)
		}
	}
}

func (l *modelLinks) planLinks(now time.Time) {
	if now.Before(l.planAt) {
		return
	}
	l.planAt = now.Add(modelPlanInterval)
	var others []linking.Member
	for _, k := range l.sorted {
		if k.last.ID != "" && now.Sub(k.reportedAt) <= modelSilenceTimeout {
			others = append(others, linking.Member{ID: k.last.ID, Region: k.last.Place.Region})
		}
	}
	l.plan = linking.NewPlan(linking.Member{ID: l.e.g.opts.Self, Region: l.e.g.opts.Place.Region}, others)
}

func (l *modelLinks) Flush(now time.Time) {
	for _, k := range l.sorted {
		l.send(now, k, mesh.Complete)
	}
}

func (l *modelLinks) FlushGroup(now time.Time) {
	for _, k := range l.sorted {
		if l.plan.SameGroup[k.to.g.opts.Self] {
			l.send(now, k, mesh.Complete)
		}
	}
}

func (l *modelLinks) Entries(now time.Time) []mesh.Entry {
	var all []mesh.Entry
	for _, k := range l.sorted {
		if b := k.last; b.ID != "" {
			all = append(all, mesh.Entry{ID: b.ID, Place: b.Place, Ready: b.Ready, Leaving: b.Leaving, ReachesPlatform: b.ReachesPlatform,
				PlatformUnresponsive: b.PlatformUnresponsive, Silent: now.Sub(k.reportedAt) > modelSilenceTimeout, SameGroup: l.plan.SameGroup[b.ID]})
		}
	}
	return all
}

func (l *modelLinks) HasLiveEntry(now time.Time) bool {
	return slices.ContainsFunc(l.sorted, func(k *modelLink) bool { return k.last.ID != "" && now.Sub(k.reportedAt) <= modelSilenceTimeout })
}

func (l *modelLinks) FindEntry(now time.Time, isAhead func(wire.Heartbeat) bool) (addr netip.Addr, near, ok bool) {
	var all []*modelLink
	for _, k := range l.sorted {
		if k.last.ID != "" && now.Sub(k.reportedAt) <= modelSilenceTimeout && isAhead(k.last) {
			all = append(all, k)
		}
	}
	if len(all) == 0 {
		return addr, false, false
	}
	k := all[l.e.m.rand.IntN(len(all))]
	for _, other := range all {
		if other.region == l.e.g.opts.Place.Region {
			k = other
		}
	}
	return k.to.g.opts.Addr, k.region == l.e.g.opts.Place.Region, true
}

func (l *modelLinks) Group() string                                      { return l.plan.Group }
func (l *modelLinks) LiveEntries(time.Time, fleet.Region) []netip.Addr   { return nil }
func (l *modelLinks) PeerAddr(addr netip.Addr) netip.AddrPort            { return netip.AddrPortFrom(addr, 1) }
func (l *modelLinks) Serve(context.Context, keys.Identity, *peer.Stream) {}
func (l *modelLinks) SetSeeds(time.Time, []netip.Addr)                   {}
func (l *modelLinks) ResetAfterPause(time.Time)                          {}
