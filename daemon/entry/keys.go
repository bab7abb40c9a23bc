package entry

import (
	"math/rand/v2"
	"time"

	"chivespindle.example/core/balance"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/once"
	"chivespindle.example/daemon/internal/chance"
)

// homeOf returns the instance that alone may run a non-idempotent request;
// empty for any other request.
func (e *Entry) homeOf(r calls.Request) (fleet.InstanceID, error) {
	if !r.NonIdempotent {
		return "", nil
	}
	key, err := once.ParseKey(r.Workspace, r.IdempotencyKey)
	if err != nil {
		// No process takes such a key, so what is said of it holds for every ask.
		refused := failure.WithOutcome(calls.BadRequest.Wrap(err, "Idempotency-Key"), failure.NotRun)
		return "", refused.WithProperty(decidedProperty, true)
	}
	home, ok := once.Home(key, e.listedServers(r.Service))
	if !ok {
		return "", notRun(failure.Unavailable.New("no server of %s is listed", r.Service), fullRetry)
	}
	return home, nil
}

// listedServers are the service's servers as the platform lists them, silent
// ones included: a silent home may have run the key.
func (e *Entry) listedServers(service fleet.ServiceName) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, p := range e.node.View().Service(service) {
		if p.Listed && !p.ListedLeaving {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// IssueKey implements calls.KeyIssuer: the key names a server that takes
// requests now, in its present life.
func (e *Entry) IssueKey(service fleet.ServiceName) (string, error) {
	p := e.picture.Load()
	if p.config == nil {
		return "", notRun(calls.NotReady.New("no text is in force yet"), notReadyRetry)
	}
	if _, ok := p.config.Fleet.Service(service); !ok {
		return "", failure.WithOutcome(calls.UnknownService.New("no service %q", service), failure.NotRun)
	}
	now := time.Now()
	choice, err := p.servers.Pick(now, chance.Shared{}, balance.Request{Service: service})
	if err != nil {
		return "", err
	}
	choice.Release(balance.Result{At: now, Kind: balance.Abandoned})
	clock, ok := p.clocks[choice.Server.ID].At(now)
	if !ok {
		return "", notRun(failure.Unavailable.New("%s has not reported yet", choice.Server.ID), notReadyRetry)
	}
	life := once.Incarnation(clock.Incarnation)
	return once.Issue("", choice.Server.ID, life, now, rand.Uint64()).Text, nil
}
