package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/wire"
)

const (
	// redialAfter is the pause before a neighbour that could not be reached is
	// tried again.
	redialAfter = time.Second
	// deadAfter is how long a link may bring nothing. It is three heartbeats,
	// and less than the table takes to call a neighbour lost and leave it alone.
	deadAfter = 3 * beatEvery
	// sendQueue bounds the messages that wait for a slow neighbour; news that
	// do not fit go with a later message.
	sendQueue = 2
)

// link is an open gossip stream with one neighbour.
type link struct {
	id     fleet.InstanceID
	dialer fleet.InstanceID
	stream *peer.Stream
	out    chan wire.Gossip
	once   sync.Once
	closed chan struct{}
	heard  time.Time // last message, at first when it came into use
}

func newLink(id, dialer fleet.InstanceID, s *peer.Stream) *link {
	return &link{id: id, dialer: dialer, stream: s, out: make(chan wire.Gossip, sendQueue), closed: make(chan struct{})}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		l.stream.Abort()
	})
}

// connect dials chosen neighbours that no link leads to, and closes links that
// this process dialled to those that are no longer chosen.
func (n *Node) connect(now time.Time) {
	n.dropDead(now)
	chosen := make(map[fleet.InstanceID]bool)
	for _, c := range n.table.Neighbours(now) {
		chosen[c.ID] = true
		if n.links[c.ID] != nil || n.dialing[c.ID] || now.Before(n.retryAt[c.ID]) {
			continue
		}
		n.dialing[c.ID] = true
		go n.dial(c)
	}
	for id, l := range n.links {
		if l.dialer == n.opts.Self.ID && !chosen[id] {
			n.unlink(now, l)
		}
	}
}

// dropDead closes links that bring nothing, so that their neighbours are dialled
// anew. A neighbour that was started again on its ports does not know the link
// that its predecessor dialled, and a connection takes many times longer to
// end by itself. While the platform's list is down the neighbour knows nobody:
// it would stay alone, with no text, until it is no longer left out as lost.
func (n *Node) dropDead(now time.Time) {
	for _, l := range n.links {
		if now.Sub(l.heard) > deadAfter {
			n.unlink(now, l)
		}
	}
}

func (n *Node) dial(c gossip.Contact) {
	s, err := n.opts.Endpoint.Open(n.ctx, c.Addr, c.ID, peer.KindGossip)
	n.post(func(now time.Time) {
		delete(n.dialing, c.ID)
		n.retryAt[c.ID] = now.Add(redialAfter)
		if err != nil {
			n.opts.Logger.Debug("neighbour_not_reached", zap.String("peer", string(c.ID)), zap.Error(err))
			return
		}
		n.linkUp(now, newLink(c.ID, n.opts.Self.ID, s))
	})
}

// ServeGossip serves a stream that a neighbour opened. It returns when the
// stream ends.
func (n *Node) ServeGossip(ctx context.Context, from keys.Identity, s *peer.Stream) {
	l := newLink(from.ID, from.ID, s)
	n.post(func(now time.Time) { n.linkUp(now, l) })
	select {
	case <-ctx.Done():
	case <-l.closed:
	}
}

// linkUp takes a new link into use. Two processes that choose each other may
// dial at the same time; both then keep the link that the lesser id dialled,
// so that neither closes the one that the other keeps.
func (n *Node) linkUp(now time.Time, l *link) {
	old := n.links[l.id]
	if old != nil && old.dialer != l.dialer && old.dialer < l.dialer {
		l.close()
		return
	}
	if old != nil {
		old.close()
	}
	n.links[l.id] = l
	l.heard = now
	n.table.ResetPeer(l.id)
	go n.read(l)
	go n.write(l)
	n.send(now, l)
}

func (n *Node) unlink(now time.Time, l *link) {
	l.close()
	if n.links[l.id] != l {
		return
	}
	delete(n.links, l.id)
	n.table.ResetPeer(l.id)
	n.retryAt[l.id] = now.Add(redialAfter)
}

func (n *Node) read(l *link) {
	for {
		var m wire.Gossip
		if err := l.stream.Recv(&m); err != nil {
			n.post(func(now time.Time) { n.unlink(now, l) })
			return
		}
		n.post(func(now time.Time) { n.heard(now, l, m) })
	}
}

func (n *Node) write(l *link) {
	l.stream.SetStallTimeout(0)
	for {
		select {
		case <-l.closed:
			return
		case m := <-l.out:
			if err := l.stream.Send(m); err != nil {
				n.post(func(now time.Time) { n.unlink(now, l) })
				return
			}
		}
	}
}

func (n *Node) heard(now time.Time, l *link, m wire.Gossip) {
	if n.links[l.id] != l {
		return
	}
	n.lastHeard = now
	l.heard = now
	n.opts.Metrics.Counter("gossip_records_received").Inc(int64(len(m.Records)))
	changed := n.table.Merge(now, l.id, m.Records)
	if len(changed) > 0 {
		n.changed(now)
	}
	n.apply(now, n.keeper.HandleClaim(now, revision.Claim{Peer: l.id, Revision: m.Revision, Digest: m.Digest}))
	n.askForText(now)
}

// flush sends each neighbour what it has not been sent.
func (n *Node) flush(now time.Time) {
	n.flushAt = time.Time{}
	for _, l := range n.links {
		n.send(now, l)
	}
}

func (n *Node) send(now time.Time, l *link) {
	records := n.table.Delta(now, l.id)
	m := wire.Gossip{Records: records}
	if state, ready := n.keeper.Active(); ready {
		m.Revision = state.Revision
		m.Digest = state.Digest
	}
	select {
	case l.out <- m:
		n.table.Acknowledge(now, l.id, records)
		n.opts.Metrics.Counter("gossip_records_sent").Inc(int64(len(records)))
	default:
	}
}

func (n *Node) post(f func(now time.Time)) {
	n.opts.Loop.Post(n.ctx, control.Func(f))
}
