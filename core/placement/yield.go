package placement

import "time"

const (
	// yieldFor is for how long late requests yield after a new one was refused:
	// about as long as a request holds its place.
	yieldFor = time.Second
	// yieldShare is the part of an entry's running requests that late ones may be
	// meanwhile, so that they are not starved.
	yieldShare = 0.15
	// yieldLeast is how many late requests may always run.
	yieldLeast = 1
)

// mustYield reports whether a late request leaves its place to new ones.
//
// After an overload, callers that were refused come back and wait for places.
// Each that is given one has a new caller refused, who comes back late in turn:
// 1.1 times the engines' capacity kept a third to a half of all calls late for
// 24 seconds on end. A late answer is worth a part of one on time and costs the
// same place, so while new calls are refused late ones get a small part.
func (b *Board) mustYield(now time.Time, g *group, ask Ask) bool {
	if b.off.LateYields || ask.Engine == nil || ask.Pause > 0 || now.Sub(g.refusedNew) > yieldFor {
		return false
	}
	return g.late >= yieldLeast && float64(g.late+1) > yieldShare*float64(g.running+1)
}

// refused notes a refusal.
func (g *group) refused(now time.Time, ask Ask) {
	if !ask.Late {
		g.refusedNew = now
	}
}

func (g *group) began(t *Ticket) {
	g.running++
	if t.late {
		g.late++
	}
}

func (g *group) ended(t *Ticket) {
	g.running--
	if t.late {
		g.late--
	}
}
