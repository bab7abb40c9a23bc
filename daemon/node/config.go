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

// configStallTimeout is the progress deadline of a configuration exchange.
const configStallTimeout = 2 * time.Second

// maxSections bounds the number of sections that a peer may announce; a
// configuration of a megabyte has fewer.
const maxSections = 1 << 16

// apply logs the selector's events and publishes a newly activated
// configuration.
func (n *Node) apply(now time.Time, d revision.Decision) {
	for _, e := range d.Events {
		n.logEvent(e)
	}
	if d.Reason != revision.Accepted {
		return
	}
	state, _ := n.selector.Active()
	n.active.Store(&state)
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

// fetchIfBehind fetches the configuration from a peer if this process is behind.
// Only one fetch runs at a time.
func (n *Node) fetchIfBehind(now time.Time) {
	if n.fetching {
		return
	}
	fetch, behind := n.selector.NextFetch(now)
	if !behind {
		return
	}
	contact, ok := n.contact(fetch.Peers)
	if !ok {
		return
	}
	n.fetching = true
	n.fetchCount++
	var base *fleettext.Fleet
	if state, ready := n.selector.Active(); ready {
		base = state.Fleet
	}
	go n.fetchConfig(contact, base)
}

// contact selects a peer to fetch from, a different one for each fetch.
func (n *Node) contact(peers []fleet.InstanceID) (gossip.Contact, bool) {
	view := n.View()
	for i := range peers {
		id := peers[(n.fetchCount+i)%len(peers)]
		if p, ok := view.Peer(id); ok && p.PeerAddr.IsValid() {
			return gossip.Contact{ID: id, Addr: p.PeerAddr}, true
		}
	}
	return gossip.Contact{}, false
}

func (n *Node) fetchConfig(from gossip.Contact, base *fleettext.Fleet) {
	candidate, err := n.requestConfig(from, base)
	n.post(func(now time.Time) {
		n.fetching = false
		if err != nil {
			n.opts.Logger.Warn("text_not_fetched", zap.String("peer", string(from.ID)), zap.Error(err))
			return
		}
		n.apply(now, n.selector.HandleCandidate(now, candidate))
	})
}

func (n *Node) requestConfig(from gossip.Contact, base *fleettext.Fleet) (revision.Candidate, error) {
	s, err := n.opts.Endpoint.Open(n.ctx, from.Addr, from.ID, peer.KindConfig)
	if err != nil {
		return revision.Candidate{}, err
	}
	defer s.Abort()
	s.SetStallTimeout(configStallTimeout)
	var request wire.ConfigRequest
	if base != nil {
		request.Digest = base.Digest()
	}
	if err := s.Send(request); err != nil {
		return revision.Candidate{}, err
	}
	var head wire.ConfigHeader
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

func receiveDelta(s *peer.Stream, head wire.ConfigHeader) (fleettext.Delta, error) {
	if head.Revision == 0 {
		return fleettext.Delta{}, failure.NotFound.New("peer has no active configuration")
	}
	if head.Sections < 0 || head.Sections > maxSections {
		return fleettext.Delta{}, failure.Corrupt.New("peer announced %d sections", head.Sections)
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

// ServeConfig sends the changed sections to a peer that is behind.
func (n *Node) ServeConfig(ctx context.Context, _ keys.Identity, s *peer.Stream) {
	s.SetStallTimeout(configStallTimeout)
	var request wire.ConfigRequest
	if err := s.Recv(&request); err != nil {
		s.Abort()
		return
	}
	var head wire.ConfigHeader
	var delta fleettext.Delta
	err := n.opts.Loop.Do(ctx, func(time.Time) {
		state, ready := n.selector.Active()
		if !ready {
			return
		}
		delta = n.selector.Delta(request.Digest)
		head = wire.ConfigHeader{Revision: state.Revision, Digest: delta.Result, Base: delta.Base,
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
	if err := s.Recv(&request); !errors.Is(err, io.EOF) {
		return
	}
}

func sendDelta(s *peer.Stream, head wire.ConfigHeader, delta fleettext.Delta) error {
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
