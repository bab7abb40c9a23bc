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

// Heartbeat is the message that linked processes send each other several times a
// second. Stream: peer.KindGossip, long-lived, both directions.
type Heartbeat struct {
	ID          fleet.InstanceID `cbor:"1,keyasint"`
	Role        fleet.Role       `cbor:"2,keyasint"`
	Incarnation uint64           `cbor:"3,keyasint"`
	Place       fleet.Place      `cbor:"4,keyasint"`
	// CallerAddr is the address on which an entry accepts requests.
	CallerAddr netip.AddrPort `cbor:"5,keyasint,omitzero"`
	// Ready entries accept requests; Leaving ones have begun their planned stop.
	Ready   bool `cbor:"6,keyasint,omitzero"`
	Leaving bool `cbor:"7,keyasint,omitzero"`
	// AsOf and ConfigVersion are those of the sender's catalog.
	AsOf          catalog.Revision `cbor:"8,keyasint,omitzero"`
	ConfigVersion int64            `cbor:"27,keyasint,omitzero"`
	// ConfigRevision is for receivers of earlier releases. A sender of such a release has
	// no ConfigVersion.
	ConfigRevision catalog.Revision `cbor:"9,keyasint,omitzero"`
	// OperatorAsOf is the revision up to which the sender knows what the operator
	// wrote, apart from evacuations. Wanted and ConfigVersion reflect all of it.
	OperatorAsOf catalog.Revision `cbor:"19,keyasint,omitzero"`
	// ReachesPlatform is true while the platform responds to an entry, or to another
	// one that reads the platform for it.
	ReachesPlatform bool `cbor:"16,keyasint,omitzero"`
	// PlatformUnresponsive is true for an entry that has had no response from the
	// platform for a while. Such entries are the last to read it for others.
	PlatformUnresponsive bool `cbor:"22,keyasint,omitzero"`
	// Platform and Servers are sent by an entry that reads the platform to the entries
	// of its region.
	Platform *PlatformState `cbor:"23,keyasint,omitempty"`
	Servers  *ServerChanges `cbor:"24,keyasint,omitempty"`
	// Wanted contains the model versions that the operator named.
	Wanted []WantedVersion `cbor:"10,keyasint,omitempty"`
	// Loads contains the load of an entry at each server where it has changed since the
	// previous heartbeat on the link. A server without work has a zero load.
	Loads []placement.Load `cbor:"11,keyasint,omitempty"`
	// LoadsComplete is true if Loads are all loads of the sender: loads that it
	// reported before are void.
	LoadsComplete bool `cbor:"21,keyasint,omitzero"`
	// Brief heartbeats have no fields but ID, Role, Incarnation, ConfigVersion,
	// ConfigRevision, Loads and LoadsComplete.
	Brief bool `cbor:"17,keyasint,omitzero"`
	// Replicas are the engines that agents reported to the sender, or an agent's own.
	Replicas []Replica `cbor:"12,keyasint,omitempty"`
	// Entries lists the entries of an agent's region, for the agent.
	Entries []netip.Addr `cbor:"13,keyasint,omitempty"`
	// Digests describe entries that the receiving entry has no link with.
	Digests []Digest `cbor:"20,keyasint,omitempty"`
	// Members are the agents of the receiver's service. They are sent only when they
	// have changed.
	Members []Member `cbor:"14,keyasint,omitempty"`
	// Supply is where the weights of an agent's service come from.
	Supply *Supply `cbor:"15,keyasint,omitempty"`
	// Manifest is the manifest of the wanted version. It is sent once over a link.
	Manifest *Manifest `cbor:"18,keyasint,omitempty"`
	// Crashes are an entry's new reports of requests that were in flight at servers
	// that crashed.
	Crashes []quarantine.Report `cbor:"25,keyasint,omitempty"`
	// Limits are an entry's new reports of the limits that servers advertise.
	Limits []serverlimit.Report `cbor:"26,keyasint,omitempty"`
	// Evacuations are all zones that the sender, an entry, knows to be evacuated or
	// released. EvacuationsAsOf is the revision up to which they are complete; entries of
	// earlier releases do not send it, and their OperatorAsOf says nothing of evacuations.
	Evacuations     []catalog.Evacuation `cbor:"28,keyasint,omitempty"`
	EvacuationsAsOf catalog.Revision     `cbor:"29,keyasint,omitzero"`
	// LastReady is what agents have reported about the load of the receiver's engine. An
	// entry sends it in its first heartbeat on a link with an agent, if it knows it.
	LastReady *LastReady `cbor:"30,keyasint,omitempty"`
}

