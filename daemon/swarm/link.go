package swarm

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/wire"
)

// newsQueue bounds the news that wait for a slow neighbour. News that do not
// fit are put together with the next ones.
const newsQueue = 4

// link is an open exchange with one neighbour about one version.
type link struct {
	member   spread.Member
	dialer   fleet.InstanceID
	stream   *peer.Stream
	news     chan wire.ChunkNews
	once     sync.Once
	closed   chan struct{}
	sentHave *weights.Set
	sentSeen *weights.Set
	heard    bool // the neighbour has told what it has
}

func newLink(member spread.Member, dialer fleet.InstanceID, s *peer.Stream, chunks int) *link {
	return &link{
		member:   member,
		dialer:   dialer,
		stream:   s,
		news:     make(chan wire.ChunkNews, newsQueue),
		closed:   make(chan struct{}),
		sentHave: weights.NewSet(chunks),
		sentSeen: weights.NewSet(chunks),
	}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		l.stream.Abort()
	})
}

// link opens exchanges with chosen neighbours that have none.
func (g *gather) link(now time.Time) {
	for _, m := range g.plan.Neighbours() {
		if g.links[m.ID] != nil || g.dialing[m.ID] || now.Before(g.retryAt[m.ID]) {
			continue
		}
		g.dialing[m.ID] = true
		go g.dial(m)
	}
}

// dial opens an exchange. A member that cannot be reached is told to the plan,
// which then chooses others: a part of a split fleet would otherwise wait for
// the neighbours on the other side. One that only refuses has not begun to
// gather yet and is asked again soon.
func (g *gather) dial(m spread.Member) {
	s, err := g.swarm.opts.Endpoint.Open(g.ctx, m.Addr, m.ID, peer.KindChunk)
	if err != nil {
		g.swarm.post(func(now time.Time) { g.notLinked(now, m.ID, true) })
		return
	}
	first, err := g.openExchange(s)
	if err != nil {
		s.Abort()
		unreachable := errorx.IsOfType(err, failure.Timeout)
		g.swarm.post(func(now time.Time) { g.notLinked(now, m.ID, unreachable) })
		return
	}
	g.swarm.post(func(now time.Time) {
		delete(g.dialing, m.ID)
		g.linked(now, newLink(m, g.swarm.opts.Self.ID, s, len(g.manifest.Chunks)), &first)
	})
}

// openExchange asks for the exchange and waits for the neighbour's first news,
// at most for the stall timeout: a connection whose other side has vanished
// opens streams without an error.
func (g *gather) openExchange(s *peer.Stream) (wire.ChunkNews, error) {
	s.SetStallTimeout(g.swarm.opts.Stall)
	defer s.SetStallTimeout(0)
	var first wire.ChunkNews
	if err := s.Send(wire.ChunkOpen{Manifest: g.version.Manifest, Exchange: true}); err != nil {
		return first, err
	}
	err := s.Recv(&first)
	return first, err
}

// notLinked ends a dial that came to nothing.
func (g *gather) notLinked(now time.Time, id fleet.InstanceID, unreachable bool) {
	delete(g.dialing, id)
	g.retryAt[id] = now.Add(relinkAfter)
	if unreachable && g.ctx.Err() == nil && g.links[id] == nil {
		g.plan.PeerDown(now, id)
		g.nextLink = now
	}
}

// linked adds an open exchange; first is what the neighbour has told, nil if
// nothing yet. Two neighbours that chose each other may open one each at the
// same time; both keep the one that the lesser id opened, so that neither
// closes the one that the other keeps.
func (g *gather) linked(now time.Time, l *link, first *wire.ChunkNews) {
	id := l.member.ID
	old, ok := g.links[id]
	if g.ctx.Err() != nil || ok && old.dialer != l.dialer && old.dialer < l.dialer {
		l.close()
		return
	}
	if ok {
		old.close()
		g.plan.PeerDown(now, id)
	}
	g.links[id] = l
	g.plan.PeerUp(now, l.member)
	if first != nil {
		g.heard(now, id, *first)
	}
	go g.readNews(l)
	go g.writeNews(l)
	// The first news go out even if there is nothing to tell: the neighbour
	// draws from the origin only once it has heard what others hold.
	l.tell(g.plan.Have(), g.plan.Seen())
	if !g.paused {
		g.startFetches(now)
	}
}

