package slopes

import (
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/rollout"
)

// Rollout measures one rollout decision, which an agent makes twenty times a
// second, by the number of replicas of its service.
func Rollout() ([]Slope, error) {
	s := Slope{Name: "rollout_decision", Of: "replicas", Unit: "ms", Target: BurstInstances}
	for _, n := range []int{43, BurstInstances, 1170, Servers} {
		newRequest := newRequestFunc(n)
		s.Points = append(s.Points, Point{float64(n), cpuPerCall(func() {
			request := newRequest()
			rollout.NextOrder(request)
			rollout.Decide(request)
		})})
	}
	return []Slope{s}, nil
}

// newRequestFunc returns a function that builds an agent's rollout request
// from its view, in which all n replicas belong to one service.
func newRequestFunc(n int) func() rollout.Request {
	view := viewOf(n)
	target := fleet.Version{Name: "next", Manifest: fleet.DigestOf([]byte("next"))}
	return func() rollout.Request {
		return rollout.Request{Self: view.Self.ID, Target: target, MaxUnavailable: 1,
			Replicas: rollout.ReplicasOf(view, serviceOf(0))}
	}
}

// viewOf returns the view of one of n replicas of a service.
func viewOf(n int) *gossip.View {
	now := time.Now()
	var records []gossip.Record
	for i := range n {
		p := simInstance(i, 1)
		p.Role, p.Service = fleet.RoleAgent, serviceOf(0)
		records = append(records, recordOf(p, defaultConfig))
	}
	table := gossip.New(gossip.Options{Self: records[0]})
	table.Merge(now, records[1].ID, records[1:])
	return table.View(now)
}
