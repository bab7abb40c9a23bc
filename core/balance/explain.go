package balance

import (
	"math"
	"time"
)

// Explain lists every server of the service with Pick's assessment for r at
// now, ordered by tier, nearest first, and within a tier in the order given to
// NewSnapshot. It does not count anything as in flight.
func (s *Snapshot) Explain(now time.Time, r Request) []Candidate {
	p := s.pools[r.Service]
	if p == nil {
		return nil
	}
	sel := newSelection(s, p, now, &r)
	var preferred *member
	if r.PrefixKey != 0 && r.Require == "" {
		preferred = sel.pickByPrefix()
	}
	candidates := make([]Candidate, 0, len(p.members))
	for _, members := range p.tiers {
		for _, m := range members {
			candidates = append(candidates, sel.describe(m, m == preferred))
		}
	}
	return candidates
}

func (sel *selection) describe(m *member, preferred bool) Candidate {
	age := time.Duration(-1)
	if !m.Report.Received.IsZero() {
		age = sel.now.Sub(m.Report.Received) + m.Report.AgeOnReceipt
	}
	ejectedIn := time.Duration(0)
	if until := m.state.ejectedUntil.Load(); until > sel.at {
		ejectedIn = time.Duration(until - sel.at)
	}
	return Candidate{
		ID:            m.ID,
		Tier:          m.tier,
		Verdict:       sel.verdict(m),
		InFlight:      int(m.state.inFlight.Load()),
		OtherInFlight: sel.estimateOthers(m),
		Slots:         m.slots,
		Cost:          sel.cost(m),
		ReportAge:     age,
		PieceInterval: time.Duration(math.Float64frombits(m.state.pieceInterval.Load()) * float64(time.Second)),
		EjectionLeft:  ejectedIn,
		Preferred:     preferred,
	}
}
