package placement

import (
	"sync"
	"time"
)

// returnedAfter is how much less time than others on its route a caller must
// have to count as one that was refused before: its first wait is longer.
const returnedAfter = 100 * time.Millisecond

// Patience tells callers that come back after a refusal from new ones. Those
// that come back have a part of their time behind them; how much a new caller
// has is learned from the longest that was seen on the route. It is safe for
// concurrent use.
type Patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route
}

// IsReturned reports whether a caller on a route with so much time came back.
// 0 means that it did not say.
func (p *Patience) IsReturned(route string, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil {
		p.longest = make(map[string]time.Duration)
	}
	p.longest[route] = max(p.longest[route], left)
	return left < p.longest[route]-returnedAfter
}
