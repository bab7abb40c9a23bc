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
	// reportStall is how long an agent may send no report; they come each half
	// second.
	reportStall = 2 * time.Second
	// resubscribeAfter is the pause before an agent is asked again.
	resubscribeAfter = 500 * time.Millisecond
)

// subscription is the stream of reports of one agent.
type subscription struct {
	member   gossip.Peer
	cancel   context.CancelFunc
	echo     *admission.RemoteClock // of the agent's clock
	reported bool                   // a report came on the present stream
	report   wire.Report
	received time.Time
}

// server describes the backend server to the balancer.
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

// subscribe keeps a stream of reports with each agent of this entry's subset.
func (e *Entry) subscribe(now time.Time) {
	wanted := e.wanted()
	for id, s := range e.subs {
		p, ok := wanted[id]
		if !ok || p.PeerAddr != s.member.PeerAddr {
			s.cancel()
			delete(e.subs, id)
			continue
		}
		s.member = p
	}
	for id, p := range wanted {
		if _, ok := e.subs[id]; !ok {
			e.startSubscription(p)
		}
	}
}

// wanted picks, of each service, the agents whose reports this entry follows.
func (e *Entry) wanted() map[fleet.InstanceID]gossip.Peer {
	byService := make(map[fleet.ServiceName][]balance.Server)
	self, entries := e.assignees()
	peers := make(map[fleet.InstanceID]gossip.Peer)
	for _, p := range e.node.View().Peers {
		if p.Role != fleet.RoleAgent || !p.PeerAddr.IsValid() {
			continue
		}
		peers[p.ID] = p
		byService[p.Service] = append(byService[p.Service], balance.Server{ID: p.ID, Place: p.Place, Service: p.Service})
	}
	wanted := make(map[fleet.InstanceID]gossip.Peer)
	for _, servers := range byService {
		for _, s := range balance.Assign(self, entries, servers, subsetSize) {
			wanted[s.ID] = peers[s.ID]
		}
	}
	return wanted
}

// assignees are the entries that share the servers out between them.
func (e *Entry) assignees() (self balance.Entry, all []balance.Entry) {
	self = balance.Entry{ID: e.opts.Self.ID, Place: e.opts.Self.Place}
	all = append(all, self)
	for _, p := range e.otherEntries() {
		all = append(all, balance.Entry{ID: p.ID, Place: p.Place})
	}
	return self, all
}

func (e *Entry) startSubscription(p gossip.Peer) {
	ctx, cancel := context.WithCancel(e.ctx)
	s := &subscription{member: p, cancel: cancel, echo: &admission.RemoteClock{}}
	e.subs[p.ID] = s
	go e.follow(ctx, s, p)
}

// follow reads reports until ctx ends, opening a new stream when one breaks.
func (e *Entry) follow(ctx context.Context, s *subscription, p gossip.Peer) {
	for ctx.Err() == nil {
		err := e.readReports(ctx, s, p)
		e.post(func(now time.Time) { e.reportsLost(s) })
		e.opts.Logger.Debug("reports_ended", zap.String("agent", string(p.ID)), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(resubscribeAfter):
		}
	}
}

func (e *Entry) readReports(ctx context.Context, s *subscription, p gossip.Peer) error {
	stream, err := e.opts.Endpoint.Open(ctx, p.PeerAddr, p.ID, peer.KindReport)
	if err != nil {
		return err
	}
	defer stream.Abort()
	stream.SetStall(reportStall)
	if err := stream.Send(wire.ReportRequest{}); err != nil {
		return err
	}
	for {
		var report wire.Report
		if err := stream.Recv(&report); err != nil {
			return err
		}
		received := time.Now()
		s.echo.Observe(report.Clock, received)
		e.post(func(now time.Time) { e.reportRead(now, s, report, received) })
	}
}

// reportRead takes a report. A server that stopped or began to take requests
// is shown at once, since every request sent there meanwhile is refused.
func (e *Entry) reportRead(now time.Time, s *subscription, report wire.Report, received time.Time) {
	urgent := !s.reported || s.report.Admitting != report.Admitting || s.report.Leaving != report.Leaving ||
		s.report.Serving != report.Serving
	s.reported = true
	s.report = report
	s.received = received
	e.dirty = true
	if urgent {
		e.rebuild(now)
	}
}

// reportsLost takes a server out until it reports again: its agent is gone, or
// the link to it is.
func (e *Entry) reportsLost(s *subscription) {
	if s.reported {
		s.reported = false
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
