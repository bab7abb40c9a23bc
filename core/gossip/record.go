package gossip

import (
	"encoding/binary"
	"net/netip"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
)

// State is the activity that a process reports. It is empty in heartbeats and
// requests.
type State string

const (
	// StateStarting: the process has not yet read what it needs to serve.
	StateStarting State = "starting"
	// StateFetching: chunks of the target version are being fetched. The
	// version served so far is still served.
	StateFetching State = "fetching"
	// StateStaged: all chunks of the target version are verified and the
	// process waits for its turn in the rollout. The version served so far is
	// still served.
	StateStaged State = "staged"
	// StateChanging: the replica is draining or its engine is loading; it is
	// out of service.
	StateChanging State = "changing"
	// StateServing: no change is pending.
	StateServing State = "serving"
)

// Record is what one process reports of itself. It has three kinds of fields:
// the identity, which is constant for an incarnation; the state, whose changes
// raise StateSeq; and the frequently changing fields HeartbeatSeq, Revision and
// ConfigDigest.
//
// On the wire a Record may be partial. A complete one has all fields; an update
// lacks the identity; a heartbeat has the counters and Revision only; a request
// has the ID only.
type Record struct {
	ID fleet.InstanceID `cbor:"1,keyasint"`
	// Incarnation is the process's start time in Unix milliseconds: of two
	// processes with one id, the newer has the higher number. It is 0 in a
	// request.
	Incarnation uint64 `cbor:"2,keyasint,omitzero"`
	// StateSeq counts the changes of the state.
	StateSeq uint64 `cbor:"3,keyasint,omitzero"`
	// HeartbeatSeq counts heartbeats. It never decreases within an incarnation.
	HeartbeatSeq uint64 `cbor:"4,keyasint,omitzero"`

	Role        fleet.Role        `cbor:"5,keyasint,omitzero"`
	Service     fleet.ServiceName `cbor:"6,keyasint,omitzero"`
	fleet.Place `cbor:"7,keyasint,omitzero"`
	PeerAddr    netip.AddrPort `cbor:"8,keyasint,omitzero"`
	CallerAddr  netip.AddrPort `cbor:"9,keyasint,omitzero"`
	// Leaving is true once the process has started its planned stop.
	Leaving bool  `cbor:"10,keyasint,omitzero"`
	State   State `cbor:"11,keyasint,omitzero"`
	// Serving is the version that answers requests; zero if none.
	Serving fleet.Version `cbor:"12,keyasint,omitzero"`
	// Target is the version that the active configuration pins for the process.
	Target fleet.Version `cbor:"13,keyasint,omitzero"`
	// RolloutOrder is the replica's position in the order of a rollout, see
	// package rollout. It never decreases: a new process starts with its
	// Incarnation, which is higher than any value its predecessor reached.
	RolloutOrder uint64 `cbor:"14,keyasint,omitzero"`

	// Revision is the revision of the operator's configuration that the process
	// follows.
	Revision revision.Revision `cbor:"15,keyasint,omitzero"`
	// ConfigDigest is the digest of that configuration.
	ConfigDigest fleet.Digest `cbor:"16,keyasint,omitzero"`
}

// NewRecord returns the initial record of a process: its identity.
func NewRecord(self fleet.Instance, incarnation uint64) Record {
	return Record{
		ID: self.ID, Incarnation: incarnation, Role: self.Role, Service: self.Service,
		Place: self.Place, PeerAddr: self.PeerAddr, CallerAddr: self.CallerAddr,
	}
}

// IsComplete reports whether r is complete, that is, carries identity and
// state.
func (r Record) IsComplete() bool { return r.Role != "" && r.State != "" }

// IsRequest reports whether r is a request for the complete record of r.ID,
// which the sender does not hold.
func (r Record) IsRequest() bool { return r.Incarnation == 0 }

// IsHeartbeat reports whether r carries no state. The state is then the one of
// r.StateSeq.
func (r Record) IsHeartbeat() bool { return r.State == "" && !r.IsRequest() }

// heartbeat returns the form for receivers that already hold r's state.
func (r Record) heartbeat() Record {
	return Record{ID: r.ID, Incarnation: r.Incarnation, StateSeq: r.StateSeq, HeartbeatSeq: r.HeartbeatSeq, Revision: r.Revision}
}

// update returns the form for receivers that already hold r's identity.
func (r Record) update() Record {
	return r.heartbeat().withState(r)
}

// withHeartbeat returns r with the frequently changing fields of newer. Only
// the process itself sends the digest of its configuration, so a relayed
// revision has none; an old digest must not be combined with a new revision.
func (r Record) withHeartbeat(newer Record) Record {
	r.HeartbeatSeq = newer.HeartbeatSeq
	if r.Revision != newer.Revision || !newer.ConfigDigest.IsZero() {
		r.ConfigDigest = newer.ConfigDigest
	}
	r.Revision = newer.Revision
	return r
}

// withState returns r with the state of newer.
func (r Record) withState(newer Record) Record {
	r.StateSeq = newer.StateSeq
	r.Leaving = newer.Leaving
	r.State = newer.State
	r.Serving = newer.Serving
	r.Target = newer.Target
	r.RolloutOrder = newer.RolloutOrder
	return r
}

// stableFields returns r without the frequently changing fields and the
// counters.
func (r Record) stableFields() Record {
	r.StateSeq = 0
	r.HeartbeatSeq = 0
	r.Revision = 0
	r.ConfigDigest = fleet.Digest{}
	return r
}

// identity is the part of a record that is constant for an incarnation.
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

// externalState is the part of the state that is relevant outside the zone.
type externalState struct {
	leaving bool
	out     bool
	serving fleet.Version
}

func (r Record) externalState() externalState {
	out := r.State == StateStarting || r.State == StateChanging
	return externalState{leaving: r.Leaving, out: out, serving: r.Serving}
}

func (r Record) version() recordVersion {
	return recordVersion{incarnation: r.Incarnation, stateSeq: r.StateSeq, heartbeatSeq: r.HeartbeatSeq}
}

// recordVersion is the version of a record that a process holds.
type recordVersion struct {
	incarnation  uint64
	stateSeq     uint64
	heartbeatSeq uint64
}

// olderState reports whether m's state is older than other's.
func (m recordVersion) olderState(other recordVersion) bool {
	if m.incarnation != other.incarnation {
		return m.incarnation < other.incarnation
	}
	return m.stateSeq < other.stateSeq
}

// older reports whether m is older than other in state or heartbeats.
func (m recordVersion) older(other recordVersion) bool {
	if m.olderState(other) {
		return true
	}
	return !other.olderState(m) && m.heartbeatSeq < other.heartbeatSeq
}

// Rendezvous returns the rendezvous-hash weight of id for key. All processes
// compute the same weights, and adding or removing one id does not change the
// weights of the others.
func Rendezvous(key string, id fleet.InstanceID) uint64 {
	digest := fleet.DigestOf([]byte(key + "\x00" + string(id)))
	return binary.BigEndian.Uint64(digest[:])
}
