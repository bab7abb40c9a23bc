package agent

import (
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/serving"
	"chivespindle.example/daemon/swarm"
)

// Status is what an operator sees of an agent.
type Status struct {
	ID          fleet.InstanceID   `json:"id"`
	Role        fleet.Role         `json:"role"`
	Service     fleet.ServiceName  `json:"service"`
	Place       fleet.Place        `json:"place"`
	State       gossip.State       `json:"state"`
	Phase       string             `json:"phase,omitempty"`
	Serving     fleet.Version      `json:"serving"`
	Target      fleet.Version      `json:"target"`
	Leaving     bool               `json:"leaving"`
	Admitting   bool               `json:"admitting"`
	Refusing    string             `json:"refusing,omitempty"` // why requests are refused
	Waiting     string             `json:"waiting,omitempty"`  // what a change waits for
	Revision    revision.Revision  `json:"revision"`
	InFlight    int64              `json:"in_flight"`
	Load        serving.Load       `json:"load"`
	Drawn       swarm.Drawn        `json:"drawn"`
	Gathers     []swarm.Progress   `json:"gathers"`
	KnownPeers  int                `json:"known_peers"`
	SilentPeers []fleet.InstanceID `json:"silent_peers"`
}

// Status returns the latest status. Safe for any goroutine.
func (a *Agent) Status() Status {
	s := *a.status.Load()
	s.InFlight = a.work.count()
	_, err := a.gate.Load().Admit(time.Now())
	s.Admitting = err == nil
	if err != nil {
		s.Refusing = string(serving.ReasonOf(err))
	}
	return s
}

// Ready reports whether requests are admitted, and why not.
func (a *Agent) Ready() (bool, string) {
	s := a.Status()
	return s.Admitting, s.Refusing
}

func (a *Agent) publishStatus(time.Time) {
	self := a.node.Self()
	s := Status{
		ID:       self.ID,
		Role:     self.Role,
		Service:  self.Service,
		Place:    self.Place,
		State:    self.State,
		Serving:  self.Serving,
		Target:   self.Target,
		Leaving:  a.leaving,
		Waiting:  a.reason,
		Revision: self.Revision,
		Load:     a.load,
	}
	if a.change != nil {
		s.Phase = a.change.Phase().String()
		s.Gathers = a.swarm.Progress()
		s.Drawn = a.swarm.Drawn()
	}
	for _, p := range a.node.View().Peers {
		s.KnownPeers++
		if p.Silent {
			s.SilentPeers = append(s.SilentPeers, p.ID)
		}
	}
	a.status.Store(&s)
}
