package mesh

import "chivespindle.example/core/fleet"

// Links returns the number of links.
func (m *Mesh) Links() int { return len(m.links) }

// IsLinked reports whether there is a link with a process.
func (m *Mesh) IsLinked(id fleet.InstanceID) bool { return m.links[id] != nil }

// MaxContacts bounds the contacts that are only known from others.
const MaxContacts = maxContacts
