// Package platform is the client of the platform's HTTP services: the configuration
// service (revision.Source), the instance list (gossip.InstanceList) and the
// sources of weights (weights.Source). docs/PLATFORM.md describes their protocol.
//
// Every failure has a type of package failure, or is Canceled. Nothing here
// retries: that is decided by the caller. Only net/http resends a request on a new
// connection if an idle connection was closed before any response.
package platform
