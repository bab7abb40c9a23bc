// Package resend decides when the first packets of a handshake that nobody has
// answered are sent again.
//
// It answers the load of a fleet that starts within a moment, as after a loss of
// power: packets that arrive before the other process listens are lost, and a
// transport that knows no round trip yet waits long, and each time twice as long,
// until it sends others. Packets that are sent again are the same ones, so a
// process that answers late, being busy, takes them for copies and works on one
// handshake; new handshakes would add to its work.
package resend

import "time"

// Schedule is when first packets are sent again.
type Schedule struct {
	// Pauses lie before each time.
	Pauses []time.Duration
	// For is how long after its own start a process sends them again. Later, an
	// address that does not answer is seldom one that is about to.
	For time.Duration
}

// Default is the schedule of connections between processes of a fleet that starts
// within about half a second. The transport sends others 0.2 and 0.6 s after the
// first.
func Default() Schedule {
	const step = 100 * time.Millisecond
	return Schedule{Pauses: []time.Duration{step, 2 * step, step, step}, For: 800 * time.Millisecond}
}

// Next returns the pause before packets that were sent again so many times are
// sent once more by a process of an age; false if they are not.
func (s Schedule) Next(age time.Duration, times int) (time.Duration, bool) {
	if age > s.For || times >= len(s.Pauses) {
		return 0, false
	}
	return s.Pauses[times], true
}
