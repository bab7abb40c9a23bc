// Package catalog models what the platform publishes: the operator's configuration,
// the registered backend servers and the wanted model versions. Processes only read
// the catalog: each keeps a local copy and applies the changes to it.
package catalog

import (
	"net/netip"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/routing"
)

// Server is one registered backend server. Server, Wanted, Change and Snapshot are
// sent to other processes under the names of their fields.
type Server struct {
	ID      fleet.InstanceID
	Service fleet.ServiceName
	Addr    netip.AddrPort
	Zone    fleet.Zone
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Draining is true if the server finishes its requests in flight and then exits.
	Draining bool
	// Revision is the revision at which the registration last changed.
	Revision Revision
	// Loaded is the version of the weights that the server serves, 0 for none.
	// The registration lags behind the server by one or two seconds.
	Loaded uint64
	Born   fleet.StartTime
	// ColdLeft is for how much longer the server was cold when it wrote the registration.
	// StatesColdLeft is false if the registration does not state it.
	ColdLeft       time.Duration `cbor:",omitzero"`
	StatesColdLeft bool          `cbor:",omitzero"`
}

// Wanted is the version of a model that the operator named most recently.
type Wanted struct {
	Model    string
	Version  uint64
	Revision Revision
}

// Evacuation is the state of an availability zone at the revision at which the operator
// evacuated or released it. While it is evacuated, nothing may be sent to its servers.
type Evacuation struct {
	Zone     fleet.Zone `cbor:"1,keyasint"`
	Revision Revision   `cbor:"2,keyasint"`
	Released bool       `cbor:"3,keyasint,omitzero"`
}

// Change is one change to a Snapshot. Exactly one of the fields after Revision
// is set.
type Change struct {
	Revision Revision
	Config   *routing.Config
	Server   *Server
	// Removed is the ID of a server whose registration ended.
	Removed fleet.InstanceID
	Wanted  *Wanted
	// Evacuation is of a zone that was evacuated or released.
	Evacuation *Evacuation `cbor:",omitempty"`
}

// Snapshot is everything that the platform publishes. It has two parts, each with
// its own revision: the servers, whose changes peers also report, and what the
// operator writes, which is large and always transferred as a whole.
type Snapshot struct {
	// AsOf is the revision up to which Servers is known.
	AsOf    Revision
	Servers []Server
	// OperatorAsOf is the revision up to which Config and Wanted are known.
	OperatorAsOf Revision
	// Config is nil until the operator has published a configuration.
	Config *routing.Config
	// ConfigRevision is the revision at which Config was read. It does not order
	// configurations, but processes of earlier releases compare it.
	ConfigRevision Revision
	Wanted         []Wanted
	// Evacuations contains the evacuated zones up to EvacuationsAsOf. From a peer, it also
	// contains zones that were released, and EvacuationsAsOf is 0 if the peer is of an
	// earlier release, which does not know them. Merge leaves them out: package evacuation
	// merges them.
	Evacuations     []Evacuation `cbor:",omitempty"`
	EvacuationsAsOf Revision     `cbor:",omitzero"`
}

// Apply returns the snapshot as of asOf with the changes to both parts applied, which
// must be ordered by revision. The receiver is not modified. Changes to servers that
// the snapshot already includes are skipped: replaying one after adopting a newer
// snapshot from a peer would restore a server that has been removed since.
func (s Snapshot) Apply(changes []Change, asOf Revision) Snapshot {
	next, _ := s.ApplyServers(changes, asOf)
	next.OperatorAsOf = max(s.OperatorAsOf, asOf)
	next.EvacuationsAsOf = max(s.EvacuationsAsOf, asOf)
	return next
}

// ApplyServers is like Apply for changes that are complete up to asOf for the servers
// only. It also returns the servers whose registration ended, as last registered.
func (s Snapshot) ApplyServers(changes []Change, asOf Revision) (Snapshot, []Server) {
	var removed []Server
	next := s
	next.Servers = slices.Clone(s.Servers)
	next.Wanted = slices.Clone(s.Wanted)
	for _, c := range changes {
		if !c.OfOperator() && c.Revision <= s.AsOf {
			continue
		}
		if i := slices.IndexFunc(next.Servers, func(server Server) bool { return server.ID == c.Removed }); i >= 0 && c.Removed != "" {
			removed = append(removed, next.Servers[i])
		}
		next.apply(c)
	}
	next.AsOf = max(s.AsOf, asOf)
	return next, removed
}

