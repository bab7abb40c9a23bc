package wire

import (
	"net/netip"
	"time"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/quarantine"
	"chivespindle.example/core/serverlimit"
)

// Heartbeat is what a process tells those that it is linked to, several times a
// second. Stream: peer.KindGossip, long-lived, both directions.
type Heartbeat struct {
	ID          fleet.InstanceID `cbor:"1,keyasint"`
	Role        fleet.Role       `cbor:"2,keyasint"`
	Incarnation uint64           `cbor:"3,keyasint"`
	Place       fleet.Place      `cbor:"4,keyasint"`
	// CallerAddr is where an entry takes requests.
	CallerAddr netip.AddrPort `cbor:"5,keyasint,omitzero"`
	// Ready entries take requests; Leaving ones have begun their planned stop.
	Ready   bool `cbor:"6,keyasint,omitzero"`
	Leaving bool `cbor:"7,keyasint,omitzero"`
	// AsOf and ConfigRevision are those of the sender's catalog.
	AsOf           catalog.Revision `cbor:"8,keyasint,omitzero"`
	ConfigRevision catalog.Revision `cbor:"9,keyasint,omitzero"`
	// OperatorAsOf is up to which revision the sender knows what the operator
	// wrote. Wanted and ConfigRevision tell of all of it.
	OperatorAsOf catalog.Revision `cbor:"19,keyasint,omitzero"`
	// ReachesPlatform is true while the platform answers an entry, or one that reads it
	// for this one.
	ReachesPlatform bool `cbor:"16,keyasint,omitzero"`
	// PlatformUnresponsive entries have been answered by the platform for a while not at all
	// and are the last to read it for others.
	PlatformUnresponsive bool `cbor:"22,keyasint,omitzero"`
	// Platform and Servers are told by an entry that reads the platform to those of
	// its region.
	Platform *PlatformState `cbor:"23,keyasint,omitempty"`
	Servers  *ServerChanges `cbor:"24,keyasint,omitempty"`
	// Wanted are the model versions that the operator named.
	Wanted []WantedVersion `cbor:"10,keyasint,omitempty"`
	// Loads is what an entry has at each server whose load has changed since the
	// beat before on the link. One without work has a zero load.
	Loads []placement.Load `cbor:"11,keyasint,omitempty"`
	// LoadsComplete is true if Loads are all that the sender has anywhere: what it told
	// before is void.
	LoadsComplete bool `cbor:"21,keyasint,omitzero"`
	// Brief beats have no fields but ID, Role, Incarnation, ConfigRevision, Loads
	// and AllLoads.
	Brief bool `cbor:"17,keyasint,omitzero"`
	// Replicas are the engines that agents told the sender of, or an agent's
	// own.
	Replicas []Replica `cbor:"12,keyasint,omitempty"`
	// Entries tell an agent of the entries of its region.
	Entries []netip.Addr `cbor:"13,keyasint,omitempty"`
	// Digests tell an entry of those that it holds no link with.
	Digests []Digest `cbor:"20,keyasint,omitempty"`
	// Members are the agents of the receiver's service. They are sent only when
	// they have changed.
	Members []Member `cbor:"14,keyasint,omitempty"`
	// Supply tells an agent where its service's weights come from.
	Supply *Supply `cbor:"15,keyasint,omitempty"`
	// Manifest is that of the wanted version. It is sent once over a link.
	Manifest *Manifest `cbor:"18,keyasint,omitempty"`
	// Crashes are an entry's new reports of requests that were in flight at servers
	// that crashed.
	Crashes []quarantine.Report `cbor:"25,keyasint,omitempty"`
	// Limits are an entry's new reports of the limits that servers advertise.
	Limits []serverlimit.Report `cbor:"26,keyasint,omitempty"`
}

