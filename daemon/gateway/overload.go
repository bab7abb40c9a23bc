package gateway

import (
	"math/rand/v2"
	"time"

	"chivespindle.example/core/fleet"
)

const (
	// serviceShare is the share of Options.MaxCalls that the calls of one service may use.
	// Calls that wait at the servers of one service leave room for those of others.
	serviceShare = 0.75
	// overloadedRetryAfter is the least Retry-After of a call that is refused since too many
	// are being served, and overloadedSpread the range over which callers return.
	overloadedRetryAfter = 500 * time.Millisecond
	overloadedSpread     = time.Second

	reasonOverloaded = "overloaded"
)

// RefuseOverloaded refuses a call since too many calls are being served.
func (g *Gateway) RefuseOverloaded(call *Call, caller Caller) {
	j := &job{g: g, call: call, reply: newReply(g, call, caller)}
	j.refuse(overloaded())
}

func overloaded() ErrorResponse {
	return ErrorResponse{Code: Unavailable, RetryAfter: overloadedRetryAfter + rand.N(overloadedSpread), Reason: reasonOverloaded}
}

// beginServiceCall counts a call of a service. It returns false if the service has as many as
// it may have.
func (g *Gateway) beginServiceCall(service fleet.ServiceName) bool {
	g.callsMu.Lock()
	defer g.callsMu.Unlock()
	if g.opts.MaxCalls > 0 && float64(g.serviceCalls[service]) >= serviceShare*float64(g.opts.MaxCalls) {
		return false
	}
	g.serviceCalls[service]++
	return true
}

// endServiceCall records the end of a call that beginServiceCall counted.
func (g *Gateway) endServiceCall(service fleet.ServiceName) {
	g.callsMu.Lock()
	defer g.callsMu.Unlock()
	if g.serviceCalls[service]--; g.serviceCalls[service] == 0 {
		delete(g.serviceCalls, service)
	}
}
