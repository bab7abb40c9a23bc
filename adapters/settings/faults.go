package settings

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
)

// ErrInvalid is the type of the error that Load returns for invalid settings. Its
// message has one line for each fault; FaultsOf returns them as values. It is a
// subtype of failure.Invalid.
var ErrInvalid = failure.Invalid.NewSubtype("settings")

var faultsProperty = errorx.RegisterProperty("settings_faults")

// Fault is one error in the settings.
type Fault struct {
	// Origin is the path of the file, or "environment" or "flags".
	Origin string
	// Line is the line number in the file, starting at 1. It is 0 for other
	// origins and for a file that cannot be read.
	Line int
	// Reason describes the fault and contains the key as it was written.
	Reason string
}

// String returns "file:line: reason", without the line if it is not known.
func (f Fault) String() string {
	if f.Line == 0 {
		return f.Origin + ": " + f.Reason
	}
	return fmt.Sprintf("%s:%d: %s", f.Origin, f.Line, f.Reason)
}

// FaultsOf returns the faults of an error returned by Load, nil for any other
// error.
func FaultsOf(err error) []Fault {
	value, ok := errorx.ExtractProperty(err, faultsProperty)
	if !ok {
		return nil
	}
	faults, _ := value.([]Fault)
	return faults
}

// newFaultsError returns an error that lists faults, nil if there are none.
func newFaultsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%d faults", len(faults))
	if len(faults) == 1 {
		text.Reset()
		text.WriteString("1 fault")
	}
	for _, fault := range faults {
		text.WriteString("\n" + fault.String())
	}
	return ErrInvalid.New("%s", text.String()).WithProperty(faultsProperty, faults)
}