// OfOperator reports whether the operator made the change, rather than a server.
func (c Change) OfOperator() bool { return c.Config != nil || c.Wanted != nil || c.Evacuation != nil }

func (s *Snapshot) apply(c Change) {
	switch {
	case c.Config != nil:
		s.setConfig(c.Config, c.Revision)
	case c.Server != nil:
		s.register(*c.Server)
	case c.Removed != "":
		s.removeServer(c.Removed)
	case c.Wanted != nil:
		s.setWanted(*c.Wanted)
	case c.Evacuation != nil:
		s.setEvacuation(*c.Evacuation)
	}
}

func (s *Snapshot) setEvacuation(e Evacuation) {
	s.Evacuations = slices.DeleteFunc(slices.Clone(s.Evacuations), func(other Evacuation) bool { return other.Zone == e.Zone })
	if !e.Released {
		s.Evacuations = append(s.Evacuations, e)
	}
}

// register adds a server or replaces its registration. Of two servers at the same
// address the newer one is kept: a server that restarts after a crash gets a new ID
// immediately, while its predecessor stays registered for some seconds. The new server
// would decline requests addressed to its predecessor.
//
// A registration for a service that is not configured does not replace a server at
// the same address: another writer may have made it while the server still runs.
func (s *Snapshot) register(server Server) {
	hasService := s.isConfigured(server.Service)
	if hasService && s.hasNewerAt(server) {
		return
	}
	s.Servers = slices.DeleteFunc(s.Servers, func(other Server) bool {
		return other.ID == server.ID || hasService && other.Addr == server.Addr
	})
	s.Servers = append(s.Servers, server)
}

// hasNewerAt reports whether another server of a configured service was registered
// later at the same address.
func (s *Snapshot) hasNewerAt(server Server) bool {
	return slices.ContainsFunc(s.Servers, func(other Server) bool {
		return other.Addr == server.Addr && other.ID != server.ID && other.Revision > server.Revision &&
			s.isConfigured(other.Service)
	})
}

// isConfigured reports whether a service is configured. Without a configuration every
// service counts as configured.
func (s *Snapshot) isConfigured(name fleet.ServiceName) bool {
	if s.Config == nil {
		return true
	}
	return slices.ContainsFunc(s.Config.Services, func(service routing.Service) bool { return service.Name == name })
}

func (s *Snapshot) removeServer(id fleet.InstanceID) {
	s.Servers = slices.DeleteFunc(s.Servers, func(other Server) bool { return other.ID == id })
}

// setConfig sets the configuration, unless its version is older. The operator's versions
// increase even if the platform has lost some of them and its revisions start again from
// an older one.
func (s *Snapshot) setConfig(config *routing.Config, at Revision) {
	if s.Config == nil || config.Version >= s.Config.Version {
		s.Config, s.ConfigRevision = config, at
	}
}

// ConfigVersion returns the version of the configuration, 0 if there is none.
func (s Snapshot) ConfigVersion() int64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version
}

func (s *Snapshot) setWanted(w Wanted) {
	for i, other := range s.Wanted {
		if other.Model != w.Model {
			continue
		}
		if w.Version > other.Version {
			s.Wanted[i] = w
		}
		return
	}
	s.Wanted = append(s.Wanted, w)
}

// Merge returns the newer of two snapshots, part by part. The configuration never goes
// back to an older version: a list read from a stale replica of the platform, or after its
// return from an older copy, must not replace a newer one. A list of servers without a
// revision is ignored.
func (s Snapshot) Merge(other Snapshot) Snapshot {
	next := s
	if other.AsOf > s.AsOf {
		next.AsOf, next.Servers = other.AsOf, other.Servers
	}
	if other.Config != nil {
		next.setConfig(other.Config, other.ConfigRevision)
	}
	next.Wanted = slices.Clone(s.Wanted)
	for _, w := range other.Wanted {
		next.setWanted(w)
	}
	next.OperatorAsOf = max(s.OperatorAsOf, other.OperatorAsOf)
	return next
}

// WantedVersion returns the wanted version of a model, or false if the operator has
// named none.
func (s Snapshot) WantedVersion(model string) (Wanted, bool) {
	for _, w := range s.Wanted {
		if w.Model == model {
			return w, true
		}
	}
	return Wanted{}, false
}
