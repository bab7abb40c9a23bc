// Package rollout decides which replicas of a service may be out of service to
// change their version. There is no leader: each replica decides for itself
// from what it knows of the others, which may be stale.
//
// # The rule
//
// Replicas are counted per availability zone, so that the parts of a
// partitioned fleet can both make progress. The replicas of a zone with the
// same target are ordered by Turn, then by rendezvous hash of target and id. A
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
// back within the period of one target, that its Turn never decreases, not even
// when its process restarts, and that it keeps its Turn while it is out.
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
	// Behind: a neighbour holds a newer state of the replica.
	Behind  bool
	State   gossip.State
	Serving fleet.Version
	Target  fleet.Version
	// Turn is the replica's position in the order, see the function Turn.
	Turn uint64
	// Revision is the revision of the configuration that the replica followed
	// when it reported this state.
	Revision revision.Revision
}

// Question is the request of one replica to leave service for a change.
type Question struct {
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
	Go bool
	// Reason is for logs and status.
	Reason string
	// Waiting are the replicas that were counted as possibly out, sorted by id.
	Waiting []fleet.InstanceID
	// Blocked: one of them has been silent for more than BlockedAfter and the
	// platform still lists it. Only an operator can determine whether it is
	// gone, so an alarm is required.
	Blocked bool
}

// Decide reports whether the requesting replica may leave service now.
func Decide(q Question) Decision {
	self, found := find(q.Replicas, q.Self)
	switch {
	case q.Target.IsZero():
		return Decision{Reason: "no target"}
	case !found:
		return Decision{Reason: "this replica is not among the replicas"}
	case self.Leaving:
		return Decision{Reason: "this replica is leaving"}
	case self.Serving == q.Target && !q.ServingNothing:
		return Decision{Reason: "the target is served"}
	case q.ServingNothing:
		return Decision{Go: true, Reason: "nothing is served, so nothing is lost"}
	}
	counted := q.possiblyOut(self)
	limit := max(1, q.MaxUnavailable)
	decision := Decision{
		Go:      len(counted) < limit,
		Waiting: ids(counted),
		Blocked: slices.ContainsFunc(counted, longSilent),
	}
	decision.Reason = reason(decision, counted, limit)
	decision.Blocked = decision.Blocked && !decision.Go
	return decision
}

// Turn returns the Turn that the requesting replica should publish: its own or
// a higher one.
//
// A replica that has not yet fetched its chunks lets those behind it that have
// go first; otherwise one stalled link would block its zone. Moving back is
// safe with stale knowledge, since others still see the replica further ahead
// and wait; moving ahead would not be, so a Turn never decreases.
func Turn(q Question) uint64 {
	self, found := find(q.Replicas, q.Self)
	if !found {
		return 0
	}
	if self.State != gossip.StateFetching || q.ServingNothing {
		return self.Turn
	}
	turn := self.Turn
	for _, r := range q.zonePeers(self) {
		ready := r.State == gossip.StateStaged && r.Target == q.Target && !r.Silent
		if ready && q.before(self, r) {
			turn = max(turn, r.Turn+1)
		}
	}
	return turn
}

func (q Question) zonePeers(self Replica) []Replica {
	var zone []Replica
	for _, r := range q.Replicas {
		if r.Zone == self.Zone && r.ID != self.ID {
			zone = append(zone, r)
		}
	}
	return zone
}

// possiblyOut returns the other replicas of the zone that may be out of service.
func (q Question) possiblyOut(self Replica) []Replica {
	var out []Replica
	for _, r := range q.zonePeers(self) {
		if q.countsAsOut(self, r) {
			out = append(out, r)
		}
	}
	return out
}

func (q Question) countsAsOut(self, r Replica) bool {
	if !r.inService() || r.Behind || r.Revision < q.TargetSince {
		return true
	}
	if r.Serving == q.Target {
		return false
	}
	return r.Target != q.Target || q.before(r, self)
}

// before reports whether a precedes b in the order for the target.
func (q Question) before(a, b Replica) bool {
	if a.Turn != b.Turn {
		return a.Turn < b.Turn
	}
	key := q.Target.Name + "\x00" + q.Target.Manifest.String()
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
	if d.Go {
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
