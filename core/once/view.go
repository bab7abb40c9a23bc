package once

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
)

// view is what the register knows of the service's servers over time.
//
// Whether this instance has been the home of a key for some time needs no
// history of lists: it was not, as long as a member that outranks it for the
// key was listed. So the last time that each member was listed is enough.
type view struct {
	self     fleet.InstanceID
	keep     time.Duration
	read     time.Time // when the list was read last
	listed   time.Time // since when self has been listed without a break
	lastSeen map[fleet.InstanceID]time.Time
	current  map[fleet.InstanceID]bool
}

func newView(self fleet.InstanceID, keep time.Duration) view {
	return view{self: self, keep: keep, lastSeen: map[fleet.InstanceID]time.Time{}}
}

// update takes in a list read at now.
func (v *view) update(now time.Time, members []fleet.InstanceID) {
	current := make(map[fleet.InstanceID]bool, len(members))
	for _, member := range members {
		current[member] = true
	}
	// One that is gone from the list was in it until this moment, as far as
	// is known here.
	for member := range v.current {
		v.lastSeen[member] = now
	}
	for member := range current {
		v.lastSeen[member] = now
	}
	for member, seen := range v.lastSeen {
		if !current[member] && now.Sub(seen) > v.keep {
			delete(v.lastSeen, member)
		}
	}
	if current[v.self] && !v.current[v.self] {
		v.listed = now
	}
	v.current = current
	v.read = now
}

// isHome reports whether self is the home of the key in the present list.
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

// homeSince returns since when self has been the home of the key in every
// list that it read.
func (v *view) homeSince(key Key) time.Time {
	since := v.listed
	hash := xxhash.Sum64String(key.id())
	for member, seen := range v.lastSeen {
		if member != v.self && seen.After(since) && outranks(hash, member, v.self) {
			since = seen
		}
	}
	return since
}
