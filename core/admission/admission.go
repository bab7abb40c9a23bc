// Package admission decides whether a request may go in at all.
//
// A Limiter holds a workspace to its limit over all entries; FairShare splits
// the limit between them without a shared store. A Concurrency finds the
// capacity of a server in concurrent requests. A Room keeps the requests that wait for a
// slot, the important ones in front, and refuses at once those that cannot be
// served in time. A Deadline travels with a request without trusting that two
// machines' clocks agree. docs/design/limits.md weighs the ways.
//
// All types that hold state are safe for concurrent use, provided that the
// Rand is; a *rand.Rand is not.
package admission

import "time"

// Rand is the source of chance. A *rand.Rand of math/rand/v2 fits.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// shortestPause is the least that a refused caller is asked to wait.
const shortestPause = time.Second

// longestPause is the most, before it is spread.
const longestPause = 30 * time.Second

// spread returns a pause drawn from one to three times base, which is first
// brought within bounds, so that those refused together do not return
// together.
func spread(base time.Duration, rnd Rand) time.Duration {
	base = min(max(base, shortestPause), longestPause)
	return time.Duration(float64(base) * (1 + 2*rnd.Float64()))
}
