// Package mesh links the processes of a fleet that has no list of its own instances:
// entries discover each other through a few seeds and through each other, and agents
// discover entries in the same way.
//
// An entry has the links that core/linking plans, an agent has a few. Both sides of a
// link send a heartbeat several times a second. An entry learns about entries without a
// link to it from the digests of others. The state is soft: it is learned again within
// a second after any number of processes failed.
package mesh

import (
	"context"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

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
	// heartbeatInterval is the pause between two complete heartbeats to an entry,
	// unless their content has changed. livenessInterval is the longest pause between
	// any two heartbeats to an entry of the same group.
	heartbeatInterval = 500 * time.Millisecond
	livenessInterval  = 200 * time.Millisecond
	// briefPausePerLink, times the number of linked entries, is the pause between two
	// brief heartbeats, within minBriefPause and maxBriefPause: the traffic of an entry
	// does not grow with the number of its links. Brief heartbeats carry the loads on
	// which placement is based.
	briefPausePerLink = 5 * time.Millisecond
	minBriefPause     = 20 * time.Millisecond
	maxBriefPause     = 400 * time.Millisecond
	// otherRegionFactor is the factor by which the pause to an entry of another region
	// is longer. Most requests of that entry go to servers of its own region.
	otherRegionFactor = 4
	// minChangePause is the minimum pause between two heartbeats that report at once
	// that an entry is new, is leaving or was lost.
	minChangePause = 100 * time.Millisecond
	// agentHeartbeatInterval is the pause between two heartbeats on a link with an
	// agent.
	agentHeartbeatInterval = 400 * time.Millisecond
	// silenceTimeout is the time without a heartbeat after which a process counts as
	// silent: several heartbeats, and less than callers wait for a connection.
	silenceTimeout = 900 * time.Millisecond
	// linkTimeout is the time after which a silent link is closed and dialled again. A
	// connection can go silent permanently while new ones work.
	linkTimeout = 1200 * time.Millisecond
	// otherGroupLinkTimeout is the same for a link between groups. Such a link shares
	// the network between regions with weights. If links were closed while that
	// network is full, dialling them again would fill it even more.
	otherGroupLinkTimeout = 2500 * time.Millisecond
	// digestLifetime is how long a digest keeps an entry live: until the loss of a
	// bridge was detected and another bridge has reported.
	digestLifetime = 4 * time.Second
	// introductionPeriod is how long after a new link an entry reports to another entry
	// of its group which entries it has contact with.
	introductionPeriod = 5 * time.Second
	// planInterval is the pause between two plans of the links, unless an entry is new.
	// unplannedLinkLifetime is how long a link is kept that is not planned, and
	// dialFallbackDelay the delay after which the higher ID dials as well: two entries
	// may see different fleets for a while.
	planInterval          = 200 * time.Millisecond
	unplannedLinkLifetime = 3 * time.Second
	dialFallbackDelay     = 300 * time.Millisecond
	// minRedialPause doubles up to maxRedialPause while an address does not respond.
	minRedialPause = 150 * time.Millisecond
	maxRedialPause = 1500 * time.Millisecond
	maxDoublings   = 4 // enough to reach maxRedialPause
	// agentLinks is the number of entries that an agent has links with, so that one
	// link remains when an entry fails.
	agentLinks = 2
	// contactLifetime is the time after which a silent entry is no longer dialled,
	// unless it is a seed.
	contactLifetime = 30 * time.Second
	// maxSeenAgo bounds the SeenAgo of an entry that was not seen since the process was
	// paused, or never.
	maxSeenAgo = time.Hour
	// sendQueueLen bounds the heartbeats that wait for a slow link. The next heartbeat
	// contains all that was left out.
	sendQueueLen = 1
	// maxContacts bounds the contacts that are only known from others, and the digests of
	// one heartbeat: more than twice the entries of the largest fleet, which has 410.
	maxContacts = 1024
	// maxDigestItems bounds the entries and loads of the digests that are kept of a link.
	// In the largest fleet, 13 groups report some 60 entries each, twice.
	maxDigestItems = 8192
	// maxNameBytes bounds the names of zones, regions and groups.
	maxNameBytes = 256
	// refusalLogInterval is the minimum pause between two lines about refused heartbeats.
	refusalLogInterval = time.Second
	// linkLogsPerSecond and linkLogBurst bound the lines about links that others dialled,
	// since one process may open and close any number. The links of the largest fleet's
	// first entries at its start exceed the burst; those lines are left out.
	linkLogsPerSecond = 5
	linkLogBurst      = 200
	// crossedDialWindow is the time within which two links between the same processes
	// count as dialled simultaneously.
	crossedDialWindow = 300 * time.Millisecond
)

// Options configures a Mesh. All fields are required, except GroupLoads for agents.
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
	// Compose returns the heartbeat to send to a peer. It runs on the control loop.
	Compose func(now time.Time, to Peer, form Form) wire.Heartbeat
	// GroupLoads returns the total loads of the entries of this entry's group. Agents
	// do not need it.
	GroupLoads func(now time.Time) []placement.RegionLoad
	// HasChanges reports whether a brief heartbeat is to be sent to an entry.
	HasChanges func(to fleet.InstanceID) bool
	// OnHeartbeat processes a heartbeat. It runs on the control loop.
	OnHeartbeat func(now time.Time, from Peer, b wire.Heartbeat)
	// OnLost is called when a process has no link any more. It runs on the control loop.
	OnLost func(now time.Time, id fleet.InstanceID)
	// ThrottleOtherRegions sends brief heartbeats to entries of other regions less
	// often.
	ThrottleOtherRegions bool
}

