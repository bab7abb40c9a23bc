// Package wholepath holds the end-to-end tests: separate chivespindled
// processes between stand-ins of the platform and callers over HTTP.
//
// Counts are taken from the stand-ins and from the callers. What the processes
// report about themselves is used only to wait for a condition, or where a spec
// is about that report.
package wholepath
