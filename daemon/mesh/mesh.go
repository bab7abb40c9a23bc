// Package mesh links the processes of a fleet that has no list of its own
// instances: entries find each other through a few seeds and through each
// other, agents find entries in the same way.
//
// Entries are linked to all entries, an agent to a few. Over each link both
// sides send a Beat several times a second. What is known is soft: it is
// learned again within a second after any number of processes were lost.
package mesh

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/wire"
)

const (
	// beatEvery is the pause between two whole beats to an entry, unless what
	// they tell has changed; liveEvery is the longest pause between any two.
	beatEvery = 500 * time.Millisecond
	liveEvery = 200 * time.Millisecond
	// briefEvery is the pause between two brief beats for each entry that one is
	// linked to, within briefMin and briefMax. They tell of the loads that
	// placement is based on: told every 30 ms instead of every 100, four entries
	// before eight engines had 0.56 of an overload on time instead of 0.50 (the
	// replay in core/placement). An entry sends 200 a second in all.
	briefEvery = 5 * time.Millisecond
	briefMin   = 20 * time.Millisecond
	briefMax   = 400 * time.Millisecond
	// farTimes is how many times longer the pause to an entry of another region
	// is. Most of its requests go to servers of its own.
	farTimes = 4
	// farBeatEvery is the pause between two whole beats to such an entry.
	farBeatEvery = time.Second
	// agentBeatEvery is the pause between two beats on a link with an agent.
	agentBeatEvery = 400 * time.Millisecond
	// silentAfter is how long a link may bring nothing until its process counts
	// as silent: several beats, and less than callers wait for a connection.
	silentAfter = 900 * time.Millisecond
	// deadAfter is when a silent link is given up and dialled anew. A connection
	// can go silent for good while new ones work.
	deadAfter = 1200 * time.Millisecond
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
	// Compose returns the beat for a peer of this role, which is then sent. It
	// runs on the control loop.
	Compose func(now time.Time, to fleet.InstanceID, role fleet.Role, form Form) wire.Beat
	// HasNews reports whether an entry is to be sent a brief beat.
	HasNews func(to fleet.InstanceID) bool
	// Heard takes a beat. It runs on the control loop.
	Heard func(now time.Time, b wire.Beat)
	// Lost tells that nothing is heard of a process any more. It runs on the
	// control loop.
	Lost func(now time.Time, id fleet.InstanceID)
	// FarLess has entries of other regions be sent brief beats less often.
	FarLess bool
}

// Form says what a beat holds.
type Form uint8

const (
	// Whole beats hold everything.
	Whole Form = iota
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
	// Reaches is true while the platform answers it.
	Reaches bool
	// Silent is true while nothing is heard of it.
	Silent bool
}

// Mesh holds the links of a process. All but Serve belongs to the control
// loop.
type Mesh struct {
	opts     Options
	ctx      context.Context
	contacts map[netip.Addr]*contact
	links    map[fleet.InstanceID]*link
}

// contact is an entry that may be dialled.
type contact struct {
	addr    netip.Addr
	seed    bool
	dialing bool
	failed  int
	retryAt time.Time
	named   time.Time // when it was last heard of
	last    wire.Beat // zero until heard
	heard   time.Time
}

