package catalog

import (
	"strconv"

	"chivespindle.example/core/failure"
)

// Revision is a position in what the platform publishes: the era of its store and, within
// the era, the store's revision counter, which each change increases. A store that returns
// from an older copy begins an era and gives out counters again. Revisions are ordered by
// era first, so that all that is read after the return is newer than all that was read
// before it. 0 means that nothing is known.
type Revision int64

const (
	// counterBits is the number of bits of a Revision that hold the counter: enough for
	// 10,000 changes a second for three years. The era has the other bits but the sign.
	counterBits = 40
	maxCounter  = 1<<counterBits - 1
	maxEra      = 1<<(63-counterBits) - 1
)

// NewRevision returns the revision of a counter in an era, 0 if the counter is not above 0.
// The era is 0 for a platform that states none. It returns failure.Corrupt if a number is
// out of range.
func NewRevision(era, counter int64) (Revision, error) {
	if era < 0 || era > maxEra || counter > maxCounter {
		return 0, failure.Corrupt.New("era %d or revision %d is out of range", era, counter)
	}
	if counter <= 0 {
		return 0, nil
	}
	return Revision(era<<counterBits | counter), nil
}

// Era returns the era of the store.
func (r Revision) Era() int64 { return int64(r >> counterBits) }

// Counter returns the store's revision counter.
func (r Revision) Counter() int64 { return int64(r & maxCounter) }

// String returns the era, if there is one, and the counter, as in "6/22".
func (r Revision) String() string {
	counter := strconv.FormatInt(r.Counter(), 10)
	if r.Era() == 0 {
		return counter
	}
	return strconv.FormatInt(r.Era(), 10) + "/" + counter
}
