package mesh

import (
	"time"

	"chivespindle.example/core/fleet"
)

// DialPatience is how long an agent waits for an answer.
const DialPatience = dialPatience

// Links returns the number of links.
func (m *Mesh) Links() int { return len(m.links) }

// IsLinked reports whether there is a link with a process.
func (m *Mesh) IsLinked(id fleet.InstanceID) bool { return m.links[id] != nil }

// Dialling returns how many dials run.
func (m *Mesh) Dialling() int {
	fresh, slow := m.dialing(time.Now())
	return fresh + slow
}
