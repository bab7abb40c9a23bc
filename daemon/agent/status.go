package agent

import (
	"time"

	"chivespindle.example/core/serving"
	"chivespindle.example/core/status"
)

// Status returns the latest status. Safe for any goroutine.
func (a *Agent) Status() status.Agent {
	s := *a.status.Load()
	s.InFlight = a.inFlight.count()
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
	s := status.Agent{
		ID:       self.ID,
		Role:     self.Role,
		Service:  self.Service,
		Place:    self.Place,
		State:    self.State,
		Serving:  self.Serving,
		Target:   self.Target,
		Leaving:  a.leaving,
		Waiting:  a.waitReason,
		Revision: self.Revision,
		Load:     a.load,
	}
	if a.changeover != nil {
		s.Phase = a.changeover.Phase().String()
		s.Fetches = a.swarm.Progress()
		s.Fetched = a.swarm.FetchedBytes()
	}
	for _, p := range a.node.View().Peers {
		s.KnownPeers++
		if p.Silent {
			s.SilentPeers = append(s.SilentPeers, p.ID)
		}
	}
	a.status.Store(&s)
}