// Peer is the receiver or sender of a heartbeat.
type Peer struct {
	ID   fleet.InstanceID
	Role fleet.Role
	// SameGroup is true for entries of the same group, which send each other all
	// changes.
	SameGroup bool
	// Region is empty until a heartbeat was received.
	Region fleet.Region
	// AsOf is the revision up to which an entry knew the servers at its last heartbeat.
	AsOf catalog.Revision
}

// Form is the form of a heartbeat.
type Form uint8

const (
	// Complete heartbeats contain everything.
	Complete Form = iota
	// First heartbeats are complete ones on a new link.
	First
	// Brief heartbeats contain changed loads and the revision of the active
	// configuration.
	Brief
)

// Entry is what is known of another entry.
type Entry struct {
	ID         fleet.InstanceID
	Place      fleet.Place
	CallerAddr netip.AddrPort
	Ready      bool
	Leaving    bool
	// ReachesPlatform is true while the platform responds to the entry or to one that
	// reads it for the entry. PlatformUnresponsive is true while the platform does not
	// respond to the entry.
	ReachesPlatform      bool
	PlatformUnresponsive bool
	// Silent is true while nothing is received from or about the entry.
	Silent bool
	// SeenAgo is the time since the entry was last known to be alive, at most maxSeenAgo.
	SeenAgo time.Duration
	// SameGroup is true if the entry is in the same group.
	SameGroup bool
}

// Mesh holds the links of a process. Only the control loop may call its methods, except
// for Serve.
type Mesh struct {
	opts       Options
	ctx        context.Context
	addr       netip.Addr // address of this process
	contacts   map[netip.Addr]*contact
	links      map[fleet.InstanceID]*link
	plan       linking.Plan
	nextPlanAt time.Time // when the next plan is due
	// notifyOtherGroups is true while entries of other groups, notifyGroup while those
	// of the same group are to be sent changes of entries at once. nextNotifyAt is when
	// that may happen.
	notifyOtherGroups, notifyGroup bool
	nextNotifyAt                   time.Time
	nextRefusalLogAt               time.Time
	// linkLogs limits the lines about links that others dialled.
	linkLogs *rate.Limiter
}

// New returns a mesh that dials its links from the next Tick on. It ends with ctx.
func New(ctx context.Context, now time.Time, opts Options) *Mesh {
	m := &Mesh{
		opts:     opts,
		ctx:      ctx,
		addr:     addrOf(opts.Self),
		contacts: make(map[netip.Addr]*contact),
		links:    make(map[fleet.InstanceID]*link),
		linkLogs: rate.NewLimiter(linkLogsPerSecond, linkLogBurst),
	}
	for _, seed := range opts.Seeds {
		m.contact(now, seed).seed = true
	}
	return m
}

// IDOf returns the ID of the process on an instance. The platform does not list the
// processes of this system, so the ID is the IP address, which is known to all.
func IDOf(addr netip.Addr) fleet.InstanceID { return fleet.InstanceID(addr.String()) }

// SetSeeds adds the seeds of the current settings to the earlier ones.
func (m *Mesh) SetSeeds(now time.Time, seeds []netip.Addr) {
	for _, seed := range seeds {
		m.contact(now, seed).seed = true
	}
}

// ResetAfterPause closes every link and considers every entry silent after a pause of
// the process: the peers have closed the links in the meantime.
func (m *Mesh) ResetAfterPause(now time.Time) {
	for _, c := range m.contacts {
		c.lastHeartbeatAt, c.reportedAt = time.Time{}, time.Time{}
		c.retryAt = now
	}
	for _, l := range m.links {
		m.removeLink(now, l, "paused")
	}
}

// Group returns the name of the group of entries that this entry belongs to.
func (m *Mesh) Group() string { return m.plan.Group }

// PeerAddr returns the address on which the process on an instance listens for peers.
func (m *Mesh) PeerAddr(addr netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(addr, m.opts.PeerPort)
}

// Tick sends heartbeats and dials. It is called by the control loop.
func (m *Mesh) Tick(now time.Time) {
	m.dropSilentLinks(now)
	if m.opts.Role == fleet.RoleEntry {
		m.planLinks(now)
		m.dialPlanned(now)
	} else {
		m.dialEntries(now)
	}
	m.sendEntryChanges(now)
	for _, l := range m.links {
		m.sendDue(now, l)
	}
}

func (m *Mesh) post(f func(now time.Time)) {
	m.opts.Loop.Post(m.ctx, control.Func(f))
}

// Serve serves a stream of peer.KindGossip that another process opened. It returns when
// the stream ends.
func (m *Mesh) Serve(ctx context.Context, from keys.Identity, s *peer.Stream) {
	l := newLink(from.ID, from.Role, from.ID, s)
	m.post(func(now time.Time) { m.addLink(now, l) })
	select {
	case <-ctx.Done():
	case <-l.closed:
	}
}
