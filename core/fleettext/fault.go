package fleettext

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
)

// MaxFaults is the largest number of faults that one CheckError lists. It
// bounds the memory that an invalid file of a megabyte can take.
const MaxFaults = 100

// Fault is one reason why a configuration is invalid.
type Fault struct {
	// File is the file name that was passed to Load.
	File string `cbor:"1,keyasint" json:"file"`
	// Line is the line number, starting at 1.
	Line int `cbor:"2,keyasint" json:"line"`
	// Reason describes the fault and what is expected.
	Reason string `cbor:"3,keyasint" json:"reason"`
}

// String returns "file:line: reason".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason)
}

// CheckError holds all faults of one configuration, sorted by line.
type CheckError struct {
	Faults []Fault
	// Omitted is the number of faults beyond MaxFaults.
	Omitted int
}

// Error returns the faults, one "file:line: reason" per line.
func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", e.Omitted))
	}
	return strings.Join(lines, "\n")
}

// AsCheckError returns the CheckError in the chain of err, nil if there is none.
// It unwraps errorx errors, which errors.As does not.
func AsCheckError(err error) *CheckError {
	for err != nil {
		var check *CheckError
		if errors.As(err, &check) {
			return check
		}
		wrapped := errorx.Cast(err)
		if wrapped == nil {
			return nil
		}
		err = wrapped.Cause()
	}
	return nil
}

// faultList collects the faults of one configuration.
type faultList struct {
	file    string
	faults  []Fault
	omitted int
}

func (l *faultList) add(line int, format string, args ...any) {
	if len(l.faults) == MaxFaults {
		l.omitted++
		return
	}
	l.faults = append(l.faults, Fault{File: l.file, Line: line, Reason: fmt.Sprintf(format, args...)})
}

func (l *faultList) empty() bool { return len(l.faults) == 0 }

// err returns a failure.Invalid that wraps a CheckError, nil if there are no faults.
func (l *faultList) err() error {
	if l.empty() {
		return nil
	}
	sort.SliceStable(l.faults, func(i, j int) bool { return l.faults[i].Line < l.faults[j].Line })
	check := &CheckError{Faults: l.faults, Omitted: l.omitted}
	return failure.Invalid.Wrap(check, "invalid configuration")
}
