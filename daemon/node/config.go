package node

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/daemon/wire"
)

// configStall is the progress deadline of an exchange about the text.
const configStall = 2 * time.Second

// maxSections bounds what a peer may announce; a text of a megabyte has fewer.
const maxSections = 1 << 16

// apply carries out what the keeper decided.
func (n *Node) apply(now time.Time, d revision.Decision) {
	for _, e := range d.Events {
		n.logEvent(e)
	}
	if d.Reason != revision.Accepted {
		return
	}
	state, _ := n.keeper.Active()
	n.inForce.Store(&state)
	n.opts.Metrics.Gauge("config_revision").Update(float64(state.Revision))
	n.table.UpdateSelf(func(r *gossip.Record) {
		r.Revision = state.Revision
		r.ConfigDigest = state.Digest
	})
	n.flush(now)
	n.publishView(now)
}

func (n *Node) logEvent(e revision.Event) {
	switch e := e.(type) {
	case revision.Activated:
		n.opts.Logger.Info("text_in_force",
			zap.Uint64("revision", uint64(e.To)), zap.Uint64("before", uint64(e.From)),
			zap.Stringer("digest", e.Digest), zap.String("source", string(e.Source)), zap.String("peer", string(e.Peer)))
	case revision.Refused:
		n.opts.Metrics.Counter("config_refused").Inc(1)
		n.opts.Logger.Error("text_refused",
			zap.Uint64("revision", uint64(e.Revision)), zap.String("source", string(e.Source)), zap.Error(e.Faults))
	case revision.Conflict:
		n.opts.Metrics.Counter("config_conflicts").Inc(1)
		n.opts.Logger.Error("text_conflict",
			zap.Uint64("revision", uint64(e.Revision)), zap.Stringer("kept", e.Kept), zap.Stringer("other", e.Other))
	}
}

// askForText asks a peer for the text that it has in force, if this process
// is behind. One ask runs at a time.
func (n *Node) askForText(now time.Time) {
	if n.asking {
		return
	}
	want, behind := n.keeper.NextFetch(now)
	if !behind {
		return
	}
	contact, ok := n.contact(want.Peers)
	if !ok {
		return
	}
	n.asking = true
	n.askCount++
	var base *fleettext.Fleet
	if state, ready := n.keeper.Active(); ready {
		base = state.Fleet
	}
	go n.fetchText(contact, base)
}

// contact picks a peer to ask, another one each time.
func (n *Node) contact(peers []fleet.InstanceID) (gossip.Contact, bool) {
	view := n.View()
	for i := range peers {
		id := peers[(n.askCount+i)%len(peers)]
		if p, ok := view.Peer(id); ok && p.PeerAddr.IsValid() {
			return gossip.Contact{ID: id, Addr: p.PeerAddr}, true
		}
	}
	return gossip.Contact{}, false
}

func (n *Node) fetchText(from gossip.Contact, base *fleettext.Fleet) {
	candidate, err := n.exchangeText(from, base)
	n.post(func(now time.Time) {
		n.asking = false
		if err != nil {
			n.opts.Logger.Warn("text_not_fetched", zap.String("peer", string(from.ID)), zap.Error(err))
			return
		}
		n.apply(now, n.keeper.HandleCandidate(now, candidate))
	})
}

func (n *Node) exchangeText(from gossip.Contact, base *fleettext.Fleet) (revision.Candidate, error) {
	s, err := n.opts.Endpoint.Open(n.ctx, from.Addr, from.ID, peer.KindConfig)
	if err != nil {
		return revision.Candidate{}, err
	}
	defer s.Abort()
	s.SetStallTimeout(configStall)
	var ask wire.ConfigAsk
	if base != nil {
		ask.Digest = base.Digest()
	}
	if err := s.Send(ask); err != nil {
		return revision.Candidate{}, err
	}
	var head wire.ConfigHead
	if err := s.Recv(&head); err != nil {
		return revision.Candidate{}, err
	}
	delta, err := receiveDelta(s, head)
	if err != nil {
		return revision.Candidate{}, err
	}
	if delta.Base.IsZero() {
		base = nil
	}
	claim := revision.Claim{Peer: from.ID, Revision: head.Revision, Digest: head.Digest}
	return revision.ReadDelta(claim, base, delta)
}

func receiveDelta(s *peer.Stream, head wire.ConfigHead) (fleettext.Delta, error) {
	if head.Revision == 0 {
		return fleettext.Delta{}, failure.NotFound.New("peer has no text in force")
	}
	if head.Sections < 0 || head.Sections > maxSections {
		return fleettext.Delta{}, failure.Corrupt.New("peer announces %d sections", head.Sections)
	}
	delta := fleettext.Delta{Base: head.Base, Result: head.Digest, Removed: head.Removed}
	for range head.Sections {
		var section fleettext.Section
		if err := s.Recv(&section); err != nil {
			return fleettext.Delta{}, err
		}
		delta.Changed = append(delta.Changed, section)
	}
	return delta, nil
}

// ServeConfig answers a peer that is behind with the sections that changed.
func (n *Node) ServeConfig(ctx context.Context, _ keys.Identity, s *peer.Stream) {
	s.SetStallTimeout(configStall)
	var ask wire.ConfigAsk
	if err := s.Recv(&ask); err != nil {
		s.Abort()
		return
	}
	var head wire.ConfigHead
	var delta fleettext.Delta
	err := n.opts.Loop.Do(ctx, func(time.Time) {
		state, ready := n.keeper.Active()
		if !ready {
			return
		}
		delta = n.keeper.Delta(ask.Digest)
		head = wire.ConfigHead{Revision: state.Revision, Digest: delta.Result, Base: delta.Base,
			Removed: delta.Removed, Sections: len(delta.Changed)}
	})
	if err != nil {
		s.Abort()
		return
	}
	if err := sendDelta(s, head, delta); err != nil {
		n.opts.Logger.Debug("text_not_sent", zap.Error(err))
		s.Abort()
		return
	}
	_ = s.CloseSend()
	if err := s.Recv(&ask); !errors.Is(err, io.EOF) {
		return
	}
}

func sendDelta(s *peer.Stream, head wire.ConfigHead, delta fleettext.Delta) error {
	if err := s.Send(head); err != nil {
		return err
	}
	for _, section := range delta.Changed {
		if err := s.Send(section); err != nil {
			return err
		}
	}
	return nil
}
