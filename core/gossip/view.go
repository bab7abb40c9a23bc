package gossip

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// Peer is what is known of one other process. A listed process of which no
// record has been received has a Record with the fields of the list only: no
// Incarnation, no State.
type Peer struct {
	Record
	// Silent: no new record has arrived within the time limit, or ever.
	Silent bool
	// Listed: the process is on the platform's most recent list.
	Listed bool
	// ListedLeaving: the list marks the process as leaving.
	ListedLeaving bool
	// Outdated: a neighbour holds a newer state of the process than this
	// Record.
	Outdated bool
	// FirstSeen is when the process was first listed or a record of it
	// received.
	FirstSeen time.Time
	// LastUpdate is when a newer record was last received; zero if never.
	LastUpdate time.Time
}

// IsLeaving reports whether the process is leaving, according to its own record
// or the platform's list.
func (p Peer) IsLeaving() bool { return p.Leaving || p.ListedLeaving }

type serviceZone struct {
	service fleet.ServiceName
	zone    fleet.Zone
}

// peerIndex holds the order of a view's peers and the indexes over them. It
// changes only when processes join, leave or change their identity, so that
// views share it.
type peerIndex struct {
	entries       []*entry // used by the table only
	byID          map[fleet.InstanceID]int
	byService     map[fleet.ServiceName][]int
	byServiceZone map[serviceZone][]int
}

// View is an immutable snapshot of a Table, safe for any goroutine.
type View struct {
	// At is the time of the snapshot.
	At time.Time
	// Self is the process's own record.
	Self Record
	// Peers are all other known processes, sorted by id.
	Peers []Peer

	index *peerIndex
}

// View returns a snapshot of the table.
func (t *Table) View(now time.Time) *View {
	t.advanceClock(now)
	if t.peerIndex == nil {
		t.peerIndex = t.newPeerIndex()
	}
	v := &View{At: now, Self: t.self.rec, Peers: make([]Peer, len(t.peerIndex.entries)), index: t.peerIndex}
	behind := t.outdated()
	for i, e := range t.peerIndex.entries {
		v.Peers[i] = t.peer(e, now, behind[e])
	}
	return v
}

func (t *Table) newPeerIndex() *peerIndex {
	r := &peerIndex{
		byID:          make(map[fleet.InstanceID]int, len(t.entries)),
		byService:     map[fleet.ServiceName][]int{},
		byServiceZone: map[serviceZone][]int{},
	}
	for _, e := range t.entries {
		if e.hasRecord || e.listed {
			r.entries = append(r.entries, e)
		}
	}
	slices.SortFunc(r.entries, func(a, b *entry) int { return cmp.Compare(a.id, b.id) })
	for i, e := range r.entries {
		r.byID[e.id] = i
		service := e.service()
		if service == "" {
			continue
		}
		key := serviceZone{service: service, zone: e.zone()}
		r.byService[service] = append(r.byService[service], i)
		r.byServiceZone[key] = append(r.byServiceZone[key], i)
	}
	return r
}

func (e *entry) service() fleet.ServiceName {
	if e.hasRecord {
		return e.rec.Service
	}
	return e.instance.Service
}

// outdated returns the entries of which a neighbour holds a newer state.
func (t *Table) outdated() map[*entry]bool {
	found := map[*entry]bool{}
	for _, l := range t.links {
		for e := range l.pending {
			if e.rec.version().olderState(l.known[e]) {
				found[e] = true
			}
		}
	}
	return found
}

func (t *Table) peer(e *entry, now time.Time, behind bool) Peer {
	p := Peer{
		Record:        e.rec,
		Silent:        t.silent(e, now),
		Listed:        e.listed,
		ListedLeaving: e.listed && e.instance.Leaving,
		Outdated:      behind,
		FirstSeen:     e.firstSeen,
		LastUpdate:    e.lastUpdate,
	}
	if !e.hasRecord {
		p.Role = e.instance.Role
		p.Service = e.instance.Service
		p.Place = e.instance.Place
		p.PeerAddr = e.instance.PeerAddr
		p.CallerAddr = e.instance.CallerAddr
	}
	return p
}

// Peer returns what is known of a process.
func (v *View) Peer(id fleet.InstanceID) (Peer, bool) {
	i, ok := v.index.byID[id]
	if !ok {
		return Peer{}, false
	}
	return v.Peers[i], true
}

// Service returns the other replicas of a service, sorted by id.
func (v *View) Service(name fleet.ServiceName) []Peer {
	return v.peersAt(v.index.byService[name])
}

// ServiceZone returns the other replicas of a service in one availability
// zone, sorted by id.
func (v *View) ServiceZone(name fleet.ServiceName, zone fleet.Zone) []Peer {
	return v.peersAt(v.index.byServiceZone[serviceZone{service: name, zone: zone}])
}

func (v *View) peersAt(positions []int) []Peer {
	peers := make([]Peer, len(positions))
	for i, place := range positions {
		peers[i] = v.Peers[place]
	}
	return peers
}
