// Package defaults applies default values to options.
package defaults

import "time"

// Number is the type of an option that counts as set if it is positive.
type Number interface {
	int | int64 | float64 | time.Duration
}

// Or returns given if it is positive, else value.
func Or[T Number](given, value T) T {
	if given <= 0 {
		return value
	}
	return given
}

// Set assigns value to a field that is not positive.
func Set[T Number](field *T, value T) { *field = Or(*field, value) }
