package settings

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
)

// ErrInvalid is the type of the error that Load returns for faulty settings.
// Its text lists every fault on a line of its own; FaultsOf returns them
// apart. It is a failure.Invalid.
var ErrInvalid = failure.Invalid.NewSubtype("settings")

var faultsProperty = errorx.RegisterProperty("settings_faults")

// Fault is one thing wrong with the settings.
type Fault struct {
	// Origin is the file's path, or "environment" or "flags".
	Origin string
	// Line is the line in the file, from 1; 0 outside a file and for a file
	// that cannot be read.
	Line int
	// Reason says what is wrong and names the key as it was given.
	Reason string
}

// String returns "file:line: reason", without what is not known.
func (f Fault) String() string {
	if f.Line == 0 {
		return f.Origin + ": " + f.Reason
	}
	return fmt.Sprintf("%s:%d: %s", f.Origin, f.Line, f.Reason)
}

// FaultsOf returns the faults that an error of Load lists, nil for any other
// error.
func FaultsOf(err error) []Fault {
	value, ok := errorx.ExtractProperty(err, faultsProperty)
	if !ok {
		return nil
	}
	faults, _ := value.([]Fault)
	return faults
}

// asError returns the error that lists faults, nil for none.
func asError(faults []Fault) error {
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
