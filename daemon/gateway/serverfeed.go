package gateway

import (
	"time"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

// feedMost bounds the changes that are kept to be told on: a few for each
// server of a large fleet. An entry that lacks more takes the whole list.
const feedMost = 2048

// serverFeed is what happened to the servers lately, so that the entries that
// do not read the platform are told changes and not whole lists.
type serverFeed struct {
	changes []catalog.Change // ordered by revision
	// after is the revision after which changes are complete up to asOf.
	after, asOf catalog.Revision
}

// restart begins after a whole list.
func (f *serverFeed) restart(asOf catalog.Revision) { *f = serverFeed{after: asOf, asOf: asOf} }

// note takes changes that are complete up to asOf, ordered by revision. Those
// of the operator are told in another way.
func (f *serverFeed) note(changes []catalog.Change, asOf catalog.Revision) {
	for _, c := range changes {
		if !c.OfOperator() && c.Revision > f.asOf {
			f.changes = append(f.changes, c)
		}
	}
	f.asOf = max(f.asOf, asOf)
	if over := len(f.changes) - feedMost; over > 0 {
		f.after = f.changes[over-1].Revision
		f.changes = append([]catalog.Change(nil), f.changes[over:]...)
	}
}

// since returns what happened after a revision; false if that is not known.
func (f *serverFeed) since(after catalog.Revision) ([]catalog.Change, bool) {
	if after < f.after {
		return nil, false
	}
	first := len(f.changes)
	for first > 0 && f.changes[first-1].Revision > after {
		first--
	}
	return f.changes[first:], true
}

// tellRegion adds what the other entries of the region must hear of the platform
// from this one, if it reads it.
func (g *Gateway) tellRegion(now time.Time, b *wire.Heartbeat, to mesh.Peer, form mesh.Form) {
	v := g.view.Load()
	if v == nil || !v.readsPlatform || !to.SameGroup || to.Region != g.opts.Place.Region {
		return
	}
	if form == mesh.First {
		delete(g.sentServers, to.ID)
	}
	b.Servers = g.newsFor(now, to)
	if !b.Brief || b.Servers != nil {
		contact := g.contact.told(now)
		contact.ReadAgoMS = now.Sub(g.changesReadAt).Milliseconds()
		b.Platform = &contact
	}
}

// newsFor returns what happened to servers since an entry was last told, nil for
// nothing. If that is not known any more, the news leads from its own end to its end, so
// that only an entry which knows all of it can take it. Any other asks for the whole list.
func (g *Gateway) newsFor(now time.Time, to mesh.Peer) *wire.ServerChanges {
	after := max(g.sentServers[to.ID], to.AsOf)
	if after == 0 || after >= g.feed.asOf {
		return nil
	}
	changes, ok := g.feed.since(after)
	g.sentServers[to.ID] = g.feed.asOf
	news := &wire.ServerChanges{After: after, AsOf: g.feed.asOf, Changes: changes, AgeMS: now.Sub(g.changesReadAt).Milliseconds()}
	if !ok {
		news.After = news.AsOf
		g.readings.wholeListDue(to.ID, after, news.After)
	}
	return news
}

// heardReader takes what an entry tells that reads the platform for the region.
func (g *Gateway) heardReader(now time.Time, b wire.Heartbeat) {
	if b.Platform != nil {
		g.readerSeenAt = now
		if v := g.view.Load(); v != nil && !v.readsPlatform {
			g.contact.follow(now, *b.Platform)
		}
	}
	if g.snapshot.AsOf == 0 {
		return
	}
	if b.Servers != nil && b.Servers.AsOf > g.snapshot.AsOf {
		g.heardChanges(now, b.ID, *b.Servers)
	}
	if b.Platform != nil && !b.Brief {
		g.compareReader(now, b)
	}
}

func (g *Gateway) heardChanges(now time.Time, from fleet.InstanceID, n wire.ServerChanges) {
	r := reading{origin: fromReader, from: string(from), readAt: readBefore(now, n.AgeMS)}
	if n.After > g.snapshot.AsOf {
		g.gapUntil = max(g.gapUntil, n.AsOf)
		g.readings.dropped(dropGap, r, n.After, n.AsOf, g.snapshot.AsOf)
		return
	}
	g.adoptServers(now, n.Changes, n.AsOf, r)
}

// compareReader compares what is known here with what a reader knows. Whoever knows as
// much is up to date as of the reader's last reading.
func (g *Gateway) compareReader(now time.Time, b wire.Heartbeat) {
	if b.AsOf <= g.snapshot.AsOf {
		g.changesReadAt = later(g.changesReadAt, readBefore(now, b.Platform.ReadAgoMS))
	}
}
