package fleet

import "github.com/cespare/xxhash/v2"

// Start is when a server's process started, by its own clock in Unix
// milliseconds; 0 if it did not say. A server that starts again under its id
// holds and knows nothing of before.
type Start int64

// Replaces reports whether s is another start of the same server than before.
// The clock may have been set back in between, so any other time is another
// start.
func (s Start) Replaces(before Start) bool { return s != 0 && before != 0 && s != before }

// RankOf is the weight by which one process orders others, the same at every
// call and different at each process, so that together they choose evenly.
func RankOf(by, other InstanceID) uint64 {
	return xxhash.Sum64String(string(by) + "\x00" + string(other))
}
