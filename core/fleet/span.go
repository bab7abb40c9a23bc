package fleet

import "time"

// maxSpan is far above any time that processes report to each other. It is short enough that
// the sum of two spans does not overflow.
const maxSpan = 100 * 365 * 24 * time.Hour

// Span converts a number of milliseconds in another process's message, bounded by maxSpan in
// both directions. A higher number would overflow, and an age could become a time in the
// future. A version that was named during an outage has a negative age.
func Span(ms int64) time.Duration {
	return time.Duration(min(max(-maxSpan.Milliseconds(), ms), maxSpan.Milliseconds())) * time.Millisecond
}

// Ago returns the time that another process reports by its age in milliseconds. It is never
// in the future, or the report would displace all later ones and not expire.
func Ago(now time.Time, ageMS int64) time.Time { return now.Add(-Span(max(0, ageMS))) }
