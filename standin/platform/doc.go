// Package platform holds small stand-ins of the outside systems that the
// platform runs: the configuration service, the instance list, and the two
// places that hold weights, the origin and the store.
//
// Each stand-in is an http.Handler that speaks the protocol of
// docs/PLATFORM.md, with methods that change what it holds and that cause the
// faults of the real service. Start serves one on a local port. All methods
// may be called from any goroutine.
package platform
