package fleet

import "github.com/cespare/xxhash/v2"

// StartTime is when a server's process started, by its own clock in Unix milliseconds; 0
// if it is not reported. A server that restarts under the same ID keeps no state.
type StartTime int64

// Replaces reports whether s is a different start of the same server than before. The
// clock may have been set back in between, so any different time is a different start.
func (s StartTime) Replaces(before StartTime) bool { return s != 0 && before != 0 && s != before }

// RendezvousRank returns the rank by which one process orders another, as in rendezvous
// hashing. It is the same at every call and differs between processes, so that their
// choices are distributed evenly.
func RendezvousRank(by, other InstanceID) uint64 {
	return xxhash.Sum64String(string(by) + "\x00" + string(other))
}
