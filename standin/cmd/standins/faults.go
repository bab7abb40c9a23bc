package main

import (
	"net/http"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
	"chivespindle.example/standin/platform"
)

// Targets of a fault.
const (
	targetConfig    = "config"
	targetInstances = "instances"
	targetOrigin    = "origin"
	targetStore     = "store"
)

// Kinds of a fault, besides those of platform.ParseFault.
const (
	kindUp      = "up"      // ends down, silent and stale
	kindDown    = "down"    // every call is answered 503
	kindSilent  = "silent"  // calls are taken and not answered
	kindStale   = "stale"   // config: answers with an older revision
	kindLag     = "lag"     // instances: changes stay hidden for a time
	kindLink    = "link"    // weights: rate of the link
	kindSlow    = "slow"    // weights: rate of each transfer
	kindRelease = "release" // weights: stalled transfers go on
	kindClear   = "clear"   // weights: planned faults are forgotten
)

// maxFaultCount bounds the transfers that one request can plan a fault for.
const maxFaultCount = 1_000_000

// change does what a request asked for.
type change func() error

// setFault reads the whole request before it changes anything.
func (a *admin) setFault(r *http.Request) (any, error) {
	values := newQuery(r)
	apply, err := a.parseFault(values)
	if err != nil {
		return nil, err
	}
	if err := values.finish(); err != nil {
		return nil, err
	}
	return nil, apply()
}

func (a *admin) parseFault(values *query) (change, error) {
	kind := values.text("kind")
	switch target := values.text("target"); target {
	case targetConfig:
		return parseConfigFault(a.config, kind, values)
	case targetInstances:
		return parseListFault(a.list, kind, values)
	case targetOrigin:
		return parseWeightFault(a.origin, kind, values)
	case targetStore:
		return parseWeightFault(a.store, kind, values)
	default:
		return nil, failure.Invalid.New("target is %q, want %s, %s, %s or %s", target,
			targetConfig, targetInstances, targetOrigin, targetStore)
	}
}

// outages are the faults that every stand-in has.
type outages interface {
	SetDown(down bool)
	SetUnresponsive(silent bool)
}

func parseOutage(service outages, kind string) (change, error) {
	set := func(down, silent bool) change {
		return func() error {
			service.SetDown(down)
			service.SetUnresponsive(silent)
			return nil
		}
	}
	switch kind {
	case kindUp:
		return set(false, false), nil
	case kindDown:
		return set(true, false), nil
	case kindSilent:
		return set(false, true), nil
	default:
		return nil, failure.Invalid.New("kind %q is unknown for this target", kind)
	}
}

func parseConfigFault(service *platform.ConfigService, kind string, values *query) (change, error) {
	if kind == kindStale {
		at := revision.Revision(values.number("revision"))
		return func() error { return service.SetStale(at) }, nil
	}
	outage, err := parseOutage(service, kind)
	if err != nil || kind != kindUp {
		return outage, err
	}
	return func() error {
		if err := service.SetStale(0); err != nil {
			return err
		}
		return outage()
	}, nil
}

func parseListFault(list *platform.InstanceList, kind string, values *query) (change, error) {
	if kind != kindLag {
		return parseOutage(list, kind)
	}
	lag := values.duration("lag")
	return func() error {
		list.SetLag(lag)
		return nil
	}, nil
}

func parseWeightFault(server *platform.WeightServer, kind string, values *query) (change, error) {
	switch kind {
	case kindLink:
		rate := values.number("bytes_per_second")
		return always(func() { server.SetLinkRate(rate) }), nil
	case kindSlow:
		rate := values.number("bytes_per_second")
		return always(func() { server.SetTransferRate(rate) }), nil
	case kindRelease:
		return always(server.ReleaseStalled), nil
	case kindClear:
		return always(server.ClearFaults), nil
	}
	fault, err := platform.ParseFault(kind)
	if err != nil || fault == platform.FaultNone {
		return parseOutage(server, kind)
	}
	return parseTransferFault(server, fault, values)
}

// parseTransferFault plans a fault for the next transfers, or for every one
// of a chunk if a manifest is given; without a chunk, of the manifest itself.
func parseTransferFault(server *platform.WeightServer, fault platform.Fault, values *query) (change, error) {
	if !values.has("manifest") {
		count := max(values.number("count"), 1)
		if count > maxFaultCount {
			return nil, failure.Invalid.New("count is %d, want at most %d", count, maxFaultCount)
		}
		return always(func() { server.FailNext(fault, int(count)) }), nil
	}
	manifest, err := fleet.ParseDigest(values.text("manifest"))
	if err != nil {
		return nil, err
	}
	index := platform.ManifestIndex
	if values.has("chunk") {
		index = int(values.number("chunk"))
	}
	return always(func() { server.FailAlways(manifest, index, fault) }), nil
}

// always returns the change that cannot fail.
func always(apply func()) change {
	return func() error {
		apply()
		return nil
	}
}
