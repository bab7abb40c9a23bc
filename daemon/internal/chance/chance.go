// Package chance provides a random source that is shared between goroutines.
// Decisions in core take their random source as a parameter, so that tests can
// repeat them.
package chance

import "math/rand/v2"

// Shared uses the random generator of the process. It is safe for concurrent
// use.
type Shared struct{}

// IntN returns a number in [0, n).
func (Shared) IntN(n int) int { return rand.IntN(n) }

// Float64 returns a number in [0, 1).
func (Shared) Float64() float64 { return rand.Float64() }
