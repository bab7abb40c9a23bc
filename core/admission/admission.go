// Package admission decides whether a request is admitted.
//
// A Limiter enforces the rate limit of a workspace across all entries; FairShare
// divides the limit between them without a shared store. A ConcurrencyLimit finds the
// capacity of a server in concurrent requests. A Queue holds the requests that wait for
// a slot, ordered by priority, and refuses immediately those that cannot be served in
// time. A Deadline travels with a request and does not depend on synchronized clocks.
// docs/design/limits.md compares the alternatives.
//
// All types that hold state are safe for concurrent use if their Rand is; a
// *rand.Rand is not.
package admission

import "time"

// Rand is a source of random numbers. A *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// minPause is the shortest time that a refused client is asked to wait.
const minPause = time.Second

// maxPause is the longest such time before jitter is added.
const maxPause = 30 * time.Second

// jitter returns a random pause of one to three times base, which is first clamped to
// minPause and maxPause. Callers that are refused together then do not retry together.
func jitter(base time.Duration, rnd Rand) time.Duration {
	base = min(max(base, minPause), maxPause)
	return time.Duration(float64(base) * (1 + 2*rnd.Float64()))
}
