package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"chivespindle.example/core/fleet"
)

// Tracker holds what this entry has observed itself of each server: its exact
// number of requests in flight, and their recent results. It outlives
// snapshots.
type Tracker struct {
	epoch time.Time // instants are relative to it, so that the monotonic clock is used

	mu       sync.Mutex
	rnd      Rand // jitter of ejections; guarded by mu
	services map[fleet.ServiceName]*serviceState
}

// NewTracker returns an empty tracker. start must not be later than the first
// time passed to Pick; rnd is used under a lock of the tracker.
func NewTracker(start time.Time, rnd Rand) *Tracker {
	return &Tracker{epoch: start, rnd: rnd, services: map[fleet.ServiceName]*serviceState{}}
}

// InFlight returns the number of this entry's own requests in flight at a
// server.
func (t *Tracker) InFlight(service fleet.ServiceName, id fleet.InstanceID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.services[service]
	if g == nil || g.states[id] == nil {
		return 0
	}
	return int(g.states[id].inFlight.Load())
}

// Len returns the number of servers that the tracker holds.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, g := range t.services {
		n += len(g.states)
	}
	return n
}

func (t *Tracker) instantOf(now time.Time) int64 { return int64(now.Sub(t.epoch)) }

// jitter returns a number in [0.75, 1.25).
func (t *Tracker) jitter() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return 0.75 + t.rnd.Float64()/2
}

// serviceState holds the state of the servers of one service.
type serviceState struct {
	inFlight      atomic.Int64  // sum over the members
	pieceInterval atomic.Uint64 // bits of a float64: mean seconds between pieces; 0: unknown
	duration      atomic.Uint64 // bits of a float64: mean seconds per request; 0: unknown
	states        map[fleet.InstanceID]*serverState

	mu      sync.Mutex
	members []*serverState // of the latest snapshot; guarded by mu
}

// instant is nanoseconds since the tracker's epoch.
type instant = int64

// unset marks an instant that has not been determined yet.
const unset instant = math.MinInt64

// noSlowStart marks a server that is not in a slow start.
const noSlowStart instant = math.MinInt64 + 1

// serverState is what the tracker knows about one server.
type serverState struct {
	inFlight      atomic.Int64
	ejectedUntil  atomic.Int64
	busyUntil     atomic.Int64
	pieceInterval atomic.Uint64 // bits of a float64: mean seconds between pieces; 0: unknown
	slowStartFrom atomic.Int64  // start of the slow start after a return; unset until first read

	mu                  sync.Mutex // guards the fields up to the blank line
	consecutiveFailures int
	results             int // number of results in failureRate
	failureRate         float64
	ejections           int

	// The fields below are only used by NewSnapshot and are guarded by
	// Tracker.mu.
	version     fleet.Version
	draining    bool
	reportedAt  time.Time
	ownAtReport int64 // own requests in flight when the report was received
}

func newServerState() *serverState {
	st := &serverState{}
	st.ejectedUntil.Store(unset)
	st.busyUntil.Store(unset)
	st.slowStartFrom.Store(noSlowStart)
	return st
}

// update applies a new list of servers and returns the state of each, in order.
// Servers that are not in the list are removed once their last request has
// ended.
func (t *Tracker) update(servers []Server) []*serverState {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]*serverState, len(servers))
	current := map[fleet.ServiceName][]*serverState{}
	listed := make(map[*serverState]bool, len(servers))
	for i := range servers {
		st := t.stateOf(&servers[i])
		st.update(&servers[i])
		states[i] = st
		current[servers[i].Service] = append(current[servers[i].Service], st)
		listed[st] = true
	}
	for name, g := range t.services {
		g.removeUnlisted(listed)
		g.setMembers(current[name])
		if len(g.states) == 0 {
			delete(t.services, name)
		}
	}
	return states
}

func (t *Tracker) stateOf(server *Server) *serverState {
	g := t.services[server.Service]
	if g == nil {
		g = &serviceState{states: map[fleet.InstanceID]*serverState{}}
		t.services[server.Service] = g
	}
	st := g.states[server.ID]
	if st == nil {
		st = newServerState()
		g.states[server.ID] = st
	}
	return st
}

// update records what has changed about a server since the last snapshot.
func (st *serverState) update(server *Server) {
	returned := st.draining && !server.Draining
	reloaded := !st.version.IsZero() && st.version != server.Version
	if returned || reloaded {
		st.slowStartFrom.Store(unset)
	}
	st.draining = server.Draining
	st.version = server.Version
	if !server.Report.Received.Equal(st.reportedAt) {
		st.reportedAt = server.Report.Received
		st.ownAtReport = st.inFlight.Load()
	}
}

func (g *serviceState) removeUnlisted(listed map[*serverState]bool) {
	for id, st := range g.states {
		if !listed[st] && st.inFlight.Load() == 0 {
			delete(g.states, id)
		}
	}
}

func (g *serviceState) setMembers(members []*serverState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = members
	g.trimEjections()
}
