// Package status defines the status of a process as operators see it: of an
// entry, of an agent, and of how an entry would choose a server. Processes
// encode it as JSON and the command line client decodes it. A client may read
// the status of newer processes, so a field is never renamed.
package status

import (
	"chivespindle.example/core/balance"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/serving"
	"chivespindle.example/core/spread"
)

// ProcessStatus is the status of a process: *Entry or *Agent.
type ProcessStatus interface {
	// ProcessID returns the ID of the process.
	ProcessID() fleet.InstanceID
}

// ProcessID implements ProcessStatus.
func (s *Entry) ProcessID() fleet.InstanceID { return s.ID }

// ProcessID implements ProcessStatus.
func (s *Agent) ProcessID() fleet.InstanceID { return s.ID }

// Entry is the status of an entry, which knows the whole fleet.
type Entry struct {
	ID       fleet.InstanceID  `json:"id"`
	Role     fleet.Role        `json:"role"`
	Place    fleet.Place       `json:"place"`
	Revision revision.Revision `json:"revision"` // active here; 0: none yet
	Leaving  bool              `json:"leaving"`
	InFlight int64             `json:"in_flight"`
	Config   Config            `json:"config"`
	Services []Service         `json:"services"`
	Fleet    []Member          `json:"fleet"` // the entry itself included
}

// Config describes the active configuration.
type Config struct {
	Name   string       `json:"name"`
	Digest fleet.Digest `json:"digest"`
	// PlatformRevision is the revision that the platform last returned to this
	// process. It may be stale, and it may belong to a configuration that was
	// refused.
	PlatformRevision revision.Revision `json:"platform_revision"`
	// Refused holds the errors of each configuration newer than the active one,
	// one "file:line: reason" per line.
	Refused []string `json:"refused,omitempty"`
	// Conflicts counts different configurations with the active revision.
	Conflicts int `json:"conflicts"`
}

// Service summarizes a service. Silent replicas count neither as leaving nor as
// serving.
type Service struct {
	Service  fleet.ServiceName `json:"service"`
	Target   fleet.Version     `json:"target"` // zero for a plain service
	Replicas int               `json:"replicas"`
	Serving  int               `json:"serving"` // replicas that serve the target, or are open for a plain service
	Leaving  int               `json:"leaving"`
	Silent   int               `json:"silent"`
}

// Member is one process of the fleet as seen by an entry. Its state is at most
// a second old; its Revision is that recent only within the entry's own zone,
// and older elsewhere.
type Member struct {
	ID       fleet.InstanceID  `json:"id"`
	Role     fleet.Role        `json:"role"`
	Service  fleet.ServiceName `json:"service,omitempty"`
	Place    fleet.Place       `json:"place"`
	State    gossip.State      `json:"state"`
	Serving  fleet.Version     `json:"serving"`
	Revision revision.Revision `json:"revision"`
	Leaving  bool              `json:"leaving"`
	Silent   bool              `json:"silent"`
}

// Agent is the status of an agent and of its backend server.
type Agent struct {
	ID          fleet.InstanceID   `json:"id"`
	Role        fleet.Role         `json:"role"`
	Service     fleet.ServiceName  `json:"service"`
	Place       fleet.Place        `json:"place"`
	State       gossip.State       `json:"state"`
	Phase       string             `json:"phase,omitempty"` // of the change to the target version
	Serving     fleet.Version      `json:"serving"`
	Target      fleet.Version      `json:"target"`
	Leaving     bool               `json:"leaving"`
	Admitting   bool               `json:"admitting"`
	Refusing    string             `json:"refusing,omitempty"` // why requests are refused
	Waiting     string             `json:"waiting,omitempty"`  // what a version change waits for
	Revision    revision.Revision  `json:"revision"`
	InFlight    int64              `json:"in_flight"`
	Load        serving.Load       `json:"load"`
	Fetched     FetchedBytes       `json:"drawn"`
	Fetches     []ChunkFetch       `json:"gathers"`
	KnownPeers  int                `json:"known_peers"`
	SilentPeers []fleet.InstanceID `json:"silent_peers"`
}

// FetchedBytes counts the bytes of fetched chunks by source.
type FetchedBytes struct {
	OriginBytes int64 `json:"origin_bytes"`
	StoreBytes  int64 `json:"store_bytes"`
	PeerBytes   int64 `json:"peer_bytes"`
}

// ChunkFetch is the progress of fetching one version's chunks.
type ChunkFetch struct {
	Version fleet.Version   `json:"version"`
	Known   bool            `json:"manifest_known"`
	Paused  bool            `json:"paused"`
	Links   int             `json:"links"`
	Plan    spread.Progress `json:"plan"`
}

// Explanation describes how an entry would choose a backend server for a
// request at this moment.
type Explanation struct {
	Entry    fleet.InstanceID  `json:"entry"`
	Revision revision.Revision `json:"revision"`
	Service  fleet.ServiceName `json:"service"`
	Prefix   string            `json:"prefix,omitempty"`
	Priority int               `json:"priority"`
	// Candidates are the servers that the entry can choose from, nearest tier
	// first.
	Candidates []Candidate `json:"candidates"`
	// Unknown are the replicas that the entry cannot choose.
	Unknown []UnknownServer `json:"unknown"`
}

// Candidate is one server as the entry's balancer sees it; see
// balance.Candidate.
type Candidate struct {
	ID            fleet.InstanceID `json:"id"`
	Tier          string           `json:"tier"` // zone, region or fleet
	Verdict       balance.Verdict  `json:"verdict"`
	InFlight      int              `json:"in_flight"`
	OtherInFlight float64          `json:"others"`
	Slots         float64          `json:"slots"`
	Cost          float64          `json:"cost"`
	// ReportAgeMS is negative if the server never reported.
	ReportAgeMS int64 `json:"report_age_ms"`
	EjectedMS   int64 `json:"ejected_ms"` // remaining time of an ejection
	Preferred   bool  `json:"preferred"`
}

// UnknownServer is a replica that the entry does not choose from, with the
// reason.
type UnknownServer struct {
	ID     fleet.InstanceID `json:"id"`
	Place  fleet.Place      `json:"place"`
	Reason string           `json:"reason"`
}
