package entry

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/admission"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/gossip"
	"chivespindle.example/daemon/internal/chance"
	"chivespindle.example/daemon/wire"
)

const (
	// demandEvery is the time between two reports of demand to another entry.
	demandEvery = time.Second
	// demandFresh is how long a reported demand is believed.
	demandFresh = 5 * time.Second
	// demandPeers is how many other entries are asked for their demand. Those
	// beyond count as wanting an even part, so that the sum stays within the
	// limit at any size of the fleet.
	demandPeers = 32
)

// limits holds workspaces to this entry's share of their limits.
type limits struct {
	limiter *admission.Limiter
	demands map[fleet.InstanceID]*demand // control loop only

	mu      sync.Mutex
	running map[fleet.Workspace]int
	most    map[fleet.Workspace]int // this entry's share of max_in_flight; 0: none
}

// demand is what another entry last said of its workspaces.
type demand struct {
	cancel   context.CancelFunc
	addr     gossip.Contact
	rates    map[fleet.Workspace]float64
	received time.Time
}

func newLimits() *limits {
	return &limits{
		limiter: admission.NewLimiter(admission.LimiterOptions{Rand: chance.Shared{}}),
		demands: make(map[fleet.InstanceID]*demand),
		running: make(map[fleet.Workspace]int),
		most:    make(map[fleet.Workspace]int),
	}
}

// enter counts a request of a workspace. It returns how to end the count, or
// that the workspace is over its limit.
func (l *limits) enter(now time.Time, workspace fleet.Workspace) (leave func(), err error) {
	if ok, pause := l.limiter.Allow(now, workspace); !ok {
		return nil, notRun(calls.OverLimit.New("workspace %q is over its requests a second", workspace), pause)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if most := l.most[workspace]; most > 0 && l.running[workspace] >= most {
		return nil, notRun(calls.OverLimit.New("workspace %q is over its requests in flight", workspace), fullRetry)
	}
	l.running[workspace]++
	return func() { l.leave(workspace) }, nil
}

func (l *limits) leave(workspace fleet.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[workspace]--
	if l.running[workspace] == 0 {
		delete(l.running, workspace)
	}
}

// share works this entry's shares out anew, from the text, the entries that
// live and what they demand.
func (e *Entry) share(now time.Time) {
	state := e.node.InForce()
	if state == nil {
		return
	}
	others := e.otherEntries()
	rates := make(map[fleet.Workspace]float64)
	bursts := make(map[fleet.Workspace]float64)
	most := make(map[fleet.Workspace]int)
	for _, name := range state.Fleet.Workspaces() {
		limit, _ := state.Fleet.Limits(name)
		rates[name] = admission.FairShare(limit.RequestsPerSecond, e.limits.demandsOf(now, name, others))
		bursts[name] = float64(limit.Burst) * rates[name] / limit.RequestsPerSecond
		most[name] = inFlightShare(limit, len(others)+1)
	}
	e.limits.limiter.SetShares(now, rates)
	e.limits.limiter.SetBursts(now, bursts)
	e.limits.mu.Lock()
	e.limits.most = most
	e.limits.mu.Unlock()
}

// inFlightShare is an even part, at least one.
func inFlightShare(limit fleettext.Limits, entries int) int {
	if limit.MaxInFlight == 0 {
		return 0
	}
	return max(1, limit.MaxInFlight/entries)
}

// otherEntries are the entries that callers may use beside this one. A part of
// the fleet that cannot see the others shares the limit among itself: both
// parts together may then admit up to the limit each.
func (e *Entry) otherEntries() []gossip.Peer {
	var others []gossip.Peer
	for _, p := range e.node.View().Peers {
		if p.Role == fleet.RoleEntry && !p.Silent && !p.IsLeaving() {
			others = append(others, p)
		}
	}
	return others
}

func (l *limits) demandsOf(now time.Time, name fleet.Workspace, others []gossip.Peer) []float64 {
	demands := make([]float64, 0, len(others))
	for _, p := range others {
		d := l.demands[p.ID]
		if d == nil || now.Sub(d.received) > demandFresh {
			demands = append(demands, math.Inf(1))
			continue
		}
		demands = append(demands, d.rates[name])
	}
	return demands
}

// followDemands keeps a stream of demand reports with other entries, those of
// the own zone and region before those far away.
func (e *Entry) followDemands() {
	others := e.otherEntries()
	wanted := make(map[fleet.InstanceID]gossip.Peer, demandPeers)
	near := admission.Nearest(e.opts.Self.ID, e.opts.Self.Place, placesOf(others), demandPeers)
	for _, p := range others {
		if slices.Contains(near, p.ID) {
			wanted[p.ID] = p
		}
	}
	for id, d := range e.limits.demands {
		if p, ok := wanted[id]; !ok || p.PeerAddr != d.addr.Addr {
			d.cancel()
			delete(e.limits.demands, id)
		}
	}
	for id, p := range wanted {
		if e.limits.demands[id] != nil || !p.PeerAddr.IsValid() {
			continue
		}
		ctx, cancel := context.WithCancel(e.ctx)
		d := &demand{cancel: cancel, addr: gossip.Contact{ID: id, Addr: p.PeerAddr}}
		e.limits.demands[id] = d
		go e.followDemand(ctx, d)
	}
}

func placesOf(peers []gossip.Peer) []admission.Peer {
	others := make([]admission.Peer, len(peers))
	for i, p := range peers {
		others[i] = admission.Peer{ID: p.ID, Place: p.Place}
	}
	return others
}

func (e *Entry) followDemand(ctx context.Context, d *demand) {
	for ctx.Err() == nil {
		err := e.readDemands(ctx, d)
		e.opts.Logger.Debug("demand_reports_ended", zap.String("entry", string(d.addr.ID)), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(resubscribeAfter):
		}
	}
}

func (e *Entry) readDemands(ctx context.Context, d *demand) error {
	s, err := e.opts.Endpoint.Open(ctx, d.addr.Addr, d.addr.ID, peer.KindReport)
	if err != nil {
		return err
	}
	defer s.Abort()
	s.SetStall(demandFresh)
	if err := s.Send(wire.ReportRequest{}); err != nil {
		return err
	}
	for {
		var report wire.Demand
		if err := s.Recv(&report); err != nil {
			return err
		}
		e.post(func(now time.Time) { d.rates, d.received = report.Rates, now })
	}
}

// serveDemand tells another entry what the workspaces ask of this one.
func (e *Entry) serveDemand(ctx context.Context, s *peer.Stream) {
	s.SetStall(demandFresh)
	ticker := time.NewTicker(demandEvery)
	defer ticker.Stop()
	for {
		if err := s.Send(wire.Demand{Rates: e.limits.limiter.Demand(time.Now())}); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// limit is Dispatch's first question: may the workspace ask now?
func (e *Entry) limit(r calls.Request) (leave func(), err error) {
	leave, err = e.limits.enter(time.Now(), r.Workspace)
	if err != nil {
		e.opts.Metrics.Counter("over_limit").Inc(1)
		return nil, err
	}
	return leave, nil
}
