package rollout

import (
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
)

// ReplicasOf returns the replicas of a service in a view, including the viewing
// process if it is one.
func ReplicasOf(view *gossip.View, service fleet.ServiceName) []Replica {
	peers := view.Service(service)
	replicas := make([]Replica, 0, len(peers)+1)
	if view.Self.Service == service {
		replicas = append(replicas, replicaOf(gossip.Peer{Record: view.Self}))
	}
	for _, p := range peers {
		r := replicaOf(p)
		if p.Silent {
			r.SilentFor = view.At.Sub(lastContact(p))
		}
		replicas = append(replicas, r)
	}
	return replicas
}

// ServedVersions returns the versions that live replicas other than self serve.
func ServedVersions(replicas []Replica, self fleet.InstanceID) []fleet.Version {
	var versions []fleet.Version
	for _, r := range replicas {
		counts := r.ID != self && r.inService() && !r.Serving.IsZero()
		if counts && !slices.Contains(versions, r.Serving) {
			versions = append(versions, r.Serving)
		}
	}
	return versions
}

// lastContact returns when a newer record of p was last received, or when p was
// first seen if none was.
func lastContact(p gossip.Peer) time.Time {
	if p.LastUpdate.IsZero() {
		return p.FirstSeen
	}
	return p.LastUpdate
}

func replicaOf(p gossip.Peer) Replica {
	return Replica{
		ID:       p.ID,
		Place:    p.Place,
		Silent:   p.Silent,
		Leaving:  p.IsLeaving(),
		Outdated: p.Outdated,
		State:    p.State,
		Serving:  p.Serving,
		Target:   p.Target,
		Order:    p.RolloutOrder,
		Revision: p.Revision,
	}
}
