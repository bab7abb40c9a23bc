// Package rollout decides which replicas of a service may be out of service to
// change their version. There is no leader: each replica decides for itself
// from what it knows of the others, which may be stale.
//
// # The rule
//
// Replicas are counted per availability zone, so that the parts of a
// partitioned fleet can both make progress. The replicas of a zone with the
// same target are ordered by Order, then by rendezvous hash of target and id. A
// replica may go out of service only if fewer than max_unavailable others may
// be out: those before it that are not known to serve the target, and those
// behind it that are out or not known to follow the same target.
//
// # Why stale knowledge is safe
//
// Consider the replicas that are out of service for a change at one moment, and
// of these the one with the newest target and, among equals, the last place.
// When it decided, it counted all the others: those before it do not serve the
// target even now, so no view, however old, showed them serving it; and those
// that follow an older target had not shown the newer one while in service. So
// they are at most max_unavailable. This requires that a replica never goes
// back within the period of one target, that its Order never decreases, not
// even when its process restarts, and that it keeps its Order while it is out.
package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
)

// BlockedAfter is how long a replica may be silent before it is reported to an
// operator as blocking a rollout.
const BlockedAfter = 5 * time.Minute

// Replica is what is known of one replica of a service.
type Replica struct {
	ID fleet.InstanceID
	fleet.Place
	// Silent replicas count as out; SilentFor is used for the alarm only.
	Silent    bool
	SilentFor time.Duration
	Leaving   bool
	// Outdated: a neighbour holds a newer state of the replica.
	Outdated bool
	State    gossip.State
	Serving  fleet.Version
	Target   fleet.Version
	// Order is the replica's position in the order, see NextOrder.
	Order uint64
	// Revision is the revision of the configuration that the replica followed
	// when it reported this state.
	Revision revision.Revision
}

// Request is the request of one replica to leave service for a change.
type Request struct {
	Self   fleet.InstanceID
	Target fleet.Version
	// TargetSince is the oldest revision known to this process since which the
	// service has pinned Target without interruption. States that replicas
	// reported under an older configuration are not trusted: they may have
	// served the same version before and have left it since. 0 disables the
	// check.
	TargetSince revision.Revision
	// Replicas are the replicas of one service, including the requesting one.
	Replicas []Replica
	// MaxUnavailable is the maximum number of replicas of one zone that may be
	// out. Values below 1 count as 1, otherwise no rollout would complete.
	MaxUnavailable int
	// ServingNothing: the requesting replica answers no requests in any case.
	ServingNothing bool
}

// Decision is the result of Decide.
type Decision struct {
	Allowed bool
	// Reason is for logs and status.
	Reason string
	// WaitingFor are the replicas that were counted as possibly out, sorted by
	// id.
	WaitingFor []fleet.InstanceID
	// Blocked: one of them has been silent for more than BlockedAfter and the
	// platform still lists it. Only an operator can determine whether it is
	// gone, so an alarm is required.
	Blocked bool
}

// Decide reports whether the requesting replica may leave service now.
func Decide(req Request) Decision {
	self, found := find(req.Replicas, req.Self)
	switch {
	case req.Target.IsZero():
		return Decision{Reason: "no target"}
	case !found:
		return Decision{Reason: "this replica is not among the replicas"}
	case self.Leaving:
		return Decision{Reason: "this replica is leaving"}
	case self.Serving == req.Target && !req.ServingNothing:
		return Decision{Reason: "the target is served"}
	case req.ServingNothing:
		return Decision{Allowed: true, Reason: "nothing is served, so nothing is lost"}
	}
	counted := req.possiblyOut(self)
	limit := max(1, req.MaxUnavailable)
	decision := Decision{
		Allowed:    len(counted) < limit,
		WaitingFor: ids(counted),
		Blocked:    slices.ContainsFunc(counted, longSilent),
	}
	decision.Reason = reason(decision, counted, limit)
	decision.Blocked = decision.Blocked && !decision.Allowed
	return decision
}

// NextOrder returns the Order that the requesting replica should publish: its
// own or a higher one.
//
// A replica that has not yet fetched its chunks lets those behind it that have
// go first; otherwise one stalled link would block its zone. Moving back is
// safe with stale knowledge, since others still see the replica further ahead
// and wait; moving ahead would not be, so an Order never decreases.
func NextOrder(req Request) uint64 {
	self, found := find(req.Replicas, req.Self)
	if !found {
		return 0
	}
	if self.State != gossip.StateFetching || req.ServingNothing {
		return self.Order
	}
	order := self.Order
	for _, r := range req.zonePeers(self) {
		ready := r.State == gossip.StateStaged && r.Target == req.Target && !r.Silent
		if ready && req.before(self, r) {
			order = max(order, r.Order+1)
		}
	}
	return order
}

func (req Request) zonePeers(self Replica) []Replica {
	var zone []Replica
	for _, r := range req.Replicas {
		if r.Zone == self.Zone && r.ID != self.ID {
			zone = append(zone, r)
		}
	}
	return zone
}

// possiblyOut returns the other replicas of the zone that may be out of
// service.
func (req Request) possiblyOut(self Replica) []Replica {
	var out []Replica
	for _, r := range req.zonePeers(self) {
		if req.countsAsOut(self, r) {
			out = append(out, r)
		}
	}
	return out
}

func (req Request) countsAsOut(self, r Replica) bool {
	if !r.inService() || r.Outdated || r.Revision < req.TargetSince {
		return true
	}
	if r.Serving == req.Target {
		return false
	}
	return r.Target != req.Target || req.before(r, self)
}

// before reports whether a precedes b in the order for the target.
func (req Request) before(a, b Replica) bool {
	if a.Order != b.Order {
		return a.Order < b.Order
	}
	key := req.Target.Name + "\x00" + req.Target.Manifest.String()
	weightA := gossip.Rendezvous(key, a.ID)
	weightB := gossip.Rendezvous(key, b.ID)
	if weightA != weightB {
		return weightA > weightB
	}
	return a.ID < b.ID
}

// inService reports whether r answers requests, according to its last known
// state.
func (r Replica) inService() bool {
	if r.Silent || r.Leaving {
		return false
	}
	switch r.State {
	case gossip.StateServing:
		return true
	case gossip.StateFetching, gossip.StateStaged:
		return !r.Serving.IsZero()
	default:
		return false
	}
}

func longSilent(r Replica) bool { return r.Silent && r.SilentFor > BlockedAfter }

func find(replicas []Replica, id fleet.InstanceID) (Replica, bool) {
	i := slices.IndexFunc(replicas, func(r Replica) bool { return r.ID == id })
	if i < 0 {
		return Replica{}, false
	}
	return replicas[i], true
}

func ids(replicas []Replica) []fleet.InstanceID {
	var list []fleet.InstanceID
	for _, r := range replicas {
		list = append(list, r.ID)
	}
	slices.SortFunc(list, cmp.Compare[fleet.InstanceID])
	return list
}

func reason(d Decision, counted []Replica, limit int) string {
	if d.Allowed {
		return fmt.Sprintf("%d of at most %d replicas may be out", len(counted), limit)
	}
	const shown = 3
	var names []string
	for _, r := range counted[:min(shown, len(counted))] {
		names = append(names, r.describe())
	}
	word := "waiting for"
	if d.Blocked {
		word = "blocked by silent replica, waiting for"
	}
	return fmt.Sprintf("%s %d replicas, at most %d may be out: %s", word, len(counted), limit, strings.Join(names, ", "))
}

func (r Replica) describe() string {
	if r.Silent {
		return string(r.ID) + " silent"
	}
	return string(r.ID) + " " + string(r.State)
}
