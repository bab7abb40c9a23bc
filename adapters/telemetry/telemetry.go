// Package telemetry provides the log, the metrics and the trace spans of a
// process, and propagates trace contexts between processes.
package telemetry
