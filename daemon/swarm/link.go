package swarm

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
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
		if _, ok := g.links[m.ID]; ok || now.Before(g.retryAt[m.ID]) {
			continue
		}
		g.retryAt[m.ID] = now.Add(relinkAfter)
		go g.dial(m)
	}
}

func (g *gather) dial(m spread.Member) {
	ctx, cancel := context.WithTimeout(g.ctx, g.swarm.opts.Stall)
	defer cancel()
	s, err := g.swarm.opts.Endpoint.Open(g.ctx, m.Addr, m.ID, peer.KindChunk)
	if err != nil {
		return
	}
	if ctx.Err() != nil {
		s.Abort()
		return
	}
	if err := s.Send(wire.ChunkOpen{Manifest: g.version.Manifest, Exchange: true}); err != nil {
		s.Abort()
		return
	}
	var first wire.ChunkNews
	if err := s.Recv(&first); err != nil {
		s.Abort()
		return
	}
	g.swarm.post(func(now time.Time) { g.linked(now, newLink(m, g.swarm.opts.Self.ID, s, len(g.manifest.Chunks)), first) })
}

// linked adds an open exchange. Two neighbours that chose each other may open
// one each at the same time; both keep the one that the lesser id opened, so
// that neither closes the one that the other keeps.
func (g *gather) linked(now time.Time, l *link, first wire.ChunkNews) {
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
	g.heard(now, id, first)
	go g.readNews(l)
	go g.writeNews(l)
	g.tellNews()
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

// heard takes a neighbour's news. Indexes that the manifest does not have are
// left out: they come from a peer that is broken.
func (g *gather) heard(now time.Time, from fleet.InstanceID, news wire.ChunkNews) {
	if g.ctx.Err() != nil || g.links[from] == nil {
		return
	}
	chunks := len(g.manifest.Chunks)
	g.plan.PeerGot(now, from, valid(news.Have, chunks))
	seen := weights.NewSet(chunks)
	for _, i := range valid(news.Seen, chunks) {
		seen.Add(i)
	}
	g.plan.PeerSeen(now, seen)
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
		have := missing(g.plan.Have(), l.sentHave)
		seen := missing(g.plan.Seen(), l.sentSeen)
		if len(have) == 0 && len(seen) == 0 {
			continue
		}
		select {
		case l.news <- wire.ChunkNews{Have: have, Seen: seen}:
			addAll(l.sentHave, have)
			addAll(l.sentSeen, seen)
		default:
		}
	}
}

// missing lists what is in all and not in sent.
func missing(all, sent *weights.Set) []int {
	return slices.Collect(all.Minus(sent))
}

func addAll(set *weights.Set, indexes []int) {
	for _, i := range indexes {
		set.Add(i)
	}
}

// ServeChunk answers a stream of peer.KindChunk. It runs on a traffic
// goroutine.
func (s *Swarm) ServeChunk(ctx context.Context, from keys.Identity, st *peer.Stream) {
	st.SetStall(s.opts.Stall)
	var open wire.ChunkOpen
	if err := st.Recv(&open); err != nil {
		st.Abort()
		return
	}
	if open.Exchange {
		s.acceptExchange(ctx, from, st, open)
		return
	}
	s.giveChunk(ctx, from, st, open)
}

// acceptExchange answers with an empty first ChunkNews and hands the stream to
// the control loop. A version that is not gathered here is refused; the
// neighbour asks again, since this process may only be late.
func (s *Swarm) acceptExchange(ctx context.Context, from keys.Identity, st *peer.Stream, open wire.ChunkOpen) {
	var accepted bool
	err := s.opts.Loop.Do(ctx, func(time.Time) {
		g, ok := s.gathers[open.Manifest]
		accepted = ok && g.plan != nil
	})
	if err != nil || !accepted {
		st.Abort()
		return
	}
	if err := st.Send(wire.ChunkNews{}); err != nil {
		st.Abort()
		return
	}
	st.SetStall(0)
	s.post(func(now time.Time) {
		g, ok := s.gathers[open.Manifest]
		member, listed := s.member(from.ID)
		if !ok || g.plan == nil || !listed {
			st.Abort()
			return
		}
		g.linked(now, newLink(member, from.ID, st, len(g.manifest.Chunks)), wire.ChunkNews{})
	})
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

// giveChunk sends one chunk, or the manifest, to a peer.
func (s *Swarm) giveChunk(ctx context.Context, from keys.Identity, st *peer.Stream, open wire.ChunkOpen) {
	defer func() { _ = st.CloseSend() }()
	data, status := s.takeUpload(ctx, from.ID, open)
	if status != wire.ChunkFollows {
		_ = st.Send(wire.ChunkHead{Status: status})
		return
	}
	if open.Index != manifestIndex {
		defer s.releaseUpload(from.ID, open.Manifest)
	}
	if err := s.sendChunk(ctx, st, data); err != nil {
		s.opts.Logger.Debug("chunk upload ended early", zap.String("peer", string(from.ID)), zap.Error(err))
		st.Abort()
	}
}

func (s *Swarm) takeUpload(ctx context.Context, from fleet.InstanceID, open wire.ChunkOpen) ([]byte, wire.ChunkStatus) {
	status := wire.ChunkMissing
	var data []byte
	err := s.opts.Loop.Do(ctx, func(now time.Time) {
		g, ok := s.gathers[open.Manifest]
		if !ok || g.plan == nil {
			return
		}
		if open.Index == manifestIndex {
			data, status = g.raw, wire.ChunkFollows
			return
		}
		status = g.acceptUpload(now, from, open.Index)
	})
	if err != nil {
		return nil, wire.ChunkMissing
	}
	if status != wire.ChunkFollows || open.Index == manifestIndex {
		return data, status
	}
	data, err = s.opts.Stage.Get(ctx, open.Manifest, open.Index)
	if err != nil {
		s.opts.Logger.Warn("stage cannot give a chunk", zap.Int("chunk", open.Index), zap.Error(err))
		s.releaseUpload(from, open.Manifest)
		return nil, wire.ChunkMissing
	}
	return data, wire.ChunkFollows
}

func (g *gather) acceptUpload(now time.Time, from fleet.InstanceID, index int) wire.ChunkStatus {
	if index < 0 || index >= len(g.manifest.Chunks) || !g.plan.Have().Has(index) {
		return wire.ChunkMissing
	}
	if !g.plan.Accept(now, from, index) {
		return wire.ChunkBusy
	}
	return wire.ChunkFollows
}

func (s *Swarm) releaseUpload(from fleet.InstanceID, manifest fleet.Digest) {
	s.post(func(time.Time) {
		if g, ok := s.gathers[manifest]; ok && g.plan != nil {
			g.plan.Released(from)
		}
	})
}

func (s *Swarm) sendChunk(ctx context.Context, st *peer.Stream, data []byte) error {
	if err := st.Send(wire.ChunkHead{Status: wire.ChunkFollows, Bytes: len(data)}); err != nil {
		return err
	}
	for start := 0; start < len(data); start += PieceBytes {
		piece := data[start:min(start+PieceBytes, len(data))]
		if err := s.opts.Up.WaitN(ctx, len(piece)); err != nil {
			return err
		}
		if err := st.SendBytes(piece); err != nil {
			return err
		}
	}
	s.opts.Metrics.Counter("weights_given_bytes").Inc(int64(len(data)))
	return nil
}
