// Package platform contains stand-ins of the outside systems that the platform
// operates: the configuration service, the instance list, and the two sources
// of weights, the origin and the store.
//
// Each stand-in is an http.Handler that speaks the protocol of
// docs/PLATFORM.md, with methods that change its content and inject faults.
// Start serves a handler on a local port. All methods are safe for concurrent
// use.
package platform
