package slopes

import (
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/rollout"
)

// Rollout measures one decision about a change-over, as an agent makes it
// twenty times a second, by the replicas of its service.
func Rollout() ([]Slope, error) {
	s := Slope{Name: "rollout_decision", Of: "replicas", Unit: "ms", Target: BurstInstances}
	for _, n := range []int{43, BurstInstances, 1170, Servers} {
		question := questionOf(n)
		s.Points = append(s.Points, Point{float64(n), perCall(func() {
			q := question()
			rollout.NextOrder(q)
			rollout.Decide(q)
		})})
	}
	return []Slope{s}, nil
}

// questionOf returns what an agent does to ask: it reads the replicas from the
// view, all of one service.
func questionOf(n int) func() rollout.Request {
	view := viewOf(n)
	target := fleet.Version{Name: "next", Manifest: fleet.DigestOf([]byte("next"))}
	return func() rollout.Request {
		return rollout.Request{Self: view.Self.ID, Target: target, MaxUnavailable: 1,
			Replicas: rollout.ReplicasOf(view, serviceOf(0))}
	}
}

// viewOf is the view of one of n replicas of a service.
func viewOf(n int) *gossip.View {
	now := time.Now()
	var records []gossip.Record
	for i := range n {
		p := phantom(i, 1)
		p.Role, p.Service = fleet.RoleAgent, serviceOf(0)
		records = append(records, recordOf(p, anySaid))
	}
	table := gossip.New(gossip.Options{Self: records[0]})
	table.Merge(now, records[1].ID, records[1:])
	return table.View(now)
}
