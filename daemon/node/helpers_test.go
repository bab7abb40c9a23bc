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

// clockSpeed is the speed of the control loop's clock relative to real time,
// which shortens start-up delays, heartbeats and silence timeouts: 10 s pass in
// 0.5 s.
const clockSpeed = 20

// testProcess is a process without a role, with the history of its active
// revisions.
type testProcess struct {
	*daemontest.Process
	link *daemontest.Link

	mu      sync.Mutex
	history []revision.Revision
}

// start runs a process that reads its configuration from config, or whose
// platform is down if config is nil.
func start(id fleet.InstanceID, role fleet.Role, config *daemontest.ConfigService) *testProcess {
	return startAs(fleet.Instance{ID: id, Role: role, Place: daemontest.LocalPlace}, 0, config)
}

func startAs(self fleet.Instance, incarnation uint64, config *daemontest.ConfigService) *testProcess {
	m := &testProcess{link: daemontest.NewLink()}
	m.Process = daemontest.NewProcess(daemontest.Options{
		Self: self, Incarnation: incarnation, Config: config, Speed: clockSpeed, Link: m.link,
	})
	m.AttachNode(m.recordRevision, nil)
	m.Run(daemontest.Handler(m.ServeNode))
	return m
}

func (m *testProcess) recordRevision(time.Time) {
	current := m.Revision()
	m.mu.Lock()
	defer m.mu.Unlock()
	if current > 0 && (len(m.history) == 0 || m.history[len(m.history)-1] != current) {
		m.history = append(m.history, current)
	}
}

func (m *testProcess) revisions() []revision.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.history
}

// listEachOther puts all processes on the instance list of each.
func listEachOther(members ...*testProcess) {
	var list []fleet.Instance
	for _, m := range members {
		list = append(list, m.Self)
	}
	for _, m := range members {
		m.Instances.Set(list...)
	}
}

func revisionsOf(members ...*testProcess) func() []revision.Revision {
	return func() []revision.Revision {
		var all []revision.Revision
		for _, m := range members {
			all = append(all, m.Revision())
		}
		return all
	}
}

// setPartition separates two groups, or reconnects them.
func setPartition(partitioned bool, left, right []*testProcess) {
	for _, a := range left {
		for _, b := range right {
			if partitioned {
				a.link.Block(b.Self.PeerAddr)
				b.link.Block(a.Self.PeerAddr)
				continue
			}
			a.link.Unblock(b.Self.PeerAddr)
			b.link.Unblock(a.Self.PeerAddr)
		}
	}
}

// sees returns a function that reports whether m has received current records of
// another process.
func (m *testProcess) sees(other *testProcess) func() bool {
	return func() bool {
		p, known := m.Node.View().Peer(other.Self.ID)
		return known && !p.Silent
	}
}

// configWith returns a small configuration that differs by requestRate.
func configWith(requestRate int) string {
	return fmt.Sprintf("[fleet]\nname = ffsan\n[workspace apapa]\nrequests_per_second = %d\n", requestRate)
}

// largeConfig returns a configuration of nearly a megabyte that differs by
// requestRate in one section.
func largeConfig(requestRate int) string {
	const size = 1 << 20
	var text strings.Builder
	text.WriteString(configWith(requestRate))
	for n := 0; ; n++ {
		section := fmt.Sprintf("[workspace customer-%05d]\nrequests_per_second = 5\nburst = 20\n", n)
		if text.Len()+len(section) > size {
			return text.String()
		}
		text.WriteString(section)
	}
}
