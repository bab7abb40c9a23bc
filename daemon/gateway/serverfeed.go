package gateway

import (
	"time"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

// maxFeedChanges bounds the changes that are kept to be forwarded: a few for each server
// of a large fleet. An entry that lacks more requests the complete list.
const maxFeedChanges = 2048

// serverFeed holds the recent changes of servers, so that the entries that do not read
// the platform are sent changes instead of complete lists.
type serverFeed struct {
	changes []catalog.Change // ordered by revision
	// after is the revision after which changes are complete up to asOf.
	after, asOf catalog.Revision
}

// reset restarts the feed after a complete list.
func (f *serverFeed) reset(asOf catalog.Revision) { *f = serverFeed{after: asOf, asOf: asOf} }

// add appends changes that are complete up to asOf, ordered by revision. Those of the
// operator are sent in another way.
func (f *serverFeed) add(changes []catalog.Change, asOf catalog.Revision) {
	for _, c := range changes {
		if !c.OfOperator() && c.Revision > f.asOf {
			f.changes = append(f.changes, c)
		}
	}
	f.asOf = max(f.asOf, asOf)
	if over := len(f.changes) - maxFeedChanges; over > 0 {
		f.after = f.changes[over-1].Revision
		f.changes = append([]catalog.Change(nil), f.changes[over:]...)
	}
}

// since returns the changes after a revision, and false if they are not all known.
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

// addPlatformReport adds what the other entries of the region have to know of the
// platform, if this entry reads it.
func (g *Gateway) addPlatformReport(now time.Time, b *wire.Heartbeat, to mesh.Peer, form mesh.Form) {
	v := g.view.Load()
	if v == nil || !v.readsPlatform || !to.SameGroup || to.Region != g.opts.Place.Region {
		return
	}
	if form == mesh.First {
		delete(g.sentServers, to.ID)
	}
	b.Servers = g.serverNewsFor(now, to)
	if !b.Brief || b.Servers != nil {
		state := g.contact.state(now)
		state.ReadAgoMS = now.Sub(g.changesReadAt).Milliseconds()
		b.Platform = &state
	}
}

// serverNewsFor returns the changes of servers since the last message to an entry, nil
// for none. If they are no longer kept, the news starts at the revision at which it ends,
// so that only an entry that is up to date can apply it. Any other requests the complete
// list.
func (g *Gateway) serverNewsFor(now time.Time, to mesh.Peer) *wire.ServerChanges {
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

// receiveFromReader handles the message of an entry that reads the platform for the
// region.
func (g *Gateway) receiveFromReader(now time.Time, b wire.Heartbeat) {
	if b.Platform != nil {
		g.readerSeenAt = now
		if v := g.view.Load(); v != nil && !v.readsPlatform {
			g.contact.adoptState(now, *b.Platform)
		}
	}
	if g.snapshot.AsOf == 0 {
		return
	}
	if b.Servers != nil && b.Servers.AsOf > g.snapshot.AsOf {
		g.receiveServerNews(now, b.ID, *b.Servers)
	}
	if b.Platform != nil && !b.Brief {
		g.updateReadTime(now, b)
	}
}

func (g *Gateway) receiveServerNews(now time.Time, from fleet.InstanceID, n wire.ServerChanges) {
	r := reading{origin: fromReader, from: string(from), readAt: readTime(now, n.AgeMS)}
	if n.After > g.snapshot.AsOf {
		g.gapUntil = max(g.gapUntil, n.AsOf)
		g.readings.dropped(dropGap, r, n.After, n.AsOf, g.snapshot.AsOf)
		return
	}
	g.adoptServerChanges(now, n.Changes, n.AsOf, r)
}

// updateReadTime updates the time of the last reading. An entry that knows as much as a
// reader is as current as the reader's last reading.
func (g *Gateway) updateReadTime(now time.Time, b wire.Heartbeat) {
	if b.AsOf <= g.snapshot.AsOf {
		g.changesReadAt = later(g.changesReadAt, readTime(now, b.Platform.ReadAgoMS))
	}
}
