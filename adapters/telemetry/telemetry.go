// Package telemetry makes the log, the metrics and the trace spans of a
// process, and carries trace contexts between processes.
package telemetry
