package mesh

import "chivespindle.example/core/fleet"

// Links returns the number of links.
func (m *Mesh) Links() int { return len(m.links) }

// IsLinked reports whether there is a link with a process.
func (m *Mesh) IsLinked(id fleet.InstanceID) bool { return m.links[id] != nil }

// Dialling returns how many dials run.
func (m *Mesh) Dialling() int {
	n := 0
	for _, c := range m.contacts {
		if c.dialing {
			n++
		}
	}
	return n
}
