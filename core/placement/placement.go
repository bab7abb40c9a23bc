// Package placement chooses a server for each request, and refuses the request if
// no server would answer in time.
//
// A Balancer counts this entry's own requests at each server exactly, adds the
// load that other entries report, and predicts from both when a server would start
// to answer. It does no I/O and reads no clock. It is safe for concurrent use: the
// control goroutine updates the list of servers while traffic goroutines choose
// among them.
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
	"chivespindle.example/core/priority"
	"chivespindle.example/core/residency"
)

// Rand is the source of randomness. A *rand.Rand of math/rand/v2 implements it;
// calls are serialized by the Balancer's lock.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// ModelVersion identifies a version of a model's weights; 0 means none.
type ModelVersion uint64

// Server describes a backend server, apart from its load.
type Server struct {
	ID      fleet.InstanceID
	Service fleet.ServiceName
	Addr    netip.AddrPort
	Place   fleet.Place
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Connections is the maximum number of idle connections that this entry may
	// keep to the server.
	Connections int
	// LoadedVersion is the version of the weights that a model engine serves; 0 if
	// it serves none.
	LoadedVersion ModelVersion
	Born          fleet.StartTime
	// Leaving servers get no new requests.
	Leaving bool
	// Reloading is true while the server loads weights or is about to; it then
	// accepts no requests.
	Reloading bool
	// Slowdown is the factor by which an engine's passes take longer than its
	// published figures; 0 if unknown.
	Slowdown float64
	// Unreachable is true while the agent next to the server cannot reach it.
	Unreachable bool
	// Evacuated is true while nothing may be sent to the servers of its zone.
	Evacuated bool
	// ColdUntil is until when the server bears fewer requests; zero if it is not cold.
	ColdUntil time.Time
}

// isAvailable reports whether a model engine can serve requests.
func (s Server) isAvailable() bool {
	return !s.Leaving && !s.Reloading && !s.Unreachable && !s.Evacuated && s.LoadedVersion != 0
}

// Load is the work of one entry at one server.
type Load struct {
	Server           fleet.InstanceID `cbor:"1,keyasint"`
	enginemodel.Work `cbor:"2,keyasint"`
}

// Request describes a request to be placed.
type Request struct {
	Service fleet.ServiceName
	// Engine is the profile of the service's model engines; nil for a plain
	// service.
	Engine *enginemodel.Profile
	// PromptTokens and OutputTokens are the token counts of the request; 0 for a
	// plain service.
	PromptTokens, OutputTokens int
	// ExpectedTokens is the caller's estimate of the length of the response; 0 if
	// unknown.
	ExpectedTokens int
	// TargetLatency is the shortest target latency of all routes to the service.
	TargetLatency time.Duration
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// Late is true for a request that can no longer meet its target latency: it is
	// a retry after a refusal, has waited at this entry, or was lost by a server.
	Late bool
	// MaxPause is the longest acceptable time to the next event of a stream that
	// resumes at another server, or to the first event of a request that has waited at
	// the entry and is to be on time; 0 for others.
	MaxPause time.Duration
	// Exclude lists the servers to which the request was sent before.
	Exclude []fleet.InstanceID
	// Suspect is true for a request that was in flight at a server when it crashed,
	// and may have caused the crash.
	Suspect bool
	// Versions returns whether an engine with this version of the weights may
	// answer and, if the version is outdated, for how long; nil allows all
	// versions.
	Versions func(ModelVersion) (Eligibility, time.Duration)
	// MaxSilence is how much later than it arrives a healthy engine may read the
	// request.
	MaxSilence time.Duration
	// EntryPlace is the location of this entry.
	EntryPlace fleet.Place
	// AllowedRegions are the regions in which the request may be served.
	AllowedRegions residency.Regions
	// Limits are those of the request's level.
	Limits priority.Limits
}

// Eligibility is whether an engine may serve a request, given its loaded version.
type Eligibility uint8

