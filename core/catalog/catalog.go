// Package catalog is what the platform publishes: the operator's configuration,
// the backend servers that are registered, and the model versions that are
// wanted. It is read only; every process keeps a copy and follows the changes.
package catalog

import (
	"net/netip"
	"slices"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/routing"
)

// Revision counts the changes of everything that the platform publishes. It
// rises with each one.
type Revision int64

// Server is one registered backend server.
type Server struct {
	ID      fleet.InstanceID
	Service fleet.ServiceName
	Addr    netip.AddrPort
	Zone    fleet.Zone
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining servers finish what they have and then exit.
	Draining bool
	// Revision is that of the registration's last change.
	Revision Revision
	// Loaded is the version of the weights that it answers from, 0 for none.
	// The registration lags by a second or two.
	Loaded uint64
	Born   fleet.Start
}

// Wanted is the version of a model that the operator named last.
type Wanted struct {
	Model    string
	Version  uint64
	Revision Revision
}

// Change is one change of a Snapshot. Exactly one of the fields after Revision
// is set.
type Change struct {
	Revision Revision
	Config   *routing.Config
	Server   *Server
	// Removed is the id of a server whose registration ended.
	Removed fleet.InstanceID
	Wanted  *Wanted
}

// Snapshot is everything that the platform publishes. It has two parts, each as
// of a revision of its own: the servers, of which peers tell changes, and what
// the operator writes, which is large and comes whole.
type Snapshot struct {
	// AsOf is up to which revision Servers are known.
	AsOf    Revision
	Servers []Server
	// OperatorAsOf is up to which revision Config and Wanted are known.
	OperatorAsOf Revision
	// Config is nil until the operator has published one.
	Config         *routing.Config
	ConfigRevision Revision
	Wanted         []Wanted
}

// Apply returns the snapshot with changes of both parts, which are ordered by
// revision, as of asOf. The receiver stays as it is. A change that the snapshot
// holds already is left out: replayed after a newer snapshot was taken from a
// peer, it would bring back a server that has gone since.
func (s Snapshot) Apply(changes []Change, asOf Revision) Snapshot {
	next, _ := s.ApplyServers(changes, asOf)
	next.OperatorAsOf = max(s.OperatorAsOf, asOf)
	return next
}

// ApplyServers is Apply for changes that are complete up to asOf for the servers
// only. It returns also the servers whose registration ended, as it was last.
func (s Snapshot) ApplyServers(changes []Change, asOf Revision) (Snapshot, []Server) {
	var gone []Server
	next := s
	next.Servers = slices.Clone(s.Servers)
	next.Wanted = slices.Clone(s.Wanted)
	for _, c := range changes {
		if !c.OfOperator() && c.Revision <= s.AsOf {
			continue
		}
		if i := slices.IndexFunc(next.Servers, func(server Server) bool { return server.ID == c.Removed }); i >= 0 && c.Removed != "" {
			gone = append(gone, next.Servers[i])
		}
		next.apply(c)
	}
	next.AsOf = max(s.AsOf, asOf)
	return next, gone
}

// OfOperator reports whether the operator made the change, and not a server.
func (c Change) OfOperator() bool { return c.Config != nil || c.Wanted != nil }

func (s *Snapshot) apply(c Change) {
	switch {
	case c.Config != nil && c.Revision >= s.ConfigRevision:
		s.Config = c.Config
		s.ConfigRevision = c.Revision
	case c.Server != nil:
		s.register(*c.Server)
	case c.Removed != "":
		s.removeServer(c.Removed)
	case c.Wanted != nil:
		s.want(*c.Wanted)
	}
}

// register adds a server, or replaces its registration. Of two at one address
// the newer one is there: a server that crashed and started again has a new id
// at once, and its predecessor stays registered for seconds. Requests that are
// meant for the predecessor would be declined.
//
// A registration for a service that the operator does not have takes no
// server's place: it may be another writer's, and the server lives.
func (s *Snapshot) register(server Server) {
	isOffered := s.offers(server.Service)
	if isOffered && s.hasNewerAt(server) {
		return
	}
	s.Servers = slices.DeleteFunc(s.Servers, func(other Server) bool {
		return other.ID == server.ID || isOffered && other.Addr == server.Addr
	})
	s.Servers = append(s.Servers, server)
}

// hasNewerAt reports whether another server of the operator's was registered
// later at the same address.
func (s *Snapshot) hasNewerAt(server Server) bool {
	return slices.ContainsFunc(s.Servers, func(other Server) bool {
		return other.Addr == server.Addr && other.ID != server.ID && other.Revision > server.Revision &&
			s.offers(other.Service)
	})
}

// offers reports whether the operator has a service; any may be his while no
// configuration is known.
func (s *Snapshot) offers(name fleet.ServiceName) bool {
	if s.Config == nil {
		return true
	}
	return slices.ContainsFunc(s.Config.Services, func(service routing.Service) bool { return service.Name == name })
}

func (s *Snapshot) removeServer(id fleet.InstanceID) {
	s.Servers = slices.DeleteFunc(s.Servers, func(other Server) bool { return other.ID == id })
}

func (s *Snapshot) want(w Wanted) {
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

// Newest returns the newer of two snapshots, part by part. The configuration
// never goes back: a list that was read from a stale replica of the platform
// must not replace a newer one. A part that other lacks is as of 0, and a list of servers
// without a revision counts for nothing.
func (s Snapshot) Newest(other Snapshot) Snapshot {
	next := s
	if other.AsOf > s.AsOf {
		next.AsOf, next.Servers = other.AsOf, other.Servers
	}
	if other.Config != nil && other.ConfigRevision > s.ConfigRevision {
		next.Config, next.ConfigRevision = other.Config, other.ConfigRevision
	}
	next.Wanted = slices.Clone(s.Wanted)
	for _, w := range other.Wanted {
		next.want(w)
	}
	next.OperatorAsOf = max(s.OperatorAsOf, other.OperatorAsOf)
	return next
}

// WantedVersion returns the version that is wanted of a model; false if the
// operator has named none.
func (s Snapshot) WantedVersion(model string) (Wanted, bool) {
	for _, w := range s.Wanted {
		if w.Model == model {
			return w, true
		}
	}
	return Wanted{}, false
}
