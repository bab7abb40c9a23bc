package node_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
	"chivespindle.example/daemon/internal/daemontest"
)

// speed makes the waits of a start, the heartbeats and the silence of a node
// pass twenty times as fast: ten seconds in half a second.
const speed = 20

// member is a process without a role and every revision that it ever had in
// force.
type member struct {
	*daemontest.Process
	link *daemontest.Link

	mu      sync.Mutex
	history []revision.Revision
}

// start runs a process whose platform is text, nil for one that is down.
func start(id fleet.InstanceID, role fleet.Role, text *daemontest.Text) *member {
	return startAs(fleet.Instance{ID: id, Role: role, Place: daemontest.Here}, 0, text)
}

func startAs(self fleet.Instance, incarnation uint64, text *daemontest.Text) *member {
	m := &member{link: daemontest.NewLink()}
	m.Process = daemontest.NewProcess(daemontest.Options{
		Self: self, Incarnation: incarnation, Text: text, Speed: speed, Link: m.link,
	})
	m.AttachNode(m.changed, nil)
	m.Run(daemontest.Handler(m.ServeNode))
	return m
}

func (m *member) changed(time.Time) {
	now := m.Revision()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now > 0 && (len(m.history) == 0 || m.history[len(m.history)-1] != now) {
		m.history = append(m.history, now)
	}
}

func (m *member) revisions() []revision.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.history
}

// introduce puts all of them on the list of each.
func introduce(members ...*member) {
	var list []fleet.Instance
	for _, m := range members {
		list = append(list, m.Self)
	}
	for _, m := range members {
		m.List.Set(list...)
	}
}

func revisionsOf(members ...*member) func() []revision.Revision {
	return func() []revision.Revision {
		var all []revision.Revision
		for _, m := range members {
			all = append(all, m.Revision())
		}
		return all
	}
}

// cut separates two groups, or joins them again.
func cut(apart bool, one, other []*member) {
	for _, a := range one {
		for _, b := range other {
			if apart {
				a.link.Cut(b.Self.PeerAddr)
				b.link.Cut(a.Self.PeerAddr)
				continue
			}
			a.link.Join(b.Self.PeerAddr)
			b.link.Join(a.Self.PeerAddr)
		}
	}
}

// hears reports whether m has heard of another lately.
func (m *member) hears(other *member) func() bool {
	return func() bool {
		p, known := m.Node.View().Peer(other.Self.ID)
		return known && !p.Silent
	}
}

// textWith is a small text that differs by rate.
func textWith(rate int) string {
	return fmt.Sprintf("[fleet]\nname = ffsan\n[workspace apapa]\nrequests_per_second = %d\n", rate)
}

// largeText is a text of nearly a megabyte that differs by rate in one section.
func largeText(rate int) string {
	const size = 1 << 20
	var text strings.Builder
	text.WriteString(textWith(rate))
	for n := 0; ; n++ {
		section := fmt.Sprintf("[workspace customer-%05d]\nrequests_per_second = 5\nburst = 20\n", n)
		if text.Len()+len(section) > size {
			return text.String()
		}
		text.WriteString(section)
	}
}
