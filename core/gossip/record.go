package gossip

import (
	"encoding/binary"
	"net/netip"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
)

// State is what a process reports that it is doing. An empty State marks a heartbeat
// or an ask.
type State string

const (
	// StateStarting: the process has not yet read what it needs to serve.
	StateStarting State = "starting"
	// StateFetching: chunks of the target are being fetched. What was served
	// before is still served.
	StateFetching State = "fetching"
	// StateStaged: all chunks of the target are verified and the process waits
	// for its turn. What was served before is still served.
	StateStaged State = "staged"
	// StateChanging: the replica is draining or its engine is loading; it is
	// out of service.
	StateChanging State = "changing"
	// StateServing: nothing is left to do.
	StateServing State = "serving"
)

// Record is what one process reports of itself. It has three kinds of fields:
// the identity, which stays for an incarnation; the state, whose changes raise
// Change; and the fast fields Beat, Revision and ConfigDigest.
//
// On the wire a Record may be short. A whole one has all fields; an update
// lacks the identity; a heartbeat has the counters and Revision only; an ask
// has the ID only.
type Record struct {
	ID fleet.InstanceID `cbor:"1,keyasint"`
	// Incarnation is the process's start time in Unix milliseconds: of two
	// processes under one id the newer has the higher number. 0 marks an ask.
	Incarnation uint64 `cbor:"2,keyasint,omitzero"`
	// Change counts the states of the slow fields.
	Change uint64 `cbor:"3,keyasint,omitzero"`
	// Beat counts heartbeats. It never falls within an incarnation.
	Beat uint64 `cbor:"4,keyasint,omitzero"`

	Role        fleet.Role        `cbor:"5,keyasint,omitzero"`
	Service     fleet.ServiceName `cbor:"6,keyasint,omitzero"`
	fleet.Place `cbor:"7,keyasint,omitzero"`
	PeerAddr    netip.AddrPort `cbor:"8,keyasint,omitzero"`
	CallerAddr  netip.AddrPort `cbor:"9,keyasint,omitzero"`
	// Leaving is true once the process has started its planned stop.
	Leaving bool  `cbor:"10,keyasint,omitzero"`
	State   State `cbor:"11,keyasint,omitzero"`
	// Serving is the version that requests are answered from; zero if none.
	Serving fleet.Version `cbor:"12,keyasint,omitzero"`
	// Target is the version that the text in force pins for the process.
	Target fleet.Version `cbor:"13,keyasint,omitzero"`
	// Turn is the replica's place in the order of a rollout, see package
	// rollout. It never falls: a new process starts with its Incarnation, which
	// lies above all that its predecessor has counted.
	Turn uint64 `cbor:"14,keyasint,omitzero"`

	// Revision is the state of the operator's text that the process follows.
	Revision revision.Revision `cbor:"15,keyasint,omitzero"`
	// ConfigDigest is the digest of that text.
	ConfigDigest fleet.Digest `cbor:"16,keyasint,omitzero"`
}

// RecordOf returns the identity of a process that starts.
func RecordOf(self fleet.Instance, incarnation uint64) Record {
	return Record{
		ID: self.ID, Incarnation: incarnation, Role: self.Role, Service: self.Service,
		Place: self.Place, PeerAddr: self.PeerAddr, CallerAddr: self.CallerAddr,
	}
}

// IsWhole reports whether r carries the identity.
func (r Record) IsWhole() bool { return r.Role != "" && r.State != "" }

// IsAsk reports whether the sender asks for the whole record of r.ID, which it
// does not hold.
func (r Record) IsAsk() bool { return r.Incarnation == 0 }

// IsHeartbeat reports whether r carries no state. The state is then that of
// the named Change.
func (r Record) IsHeartbeat() bool { return r.State == "" && !r.IsAsk() }

// heartbeat returns the form for those who hold r's state already.
func (r Record) heartbeat() Record {
	return Record{ID: r.ID, Incarnation: r.Incarnation, Change: r.Change, Beat: r.Beat, Revision: r.Revision}
}

// update returns the form for those who hold r's identity already.
func (r Record) update() Record {
	return r.heartbeat().changed(r)
}

// beaten returns r with the fast fields of newer. Only the process itself
// sends the digest of its text, so a relayed revision comes without one; an
// old digest must not stand beside a new revision.
func (r Record) beaten(newer Record) Record {
	r.Beat = newer.Beat
	if r.Revision != newer.Revision || !newer.ConfigDigest.IsZero() {
		r.ConfigDigest = newer.ConfigDigest
	}
	r.Revision = newer.Revision
	return r
}

// changed returns r with the state of newer.
func (r Record) changed(newer Record) Record {
	r.Change = newer.Change
	r.Leaving = newer.Leaving
	r.State = newer.State
	r.Serving = newer.Serving
	r.Target = newer.Target
	r.Turn = newer.Turn
	return r
}

// slow returns r without the fast fields and the counter of the others.
func (r Record) slow() Record {
	r.Change = 0
	r.Beat = 0
	r.Revision = 0
	r.ConfigDigest = fleet.Digest{}
	return r
}

// identity is what stays for an incarnation.
type identity struct {
	role       fleet.Role
	service    fleet.ServiceName
	place      fleet.Place
	peerAddr   netip.AddrPort
	callerAddr netip.AddrPort
}

func (r Record) identity() identity {
	return identity{role: r.Role, service: r.Service, place: r.Place, peerAddr: r.PeerAddr, callerAddr: r.CallerAddr}
}

// wide is the part of the state that matters outside the zone.
type wide struct {
	leaving bool
	out     bool
	serving fleet.Version
}

func (r Record) wide() wide {
	out := r.State == StateStarting || r.State == StateChanging
	return wide{leaving: r.Leaving, out: out, serving: r.Serving}
}

func (r Record) mark() mark {
	return mark{incarnation: r.Incarnation, change: r.Change, beat: r.Beat}
}

// mark is how much of a record somebody holds.
type mark struct {
	incarnation uint64
	change      uint64
	beat        uint64
}

// olderState reports whether m's slow fields are older than other's.
func (m mark) olderState(other mark) bool {
	if m.incarnation != other.incarnation {
		return m.incarnation < other.incarnation
	}
	return m.change < other.change
}

// older reports whether m is older than other in any field.
func (m mark) older(other mark) bool {
	if m.olderState(other) {
		return true
	}
	return !other.olderState(m) && m.beat < other.beat
}

// Rendezvous returns the weight of id for key. Everyone computes the same
// weights, and one id more or less changes no other's.
func Rendezvous(key string, id fleet.InstanceID) uint64 {
	digest := fleet.DigestOf([]byte(key + "\x00" + string(id)))
	return binary.BigEndian.Uint64(digest[:])
}