// PlatformState is how an entry that reads the platform stands with it.
type PlatformState struct {
	// LastResponseAgoMS is how long ago the last answer came.
	LastResponseAgoMS int64 `cbor:"1,keyasint"`
	// Failing is true since a call failed.
	Failing bool `cbor:"2,keyasint,omitzero"`
	// RegainedAgoMS is how long ago the platform answered again after it had been
	// away for SilentMS; both 0 if it never was.
	RegainedAgoMS int64 `cbor:"3,keyasint,omitzero"`
	SilentMS      int64 `cbor:"4,keyasint,omitzero"`
	// ReadAgoMS is up to how long ago all changes of servers are known up to the beat's
	// AsOf.
	ReadAgoMS int64 `cbor:"5,keyasint,omitzero"`
}

// ServerChanges is what happened to servers after a revision, complete up to
// another.
type ServerChanges struct {
	After   catalog.Revision `cbor:"1,keyasint"`
	AsOf    catalog.Revision `cbor:"2,keyasint"`
	Changes []catalog.Change `cbor:"3,keyasint,omitempty"`
	// AgeMS is how long ago the platform was read.
	AgeMS int64 `cbor:"4,keyasint,omitzero"`
}

// Digest is what one entry tells of those that it hears, for others that hold
// no link with them.
type Digest struct {
	// Reporter is the entry that hears them, Group the one that it belongs to.
	Reporter netip.Addr `cbor:"1,keyasint"`
	Group    string     `cbor:"2,keyasint"`
	// AgeMS is how long ago By told it.
	AgeMS int64 `cbor:"3,keyasint,omitzero"`
	// Version changes with Entries, which are left out if they were told over the
	// link before.
	Version uint64       `cbor:"4,keyasint"`
	Entries []EntryState `cbor:"5,keyasint,omitempty"`
	// Loads are what the entries of the group have together.
	Loads []placement.RegionLoad `cbor:"6,keyasint,omitempty"`
}

// EntryState is what others must know of an entry.
type EntryState struct {
	Addr                 netip.Addr     `cbor:"1,keyasint"`
	Place                fleet.Place    `cbor:"2,keyasint"`
	CallerAddr           netip.AddrPort `cbor:"3,keyasint,omitzero"`
	Ready                bool           `cbor:"4,keyasint,omitzero"`
	Leaving              bool           `cbor:"5,keyasint,omitzero"`
	ReachesPlatform      bool           `cbor:"6,keyasint,omitzero"`
	PlatformUnresponsive bool           `cbor:"7,keyasint,omitzero"`
}

// State returns what the beat of an entry says of it.
func (b Heartbeat) State(addr netip.Addr) EntryState {
	return EntryState{
		Addr: addr, Place: b.Place, CallerAddr: b.CallerAddr, Ready: b.Ready, Leaving: b.Leaving, ReachesPlatform: b.ReachesPlatform,
		PlatformUnresponsive: b.PlatformUnresponsive,
	}
}

// Manifest lists the chunks of a version as an agent read them at the origin,
// twice with the same result.
type Manifest struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Raw     []byte `cbor:"3,keyasint"` // encoded by weights.Manifest
}

// WantedVersion is a model version that the operator named, and for how long
// the sender has known of it.
type WantedVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	AgeMS   int64  `cbor:"3,keyasint"`
	// Assumed is true if the sender found the version when it started and does
	// not know its age.
	Assumed bool `cbor:"4,keyasint,omitzero"`
}

// NamedVersion returns the version as the receiver sees it.
func (w WantedVersion) NamedVersion(now time.Time) loading.NamedVersion {
	since := now.Add(-time.Duration(w.AgeMS) * time.Millisecond)
	return loading.NamedVersion{Version: w.Version, Since: since, Assumed: w.Assumed}
}