// New returns a mesh that links itself at the next Tick. It ends with ctx.
func New(ctx context.Context, now time.Time, opts Options) *Mesh {
	m := &Mesh{
		opts:     opts,
		ctx:      ctx,
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

func (m *Mesh) contact(now time.Time, addr netip.Addr) *contact {
	c := m.contacts[addr]
	if c == nil {
		c = &contact{addr: addr}
		m.contacts[addr] = c
	}
	c.named = now
	return c
}

// SetSeeds takes the seeds that the settings name now, beside those before.
func (m *Mesh) SetSeeds(now time.Time, seeds []netip.Addr) {
	for _, seed := range seeds {
		m.contact(now, seed).seed = true
	}
}

// Woke drops every link and takes every entry for silent, after a pause of the
// process: the others have given the links up.
func (m *Mesh) Woke(now time.Time) {
	for _, c := range m.contacts {
		c.heard = time.Time{}
		c.retryAt = now
	}
	for _, l := range m.links {
		m.down(now, l, "paused")
	}
}

// Learn takes the addresses of entries that others hear of.
func (m *Mesh) Learn(now time.Time, entries []netip.Addr) {
	for _, addr := range entries {
		if IDOf(addr) != m.opts.Self {
			m.contact(now, addr)
		}
	}
}

// Entries returns the other entries that were heard of, by id.
func (m *Mesh) Entries(now time.Time) []Entry {
	var all []Entry
	for _, c := range m.contacts {
		if c.last.ID == "" {
			continue
		}
		all = append(all, Entry{
			ID: c.last.ID, Place: c.last.Place, CallerAddr: c.last.CallerAddr,
			Ready: c.last.Ready, Leaving: c.last.Leaving, Reaches: c.last.Reaches, Silent: now.Sub(c.heard) > silentAfter,
		})
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Live returns the addresses of the entries that are heard now.
func (m *Mesh) Live(now time.Time) []netip.Addr {
	var live []netip.Addr
	for addr, c := range m.contacts {
		if c.last.ID != "" && now.Sub(c.heard) <= silentAfter {
			live = append(live, addr)
		}
	}
	slices.SortFunc(live, netip.Addr.Compare)
	return live
}

// Ahead returns a live entry whose last whole beat isAhead accepts, one of the
// own region if there is any, and whether it is; ok is false if there is none.
func (m *Mesh) Ahead(now time.Time, isAhead func(wire.Beat) bool) (addr netip.Addr, near, ok bool) {
	for a, c := range m.contacts {
		if c.last.ID == "" || now.Sub(c.heard) > silentAfter || !isAhead(c.last) {
			continue
		}
		if c.last.Place.Region == m.opts.Place.Region {
			return a, true, true
		}
		addr, ok = a, true
	}
	return addr, false, ok
}

// PeerAddr returns where the process on an instance listens for peers.
func (m *Mesh) PeerAddr(addr netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(addr, m.opts.PeerPort)
}

// Tick sends beats and dials. It is called by the control loop.
func (m *Mesh) Tick(now time.Time) {
	m.dropDead(now)
	m.dialDue(now)
	for _, l := range m.links {
		m.beat(now, l)
	}
}

// beat sends what is due on a link.
func (m *Mesh) beat(now time.Time, l *link) {
	betweenEntries := m.opts.Role == fleet.RoleEntry && l.role == fleet.RoleEntry
	every := agentBeatEvery
	if betweenEntries {
		every = m.wholePause(l.id)
	}
	switch {
	case now.Sub(l.beaten) >= every:
		m.send(now, l, Whole)
	case !betweenEntries:
	case now.Sub(l.briefed) >= liveEvery, now.Sub(l.briefed) >= m.briefPause(l.id) && m.opts.HasNews(l.id):
		m.send(now, l, Brief)
	}
}

// wholePause is the pause between two whole beats to an entry.
func (m *Mesh) wholePause(to fleet.InstanceID) time.Duration {
	if m.opts.FarLess && m.isFar(to) {
		return farBeatEvery
	}
	return beatEvery
}

// briefPause grows with the number of links, so that what an entry sends does
// not grow with the square of their number.
func (m *Mesh) briefPause(to fleet.InstanceID) time.Duration {
	pause := min(briefMax, max(briefMin, time.Duration(len(m.links))*briefEvery))
	if m.opts.FarLess && m.isFar(to) {
		pause = min(briefMax, farTimes*pause)
	}
	return pause
}

// isFar reports whether an entry is known to be in another region.
func (m *Mesh) isFar(id fleet.InstanceID) bool {
	addr, err := netip.ParseAddr(string(id))
	if err != nil {
		return false // its beats are refused with a line
	}
	c := m.contacts[addr]
	return c != nil && c.last.ID != "" && c.last.Place.Region != m.opts.Place.Region
}

// Flush sends a beat over every link at once, as after a change that others
// must hear of.
func (m *Mesh) Flush(now time.Time) {
	for _, l := range m.links {
		m.send(now, l, Whole)
	}
}

// FlushNear is Flush for the entries of the own region.
func (m *Mesh) FlushNear(now time.Time) {
	for _, l := range m.links {
		if l.role == fleet.RoleEntry && !m.isFar(l.id) {
			m.send(now, l, Whole)
		}
	}
}

// send composes and queues a beat, unless the link is still busy with the one
// before: what that one lacks comes with the next.
func (m *Mesh) send(now time.Time, l *link, form Form) {
	if len(l.out) == cap(l.out) {
		m.opts.Metrics.Counter("beats_left_out").Inc(1)
		return
	}
	l.briefed = now
	if form != Brief {
		l.beaten = now
	}
	l.out <- m.opts.Compose(now, l.id, l.role, form)
}

// dialDue dials what is missing: an entry those with a greater id, so that two
// entries have one link; an agent until it has enough.
func (m *Mesh) dialDue(now time.Time) {
	if m.opts.Role == fleet.RoleAgent && m.linked()+m.dialing() >= agentLinks {
		return
	}
	for _, c := range m.byNearness() {
		id := IDOf(c.addr)
		if c.dialing || m.links[id] != nil || now.Before(c.retryAt) || id == m.opts.Self {
			continue
		}
		if m.opts.Role == fleet.RoleEntry && id < m.opts.Self && !c.seed {
			continue
		}
		if !c.seed && now.Sub(c.named) > forgetAfter {
			delete(m.contacts, c.addr)
			continue
		}
		c.dialing = true
		go m.dial(c.addr)
		if m.opts.Role == fleet.RoleAgent && m.linked()+m.dialing() >= agentLinks {
			return
		}
	}
}

func (m *Mesh) linked() int { return len(m.links) }

func (m *Mesh) dialing() int {
	n := 0
	for _, c := range m.contacts {
		if c.dialing {
			n++
		}
	}
	return n
}

// byNearness orders the contacts: those of the own region first, then spread
// by hash, so that agents share the entries out evenly.
func (m *Mesh) byNearness() []*contact {
	all := make([]*contact, 0, len(m.contacts))
	for _, c := range m.contacts {
		all = append(all, c)
	}
	weight := func(c *contact) uint64 { return fleet.RankOf(m.opts.Self, IDOf(c.addr)) }
	far := func(c *contact) int {
		if c.last.ID != "" && c.last.Place.Region != m.opts.Place.Region || c.last.Leaving {
			return 1
		}
		return 0
	}
	slices.SortFunc(all, func(a, b *contact) int {
		if far(a) != far(b) {
			return far(a) - far(b)
		}
		return cmp.Compare(weight(b), weight(a))
	})
	return all
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
