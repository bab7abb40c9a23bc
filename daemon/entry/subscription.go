package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/admission"
	"chivespindle.example/core/balance"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/wire"
)

const (
	// reportStallTimeout is how long an agent may send no report; reports are sent
	// every half second.
	reportStallTimeout = 2 * time.Second
	// resubscribeDelay is the pause before a new stream is opened to the same
	// process.
	resubscribeDelay = 500 * time.Millisecond
)

// subscription is the stream of load reports from one agent.
type subscription struct {
	member    gossip.Peer
	cancel    context.CancelFunc
	clock     *admission.RemoteClock // of the agent
	hasReport bool                   // a report was received on the current stream
	report    wire.Report
	received  time.Time
}

// server returns the balancer's description of the backend server.
func (s *subscription) server() balance.Server {
	return balance.Server{
		ID:       s.member.ID,
		Place:    s.member.Place,
		Addr:     s.member.PeerAddr,
		Service:  s.report.Service,
		Version:  s.report.Serving,
		Report:   balance.Report{Load: s.report.Load, Received: s.received},
		Draining: s.report.Leaving || !s.report.Admitting || s.member.IsLeaving(),
	}
}

// updateSubscriptions keeps a stream of reports from each agent in this entry's
// subset.
func (e *Entry) updateSubscriptions(now time.Time) {
	desired := e.desiredAgents()
	for id, s := range e.subscriptions {
		p, ok := desired[id]
		if !ok || p.PeerAddr != s.member.PeerAddr {
			s.cancel()
			delete(e.subscriptions, id)
			continue
		}
		s.member = p
	}
	for id, p := range desired {
		if _, ok := e.subscriptions[id]; !ok {
			e.startSubscription(p)
		}
	}
}

// desiredAgents returns, for each service, the agents whose reports this entry
// follows.
func (e *Entry) desiredAgents() map[fleet.InstanceID]gossip.Peer {
	byService := make(map[fleet.ServiceName][]balance.Server)
	self, entries := e.assignmentEntries()
	peers := make(map[fleet.InstanceID]gossip.Peer)
	for _, p := range e.node.View().Peers {
		if p.Role != fleet.RoleAgent || !p.PeerAddr.IsValid() {
			continue
		}
		peers[p.ID] = p
		byService[p.Service] = append(byService[p.Service], balance.Server{ID: p.ID, Place: p.Place, Service: p.Service})
	}
	desired := make(map[fleet.InstanceID]gossip.Peer)
	for _, servers := range byService {
		for _, s := range balance.Assign(self, entries, servers, subsetSize) {
			desired[s.ID] = peers[s.ID]
		}
	}
	return desired
}

// assignmentEntries returns the entries among which the servers are divided.
func (e *Entry) assignmentEntries() (self balance.Entry, all []balance.Entry) {
	self = balance.Entry{ID: e.opts.Self.ID, Place: e.opts.Self.Place}
	all = append(all, self)
	for _, p := range e.otherEntries() {
		all = append(all, balance.Entry{ID: p.ID, Place: p.Place})
	}
	return self, all
}

func (e *Entry) startSubscription(p gossip.Peer) {
	ctx, cancel := context.WithCancel(e.ctx)
	s := &subscription{member: p, cancel: cancel, clock: &admission.RemoteClock{}}
	e.subscriptions[p.ID] = s
	go e.runSubscription(ctx, s, p)
}

// runSubscription reads reports until ctx ends and opens a new stream after a
// failure.
func (e *Entry) runSubscription(ctx context.Context, s *subscription, p gossip.Peer) {
	for ctx.Err() == nil {
		err := e.readReports(ctx, s, p)
		e.post(func(now time.Time) { e.handleReportsLost(s) })
		e.opts.Logger.Debug("reports_ended", zap.String("agent", string(p.ID)), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(resubscribeDelay):
		}
	}
}

func (e *Entry) readReports(ctx context.Context, s *subscription, p gossip.Peer) error {
	stream, err := e.opts.Endpoint.Open(ctx, p.PeerAddr, p.ID, peer.KindReport)
	if err != nil {
		return err
	}
	defer stream.Abort()
	stream.SetStallTimeout(reportStallTimeout)
	if err := stream.Send(wire.ReportRequest{}); err != nil {
		return err
	}
	for {
		var report wire.Report
		if err := stream.Recv(&report); err != nil {
			return err
		}
		received := time.Now()
		s.clock.Observe(report.Clock, received)
		e.post(func(now time.Time) { e.handleReport(now, s, report, received) })
	}
}

// handleReport stores a report. A change in whether the server accepts requests is
// published at once, because all requests sent to it until then would be refused.
func (e *Entry) handleReport(now time.Time, s *subscription, report wire.Report, received time.Time) {
	urgent := !s.hasReport || s.report.Admitting != report.Admitting || s.report.Leaving != report.Leaving ||
		s.report.Serving != report.Serving
	s.hasReport = true
	s.report = report
	s.received = received
	e.dirty = true
	if urgent {
		e.rebuild(now)
	}
}

// handleReportsLost removes a server from the snapshot until it reports again: its
// agent has ended, or the link to it has failed.
func (e *Entry) handleReportsLost(s *subscription) {
	if s.hasReport {
		s.hasReport = false
		e.dirty = true
	}
}

func (e *Entry) post(f func(now time.Time)) {
	e.opts.Loop.Post(e.ctx, control.Func(f))
}

// ServeStream implements peer.Handler.
func (e *Entry) ServeStream(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	switch kind {
	case peer.KindGossip:
		e.node.ServeGossip(ctx, from, s)
	case peer.KindConfig:
		e.node.ServeConfig(ctx, from, s)
	case peer.KindReport:
		if from.Role == fleet.RoleEntry {
			e.serveDemand(ctx, s)
		}
	}
}
