package serving

import "time"

// PauseDetector detects that the process was not running for a while, because
// of a stopped virtual machine, a suspended process or a starved scheduler. The
// state held by the process is then as old as the pause, and another process
// may have acted since.
//
// Times must carry Go's monotonic clock reading. Some hosts stop the monotonic
// clock together with the machine, so a jump of the wall clock counts as well;
// a mere correction of the wall clock costs one extra refresh.
type PauseDetector struct {
	limit time.Duration
	last  time.Time
}

// NewPauseDetector returns a detector that assumes a pause if more than limit
// has passed since the last tick. Ticks should be posted several times within
// limit.
func NewPauseDetector(limit time.Duration) *PauseDetector {
	return &PauseDetector{limit: limit}
}

// Tick records that the process is running. It reports whether a pause occurred
// between this tick and the previous one.
func (d *PauseDetector) Tick(now time.Time) bool {
	paused := d.SuspectsPause(now)
	d.last = now
	return paused
}

// SuspectsPause reports whether the last tick is older than the limit. Before
// the first tick it returns true.
func (d *PauseDetector) SuspectsPause(now time.Time) bool {
	if d.last.IsZero() {
		return true
	}
	return age(now, d.last) > d.limit
}

// age returns the time from then to now by the monotonic or the wall clock,
// whichever gives the larger value.
func age(now, then time.Time) time.Duration {
	wall := now.Round(0).Sub(then.Round(0))
	return max(now.Sub(then), wall)
}

// StateSource is a source of state that a process must have read before it may
// send orders.
type StateSource uint8

const (
	// SourceConfig is the active configuration, read from peers or the
	// platform.
	SourceConfig StateSource = iota
	// SourceEngine is the engine's status.
	SourceEngine
	// SourceMembers is the state of the neighbours, which decides this
	// replica's turn.
	SourceMembers

	sourceCount
)

// String returns the source's name as it appears in logs.
func (s StateSource) String() string {
	switch s {
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

// RefreshTracker tracks which sources have to be read again after a pause. In
// the zero value none has been read.
type RefreshTracker struct {
	since     time.Time
	refreshed [sourceCount]bool
}

// Invalidate marks all sources as unread. It is called when a pause is
// detected.
func (f *RefreshTracker) Invalidate(now time.Time) {
	f.since = now
	f.refreshed = [sourceCount]bool{}
}

// Record records a read that was requested at requestedAt. The result of a
// request sent before the pause may be as old as the pause, so it does not
// count; Record then returns false.
func (f *RefreshTracker) Record(source StateSource, requestedAt time.Time) bool {
	if requestedAt.Before(f.since) {
		return false
	}
	f.refreshed[source] = true
	return true
}

// Missing returns the sources that have not been read yet.
func (f *RefreshTracker) Missing() []StateSource {
	var missing []StateSource
	for source := range sourceCount {
		if !f.refreshed[source] {
			missing = append(missing, source)
		}
	}
	return missing
}

// IsFresh reports whether all sources have been read since the last pause.
func (f *RefreshTracker) IsFresh() bool { return len(f.Missing()) == 0 }
