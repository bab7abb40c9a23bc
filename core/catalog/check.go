package catalog

import (
	"slices"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Errors of data read from the platform about the servers. The known state stays in use
// until newer data is read.
var (
	// MissingRevision: the data does not state up to which revision it is complete.
	MissingRevision = failure.Namespace.NewType("no_revision")
	// RevisionWentBack: the data ends at an older revision than data read before, in the
	// same era of the platform or an older one.
	RevisionWentBack = failure.Namespace.NewType("revision_went_back")
	// UnknownServer: a registration ended that is not known.
	UnknownServer = failure.Namespace.NewType("unknown_server")
)

// CheckOrder checks the revision asOf of data from the platform, requested when held was
// the newest known revision. It returns nil if the revision is valid.
func CheckOrder(known, asOf Revision) error {
	switch {
	case asOf.Counter() <= 0:
		return MissingRevision.New("response of the platform without a revision, after revision %v", known)
	case asOf < known:
		return RevisionWentBack.New("platform returned revision %v after revision %v", asOf, known)
	default:
		return nil
	}
}

// CheckList returns an error if the snapshot lists servers without a revision.
func (s Snapshot) CheckList() error {
	if s.AsOf <= 0 && len(s.Servers) > 0 {
		return MissingRevision.New("list of %d servers without a revision", len(s.Servers))
	}
	return nil
}

// CheckRemovals returns an error if the changes remove servers that are neither in the
// snapshot nor registered by the changes.
func (s Snapshot) CheckRemovals(changes []Change) error {
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
	return UnknownServer.New("%d unknown servers removed, the first is %s at revision %v",
		len(unknown), unknown[0].Removed, unknown[0].Revision)
}
