package placement

import (
	"time"

	"chivespindle.example/core/enginemodel"
)

// Assignment is a request assigned to a server.
type Assignment struct {
	// Server is the server to which the request is sent.
	Server Server
	// Predicted is the predicted time to the first event, or to the response of a
	// plain service, when the request was placed.
	Predicted time.Duration
	// ServerTimeout is the time within which the server must end its work on the
	// request, because its version may not answer after that; 0 if only the
	// request's own deadline limits it.
	ServerTimeout time.Duration
	// Refused is true if the server had refused a connection shortly before the request
	// was placed, and no other server could take it.
	Refused bool

	balancer                   *Balancer
	state                      *serverState
	promptTokens, outputTokens int
	suspect                    bool
	received                   int
	started                    bool
	ended                      bool
	placed                     time.Time
	// countedCold is true if the request counts against the quota of a cold server.
	countedCold bool
}

// Result is the outcome of a request at a server.
type Result uint8

const (
	// Succeeded: a complete response was received.
	Succeeded Result = iota
	// Failed: the server answered with an error of its own.
	Failed
	// Broken: the connection failed, or the response was truncated or corrupt.
	Broken
	// Refused: the server refused the connection.
	Refused
	// TimedOut: nothing was received in the time in which something was due.
	TimedOut
	// Declined: the server reported that it did not run the request.
	Declined
	// Abandoned: the caller left, which says nothing about the server.
	Abandoned
)

// AddTokens records that the server generated this many more tokens. The first call
// marks the end of the prefill.
func (a *Assignment) AddTokens(tokens int) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.received += tokens
	if !a.started {
		a.started = true
		a.state.health.recordResponse(a.placed)
		a.balancer.markChanged(a.state)
	}
}

// IsServerReloading reports whether the server is about to load weights and waits
// for its running requests.
func (a *Assignment) IsServerReloading() bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	return a.state.Reloading
}

// IsRevoked reports whether the request must not be sent to the server any more.
func (a *Assignment) IsRevoked(now time.Time) bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	said := a.state.statements
	isProbe := said != nil && said.backoff.probe == a
	return a.state.Leaving || a.state.Evacuated || a.state.backsOff(now) && !isProbe || a.missesQuota(now)
}

// Work returns all known work at the request's server, as of the time at which the
// request was placed.
func (a *Assignment) Work() enginemodel.Work {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	return a.balancer.work(a.placed, a.state)
}

// Elapsed returns the time since the request was placed, and whether no part of its
// stream has arrived yet.
func (a *Assignment) Elapsed(now time.Time) (time.Duration, bool) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	return now.Sub(a.placed), !a.started
}

// ReceivedTokens returns the number of tokens received so far.
func (a *Assignment) ReceivedTokens() int {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	return a.received
}

// End removes the request from the server and records its result. Only the first
// call has an effect.
func (a *Assignment) End(now time.Time, result Result) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	delete(a.state.own, a)
	if said := a.state.statements; said != nil {
		said.backoff.ended(now, a)
	}
	if a.suspect {
		a.state.suspects--
	}
	a.balancer.markChanged(a.state)
	g := a.state.group
	if result == Succeeded {
		g.duration += (now.Sub(a.placed) - g.duration) / durationWeight
	}
	a.state.health.record(now, a.placed, g, result, a.balancer.rand, !a.balancer.disabled.Ejection)
}

// durationWeight is the weight of the previous mean duration relative to a new one.
const durationWeight = 20