func (g *gather) unlinked(now time.Time, l *link) {
	l.close()
	if g.links[l.member.ID] != l {
		return
	}
	delete(g.links, l.member.ID)
	g.retryAt[l.member.ID] = now.Add(relinkAfter)
	g.plan.PeerDown(now, l.member.ID)
}

func (g *gather) readNews(l *link) {
	for {
		var news wire.ChunkNews
		if err := l.stream.Recv(&news); err != nil {
			g.swarm.post(func(now time.Time) { g.unlinked(now, l) })
			return
		}
		g.swarm.post(func(now time.Time) {
			g.heard(now, l.member.ID, news)
			if !g.paused {
				g.startFetches(now)
			}
		})
	}
}

func (g *gather) writeNews(l *link) {
	for {
		select {
		case <-l.closed:
			return
		case news := <-l.news:
			if err := l.stream.Send(news); err != nil {
				g.swarm.post(func(now time.Time) { g.unlinked(now, l) })
				return
			}
		}
	}
}

// heard takes a neighbour's news; the first tell all that it has. Indexes that
// the manifest does not have are left out: they come from a peer that is
// broken.
func (g *gather) heard(now time.Time, from fleet.InstanceID, news wire.ChunkNews) {
	l := g.links[from]
	if g.ctx.Err() != nil || l == nil {
		return
	}
	chunks := len(g.manifest.Chunks)
	g.plan.MergeSeen(now, weights.SetOf(chunks, valid(news.Seen, chunks)...))
	have := valid(news.Have, chunks)
	if l.heard {
		g.plan.AddPeerChunks(now, from, have)
		return
	}
	l.heard = true
	g.plan.SetPeerChunks(now, from, weights.SetOf(chunks, have...))
}

func valid(indexes []int, chunks int) []int {
	kept := indexes[:0:0]
	for _, i := range indexes {
		if i >= 0 && i < chunks {
			kept = append(kept, i)
		}
	}
	return kept
}

// tellNews queues for each neighbour what it has not been told.
func (g *gather) tellNews() {
	for _, l := range g.links {
		have, seen := g.plan.Have(), g.plan.Seen()
		if l.sentHave.Count() < have.Count() || l.sentSeen.Count() < seen.Count() {
			l.tell(have, seen)
		}
	}
}

// tell queues what the neighbour has not been told. If its queue is full the
// next call tells it.
func (l *link) tell(have, seen *weights.Set) {
	news := wire.ChunkNews{Have: missing(have, l.sentHave), Seen: missing(seen, l.sentSeen)}
	select {
	case l.news <- news:
		addAll(l.sentHave, news.Have)
		addAll(l.sentSeen, news.Seen)
	default:
	}
}

// missing lists what is in all and not in sent.
func missing(all, sent *weights.Set) []int {
	return slices.Collect(all.Difference(sent))
}

func addAll(set *weights.Set, indexes []int) {
	for _, i := range indexes {
		set.Add(i)
	}
}

// acceptExchange takes a neighbour's exchange into use. A version that is not
// gathered here, or a neighbour that is not known here yet, is refused; the
// neighbour asks again, since this process may only be late.
func (s *Swarm) acceptExchange(ctx context.Context, from keys.Identity, st *peer.Stream, open wire.ChunkOpen) {
	var accepted bool
	st.SetStallTimeout(0)
	err := s.opts.Loop.Do(ctx, func(now time.Time) {
		g, ok := s.gathers[open.Manifest]
		member, listed := s.member(from.ID)
		if !ok || g.plan == nil || !listed {
			return
		}
		accepted = true
		g.linked(now, newLink(member, from.ID, st, len(g.manifest.Chunks)), nil)
	})
	if err != nil || !accepted {
		st.Abort()
		return
	}
	select {
	case <-st.Context().Done():
	case <-ctx.Done():
	}
}

func (s *Swarm) member(id fleet.InstanceID) (spread.Member, bool) {
	for _, m := range s.members {
		if m.ID == id {
			return m, true
		}
	}
	return spread.Member{}, false
}