// PlatformState is the state of the platform as seen by an entry that reads it.
type PlatformState struct {
	// LastResponseAgoMS is the time since the last response.
	LastResponseAgoMS int64 `cbor:"1,keyasint"`
	// Failing is true after a failed call.
	Failing bool `cbor:"2,keyasint,omitzero"`
	// RegainedAgoMS is the time since the platform responded again after an outage of
	// SilentMS; both are 0 if there was no outage.
	RegainedAgoMS int64 `cbor:"3,keyasint,omitzero"`
	SilentMS      int64 `cbor:"4,keyasint,omitzero"`
	// ReadAgoMS is the age of the sender's knowledge of servers: the heartbeat's AsOf
	// includes all older changes.
	ReadAgoMS int64 `cbor:"5,keyasint,omitzero"`
}

// ServerChanges contains the changes of servers after one revision, complete up to
// another.
type ServerChanges struct {
	After   catalog.Revision `cbor:"1,keyasint"`
	AsOf    catalog.Revision `cbor:"2,keyasint"`
	Changes []catalog.Change `cbor:"3,keyasint,omitempty"`
	// AgeMS is the time since the platform was read.
	AgeMS int64 `cbor:"4,keyasint,omitzero"`
}

// Digest is the report of one entry about the entries that it receives heartbeats from,
// for others that have no link with them.
type Digest struct {
	// Reporter is the entry that receives their heartbeats, Group the group that it
	// belongs to.
	Reporter netip.Addr `cbor:"1,keyasint"`
	Group    string     `cbor:"2,keyasint"`
	// AgeMS is the time since Reporter sent the digest.
	AgeMS int64 `cbor:"3,keyasint,omitzero"`
	// Version changes with Entries, which are omitted if they were sent over the link
	// before.
	Version uint64       `cbor:"4,keyasint"`
	Entries []EntryState `cbor:"5,keyasint,omitempty"`
	// Loads are the total loads of the entries of the group.
	Loads []placement.RegionLoad `cbor:"6,keyasint,omitempty"`
}

// Items returns the size of the digest, for limits.
func (d Digest) Items() int { return 1 + len(d.Entries) + len(d.Loads) }

// EntryState is the state of an entry that other entries need.
type EntryState struct {
	Addr                 netip.Addr     `cbor:"1,keyasint"`
	Place                fleet.Place    `cbor:"2,keyasint"`
	CallerAddr           netip.AddrPort `cbor:"3,keyasint,omitzero"`
	Ready                bool           `cbor:"4,keyasint,omitzero"`
	Leaving              bool           `cbor:"5,keyasint,omitzero"`
	ReachesPlatform      bool           `cbor:"6,keyasint,omitzero"`
	PlatformUnresponsive bool           `cbor:"7,keyasint,omitzero"`
}

// WithoutLists returns the heartbeat without the fields whose size depends on the fleet.
func (b Heartbeat) WithoutLists() Heartbeat {
	return Heartbeat{
		ID: b.ID, Role: b.Role, Incarnation: b.Incarnation, Place: b.Place, CallerAddr: b.CallerAddr,
		Ready: b.Ready, Leaving: b.Leaving, AsOf: b.AsOf, ConfigVersion: b.ConfigVersion,
		ConfigRevision: b.ConfigRevision, OperatorAsOf: b.OperatorAsOf, ReachesPlatform: b.ReachesPlatform,
		PlatformUnresponsive: b.PlatformUnresponsive, EvacuationsAsOf: b.EvacuationsAsOf,
	}
}

