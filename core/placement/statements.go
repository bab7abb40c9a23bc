package placement

import (
	"time"

	"chivespindle.example/core/fleet"
)

// statementRetention is how long the statements of an unlisted server are kept. Its
// registration may only have lapsed.
const statementRetention = 10 * time.Minute

// statements is what a server has stated about itself in its responses.
type statements struct {
	// leaving is final: a server that shuts down does not return under the same ID.
	leaving bool
	backoff backoff
	// unlistedAt is when the server left the list; zero while it is listed.
	unlistedAt time.Time
}

// RecordLeaving records that a server stated that it is shutting down, and reports
// whether it is the first time. The server gets no further requests.
func (b *Balancer) RecordLeaving(now time.Time, id fleet.InstanceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statementsOf(now, id)
	if s.leaving {
		return false
	}
	s.leaving = true
	if st := b.servers[id]; st != nil {
		st.Leaving = true
		b.regions.recount(now, b.servers)
	}
	return true
}

// StatesLeaving reports whether a server has stated that it is shutting down.
func (b *Balancer) StatesLeaving(id fleet.InstanceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.statesLeaving(id)
}

func (b *Balancer) statesLeaving(id fleet.InstanceID) bool {
	s := b.statements[id]
	return s != nil && s.leaving
}

// statementsOf returns the statements of a server, which may be unlisted.
func (b *Balancer) statementsOf(now time.Time, id fleet.InstanceID) *statements {
	s := b.statements[id]
	if s == nil {
		s = &statements{}
		if st := b.servers[id]; st != nil {
			st.statements = s
		} else {
			s.unlistedAt = now
		}
		b.statements[id] = s
	}
	return s
}

// retainStatements drops the statements of servers that have been unlisted for
// statementRetention.
func (b *Balancer) retainStatements(now time.Time) {
	for id, s := range b.statements {
		switch {
		case b.servers[id] != nil:
			s.unlistedAt = time.Time{}
		case s.unlistedAt.IsZero():
			s.unlistedAt = now
		case now.Sub(s.unlistedAt) >= statementRetention:
			delete(b.statements, id)
		}
	}
}
