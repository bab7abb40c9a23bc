package quarantine

import "time"

// maxProofs bounds the parts of each of the two generations of proofs.
const maxProofs = 2048

// proofs holds when this entry last saw the start of a response to a request with a part.
// The parts that were not used for longest are dropped, many at a time.
type proofs struct{ recent, older map[Part]time.Time }

func newProofs() proofs { return proofs{recent: make(map[Part]time.Time)} }

func (p *proofs) add(part Part, at time.Time) {
	if len(p.recent) >= maxProofs {
		p.older, p.recent = p.recent, make(map[Part]time.Time)
	}
	p.recent[part] = at
}

func (p *proofs) last(part Part) (time.Time, bool) {
	if at, ok := p.recent[part]; ok {
		return at, true
	}
	at, ok := p.older[part]
	return at, ok
}
