package catalog

import (
	"slices"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Failures of what was read of the servers. What is known stands until a newer reading.
var (
	// NoRevision is a reading that does not state up to which revision it is complete.
	NoRevision = failure.Namespace.NewType("no_revision")
	// WentBack is a reading of the platform that ends before an earlier one.
	WentBack = failure.Namespace.NewType("revision_went_back")
	// UnknownServer is the end of a registration that is not known.
	UnknownServer = failure.Namespace.NewType("unknown_server")
)

// CheckOrder returns the failure of a reading of the platform up to asOf that began when
// held was known; nil if it has none.
func CheckOrder(held, asOf Revision) error {
	switch {
	case asOf <= 0:
		return NoRevision.New("a reading without a revision, after %d", held)
	case asOf < held:
		return WentBack.New("revision %d was read after %d", asOf, held)
	default:
		return nil
	}
}

// CheckList returns the failure of a list of servers; nil if it has none.
func (s Snapshot) CheckList() error {
	if s.AsOf <= 0 && len(s.Servers) > 0 {
		return NoRevision.New("a list of %d servers without a revision", len(s.Servers))
	}
	return nil
}

// CheckKnown returns a failure if registrations end by changes, of which neither the
// snapshot nor the changes tell; nil if none does.
func (s Snapshot) CheckKnown(changes []Change) error {
	known := func(id fleet.InstanceID) bool {
		return slices.ContainsFunc(s.Servers, func(server Server) bool { return server.ID == id }) ||
			slices.ContainsFunc(changes, func(c Change) bool { return c.Server != nil && c.Server.ID == id })
	}
	var unknown []Change
	for _, c := range changes {
		if c.Removed != "" && c.Revision > s.AsOf && !known(c.Removed) {
			unknown = append(unknown, c)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	return UnknownServer.New("%d registrations ended, the first that of %s at revision %d",
		len(unknown), unknown[0].Removed, unknown[0].Revision)
}
