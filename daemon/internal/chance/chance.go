// Package chance is the source of chance that goroutines share. Decisions in
// core take theirs from outside, so that tests can repeat them.
package chance

import "math/rand/v2"

// Shared draws from the generator of the process. It is safe for concurrent
// use.
type Shared struct{}

// IntN returns a number in [0, n).
func (Shared) IntN(n int) int { return rand.IntN(n) }

// Float64 returns a number in [0, 1).
func (Shared) Float64() float64 { return rand.Float64() }
