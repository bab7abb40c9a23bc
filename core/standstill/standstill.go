// Package standstill tells since when a signal to a process may have been pending. A process cannot read
// when a signal was sent, but one that handles signals whenever it runs cannot have got it before it
// last ran.
package standstill

import (
	"sync"
	"time"
)

const (
	// minStandstill is the shortest time between two records that counts as a standstill. Waits for a
	// processor are mostly shorter.
	minStandstill = 100 * time.Millisecond
	// settleTime is how long a process that runs again after a standstill may take to handle a signal that
	// came meanwhile. Until then it also records that it runs.
	settleTime = 200 * time.Millisecond
	// records is the number of records that are kept, enough for settleTime and a few standstills.
	records = 32
)

// Recorder remembers when the process ran. It is safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	ran  [records]time.Time // a ring
	next int
}

// Tick records that the process runs. Times must not decrease. It has to be called several times in
// minStandstill.
func (r *Recorder) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[r.next] = now
	r.next = (r.next + 1) % records
}

// PendingSince returns since when a signal that is received now may have been pending: since the last
// record, or since the process stood still shortly before.
func (r *Recorder) PendingSince(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, later := now, now
	hasRun := time.Duration(0) // in all since then
	for n := 1; n <= records && hasRun <= settleTime; n++ {
		ran := r.ran[(r.next-n+records)%records]
		if ran.IsZero() {
			break
		}
		between := later.Sub(ran)
		if n == 1 || between >= minStandstill {
			since = ran
		}
		if between < minStandstill {
			hasRun += between
		}
		later = ran
	}
	return since
}
