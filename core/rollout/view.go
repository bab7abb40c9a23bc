package rollout

import (
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
)

// ReplicasOf returns the replicas of a service as a view shows them, the
// viewing process included if it is one.
func ReplicasOf(view *gossip.View, service fleet.ServiceName) []Replica {
	peers := view.Service(service)
	replicas := make([]Replica, 0, len(peers)+1)
	if view.Self.Service == service {
		replicas = append(replicas, replicaOf(gossip.Peer{Record: view.Self}))
	}
	for _, p := range peers {
		r := replicaOf(p)
		if p.Silent && !p.LastHeard.IsZero() {
			r.SilentFor = view.At.Sub(p.LastHeard)
		}
		replicas = append(replicas, r)
	}
	return replicas
}

func replicaOf(p gossip.Peer) Replica {
	return Replica{
		ID:       p.ID,
		Place:    p.Place,
		Silent:   p.Silent,
		Leaving:  p.Going(),
		Behind:   p.Behind,
		State:    p.State,
		Serving:  p.Serving,
		Target:   p.Target,
		Turn:     p.Turn,
		Revision: p.Revision,
	}
}
