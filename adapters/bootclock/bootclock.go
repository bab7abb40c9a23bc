// Package bootclock finds out that the process did not run for a while. A
// process that wakes up still believes what was true before, and the clock that
// Go measures with does not count the time for which an instance was
// suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Watch compares the clock that counts suspension with the time between two
// calls. It is used by one goroutine.
type Watch struct {
	last time.Duration
}

// Elapsed returns the time since the last call, suspension included; 0 at the
// first call and if the clock cannot be read.
func (w *Watch) Elapsed() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	at := time.Duration(now.Nano())
	elapsed := at - w.last
	if w.last == 0 {
		elapsed = 0
	}
	w.last = at
	return elapsed
}