const (
	// Ineligible: it may not.
	Ineligible Eligibility = iota
	// EligibleOutdated: only if no engine with the wanted version is as good, and
	// only if the whole response is expected within the time left for the outdated
	// version.
	EligibleOutdated
	// Eligible: without restriction.
	Eligible
)

// Balancer assigns requests to the servers of all services.
type Balancer struct {
	mu       sync.Mutex
	rand     Rand
	disabled policy.Disabled
	services map[fleet.ServiceName]*serverGroup
	servers  map[fleet.InstanceID]*serverState
	// statements has an entry for each server that has stated something.
	statements map[fleet.InstanceID]*statements
	// cold has an entry for each cold server, and for those to which requests were sent
	// while they were cold a moment ago.
	cold    map[fleet.InstanceID]*coldState
	remote  *remoteLoads
	regions *regionLoads
	// self and place identify and locate this entry; empty before SetSelf.
	self  fleet.InstanceID
	place fleet.Place
	// revision counts the changes of this entry's own loads. removed holds, for
	// each server that left the list with own requests, the revision at which it
	// did.
	revision uint64
	removed  map[fleet.InstanceID]uint64
}

// serverGroup is the set of servers of one service.
type serverGroup struct {
	states []*serverState
	// failureRate is the moving average of the share of failed responses. duration
	// is the moving average of the duration of a request of a plain service.
	failureRate float64
	duration    time.Duration
}

// serverState is a server with its load and its health.
type serverState struct {
	Server
	group *serverGroup
	own   map[*Assignment]struct{}
	// suspects is the number of own requests that are suspect.
	suspects       int
	revision       uint64    // of the last change of own
	availableSince time.Time // when it became available
	health         health
	// statements is what the server has stated; nil if nothing.
	statements *statements
	// limit is this entry's share of the server's rate limit; nil if the server has
	// none.
	limit *tokenBucket
	// cold is this entry's use of the server while it is cold; nil if it has no quota.
	cold *coldState
	// rank is the position of the server, from 0, in this entry's order of
	// preference among the servers of the service: by distance, then by hash.
	rank     int
	distance fleet.Distance
	hash     uint64
}

// New returns a Balancer without servers.
func New(r Rand, disabled policy.Disabled) *Balancer {
	return &Balancer{
		rand:       r,
		disabled:   disabled,
		services:   make(map[fleet.ServiceName]*serverGroup),
		servers:    make(map[fleet.InstanceID]*serverState),
		statements: make(map[fleet.InstanceID]*statements),
		cold:       make(map[fleet.InstanceID]*coldState),
		remote:     newRemoteLoads(newFreedSlots(r, disabled.LeaveFreed)),
		regions:    newRegionLoads(),
		removed:    make(map[fleet.InstanceID]uint64),
	}
}

