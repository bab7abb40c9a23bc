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

// homeOf returns the only instance that may run a non-idempotent request, or "" for
// an idempotent request.
func (e *Entry) homeOf(r calls.Request) (fleet.InstanceID, error) {
	if !r.NonIdempotent {
		return "", nil
	}
	key, err := once.ParseKey(r.Workspace, r.IdempotencyKey)
	if err != nil {
		// No process accepts such a key, so the outcome holds for every request
		// with it.
		invalid := failure.WithOutcome(calls.BadRequest.Wrap(err, "Idempotency-Key"), failure.NotRun)
		return "", invalid.WithProperty(decidedProperty, true)
	}
	home, ok := once.Home(key, e.listedServers(r.Service))
	if !ok {
		return "", notRunError(failure.Unavailable.New("no server of %s is listed", r.Service), busyRetryAfter)
	}
	return home, nil
}

// listedServers returns the service's servers in the platform's list, including
// silent ones: a silent home may have run the request of a key.
func (e *Entry) listedServers(service fleet.ServiceName) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, p := range e.node.View().Service(service) {
		if p.Listed && !p.ListedLeaving {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// IssueKey implements calls.KeyIssuer. The key names a server that currently
// accepts requests, and the incarnation of its agent.
func (e *Entry) IssueKey(service fleet.ServiceName) (string, error) {
	snap := e.snapshot.Load()
	if snap.config == nil {
		return "", notRunError(calls.NotReady.New("no text is in force yet"), notReadyRetryAfter)
	}
	if _, ok := snap.config.Fleet.Service(service); !ok {
		return "", failure.WithOutcome(calls.UnknownService.New("no service %q", service), failure.NotRun)
	}
	now := time.Now()
	choice, err := snap.servers.Pick(now, chance.Shared{}, balance.Request{Service: service})
	if err != nil {
		return "", err
	}
	choice.Release(balance.Result{At: now, Kind: balance.Abandoned})
	clock, ok := snap.clocks[choice.Server.ID].At(now)
	if !ok {
		return "", notRunError(failure.Unavailable.New("%s has not reported yet", choice.Server.ID), notReadyRetryAfter)
	}
	incarnation := once.Incarnation(clock.Incarnation)
	return once.Issue("", choice.Server.ID, incarnation, now, rand.Uint64()).Text, nil
}
