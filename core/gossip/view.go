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
	// FirstSeen is when it was first listed or heard.
	FirstSeen time.Time
	// LastHeard is when something new was heard last; zero if never.
	LastHeard time.Time
}

// Going reports whether the process is leaving, by its own word or the list's.
func (p Peer) Going() bool { return p.Leaving || p.ListedLeaving }

type serviceZone struct {
	service fleet.ServiceName
	zone    fleet.Zone
}

// roster is the order of a view's peers and its indexes. It changes only when
// processes come, go or change their identity, so views share it.
type roster struct {
	entries       []*entry // read by the table only
	byID          map[fleet.InstanceID]int
	byService     map[fleet.ServiceName][]int
	byServiceZone map[serviceZone][]int
}

// View is an immutable snapshot of a Table, safe for any goroutine.
type View struct {
	// At is when the snapshot was taken.
	At time.Time
	// Self is the process's own record.
	Self Record
	// Peers are all other known processes, sorted by id.
	Peers []Peer

	roster *roster
}

// View returns a snapshot of what is known now.
func (t *Table) View(now time.Time) *View {
	t.observe(now)
	if t.roster == nil {
		t.roster = t.newRoster()
	}
	v := &View{At: now, Self: t.self.rec, Peers: make([]Peer, len(t.roster.entries)), roster: t.roster}
	behind := t.behind()
	for i, e := range t.roster.entries {
		v.Peers[i] = t.peer(e, now, behind[e])
	}
	return v
}

func (t *Table) newRoster() *roster {
	r := &roster{
		byID:          make(map[fleet.InstanceID]int, len(t.entries)),
		byService:     map[fleet.ServiceName][]int{},
		byServiceZone: map[serviceZone][]int{},
	}
	for _, e := range t.entries {
		if e.heard || e.listed {
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
	if e.heard {
		return e.rec.Service
	}
	return e.instance.Service
}

// behind returns the entries of which some neighbour holds a newer state.
func (t *Table) behind() map[*entry]bool {
	found := map[*entry]bool{}
	for _, l := range t.links {
		for e := range l.pending {
			if e.rec.mark().olderState(l.known[e]) {
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
		FirstSeen:     e.firstSeen,
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

// Peer returns what is known of a process.
func (v *View) Peer(id fleet.InstanceID) (Peer, bool) {
	i, ok := v.roster.byID[id]
	if !ok {
		return Peer{}, false
	}
	return v.Peers[i], true
}

// Service returns the other replicas of a service, sorted by id.
func (v *View) Service(name fleet.ServiceName) []Peer {
	return v.pick(v.roster.byService[name])
}

// ServiceZone returns the other replicas of a service in one availability
// zone, sorted by id.
func (v *View) ServiceZone(name fleet.ServiceName, zone fleet.Zone) []Peer {
	return v.pick(v.roster.byServiceZone[serviceZone{service: name, zone: zone}])
}

func (v *View) pick(places []int) []Peer {
	peers := make([]Peer, len(places))
	for i, place := range places {
		peers[i] = v.Peers[place]
	}
	return peers
}
