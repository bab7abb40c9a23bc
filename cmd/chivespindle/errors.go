package main

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"

	"chivespindle.example/cmd/chivespindle/internal/follow"
	"chivespindle.example/core/failure"
)

// Exit codes; docs/CLI.md lists them.
const (
	exitOK        = 0
	exitFailure   = 1
	exitUsage     = 2
	exitRefused   = 3
	exitTimeout   = 4
	exitNotRun    = 5
	exitUnknown   = 6
	exitRanBefore = 7
)

var (
	// Usage is the type of errors of the command line.
	Usage = failure.Invalid.NewSubtype("usage")
	// RefusedInput is the type of errors about the content of a file.
	RefusedInput = failure.Invalid.NewSubtype("input")
	// Canceled means that the person at the keyboard stopped the command.
	Canceled = failure.Namespace.NewType("canceled")
)

// callProperty holds the callReport of a request that failed.
var callProperty = errorx.RegisterProperty("call")

// callOf returns the callReport that err carries, nil if none.
func callOf(err error) *callReport {
	value, _ := errorx.ExtractProperty(err, callProperty)
	call, _ := value.(*callReport)
	return call
}

// exitCode maps an error. Once the arguments of a request are good, its
// outcome decides, so that a script never takes a timeout for "not run".
func exitCode(err error) int {
	if call := callOf(err); call != nil {
		return exitOfOutcome(call.outcome)
	}
	switch {
	case errorx.IsOfType(err, Usage):
		return exitUsage
	case errorx.IsOfType(err, RefusedInput), errorx.IsOfType(err, follow.TextRefused):
		return exitRefused
	case errorx.IsOfType(err, failure.Timeout):
		return exitTimeout
	default:
		return exitFailure
	}
}

func exitOfOutcome(outcome failure.Outcome) int {
	switch outcome {
	case failure.NotRun:
		return exitNotRun
	case failure.Ran:
		return exitRanBefore
	default:
		return exitUnknown
	}
}

// errorReport is an error as JSON.
type errorReport struct {
	Error    string `json:"error"` // type of the failure
	Reason   string `json:"reason"`
	ExitCode int    `json:"exit_code"`
	*callReport
}

// reportError prints err on one line and returns the exit code.
func (c *client) reportError(err error) int {
	code := exitCode(err)
	kind := failure.Internal.FullName()
	if typed := errorx.Cast(err); typed != nil {
		kind = typed.Type().FullName()
	}
	reason := strings.TrimPrefix(err.Error(), kind+": ")
	if c.flags.output == outputJSON {
		line := errorReport{Error: kind, Reason: reason, ExitCode: code, callReport: callOf(err)}
		_ = json.NewEncoder(c.stderr).Encode(line) // nobody is left to tell
		return code
	}
	if call := callOf(err); call != nil {
		call.writeText(c.stderr)
	}
	reason = strings.Join(strings.FieldsFunc(reason, func(r rune) bool { return r == '\n' || r == '\r' }), "; ")
	_, _ = fmt.Fprintf(c.stderr, "%s: %s\n", kind, reason)
	return code
}

// causeOf returns what err wraps, else err.
func causeOf(err error) error {
	if typed := errorx.Cast(err); typed != nil && typed.Cause() != nil {
		return typed.Cause()
	}
	return err
}
