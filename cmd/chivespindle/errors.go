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
	// Canceled is the type of the error when the user interrupted the command.
	Canceled = failure.Namespace.NewType("canceled")
)

// callProperty holds the callReport of a failed request.
var callProperty = errorx.RegisterProperty("call")

// callReportOf returns the callReport attached to err, or nil.
func callReportOf(err error) *callReport {
	value, _ := errorx.ExtractProperty(err, callProperty)
	call, _ := value.(*callReport)
	return call
}

// exitCode maps an error to an exit code. Once the arguments of a request are
// valid, its outcome decides, so that a script never mistakes a timeout for
// "not run".
func exitCode(err error) int {
	if call := callReportOf(err); call != nil {
		return outcomeExitCode(call.outcome)
	}
	switch {
	case errorx.IsOfType(err, Usage):
		return exitUsage
	case errorx.IsOfType(err, RefusedInput), errorx.IsOfType(err, follow.ConfigRefused):
		return exitRefused
	case errorx.IsOfType(err, failure.Timeout):
		return exitTimeout
	default:
		return exitFailure
	}
}

func outcomeExitCode(outcome failure.Outcome) int {
	switch outcome {
	case failure.NotRun:
		return exitNotRun
	case failure.Ran:
		return exitRanBefore
	default:
		return exitUnknown
	}
}

// errorReport is the JSON form of an error.
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
		line := errorReport{Error: kind, Reason: reason, ExitCode: code, callReport: callReportOf(err)}
		_ = json.NewEncoder(c.stderr).Encode(line) // a failure to write to stderr cannot be reported
		return code
	}
	if call := callReportOf(err); call != nil {
		call.writeText(c.stderr)
	}
	reason = strings.Join(strings.FieldsFunc(reason, func(r rune) bool { return r == '\n' || r == '\r' }), "; ")
	_, _ = fmt.Fprintf(c.stderr, "%s: %s\n", kind, reason)
	return code
}

// causeOf returns the error that err wraps, or err itself.
func causeOf(err error) error {
	if typed := errorx.Cast(err); typed != nil && typed.Cause() != nil {
		return typed.Cause()
	}
	return err
}
