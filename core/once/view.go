package once

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
)

// view is the history of the service's server list, as far as it matters to the
// register.
//
// To determine since when this instance has been the home of a key, no history of lists
// is needed: it was not the home as long as a member that outranks it for the key was
// listed. The last time that each member was listed is sufficient.
type view struct {
	self        fleet.InstanceID
	keep        time.Duration
	readAt      time.Time // when the list was last read
	listedSince time.Time // since when self has been listed without interruption
	lastListed  map[fleet.InstanceID]time.Time
	current     map[fleet.InstanceID]bool
}

func newView(self fleet.InstanceID, keep time.Duration) view {
	return view{self: self, keep: keep, lastListed: map[fleet.InstanceID]time.Time{}}
}

// update applies a list read at now.
func (v *view) update(now time.Time, members []fleet.InstanceID) {
	current := make(map[fleet.InstanceID]bool, len(members))
	for _, member := range members {
		current[member] = true
	}
	// A member that is no longer listed counts as listed until now, since its removal
	// may have happened at any time since the last read.
	for member := range v.current {
		v.lastListed[member] = now
	}
	for member := range current {
		v.lastListed[member] = now
	}
	for member, seen := range v.lastListed {
		if !current[member] && now.Sub(seen) > v.keep {
			delete(v.lastListed, member)
		}
	}
	if current[v.self] && !v.current[v.self] {
		v.listedSince = now
	}
	v.current = current
	v.readAt = now
}

// isHome reports whether self is the home of the key in the current list.
func (v *view) isHome(key Key) bool {
	if !v.current[v.self] {
		return false
	}
	hash := xxhash.Sum64String(key.id())
	for member := range v.current {
		if member != v.self && outranks(hash, member, v.self) {
			return false
		}
	}
	return true
}

// homeSince returns since when self has been the home of the key in every list that it
// read.
func (v *view) homeSince(key Key) time.Time {
	since := v.listedSince
	hash := xxhash.Sum64String(key.id())
	for member, seen := range v.lastListed {
		if member != v.self && seen.After(since) && outranks(hash, member, v.self) {
			since = seen
		}
	}
	return since
}
