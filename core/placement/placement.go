// Package placement decides which server a request goes to, and when it is
// refused because no server would answer in time.
//
// A Board counts what this entry has at each server exactly, adds what the
// other entries say that they have there, and predicts from both when a server
// would begin to answer. It does no I/O and reads no clock. It is safe for
// concurrent use: the control goroutine updates the servers, traffic
// goroutines choose among them.
package placement

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/policy"
)

// Rand is the source of chance. A *rand.Rand of math/rand/v2 fits; the Board
// guards it.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// ModelVersion numbers the weights of a model; 0 means none.
type ModelVersion uint64

// Server is what is known of a backend server, apart from its load.
type Server struct {
	ID      fleet.InstanceID
	Service fleet.ServiceName
	Addr    netip.AddrPort
	Place   fleet.Place
	// Slots is the number of requests that it runs at once.
	Slots int
	// Connections is how many unused connections to it this entry may keep.
	Connections int
	// Loaded is the version that a model engine answers from.
	Loaded ModelVersion
	Born   fleet.StartTime
	// Leaving servers get no new requests.
	Leaving bool
	// Changing servers are loading weights, or are about to, and take nothing.
	Changing bool
	// Pace is by how much an engine's passes last longer than published; 0 if that
	// is not known.
	Pace float64
	// Down is true while the agent beside the server cannot reach it.
	Down bool
}

// takesWork reports whether an engine answers requests.
func (s Server) takesWork() bool { return !s.Leaving && !s.Changing && !s.Down && s.Loaded != 0 }

// Load is the work that one entry has at one server.
type Load struct {
	Server           fleet.InstanceID `cbor:"1,keyasint"`
	enginemodel.Work `cbor:"2,keyasint"`
}

// Ask describes a request that wants a server.
type Ask struct {
	Service fleet.ServiceName
	// Engine is set for a model engine.
	Engine *enginemodel.Figures
	// Prompt and Answer are token counts, 0 for a plain service.
	Prompt, Answer int
	// Expected is the caller's estimate of the answer's tokens; 0 if unknown.
	Expected int
	// Aim is the shortest time of all routes to the service in which an answer is
	// on time.
	Aim time.Duration
	// Left is the time until the caller gives up.
	Left time.Duration
	// Late requests cannot be on time any more: they come back after a refusal,
	// have waited here, or were lost by a server.
	Late bool
	// Pause is the longest time to its next event that a stream bears which goes
	// on elsewhere; 0 for a request that has not begun.
	Pause time.Duration
	// Exclude are servers that the request was sent to before.
	Exclude []fleet.InstanceID
	// Suspect requests were in flight at a server that crashed and may have been the
	// cause.
	Suspect bool
	// Versions tells which weights may answer and, if outdated, for how long; nil
	// allows all.
	Versions func(ModelVersion) (Use, time.Duration)
	// Near is where this entry runs.
	Near fleet.Place
}

// Use is how an engine may be used for a request, by the version that it holds.
type Use uint8

const (
	// NoUse: not at all.
	NoUse Use = iota
	// UseOutdated: where no engine with the wanted version is as good, and only if
	// the whole answer is expected within the time that is left.
	UseOutdated
	// FullUse: like any other.
	FullUse
)

// Board holds the servers of all services.
type Board struct {
	mu       sync.Mutex
	rand     Rand
	off      policy.Off
	services map[fleet.ServiceName]*group
	servers  map[fleet.InstanceID]*state
	others   *others
	regions  *regions
	// self and place are this entry's; empty before SetSelf.
	self  fleet.InstanceID
	place fleet.Place
	// change counts the changes of own loads; gone holds when servers left the
	// list.
	change uint64
	gone   map[fleet.InstanceID]uint64
}

// group is the servers of one service.
type group struct {
	states []*state
	// failRate is the moving share of failed answers, duration the moving mean
	// of how long a request of a plain service takes.
	failRate float64
	duration time.Duration
}

// state is a server with its load and its record.
type state struct {
	Server
	group *group
	own   map[*Ticket]struct{}
	// suspects is the number of own requests that are suspect.
	suspects int
	change   uint64    // when own changed last
	ready    time.Time // since when it takes work
	health   health
	// limit is this entry's share of the server's limit; nil if it has none.
	limit *bucket
	// rank is the server's place, from 0, in the order in which this entry
	// prefers those of the service: by distance, then by hash.
	rank     int
	distance fleet.Distance
	hash     uint64
}

// New returns a board without servers.
func New(r Rand, off policy.Off) *Board {
	return &Board{
		rand:     r,
		off:      off,
		services: make(map[fleet.ServiceName]*group),
		servers:  make(map[fleet.InstanceID]*state),
		others:   newOthers(newFreedPlaces(r, off.LeaveFreed)),
		regions:  newRegions(),
		gone:     make(map[fleet.InstanceID]uint64),
	}
}