// SetServers replaces the list of servers. Servers that remain keep their load, their
// health and what they have stated. Requests at a server that is no longer listed continue.
//
// The state of a server that restarted under the same ID is reset. The requests of
// its predecessor end only when their connections are found to be dead, so with
// their load counted the restarted server would stay idle for seconds, and with the
// old failures counted it would stay ejected.
func (b *Balancer) SetServers(now time.Time, list []Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range b.services {
		g.states = g.states[:0]
	}
	kept := make(map[fleet.InstanceID]*serverState, len(list))
	for _, s := range list {
		g := b.services[s.Service]
		if g == nil {
			g = &serverGroup{duration: initialDuration}
			b.services[s.Service] = g
		}
		st := b.servers[s.ID]
		switch {
		case st == nil:
			st = b.newState(s.ID)
		case s.Born.Replaces(st.Born):
			delete(b.statements, s.ID)
			st = b.newState(s.ID)
			b.remote.removeServer(s.ID)
			b.markChanged(st)
		}
		st.statements = b.statements[s.ID]
		st.updateCold(now, s.ColdUntil, b.cold[s.ID])
		s.Leaving = s.Leaving || b.statesLeaving(s.ID)
		if s.isAvailable() && !st.isAvailable() {
			st.availableSince = now
			b.remote.freed.remove(s.ID)
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
		b.remote.freed.remove(id)
		if len(st.own) > 0 {
			b.revision++
			b.removed[id] = b.revision
		}
	}
	for id := range kept {
		delete(b.removed, id)
	}
	b.servers = kept
	b.retainStatements(now)
	b.regions.recount(now, kept)
}

// HasAvailableEngine reports whether any model engine of a service can serve
// requests.
func (b *Balancer) HasAvailableEngine(service fleet.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.services[service]
	return g != nil && slices.ContainsFunc(g.states, func(st *serverState) bool { return st.isAvailable() })
}

// IsLeaving reports whether a server is leaving or is no longer listed.
func (b *Balancer) IsLeaving(id fleet.InstanceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.servers[id]
	return st == nil || st.Leaving
}

func (b *Balancer) newState(id fleet.InstanceID) *serverState {
	return &serverState{own: make(map[*Assignment]struct{}), hash: fleet.RendezvousRank(b.self, id)}
}

// UpdateEntryLoads records a report of another entry, with the servers at which its
// load has changed. Loads that it reported before remain valid as long as its
// reports keep arriving.
func (b *Balancer) UpdateEntryLoads(now time.Time, entry fleet.InstanceID, changed []Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remote.update(now, entry, changed)
}

// RemoveEntry removes the loads reported by an entry that has gone.
func (b *Balancer) RemoveEntry(entry fleet.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remote.remove(entry)
}

// Loads returns the load of this entry at each server at which it has work, ordered
// by server.
func (b *Balancer) Loads() []Load {
	loads, _ := b.LoadsSince(0)
	return loads
}

// LoadsSince returns the loads that have changed since an earlier call that
// returned this revision, and the revision to pass to the next call. With revision
// 0 it returns the loads of all servers with work.
func (b *Balancer) LoadsSince(revision uint64) ([]Load, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []Load
	for id, st := range b.servers {
		if revision == 0 && len(st.own) > 0 || revision != 0 && st.revision > revision {
			loads = append(loads, Load{Server: id, Work: st.ownWork()})
		}
	}
	loads = append(loads, b.removedSince(revision)...)
	slices.SortFunc(loads, func(x, y Load) int { return cmp.Compare(x.Server, y.Server) })
	return loads, b.revision
}

// HasChangedSince reports whether any own load has changed since the call of
// LoadsSince that returned this revision.
func (b *Balancer) HasChangedSince(revision uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revision > revision
}

// removedSince returns an empty load for each server that has left the list since
// the revision.
func (b *Balancer) removedSince(revision uint64) []Load {
	var loads []Load
	for id, removedAt := range b.removed {
		if removedAt > revision && revision != 0 {
			loads = append(loads, Load{Server: id})
		}
	}
	return loads
}

// markChanged records that the own load at a server has changed.
func (b *Balancer) markChanged(st *serverState) {
	b.revision++
	st.revision = b.revision
}

func (st *serverState) ownWork() enginemodel.Work {
	var w enginemodel.Work
	for a := range st.own {
		w.Running++
		w.Context += a.promptTokens + a.received
		if !a.started {
			w.PendingPrefill += a.promptTokens
		}
	}
	return w
}

// work returns all known work at a server. The load reported by an entry expires
// after loadTTL: if the entry was killed, its requests ended with it.
//
// All entries discover an engine that has just become ready at the same moment, and
// while other engines are full they send all waiting requests there: with four
// entries it received four times its capacity before the load reports arrived.
// Until reportDelay has passed, each entry therefore assumes that the others place
// as many requests there as it does itself.
func (b *Balancer) work(now time.Time, st *serverState) enginemodel.Work {
	own := st.ownWork()
	if b.disabled.HearLoads {
		return own
	}
	b.remote.expire(now)
	all := own.Add(b.remote.at(now, st.ID)).Add(b.regions.shares[st.regionKey()])
	assumed := own.Times(1 + b.remote.current)
	if now.Sub(st.availableSince) < reportDelay && !b.disabled.AssumeAlike && assumed.Running > all.Running {
		return assumed
	}
	return all
}
