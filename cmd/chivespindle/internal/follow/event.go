package follow

import (
	"fmt"
	"strings"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/status"
)

// Kind is the kind of an Event.
type Kind string

// Kinds of events.
const (
	// KindRevision: the entry has another active configuration.
	KindRevision Kind = "revision"
	// KindRefused: the entry refuses a configuration newer than the active one.
	KindRefused Kind = "refused"
	// KindConflict: there is another configuration under the active revision.
	KindConflict Kind = "conflict"
	// KindService: the replica counts of a service have changed.
	KindService Kind = "service"
	// KindInstance: a replica is new or its state has changed.
	KindInstance Kind = "instance"
	// KindGone: a replica is no longer listed.
	KindGone Kind = "gone"
	// KindFinished: the rollout has finished.
	KindFinished Kind = "finished"
	// KindUnanswered: no entry responds at present.
	KindUnanswered Kind = "unanswered"
)

// Event is one change. Fields that do not apply to its kind are zero.
type Event struct {
	Kind     Kind              `json:"event"`
	Entry    fleet.InstanceID  `json:"entry,omitempty"`
	Fleet    string            `json:"fleet,omitempty"`
	Revision revision.Revision `json:"revision,omitempty"`
	Service  *Progress         `json:"service,omitempty"`
	Instance *status.Member    `json:"instance,omitempty"`
	Reason   string            `json:"reason,omitempty"`
}

// String returns the event as one line.
func (e Event) String() string {
	switch e.Kind {
	case KindRevision:
		if e.Revision == 0 {
			return fmt.Sprintf("no text is in force at %s", e.Entry)
		}
		return fmt.Sprintf("revision %d of fleet %s is in force at %s", e.Revision, e.Fleet, e.Entry)
	case KindRefused:
		return fmt.Sprintf("%s refuses a text: %s", e.Entry, oneLine(e.Reason))
	case KindConflict:
		return fmt.Sprintf("%s knows of another text under revision %d", e.Entry, e.Revision)
	case KindService:
		return e.Service.String()
	case KindInstance:
		return describeInstance(*e.Instance)
	case KindGone:
		return fmt.Sprintf("%s %s: gone", e.Instance.Service, e.Instance.ID)
	case KindFinished:
		return fmt.Sprintf("finished: every replica serves revision %d", e.Revision)
	default:
		return oneLine(e.Reason)
	}
}

func oneLine(text string) string { return strings.ReplaceAll(text, "\n", "; ") }

func describeInstance(m status.Member) string {
	state := string(m.State)
	switch {
	case m.State == "":
		state = "not heard of"
	case m.Serving.IsZero():
	case m.State == gossip.StateServing:
		state += " " + m.Serving.String()
	default:
		state += ", serves " + m.Serving.String()
	}
	if m.Leaving {
		state += ", leaving"
	}
	if m.Silent {
		state += ", silent"
	}
	return fmt.Sprintf("%s %s: %s", m.Service, m.ID, state)
}

// Progress counts the replicas of a service by state. Each replica is counted
// once.
type Progress struct {
	Service  fleet.ServiceName `json:"service"`
	Target   fleet.Version     `json:"target"` // zero for a plain service
	Replicas int               `json:"replicas"`
	Serving  int               `json:"serving"` // the target
	Changing int               `json:"changing"`
	Staged   int               `json:"staged"`
	Fetching int               `json:"fetching"`
	Starting int               `json:"starting"`
	Other    int               `json:"other"` // serving another version
	Silent   int               `json:"silent"`
	Leaving  int               `json:"leaving"` // silent or not
}

// countReplicas counts the replicas and returns those that should serve the
// target but do not.
func countReplicas(service status.Service, members []status.Member) (Progress, []status.Member) {
	p := Progress{Service: service.Service, Target: service.Target}
	var waiting []status.Member
	for _, m := range members {
		if m.Role != fleet.RoleAgent || m.Service != service.Service {
			continue
		}
		p.Replicas++
		counter := p.counter(m)
		*counter++
		if counter != &p.Serving && counter != &p.Leaving {
			waiting = append(waiting, m)
		}
	}
	return p, waiting
}

// counter returns the field in which a replica is counted.
func (p *Progress) counter(m status.Member) *int {
	switch {
	case m.Leaving:
		return &p.Leaving
	case m.Silent:
		return &p.Silent
	case m.State == gossip.StateServing && m.Serving == p.Target:
		return &p.Serving
	case m.State == gossip.StateChanging:
		return &p.Changing
	case m.State == gossip.StateStaged:
		return &p.Staged
	case m.State == gossip.StateFetching:
		return &p.Fetching
	case m.State == gossip.StateServing:
		return &p.Other
	default:
		return &p.Starting
	}
}

// Done reports whether every replica that is not leaving serves the target.
func (p Progress) Done() bool {
	return p.Serving > 0 && p.Serving == p.Replicas-p.Leaving
}

// String returns the progress as one line.
func (p Progress) String() string {
	text := fmt.Sprintf("%s: %d of %d serve", p.Service, p.Serving, p.Replicas)
	if !p.Target.IsZero() {
		text += " " + p.Target.String()
	}
	for _, part := range []struct {
		count int
		words string
	}{
		{p.Changing, "changing"}, {p.Staged, "staged"}, {p.Fetching, "fetching"}, {p.Starting, "starting"},
		{p.Other, "on another version"}, {p.Silent, "silent"}, {p.Leaving, "leaving"},
	} {
		if part.count > 0 {
			text += fmt.Sprintf(", %d %s", part.count, part.words)
		}
	}
	return text
}
