// Package bootclock detects that the process was suspended. After it resumes,
// its state is outdated, and Go's monotonic clock does not include the time for
// which the instance was suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Stopwatch measures the time between calls with CLOCK_BOOTTIME, which includes
// suspension. It is used by one goroutine.
type Stopwatch struct {
	last time.Duration
}

// Elapsed returns the time since the last call, including suspension; 0 at the
// first call and if the clock cannot be read.
func (w *Stopwatch) Elapsed() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	current := time.Duration(now.Nano())
	elapsed := current - w.last
	if w.last == 0 {
		elapsed = 0
	}
	w.last = current
	return elapsed
}
