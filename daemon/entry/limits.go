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
	// demandInterval is the time between two reports of demand to another entry.
	demandInterval = time.Second
	// demandMaxAge is how long a reported demand is used.
	demandMaxAge = 5 * time.Second
	// maxDemandPeers is the number of other entries whose demand is followed. The
	// remaining entries count as having unlimited demand, which assigns them an
	// equal share, so that the sum stays within the limit for any size of the
	// fleet.
	maxDemandPeers = 32
)

// limits enforces this entry's share of the limits of workspaces.
type limits struct {
	limiter *admission.Limiter
	demands map[fleet.InstanceID]*demand // accessed by the control loop only

	mu          sync.Mutex
	inFlight    map[fleet.Workspace]int
	maxInFlight map[fleet.Workspace]int // this entry's share of max_in_flight; 0: unlimited
}

// demand is the latest demand per workspace that another entry reported.
type demand struct {
	cancel   context.CancelFunc
	contact  gossip.Contact
	rates    map[fleet.Workspace]float64
	received time.Time
}

func newLimits() *limits {
	return &limits{
		limiter:     admission.NewLimiter(admission.LimiterOptions{Rand: chance.Shared{}}),
		demands:     make(map[fleet.InstanceID]*demand),
		inFlight:    make(map[fleet.Workspace]int),
		maxInFlight: make(map[fleet.Workspace]int),
	}
}

// acquire counts a request of a workspace. It returns a function that ends the
// count, or an error if the workspace is over its limit.
func (l *limits) acquire(now time.Time, workspace fleet.Workspace) (release func(), err error) {
	if ok, retryAfter := l.limiter.Allow(now, workspace); !ok {
		return nil, notRunError(calls.OverLimit.New("workspace %q is over its requests a second", workspace), retryAfter)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if maxInFlight := l.maxInFlight[workspace]; maxInFlight > 0 && l.inFlight[workspace] >= maxInFlight {
		return nil, notRunError(calls.OverLimit.New("workspace %q is over its requests in flight", workspace), busyRetryAfter)
	}
	l.inFlight[workspace]++
	return func() { l.release(workspace) }, nil
}

func (l *limits) release(workspace fleet.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[workspace]--
	if l.inFlight[workspace] == 0 {
		delete(l.inFlight, workspace)
	}
}

// updateShares recomputes this entry's shares from the configuration, the live
// entries and their demand.
func (e *Entry) updateShares(now time.Time) {
	state := e.node.ActiveConfig()
	if state == nil {
		return
	}
	others := e.otherEntries()
	rates := make(map[fleet.Workspace]float64)
	bursts := make(map[fleet.Workspace]float64)
	maxInFlight := make(map[fleet.Workspace]int)
	for _, name := range state.Fleet.Workspaces() {
		limit, _ := state.Fleet.Limits(name)
		rates[name] = admission.FairShare(limit.RequestsPerSecond, e.limits.demandRates(now, name, others))
		bursts[name] = float64(limit.Burst) * rates[name] / limit.RequestsPerSecond
		maxInFlight[name] = inFlightShare(limit, len(others)+1)
	}
	e.limits.limiter.SetShares(now, rates)
	e.limits.limiter.SetBursts(now, bursts)
	e.limits.mu.Lock()
	e.limits.maxInFlight = maxInFlight
	e.limits.mu.Unlock()
}

// inFlightShare returns an equal part of the limit, at least one.
func inFlightShare(limit fleettext.Limits, entries int) int {
	if limit.MaxInFlight == 0 {
		return 0
	}
	return max(1, limit.MaxInFlight/entries)
}

// otherEntries returns the other entries that callers may use. In a network
// partition each part divides the limit among its own entries, so that each part
// may admit up to the whole limit.
func (e *Entry) otherEntries() []gossip.Peer {
	var others []gossip.Peer
	for _, p := range e.node.View().Peers {
		if p.Role == fleet.RoleEntry && !p.Silent && !p.IsLeaving() {
			others = append(others, p)
		}
	}
	return others
}

func (l *limits) demandRates(now time.Time, name fleet.Workspace, others []gossip.Peer) []float64 {
	rates := make([]float64, 0, len(others))
	for _, p := range others {
		d := l.demands[p.ID]
		if d == nil || now.Sub(d.received) > demandMaxAge {
			rates = append(rates, math.Inf(1))
			continue
		}
		rates = append(rates, d.rates[name])
	}
	return rates
}

// updateDemandStreams keeps a stream of demand reports from other entries,
// preferring those in the same zone and region.
func (e *Entry) updateDemandStreams() {
	others := e.otherEntries()
	desired := make(map[fleet.InstanceID]gossip.Peer, maxDemandPeers)
	nearest := admission.Nearest(e.opts.Self.ID, e.opts.Self.Place, admissionPeers(others), maxDemandPeers)
	for _, p := range others {
		if slices.Contains(nearest, p.ID) {
			desired[p.ID] = p
		}
	}
	for id, d := range e.limits.demands {
		if p, ok := desired[id]; !ok || p.PeerAddr != d.contact.Addr {
			d.cancel()
			delete(e.limits.demands, id)
		}
	}
	for id, p := range desired {
		if e.limits.demands[id] != nil || !p.PeerAddr.IsValid() {
			continue
		}
		ctx, cancel := context.WithCancel(e.ctx)
		d := &demand{cancel: cancel, contact: gossip.Contact{ID: id, Addr: p.PeerAddr}}
		e.limits.demands[id] = d
		go e.runDemandStream(ctx, d)
	}
}

func admissionPeers(peers []gossip.Peer) []admission.Peer {
	others := make([]admission.Peer, len(peers))
	for i, p := range peers {
		others[i] = admission.Peer{ID: p.ID, Place: p.Place}
	}
	return others
}

func (e *Entry) runDemandStream(ctx context.Context, d *demand) {
	for ctx.Err() == nil {
		err := e.readDemands(ctx, d)
		e.opts.Logger.Debug("demand_reports_ended", zap.String("entry", string(d.contact.ID)), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(resubscribeDelay):
		}
	}
}

func (e *Entry) readDemands(ctx context.Context, d *demand) error {
	s, err := e.opts.Endpoint.Open(ctx, d.contact.Addr, d.contact.ID, peer.KindReport)
	if err != nil {
		return err
	}
	defer s.Abort()
	s.SetStallTimeout(demandMaxAge)
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

// serveDemand reports the demand of workspaces at this entry to another one.
func (e *Entry) serveDemand(ctx context.Context, s *peer.Stream) {
	s.SetStallTimeout(demandMaxAge)
	ticker := time.NewTicker(demandInterval)
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

// acquireLimits checks the limits of the workspace before the request is
// dispatched.
func (e *Entry) acquireLimits(r calls.Request) (release func(), err error) {
	release, err = e.limits.acquire(time.Now(), r.Workspace)
	if err != nil {
		e.opts.Metrics.Counter("over_limit").Inc(1)
		return nil, err
	}
	return release, nil
}
