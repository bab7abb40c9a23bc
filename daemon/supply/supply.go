// Package supply extracts from the platform's catalog what the agent beside an engine
// needs: which model its service serves, where the weights come from and which other
// agents need them. Entries do this for their agents, and an agent does it itself while
// no entry is reachable.
package supply

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/routing"
	"chivespindle.example/daemon/wire"
)

// Plan is what an agent needs to fetch weights.
type Plan struct {
	Supply  wire.Supply
	Members []wire.Member
	// Digest changes with Members.
	Digest uint64
}

// NewPlan returns the plan of the agent at addr; false if the catalog contains no
// engine there or no origin of weights.
func NewPlan(s catalog.Snapshot, regions map[fleet.Zone]fleet.Region, addr netip.Addr) (Plan, bool) {
	if s.Config == nil {
		return Plan{}, false
	}
	service := engineAt(s, addr)
	origin := originOf(s.Config)
	if service == nil || origin == nil {
		return Plan{}, false
	}
	p := Plan{Supply: wire.Supply{
		Model: service.Model, Origin: origin.Addr, BytesPerSecond: origin.BytesPerSecond,
		Layers: service.Engine.Layers, LoadMS: service.Engine.LoadTime.Milliseconds(),
		Chunks: service.Engine.Chunks, ChunkBytes: service.Engine.ChunkBytes,
	}}
	digest := xxhash.New()
	for _, other := range s.Servers {
		if other.Service != service.Name || other.Draining {
			continue
		}
		p.Members = append(p.Members, wire.Member{Addr: other.Addr.Addr(), Zone: other.Zone, Region: regions[other.Zone]})
		_, _ = digest.WriteString(other.Addr.Addr().String()) // never fails
	}
	p.Digest = digest.Sum64()
	return p, true
}

// engineAt returns the service of the engine on an instance, or nil.
func engineAt(s catalog.Snapshot, addr netip.Addr) *routing.Service {
	for _, server := range s.Servers {
		if server.Addr.Addr() != addr {
			continue
		}
		for i := range s.Config.Services {
			if service := &s.Config.Services[i]; service.Name == server.Service && service.Engine != nil {
				return service
			}
		}
	}
	return nil
}

func originOf(config *routing.Config) *routing.Origin {
	for i := range config.Services {
		if config.Services[i].Origin != nil {
			return config.Services[i].Origin
		}
	}
	return nil
}