// State returns the state of an entry from its heartbeat.
func (b Heartbeat) State(addr netip.Addr) EntryState {
	return EntryState{
		Addr: addr, Place: b.Place, CallerAddr: b.CallerAddr, Ready: b.Ready, Leaving: b.Leaving, ReachesPlatform: b.ReachesPlatform,
		PlatformUnresponsive: b.PlatformUnresponsive,
	}
}

// Manifest lists the chunks of a version as an agent read them from the origin, twice
// with the same result.
type Manifest struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Raw     []byte `cbor:"3,keyasint"` // encoded by weights.Manifest
}

// WantedVersion is a model version that the operator named, and the time for which the
// sender has known it.
type WantedVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	AgeMS   int64  `cbor:"3,keyasint"`
	// Assumed is true if the sender found the version when it started and does not know
	// its age.
	Assumed bool `cbor:"4,keyasint,omitzero"`
}

// NamedVersion returns the version in the receiver's time.
func (w WantedVersion) NamedVersion(now time.Time) loading.NamedVersion {
	since := now.Add(-fleet.Span(w.AgeMS))
	return loading.NamedVersion{Version: w.Version, Since: since, Assumed: w.Assumed}
}

// Replica is the state of an engine as reported by the agent beside it.
type Replica struct {
	// Addr is the IP address that agent and engine share.
	Addr        netip.Addr `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	// Seq counts the states that the agent has reported.
	Seq         uint64 `cbor:"3,keyasint"`
	Loaded      uint64 `cbor:"4,keyasint,omitzero"`
	Reloading   bool   `cbor:"5,keyasint,omitzero"`
	Unreachable bool   `cbor:"6,keyasint,omitzero"`
	// ReadyInMS is the time until the engine is expected to serve the wanted version; 0
	// if it does, or if the time is not known.
	ReadyInMS int64 `cbor:"7,keyasint,omitzero"`
	// SlowdownPercent is the factor by which the engine's passes exceed their published
	// duration, in percent; 0 if it is not known.
	SlowdownPercent int `cbor:"8,keyasint,omitzero"`
	// Born is the start time of the engine, not of the agent.
	Born fleet.StartTime `cbor:"9,keyasint,omitzero"`
	// AgeMS is the time for which the agent has run.
	AgeMS int64 `cbor:"10,keyasint,omitzero"`
	// Leaving is true if the engine states that it is shutting down.
	Leaving bool `cbor:"11,keyasint,omitzero"`
	// Orders is the number of orders that the engine's process had accepted when Loaded was
	// read. HasOrders is false if the number is not known: the engine does not report it, or
	// the agent is of an earlier release.
	Orders    uint64 `cbor:"12,keyasint,omitzero"`
	HasOrders bool   `cbor:"13,keyasint,omitzero"`
}

// LastReady is the load that a predecessor of an agent last reported as ready, and whether
// another load has begun since. An agent that restarts cannot learn from the engine whether
// the load that it finds was verified.
//
// The load is verified if the engine still reports the same Loaded, Born and Orders, and
// IsReplaced is false. Without HasOrders, a second load of the same version by the same
// process of the engine shows only in ReloadingBy.
type LastReady struct {
	// Incarnation is the one of the agent that reported the engine as ready. It is the
	// receiver's own if only the link is new. All fields but ReloadingBy are zero if no
	// agent has reported the engine as ready.
	Incarnation uint64 `cbor:"1,keyasint,omitzero"`
	// Loaded, Born, Orders and HasOrders are those of the report.
	Loaded    uint64          `cbor:"2,keyasint,omitzero"`
	Born      fleet.StartTime `cbor:"3,keyasint,omitzero"`
	Orders    uint64          `cbor:"4,keyasint,omitzero"`
	HasOrders bool            `cbor:"5,keyasint,omitzero"`
	// ReloadingBy is the incarnation of the first agent that has reported since that the
	// engine is reloading or about to, 0 if none has. If it is not the receiver's own, a
	// predecessor may have sent an order that the engine has not read yet.
	ReloadingBy uint64 `cbor:"6,keyasint,omitzero"`
	// IsReplaced is true if the engine was reported since with another Loaded, Born or
	// Orders.
	IsReplaced bool `cbor:"7,keyasint,omitzero"`
}

// IsNewer reports whether r was reported after other, which was received some time
// before r.
//
// Of two agents the younger one has replaced the other. Their incarnations are times of
// day and cannot be compared: after a clock was set back, reports of a restarted agent
// were ignored until the report of its predecessor had expired.
func (r Replica) IsNewer(other Replica, elapsed time.Duration) bool {
	if r.Incarnation != other.Incarnation {
		return r.AgeMS < other.AgeMS+elapsed.Milliseconds()
	}
	return r.Seq > other.Seq
}

// IsSameReport reports whether r and other are the same state of the same agent.
func (r Replica) IsSameReport(other Replica) bool {
	return r.Incarnation == other.Incarnation && r.Seq == other.Seq
}

// HasSameEngineState reports whether r and other contain the same state of the engine. The
// number of orders is not part of it: calls are placed the same.
func (r Replica) HasSameEngineState(other Replica) bool {
	return r.Loaded == other.Loaded && r.Reloading == other.Reloading && r.Unreachable == other.Unreachable && r.SlowdownPercent == other.SlowdownPercent &&
		r.Born == other.Born && r.Leaving == other.Leaving
}

// HasSameLoad reports whether the engine has loaded nothing between r and other, as far as
// they show.
func (r Replica) HasSameLoad(other Replica) bool {
	isCounted := r.HasOrders && other.HasOrders
	return r.Loaded == other.Loaded && r.Born == other.Born && (!isCounted || r.Orders == other.Orders)
}

// WithAge returns r, received some time ago, as it is forwarded.
func (r Replica) WithAge(elapsed time.Duration) Replica {
	r.AgeMS += elapsed.Milliseconds()
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
	// LoadMS is the time to load a complete staged version.
	LoadMS int64 `cbor:"5,keyasint"`
	// Chunks and ChunkBytes are the number and the size of the chunks of every version;
	// 0 if they are not known, as from senders of earlier releases.
	Chunks     int `cbor:"6,keyasint,omitzero"`
	ChunkBytes int `cbor:"7,keyasint,omitzero"`
}

// CatalogRequest requests what is newer in an entry's catalog. Stream: peer.KindConfig,
// one CatalogRequest and one CatalogResponse.
type CatalogRequest struct {
	// AsOf is the revision up to which the requester knows the servers.
	AsOf catalog.Revision `cbor:"1,keyasint"`
	// ConfigVersion is the version of the configuration that the requester has.
	// ConfigRevision is its revision, for receivers of earlier releases.
	ConfigVersion  int64            `cbor:"3,keyasint,omitzero"`
	ConfigRevision catalog.Revision `cbor:"2,keyasint,omitzero"`
}

// CatalogResponse contains what is newer; Snapshot is nil if nothing is. A snapshot as
// of 0 does not describe the servers.
type CatalogResponse struct {
	// Snapshot is without a configuration.
	Snapshot *catalog.Snapshot `cbor:"1,keyasint,omitempty"`
	// ConfigBytes is the size of the configuration that follows, compressed, in raw
	// frames; 0 if the requester has it.
	ConfigBytes int `cbor:"3,keyasint,omitzero"`
	// ConfigRevision is the revision of that configuration.
	ConfigRevision catalog.Revision `cbor:"2,keyasint,omitzero"`
	// AgeMS is the time since the servers were read from the platform.
	AgeMS int64 `cbor:"4,keyasint,omitzero"`
}