// Replica is what the agent beside an engine knows of it.
type Replica struct {
	// Addr is the IP number that agent and engine share.
	Addr        netip.Addr `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	// Seq counts the states that the agent told.
	Seq         uint64 `cbor:"3,keyasint"`
	Loaded      uint64 `cbor:"4,keyasint,omitzero"`
	Reloading   bool   `cbor:"5,keyasint,omitzero"`
	Unreachable bool   `cbor:"6,keyasint,omitzero"`
	// ReadyInMS is when the engine is expected to answer from the wanted
	// version; 0 if it does, or if that is not known.
	ReadyInMS int64 `cbor:"7,keyasint,omitzero"`
	// SlowdownPercent is by how much the engine's passes last longer than published, in
	// percent; 0 if that is not known.
	SlowdownPercent int `cbor:"8,keyasint,omitzero"`
	// Born is the engine's and not the agent's.
	Born fleet.StartTime `cbor:"9,keyasint,omitzero"`
	// AgeMS is for how long the agent has run.
	AgeMS int64 `cbor:"10,keyasint,omitzero"`
}

// IsNewer reports whether r was told after other, which was heard some time
// before r.
//
// Of two agents the younger one replaced the other. Their incarnations are
// times of day and would not do: after a clock was set back, an agent that
// started again was not believed until its predecessor's word had run out.
func (r Replica) IsNewer(other Replica, before time.Duration) bool {
	if r.Incarnation != other.Incarnation {
		return r.AgeMS < other.AgeMS+before.Milliseconds()
	}
	return r.Seq > other.Seq
}

// IsSameReport reports whether r and other are the same state of the same agent.
func (r Replica) IsSameReport(other Replica) bool {
	return r.Incarnation == other.Incarnation && r.Seq == other.Seq
}

// HasSameEngineState reports whether r and other say the same of the engine.
func (r Replica) HasSameEngineState(other Replica) bool {
	return r.Loaded == other.Loaded && r.Reloading == other.Reloading && r.Unreachable == other.Unreachable && r.SlowdownPercent == other.SlowdownPercent &&
		r.Born == other.Born
}

// WithAge returns what was heard some time ago, as it is told on.
func (r Replica) WithAge(since time.Duration) Replica {
	r.AgeMS += since.Milliseconds()
	return r
}

// Member is an agent of a service.
type Member struct {
	Addr   netip.Addr   `cbor:"1,keyasint"`
	Zone   fleet.Zone   `cbor:"2,keyasint"`
	Region fleet.Region `cbor:"3,keyasint"`
}

// Supply is where the weights of a model come from.
type Supply struct {
	Model          string         `cbor:"1,keyasint"`
	Origin         netip.AddrPort `cbor:"2,keyasint"`
	BytesPerSecond int64          `cbor:"3,keyasint"`
	Layers         int            `cbor:"4,keyasint"`
	// LoadMS is how long the load of a whole version takes once it is staged.
	LoadMS int64 `cbor:"5,keyasint"`
}

// CatalogRequest asks an entry for what its catalog holds that is newer. Stream:
// peer.KindConfig, one ask and one CatalogAnswer.
type CatalogRequest struct {
	// AsOf is up to which revision the asker knows the servers.
	AsOf           catalog.Revision `cbor:"1,keyasint"`
	ConfigRevision catalog.Revision `cbor:"2,keyasint,omitzero"`
}

// CatalogResponse tells what is newer, nil for nothing. A snapshot as of 0 tells
// nothing of the servers.
type CatalogResponse struct {
	// Snapshot is without a configuration.
	Snapshot *catalog.Snapshot `cbor:"1,keyasint,omitempty"`
	// ConfigRevision is that of the configuration that follows in raw frames,
	// packed, ConfigBytes in all; 0 if the asker has it.
	ConfigRevision catalog.Revision `cbor:"2,keyasint,omitzero"`
	ConfigBytes    int              `cbor:"3,keyasint,omitzero"`
	// AgeMS is how long ago the platform was read for the servers.
	AgeMS int64 `cbor:"4,keyasint,omitzero"`
}
