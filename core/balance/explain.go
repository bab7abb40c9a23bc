package balance

import (
	"math"
	"time"
)

// Explain lists every server of the service with what Pick would make of it
// for r at now, nearest tier first and else in the order given to
// NewSnapshot. Nothing is counted.
func (s *Snapshot) Explain(now time.Time, r Request) []Candidate {
	p := s.pools[r.Service]
	if p == nil {
		return nil
	}
	k := newPicking(s, p, now, &r)
	var preferred *member
	if r.PrefixKey != 0 && r.Require == "" {
		preferred = k.byPrefix()
	}
	candidates := make([]Candidate, 0, len(p.members))
	for _, members := range p.tiers {
		for _, m := range members {
			candidates = append(candidates, k.describe(m, m == preferred))
		}
	}
	return candidates
}

func (k *picking) describe(m *member, preferred bool) Candidate {
	age := time.Duration(-1)
	if !m.Report.Received.IsZero() {
		age = k.now.Sub(m.Report.Received) + m.Report.AgeOnReceipt
	}
	ejectedIn := time.Duration(0)
	if until := m.state.ejectedUntil.Load(); until > k.at {
		ejectedIn = time.Duration(until - k.at)
	}
	return Candidate{
		ID:            m.ID,
		Tier:          m.tier,
		Verdict:       k.verdict(m),
		InFlight:      int(m.state.inFlight.Load()),
		OtherInFlight: k.othersNow(m),
		Slots:         m.slots,
		Cost:          k.cost(m),
		ReportAge:     age,
		PieceInterval: time.Duration(math.Float64frombits(m.state.pace.Load()) * float64(time.Second)),
		EjectionLeft:  ejectedIn,
		Preferred:     preferred,
	}
}
