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
	// redialDelay is the delay before a neighbour that could not be reached, or
	// whose link was closed, is dialled again.
	redialDelay = time.Second
	// linkSilenceTimeout is how long a link may deliver no message before it is
	// closed. It is three heartbeats, which is less than the table takes to
	// consider a neighbour lost and avoid it.
	linkSilenceTimeout = 3 * heartbeatInterval
	// sendQueueLen bounds the messages that wait for a slow neighbour; records
	// that do not fit are sent in a later message.
	sendQueueLen = 2
)

// link is an open gossip stream with one neighbour.
type link struct {
	id           fleet.InstanceID
	dialer       fleet.InstanceID
	stream       *peer.Stream
	out          chan wire.Gossip
	once         sync.Once
	closed       chan struct{}
	lastReceived time.Time // last message; initially the time when the link was added
}

func newLink(id, dialer fleet.InstanceID, s *peer.Stream) *link {
	return &link{id: id, dialer: dialer, stream: s, out: make(chan wire.Gossip, sendQueueLen), closed: make(chan struct{})}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		l.stream.Abort()
	})
}

// connect dials chosen neighbours that have no link, and closes links dialled by
// this process to neighbours that are no longer chosen.
func (n *Node) connect(now time.Time) {
	n.closeSilentLinks(now)
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
			n.removeLink(now, l)
		}
	}
}

// closeSilentLinks closes links that deliver no messages, so that their
// neighbours are dialled again. A neighbour that was restarted on the same ports
// does not know the link that this process had with its predecessor, and the
// connection itself takes many times longer to time out. While the platform's
// instance list is unavailable, such a neighbour knows no other process: it
// would stay isolated and without a configuration until the table no longer
// avoids it as lost.
func (n *Node) closeSilentLinks(now time.Time) {
	for _, l := range n.links {
		if now.Sub(l.lastReceived) > linkSilenceTimeout {
			n.removeLink(now, l)
		}
	}
}

func (n *Node) dial(c gossip.Contact) {
	s, err := n.opts.Endpoint.Open(n.ctx, c.Addr, c.ID, peer.KindGossip)
	n.post(func(now time.Time) {
		delete(n.dialing, c.ID)
		n.retryAt[c.ID] = now.Add(redialDelay)
		if err != nil {
			n.opts.Logger.Debug("neighbour_not_reached", zap.String("peer", string(c.ID)), zap.Error(err))
			return
		}
		n.addLink(now, newLink(c.ID, n.opts.Self.ID, s))
	})
}

// ServeGossip serves a stream opened by a neighbour. It returns when the stream
// ends.
func (n *Node) ServeGossip(ctx context.Context, from keys.Identity, s *peer.Stream) {
	l := newLink(from.ID, from.ID, s)
	n.post(func(now time.Time) { n.addLink(now, l) })
	select {
	case <-ctx.Done():
	case <-l.closed:
	}
}

// addLink adds a new link. Two processes that choose each other may dial at the
// same time; both then keep the link dialled by the lower ID, so that neither
// closes the one that the other keeps.
func (n *Node) addLink(now time.Time, l *link) {
	old := n.links[l.id]
	if old != nil && old.dialer != l.dialer && old.dialer < l.dialer {
		l.close()
		return
	}
	if old != nil {
		old.close()
	}
	n.links[l.id] = l
	l.lastReceived = now
	n.table.ResetPeer(l.id)
	go n.read(l)
	go n.write(l)
	n.send(now, l)
}

func (n *Node) removeLink(now time.Time, l *link) {
	l.close()
	if n.links[l.id] != l {
		return
	}
	delete(n.links, l.id)
	n.table.ResetPeer(l.id)
	n.retryAt[l.id] = now.Add(redialDelay)
}

func (n *Node) read(l *link) {
	for {
		var m wire.Gossip
		if err := l.stream.Recv(&m); err != nil {
			n.post(func(now time.Time) { n.removeLink(now, l) })
			return
		}
		n.post(func(now time.Time) { n.handleMessage(now, l, m) })
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
				n.post(func(now time.Time) { n.removeLink(now, l) })
				return
			}
		}
	}
}

func (n *Node) handleMessage(now time.Time, l *link, m wire.Gossip) {
	if n.links[l.id] != l {
		return
	}
	n.lastReceived = now
	l.lastReceived = now
	n.opts.Metrics.Counter("gossip_records_received").Inc(int64(len(m.Records)))
	changed := n.table.Merge(now, l.id, m.Records)
	if len(changed) > 0 {
		n.markChanged(now)
	}
	n.apply(now, n.selector.HandleClaim(now, revision.Claim{Peer: l.id, Revision: m.Revision, Digest: m.Digest}))
	n.fetchIfBehind(now)
}

// flush sends each neighbour the records that it has not been sent yet.
func (n *Node) flush(now time.Time) {
	n.flushAt = time.Time{}
	for _, l := range n.links {
		n.send(now, l)
	}
}

func (n *Node) send(now time.Time, l *link) {
	records := n.table.Delta(now, l.id)
	m := wire.Gossip{Records: records}
	if state, ready := n.selector.Active(); ready {
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