// SetServers replaces the list of servers. Load and record of those that stay
// are kept. Requests at a server that is listed no more go on.
//
// A server that started anew under its ID has nothing of before. With the load
// of its predecessor, whose requests end only when their connections are found
// dead, it stood idle for seconds; with its failures it stayed left out.
func (b *Board) SetServers(now time.Time, list []Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range b.services {
		g.states = g.states[:0]
	}
	kept := make(map[fleet.InstanceID]*state, len(list))
	for _, s := range list {
		g := b.services[s.Service]
		if g == nil {
			g = &group{duration: firstDuration}
			b.services[s.Service] = g
		}
		st := b.servers[s.ID]
		switch {
		case st == nil:
			st = b.newState(s.ID)
		case s.Born.Replaces(st.Born):
			st = b.newState(s.ID)
			b.others.forgetServer(s.ID)
			b.touch(st)
		}
		if s.takesWork() && !st.takesWork() {
			st.ready = now
			b.others.freed.forget(s.ID)
		}
		st.Server = s
		st.distance = b.place.DistanceTo(s.Place)
		st.group = g
		g.states = append(g.states, st)
		kept[s.ID] = st
	}
	b.rankServers()
	for id, st := range b.servers {
		if kept[id] != nil {
			continue
		}
		b.others.freed.forget(id)
		if len(st.own) > 0 {
			b.change++
			b.gone[id] = b.change
		}
	}
	for id := range kept {
		delete(b.gone, id)
	}
	b.servers = kept
	b.regions.count(now, kept)
}

// HasUsable reports whether any server of a service takes work.
func (b *Board) HasUsable(service fleet.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.services[service]
	return g != nil && slices.ContainsFunc(g.states, func(st *state) bool { return st.takesWork() })
}

// IsLeaving reports whether a server leaves or is listed no more.
func (b *Board) IsLeaving(id fleet.InstanceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.servers[id]
	return st == nil || st.Leaving
}

func (b *Board) newState(id fleet.InstanceID) *state {
	return &state{own: make(map[*Ticket]struct{}), hash: fleet.RendezvousRank(b.self, id)}
}

// Heard notes that another entry was heard, with the servers at which its load
// has changed. The loads that were told before hold on for as long as it is
// heard.
func (b *Board) Heard(now time.Time, entry fleet.InstanceID, changed []Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others.note(now, entry, changed)
}

// Forget drops what an entry said, once it has gone.
func (b *Board) Forget(entry fleet.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others.forget(entry)
}

// Loads returns what this entry has at each server, those without work left
// out, ordered by server.
func (b *Board) Loads() []Load {
	loads, _ := b.LoadsSince(0)
	return loads
}

// LoadsSince returns the load of the servers at which it has changed since an
// earlier call, which returned the number change, and the number for the next
// one. With 0 it returns those of all servers with work.
func (b *Board) LoadsSince(change uint64) ([]Load, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []Load
	for id, st := range b.servers {
		if change == 0 && len(st.own) > 0 || change != 0 && st.change > change {
			loads = append(loads, Load{Server: id, Work: st.ownWork()})
		}
	}
	loads = append(loads, b.unlisted(change)...)
	slices.SortFunc(loads, func(x, y Load) int { return cmp.Compare(x.Server, y.Server) })
	return loads, b.change
}

// Changed reports whether any own load has changed since a call of LoadsSince
// that returned this number.
func (b *Board) Changed(change uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.change > change
}

// unlisted are servers that have left the list since; nothing counts there.
func (b *Board) unlisted(change uint64) []Load {
	var loads []Load
	for id, at := range b.gone {
		if at > change && change != 0 {
			loads = append(loads, Load{Server: id})
		}
	}
	return loads
}

// touch notes that the own load at a server has changed.
func (b *Board) touch(st *state) {
	b.change++
	st.change = b.change
}

func (st *state) ownWork() enginemodel.Work {
	var w enginemodel.Work
	for t := range st.own {
		w.Running++
		w.Context += t.prompt + t.written
		if !t.begun {
			w.Unread += t.prompt
		}
	}
	return w
}

// work is everything known to be at a server. What an entry said is believed
// for loadLife: requests of one that was killed have ended with it.
//
// An engine that has just become ready is found by all entries at once, and
// where others are full all that waits goes there: at four entries it had four
// times what it holds before they heard of each other. Until they have, each
// reckons that the others place as much there as it does itself.
func (b *Board) work(now time.Time, st *state) enginemodel.Work {
	own := st.ownWork()
	if b.off.HearLoads {
		return own
	}
	b.others.endBeliefs(now)
	all := own.Add(b.others.at(now, st.ID)).Add(b.regions.shares[st.regionKey()])
	same := own.Times(1 + b.others.believed)
	if now.Sub(st.ready) < hearWithin && !b.off.AssumeAlike && same.Running > all.Running {
		return same
	}
	return all
}
