// Package defaults replaces options that were not given.
package defaults

import "time"

// Number is an option that is given if it is above 0.
type Number interface {
	int | int64 | float64 | time.Duration
}

// Or returns given, or value if it is not above 0.
func Or[T Number](given, value T) T {
	if given <= 0 {
		return value
	}
	return given
}

// Set puts value into a field that is not above 0.
func Set[T Number](field *T, value T) { *field = Or(*field, value) }
