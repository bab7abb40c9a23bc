// Package mesh links the processes of a fleet that has no list of its own
// instances: entries find each other through a few seeds and through each
// other, agents find entries in the same way.
//
// An entry holds the links that core/linking plans, an agent a few. Over each
// link both sides send a Beat several times a second. Of entries that it holds
// no link with, an entry hears by the digests of others. What is known is soft:
// it is learned again within a second after any number of processes were lost.
package mesh

import (
	"context"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/linking"
	"chivespindle.example/core/placement"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/wire"
)

const (
	// beatEvery is the pause between two whole beats to an entry, unless what
	// they tell has changed; liveEvery is the longest pause between any two to one
	// of the own group.
	beatEvery = 500 * time.Millisecond
	liveEvery = 200 * time.Millisecond
	// briefEvery is the pause between two brief beats for each entry that one is
	// linked to, within briefMin and briefMax: what an entry sends does not grow
	// with its links. Brief beats tell of the loads that placement is based on.
	briefEvery = 5 * time.Millisecond
	briefMin   = 20 * time.Millisecond
	briefMax   = 400 * time.Millisecond
	// farTimes is how many times longer the pause to an entry of another region
	// is. Most of its requests go to servers of its own.
	farTimes = 4
	// newsEvery is the least pause between two beats that pass on at once that an
	// entry came, leaves or went.
	newsEvery = 100 * time.Millisecond
	// agentBeatEvery is the pause between two beats on a link with an agent.
	agentBeatEvery = 400 * time.Millisecond
	// silentAfter is how long a link may bring nothing until its process counts
	// as silent: several beats, and less than callers wait for a connection.
	silentAfter = 900 * time.Millisecond
	// deadAfter is when a silent link is given up and dialled anew. A connection
	// can go silent for good while new ones work.
	deadAfter = 1200 * time.Millisecond
	// farDeadAfter is the same for a link between groups. It shares the link
	// between regions with weights; given up while that was full, links were
	// dialled anew and filled it more.
	farDeadAfter = 2500 * time.Millisecond
	// digestLife is how long an entry counts as there that a digest told of: until
	// a lost bridge has been found silent and another has told.
	digestLife = 4 * time.Second
	// introduceFor is how long an entry tells another of its group whom it hears,
	// from the moment on at which they are linked.
	introduceFor = 5 * time.Second
	// planEvery is the pause between two plans of the links, unless an entry is
	// new. unwantedFor is how
	// long a link is kept that the plan lacks, and dialAnyway after how long the
	// greater id dials as well: two entries may see different fleets for a while.
	planEvery   = 200 * time.Millisecond
	unwantedFor = 3 * time.Second
	dialAnyway  = 300 * time.Millisecond
	// redialMin doubles up to redialMax while an address does not answer.
	redialMin    = 150 * time.Millisecond
	redialMax    = 1500 * time.Millisecond
	maxDoublings = 4 // enough to reach redialMax
	// agentLinks is the number of entries that an agent is linked to, so that
	// one that is lost leaves another.
	agentLinks = 2
	// forgetAfter is when an entry that stays silent is dialled no more, unless
	// it is a seed.
	forgetAfter = 30 * time.Second
	// sendQueue bounds the beats that wait for a slow link; the next one holds
	// all that was left out.
	sendQueue = 1
	// crossedWithin is the time in which two links between the same processes
	// are taken for dialled at the same time.
	crossedWithin = 300 * time.Millisecond
)

// Options of a Mesh. All fields are needed.
type Options struct {
	Self  fleet.InstanceID
	Role  fleet.Role
	Place fleet.Place
	// PeerPort is the port of every process's QUIC listener.
	PeerPort uint16
	Seeds    []netip.Addr
	Loop     *control.Loop
	Endpoint *peer.Endpoint
	Logger   *zap.Logger
	Metrics  tally.Scope
	// Compose returns the beat for a peer, which is then sent. It runs on the
	// control loop.
	Compose func(now time.Time, to Peer, form Form) wire.Heartbeat
	// GroupLoads returns what the entries of the own group have together. Agents
	// need none.
	GroupLoads func(now time.Time) []placement.RegionLoad
	// HasChanges reports whether an entry is to be sent a brief beat.
	HasChanges func(to fleet.InstanceID) bool
	// OnHeartbeat takes a beat. It runs on the control loop.
	OnHeartbeat func(now time.Time, from Peer, b wire.Heartbeat)
	// OnLost tells that nothing is heard of a process any more. It runs on the
	// control loop.
	OnLost func(now time.Time, id fleet.InstanceID)
	// ThrottleOtherRegions has entries of other regions be sent brief beats less often.
	ThrottleOtherRegions bool
}

