package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"chivespindle.example/core/fleet"
)

// Tracker keeps what this entry saw itself of each server: its requests in
// flight, exactly, and how the recent ones ended. It outlives snapshots.
type Tracker struct {
	epoch time.Time // instants below are counted from it, so that the monotonic clock decides

	mu     sync.Mutex
	rnd    Rand // jitter of ejections; guarded by mu
	groups map[fleet.ServiceName]*group
}

// NewTracker returns an empty tracker. start is any instant not later than
// the first one passed to Pick; rnd is used under a lock of the tracker.
func NewTracker(start time.Time, rnd Rand) *Tracker {
	return &Tracker{epoch: start, rnd: rnd, groups: map[fleet.ServiceName]*group{}}
}

// InFlight returns the number of this entry's own requests at a server.
func (t *Tracker) InFlight(service fleet.ServiceName, id fleet.InstanceID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[service]
	if g == nil || g.states[id] == nil {
		return 0
	}
	return int(g.states[id].inFlight.Load())
}

// Len returns the number of servers that the tracker remembers.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, g := range t.groups {
		n += len(g.states)
	}
	return n
}

func (t *Tracker) since(now time.Time) int64 { return int64(now.Sub(t.epoch)) }

// jitter returns a number in [0.75, 1.25).
func (t *Tracker) jitter() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return 0.75 + t.rnd.Float64()/2
}

// group holds the servers of one service.
type group struct {
	inFlight atomic.Int64  // sum over the members
	pace     atomic.Uint64 // bits of a float64: mean seconds between pieces; 0: not known
	duration atomic.Uint64 // bits of a float64: mean seconds of a request; 0: not known
	states   map[fleet.InstanceID]*state

	mu      sync.Mutex
	members []*state // of the latest snapshot; guarded by mu
}

// instant is nanoseconds since the tracker's epoch.
type instant = int64

// unset marks an instant that has not been seen yet.
const unset instant = math.MinInt64

// longAgo marks a server that is not in a slow start.
const longAgo instant = math.MinInt64 + 1

// state is what the tracker knows of one server.
type state struct {
	inFlight     atomic.Int64
	ejectedUntil atomic.Int64
	busyUntil    atomic.Int64
	pace         atomic.Uint64 // bits of a float64: mean seconds between pieces; 0: not known
	warmFrom     atomic.Int64  // slow start after a return; unset until first looked at

	mu        sync.Mutex // guards the fields up to the blank line
	strikes   int        // failures in a row
	results   int        // results in failRate
	failRate  float64
	ejections int

	// The fields below belong to the caller of NewSnapshot and are guarded by
	// Tracker.mu.
	version    fleet.Version
	draining   bool
	reportedAt time.Time
	ownThen    int64 // own requests in flight when the report came
}

func newState() *state {
	st := &state{}
	st.ejectedUntil.Store(unset)
	st.busyUntil.Store(unset)
	st.warmFrom.Store(longAgo)
	return st
}

// observe brings the tracker in line with a new list of servers and returns
// the state of each, in order. Servers that are not in the list are forgotten
// once their last request has ended.
func (t *Tracker) observe(servers []Server) []*state {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]*state, len(servers))
	current := map[fleet.ServiceName][]*state{}
	listed := make(map[*state]bool, len(servers))
	for i := range servers {
		st := t.stateOf(&servers[i])
		st.note(&servers[i])
		states[i] = st
		current[servers[i].Service] = append(current[servers[i].Service], st)
		listed[st] = true
	}
	for name, g := range t.groups {
		g.forget(listed)
		g.setMembers(current[name])
		if len(g.states) == 0 {
			delete(t.groups, name)
		}
	}
	return states
}

func (t *Tracker) stateOf(server *Server) *state {
	g := t.groups[server.Service]
	if g == nil {
		g = &group{states: map[fleet.InstanceID]*state{}}
		t.groups[server.Service] = g
	}
	st := g.states[server.ID]
	if st == nil {
		st = newState()
		g.states[server.ID] = st
	}
	return st
}

// note records what changed about a server since the last snapshot.
func (st *state) note(server *Server) {
	returned := st.draining && !server.Draining
	reloaded := !st.version.IsZero() && st.version != server.Version
	if returned || reloaded {
		st.warmFrom.Store(unset)
	}
	st.draining = server.Draining
	st.version = server.Version
	if !server.Report.Received.Equal(st.reportedAt) {
		st.reportedAt = server.Report.Received
		st.ownThen = st.inFlight.Load()
	}
}

func (g *group) forget(listed map[*state]bool) {
	for id, st := range g.states {
		if !listed[st] && st.inFlight.Load() == 0 {
			delete(g.states, id)
		}
	}
}

func (g *group) setMembers(members []*state) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = members
	g.trimEjections()
}
