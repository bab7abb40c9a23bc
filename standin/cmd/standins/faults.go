package main

import (
	"net/http"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
	"chivespindle.example/standin/platform"
)

// Targets of faults.
const (
	targetConfig    = "config"
	targetInstances = "instances"
	targetOrigin    = "origin"
	targetStore     = "store"
)

// Kinds of faults, in addition to those of platform.ParseFault.
const (
	kindUp      = "up"      // ends the faults down, silent and stale
	kindDown    = "down"    // every call gets status 503
	kindSilent  = "silent"  // calls are accepted but get no response
	kindStale   = "stale"   // config: responses have an older revision
	kindLag     = "lag"     // instances: changes become visible after a delay
	kindLink    = "link"    // weights: bandwidth of the link
	kindSlow    = "slow"    // weights: bandwidth of each transfer
	kindRelease = "release" // weights: stalled transfers continue
	kindClear   = "clear"   // weights: pending faults are removed
)

// maxFaultCount is the maximum number of transfers for which one request can set
// a fault.
const maxFaultCount = 1_000_000

// change applies the change that a request describes.
type change func() error

// setFault parses and checks the whole request before it changes anything.
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

// outageSetter sets the faults that every stand-in supports.
type outageSetter interface {
	SetDown(down bool)
	SetUnresponsive(silent bool)
}

func parseOutage(service outageSetter, kind string) (change, error) {
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
		return infallible(func() { server.SetLinkRate(rate) }), nil
	case kindSlow:
		rate := values.number("bytes_per_second")
		return infallible(func() { server.SetTransferRate(rate) }), nil
	case kindRelease:
		return infallible(server.ReleaseStalled), nil
	case kindClear:
		return infallible(server.ClearFaults), nil
	}
	fault, err := platform.ParseFault(kind)
	if err != nil || fault == platform.FaultNone {
		return parseOutage(server, kind)
	}
	return parseTransferFault(server, fault, values)
}

// parseTransferFault parses a fault of the next transfers or, if a manifest is
// given, of every transfer of one of its chunks. Without a chunk, the fault
// applies to every transfer of the manifest itself.
func parseTransferFault(server *platform.WeightServer, fault platform.Fault, values *query) (change, error) {
	if !values.has("manifest") {
		count := max(values.number("count"), 1)
		if count > maxFaultCount {
			return nil, failure.Invalid.New("count is %d, want at most %d", count, maxFaultCount)
		}
		return infallible(func() { server.FailNext(fault, int(count)) }), nil
	}
	manifest, err := fleet.ParseDigest(values.text("manifest"))
	if err != nil {
		return nil, err
	}
	index := platform.ManifestIndex
	if values.has("chunk") {
		index = int(values.number("chunk"))
	}
	return infallible(func() { server.FailAlways(manifest, index, fault) }), nil
}

// infallible returns a change that cannot fail.
func infallible(apply func()) change {
	return func() error {
		apply()
		return nil
	}
}