// Peer is whom a beat is for, or from.
type Peer struct {
	ID   fleet.InstanceID
	Role fleet.Role
	// SameGroup entries are of the own group; they tell each other everything.
	SameGroup bool
	// Region is that of a process that has been heard, or empty.
	Region fleet.Region
	// AsOf is up to which revision an entry knew the servers when it last told.
	AsOf catalog.Revision
}

// Form says what a beat holds.
type Form uint8

const (
	// Complete beats hold everything.
	Complete Form = iota
	// First beats are whole ones on a new link.
	First
	// Brief beats hold changed loads, and which configuration is in force.
	Brief
)

// Entry is what is known of another entry.
type Entry struct {
	ID         fleet.InstanceID
	Place      fleet.Place
	CallerAddr netip.AddrPort
	Ready      bool
	Leaving    bool
	// ReachesPlatform is true while the platform answers it or one that reads for it,
	// PlatformUnresponsive while the platform does not answer it.
	ReachesPlatform      bool
	PlatformUnresponsive bool
	// Silent is true while nothing is heard of it.
	Silent bool
	// SameGroup is true if it is of the own group.
	SameGroup bool
}

// Mesh holds the links of a process. All but Serve belongs to the control
// loop.
type Mesh struct {
	opts     Options
	ctx      context.Context
	addr     netip.Addr // that names this process
	contacts map[netip.Addr]*contact
	links    map[fleet.InstanceID]*link
	plan     linking.Plan
	planAt   time.Time // when the next one is due
	// newsFar is true while entries of other groups, newsNear while those of the
	// own are to hear at once of entries that changed; newsAt is when they may.
	newsFar, newsNear bool
	newsAt            time.Time
}

// New returns a mesh that links itself at the next Tick. It ends with ctx.
func New(ctx context.Context, now time.Time, opts Options) *Mesh {
	m := &Mesh{
		opts:     opts,
		ctx:      ctx,
		addr:     addrOf(opts.Self),
		contacts: make(map[netip.Addr]*contact),
		links:    make(map[fleet.InstanceID]*link),
	}
	for _, seed := range opts.Seeds {
		m.contact(now, seed).seed = true
	}
	return m
}

// IDOf names the process on an instance. The platform lists none of ours, so
// a process is named by its IP number, which is known wherever it is met.
func IDOf(addr netip.Addr) fleet.InstanceID { return fleet.InstanceID(addr.String()) }

// SetSeeds takes the seeds that the settings name now, beside those before.
func (m *Mesh) SetSeeds(now time.Time, seeds []netip.Addr) {
	for _, seed := range seeds {
		m.contact(now, seed).seed = true
	}
}

// ResetAfterPause drops every link and takes every entry for silent, after a pause of the
// process: the others have given the links up.
func (m *Mesh) ResetAfterPause(now time.Time) {
	for _, c := range m.contacts {
		c.heard, c.toldAt = time.Time{}, time.Time{}
		c.retryAt = now
	}
	for _, l := range m.links {
		m.down(now, l, "paused")
	}
}

// Group names the group of entries that this one belongs to.
func (m *Mesh) Group() string { return m.plan.Group }

// PeerAddr returns where the process on an instance listens for peers.
func (m *Mesh) PeerAddr(addr netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(addr, m.opts.PeerPort)
}

// Tick sends beats and dials. It is called by the control loop.
func (m *Mesh) Tick(now time.Time) {
	m.dropDead(now)
	if m.opts.Role == fleet.RoleEntry {
		m.planLinks(now)
		m.dialPlanned(now)
	} else {
		m.dialEntries(now)
	}
	m.tellNews(now)
	for _, l := range m.links {
		m.beat(now, l)
	}
}

func (m *Mesh) post(f func(now time.Time)) {
	m.opts.Loop.Post(m.ctx, control.Func(f))
}

// Serve serves a stream of peer.KindGossip that another process opened. It
// returns when the stream ends.
func (m *Mesh) Serve(ctx context.Context, from keys.Identity, s *peer.Stream) {
	l := newLink(from.ID, from.Role, from.ID, s)
	m.post(func(now time.Time) { m.up(now, l) })
	select {
	case <-ctx.Done():
	case <-l.closed:
	}
}
