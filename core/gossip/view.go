package gossip

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// Peer is what is known of one other process. A listed process that was never
// heard has a Record with the list's fields only: no Incarnation, no State.
type Peer struct {
	Record
	// Silent: nothing was heard for too long, or never.
	Silent bool
	// Listed: the platform's last list names it.
	Listed bool
	// ListedLeaving: the list announces its end.
	ListedLeaving bool
	// Behind: somebody holds a newer state of it than this Record.
	Behind bool
	// LastHeard is when something new was heard last; zero if never.
	LastHeard time.Time
}

// Going reports whether the process is leaving, by its own word or the list's.
func (p Peer) Going() bool { return p.Leaving || p.ListedLeaving }

type serviceZone struct {
	service fleet.ServiceName
	zone    fleet.Zone
}

// View is an immutable snapshot of a Table, safe for any goroutine.
type View struct {
	// At is when the snapshot was taken.
	At time.Time
	// Self is the process's own record.
	Self Record
	// Peers are all other known processes, sorted by id.
	Peers []Peer

	byID          map[fleet.InstanceID]int
	byService     map[fleet.ServiceName][]Peer
	byServiceZone map[serviceZone][]Peer
}

// View returns a snapshot of what is known now.
func (t *Table) View(now time.Time) *View {
	t.observe(now)
	v := &View{
		At:            now,
		Self:          t.self.rec,
		Peers:         make([]Peer, 0, len(t.entries)),
		byID:          make(map[fleet.InstanceID]int, len(t.entries)),
		byService:     map[fleet.ServiceName][]Peer{},
		byServiceZone: map[serviceZone][]Peer{},
	}
	behind := t.behind()
	for _, e := range t.entries {
		if e.heard || e.listed {
			v.Peers = append(v.Peers, t.peer(e, now, behind[e]))
		}
	}
	v.index()
	return v
}

// behind returns the entries of which some neighbour holds a newer state.
func (t *Table) behind() map[*entry]bool {
	found := map[*entry]bool{}
	for _, l := range t.links {
		for e, m := range l.known {
			if e.rec.mark().olderState(m) {
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
		Behind:        behind,
		LastHeard:     e.lastHeard,
	}
	if !e.heard {
		p.Role = e.instance.Role
		p.Service = e.instance.Service
		p.Place = e.instance.Place
		p.PeerAddr = e.instance.PeerAddr
		p.CallerAddr = e.instance.CallerAddr
	}
	return p
}

func (v *View) index() {
	slices.SortFunc(v.Peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for i, p := range v.Peers {
		v.byID[p.ID] = i
		if p.Service == "" {
			continue
		}
		v.byService[p.Service] = append(v.byService[p.Service], p)
		key := serviceZone{service: p.Service, zone: p.Zone}
		v.byServiceZone[key] = append(v.byServiceZone[key], p)
	}
}

// Peer returns what is known of a process.
func (v *View) Peer(id fleet.InstanceID) (Peer, bool) {
	i, ok := v.byID[id]
	if !ok {
		return Peer{}, false
	}
	return v.Peers[i], true
}

// Service returns the other replicas of a service, sorted by id. The caller
// must not change the slice.
func (v *View) Service(name fleet.ServiceName) []Peer {
	return v.byService[name]
}

// ServiceZone returns the other replicas of a service in one availability
// zone, sorted by id. The caller must not change the slice.
func (v *View) ServiceZone(name fleet.ServiceName, zone fleet.Zone) []Peer {
	return v.byServiceZone[serviceZone{service: name, zone: zone}]
}
