// Package follow compares successive statuses of a fleet: what has changed from
// one to the next, and whether a rollout has finished. It does no I/O.
package follow

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/status"
)

// ConfigRefused means that the fleet refuses the newest configuration, so that
// the rollout will not start.
var ConfigRefused = failure.Refused.NewSubtype("text")

// Options of a Follower.
type Options struct {
	// Services lists the services to follow; empty means all of the
	// configuration.
	Services []fleet.ServiceName
	// MinRevision is the revision that must be active before a rollout can be
	// finished; 0 means the highest revision seen.
	MinRevision revision.Revision
	// Instances adds an event for each change of one replica.
	Instances bool
}

// Follower holds the state derived from the statuses so far. It is not safe for
// concurrent use.
type Follower struct {
	opts    Options
	highest revision.Revision // seen in any report

	entry            fleet.InstanceID
	revision         revision.Revision // active in the last status observed
	platformRevision revision.Revision
	refused          []string
	conflicts        int
	progress         map[fleet.ServiceName]Progress
	members          map[fleet.InstanceID]status.Member
	waiting          []status.Member // replicas that do not serve their target
	missing          []fleet.ServiceName
}

// New returns a Follower that has observed no status.
func New(opts Options) *Follower {
	return &Follower{opts: opts, highest: opts.MinRevision}
}

// Observe processes the next status and returns what changed. A status with a
// lower revision than an earlier one is ignored: the entry that sent it is
// outdated, and the fleet has not rolled back.
func (f *Follower) Observe(s *status.Entry) []Event {
	f.updateHighest(s)
	if s.Revision < f.revision {
		return nil
	}
	events := f.observeConfig(s)
	members := make(map[fleet.InstanceID]status.Member, len(s.Fleet))
	for _, m := range s.Fleet {
		members[m.ID] = m
	}
	if f.opts.Instances && f.members != nil {
		events = append(events, f.instanceEvents(members)...)
	}
	events = append(events, f.observeServices(s)...)
	f.members = members
	return events
}

// updateHighest updates the highest revision seen. A process may have activated
// one that the responding entry does not know yet.
func (f *Follower) updateHighest(s *status.Entry) {
	f.highest = max(f.highest, s.Revision, s.Config.PlatformRevision)
	for _, m := range s.Fleet {
		f.highest = max(f.highest, m.Revision)
	}
}

func (f *Follower) observeConfig(s *status.Entry) []Event {
	var events []Event
	if s.Revision != f.revision || f.entry == "" {
		events = append(events, Event{Kind: KindRevision, Entry: s.ID, Revision: s.Revision, Fleet: s.Config.Name})
	}
	for _, faults := range s.Config.Refused {
		if !slices.Contains(f.refused, faults) {
			events = append(events, Event{Kind: KindRefused, Entry: s.ID, Reason: faults})
		}
	}
	if s.Config.Conflicts > f.conflicts {
		events = append(events, Event{Kind: KindConflict, Entry: s.ID, Revision: s.Revision})
	}
	f.entry = s.ID
	f.revision = s.Revision
	f.platformRevision = s.Config.PlatformRevision
	f.refused = s.Config.Refused
	f.conflicts = s.Config.Conflicts
	return events
}

func (f *Follower) observeServices(s *status.Entry) []Event {
	var events []Event
	before := f.progress
	f.progress = make(map[fleet.ServiceName]Progress)
	f.waiting = nil
	f.missing = slices.Clone(f.opts.Services)
	for _, service := range s.Services {
		if !f.isFollowed(service.Service) {
			continue
		}
		f.missing = slices.DeleteFunc(f.missing, func(n fleet.ServiceName) bool { return n == service.Service })
		now, waiting := countReplicas(service, s.Fleet)
		f.progress[service.Service] = now
		f.waiting = append(f.waiting, waiting...)
		if now != before[service.Service] {
			events = append(events, Event{Kind: KindService, Service: &now})
		}
	}
	return events
}

func (f *Follower) isFollowed(service fleet.ServiceName) bool {
	return len(f.opts.Services) == 0 || slices.Contains(f.opts.Services, service)
}

func (f *Follower) instanceEvents(members map[fleet.InstanceID]status.Member) []Event {
	var events []Event
	for _, id := range slices.Sorted(maps.Keys(members)) {
		now := members[id]
		if before, known := f.members[id]; f.isRelevant(now) && (!known || hasChanged(before, now)) {
			events = append(events, Event{Kind: KindInstance, Instance: &now})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.members)) {
		before := f.members[id]
		if _, still := members[id]; f.isRelevant(before) && !still {
			events = append(events, Event{Kind: KindGone, Instance: &before})
		}
	}
	return events
}

func (f *Follower) isRelevant(m status.Member) bool {
	return m.Role == fleet.RoleAgent && f.isFollowed(m.Service)
}

// hasChanged ignores the revision, because that of other zones is reported
// late.
func hasChanged(a, b status.Member) bool {
	a.Revision = b.Revision
	return a != b
}

// Done reports whether every replica of the services, leaving ones excluded,
// serves its target in the highest revision seen. A service without a replica
// is not served. The error says why the rollout cannot finish: ConfigRefused,
// or failure.NotFound for a service that the configuration does not have.
func (f *Follower) Done() (bool, error) {
	if f.revision < f.highest {
		// The platform's newest configuration may be one that was refused. One
		// that is active at some process was not.
		if len(f.refused) > 0 && f.platformRevision == f.highest {
			return false, ConfigRefused.New("%s refuses revision %d: %s", f.entry, f.platformRevision, strings.Join(f.refused, "; "))
		}
		return false, nil
	}
	if f.revision == 0 {
		return false, nil
	}
	if len(f.missing) > 0 {
		return false, failure.NotFound.New("revision %d has no service %s", f.revision, joinNames(f.missing))
	}
	for _, p := range f.progress {
		if !p.Done() {
			return false, nil
		}
	}
	return true, nil
}

// Revision returns the active revision in the last status observed.
func (f *Follower) Revision() revision.Revision { return f.revision }

// Pending describes briefly what has not finished.
func (f *Follower) Pending() string {
	if f.revision < f.highest {
		return fmt.Sprintf("revision %d is not in force at %s, which has %d", f.highest, f.entry, f.revision)
	}
	var reasons []string
	for _, name := range slices.Sorted(maps.Keys(f.progress)) {
		if p := f.progress[name]; !p.Done() {
			reasons = append(reasons, p.String())
		}
	}
	return strings.Join(append(reasons, describeWaiting(f.waiting)...), "; ")
}

// maxListedReplicas bounds the replicas listed in one line.
const maxListedReplicas = 8

func describeWaiting(waiting []status.Member) []string {
	if len(waiting) == 0 {
		return nil
	}
	var names []string
	for _, m := range waiting[:min(len(waiting), maxListedReplicas)] {
		names = append(names, string(m.ID))
	}
	text := "waiting for " + strings.Join(names, ", ")
	if len(waiting) > maxListedReplicas {
		text += " and others"
	}
	return []string{text}
}

func joinNames(names []fleet.ServiceName) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}
