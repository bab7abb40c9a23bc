package serving

import "time"

// PauseDetector finds out that the process was not running for a while: a
// stopped virtual machine, a suspended process, a starved scheduler. What the
// process believes is then as old as the pause, and another may have acted
// since.
//
// Times must carry Go's monotonic reading. Some hosts stop the monotonic
// clock with the machine, so a jump of the wall clock counts too; a mere
// correction of the wall clock costs one more read of everything.
type PauseDetector struct {
	limit time.Duration
	last  time.Time
}

// NewPauseDetector returns a detector that suspects a pause when the time
// since the last tick exceeds limit. Ticks should come several times within
// limit.
func NewPauseDetector(limit time.Duration) *PauseDetector {
	return &PauseDetector{limit: limit}
}

// Tick notes that the process runs. It reports whether a pause lies between
// this tick and the one before.
func (d *PauseDetector) Tick(now time.Time) bool {
	paused := d.SuspectsPause(now)
	d.last = now
	return paused
}

// SuspectsPause reports whether the last tick is too long ago. It is asked just
// before an order is sent. Before the first tick it is true.
func (d *PauseDetector) SuspectsPause(now time.Time) bool {
	if d.last.IsZero() {
		return true
	}
	return age(now, d.last) > d.limit
}

// age returns how long ago then was, by the clock that says more.
func age(now, then time.Time) time.Duration {
	wall := now.Round(0).Sub(then.Round(0))
	return max(now.Sub(then), wall)
}

// StateSource is something that a process must have read before it may order.
type StateSource uint8

const (
	// SourceConfig is the text in force, as peers or the platform give it.
	SourceConfig StateSource = iota
	// SourceEngine is the engine's status.
	SourceEngine
	// SourceMembers is what the neighbours say, on which the own turn rests.
	SourceMembers

	readings
)

// String returns the reading's name for logs.
func (r StateSource) String() string {
	switch r {
	case SourceConfig:
		return "config"
	case SourceEngine:
		return "engine"
	case SourceMembers:
		return "members"
	default:
		return "unknown"
	}
}

// RefreshTracker tells what has to be read again after a pause. The zero value has
// read nothing.
type RefreshTracker struct {
	since time.Time
	read  [readings]bool
}

// Invalidate forgets all readings. It is called when a pause is found.
func (f *RefreshTracker) Invalidate(now time.Time) {
	f.since = now
	f.read = [readings]bool{}
}

// Record notes a reading that was asked for at asked. An answer to a question
// that was asked before the pause may be as old as the pause, so it does not
// count; Record then returns false.
func (f *RefreshTracker) Record(r StateSource, asked time.Time) bool {
	if asked.Before(f.since) {
		return false
	}
	f.read[r] = true
	return true
}

// Missing returns what is still to be read.
func (f *RefreshTracker) Missing() []StateSource {
	var missing []StateSource
	for r := range readings {
		if !f.read[r] {
			missing = append(missing, r)
		}
	}
	return missing
}

// IsFresh reports whether everything has been read since the last pause.
func (f *RefreshTracker) IsFresh() bool { return len(f.Missing()) == 0 }
