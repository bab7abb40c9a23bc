// Package platform meets the platform's services over HTTP: the configuration
// service (revision.Source), the instance list (gossip.InstanceList) and the
// places that hold weights (weights.Source). Their protocol is described in
// docs/PLATFORM.md.
//
// Every failure is a type of package failure, or Canceled. Nothing here tries
// again, but for net/http, which repeats a request on a new connection when a
// kept one had closed before any answer: when to repeat a call is decided by
// its caller.
package platform
