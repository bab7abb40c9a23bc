package placement

import "time"

const (
	// strikesOut is the number of silences or broken answers in a row after
	// which a server gets no requests for a while.
	strikesOut = 2
	// ejectMin doubles with each relapse up to ejectMax.
	ejectMin = 700 * time.Millisecond
	ejectMax = 6 * time.Second
	// maxDoublings is enough to reach ejectMax.
	maxDoublings = 4
	// rateWeight is the weight of the newest answer in a share of failures; about
	// ten answers tell.
	rateWeight = 0.1
	// groupRateWeight is the same for the whole service.
	groupRateWeight = 0.01
	// usualSpread is how far a server's share of failures may lie above that of
	// its service by chance.
	usualSpread = 0.15
	// ejectedShare is the most servers of a service that are left out for their
	// failures: if more seem to fail, the fault is likelier on this side.
	ejectedShare = 0.5
)

// health is what a server's last answers tell of it.
//
// A health check passes while a server fails a part of its requests, so only
// its answers show it. Errors that a kind of request has at every server are
// no reason to leave one: what counts is a server's share against that of its
// service.
type health struct {
	strikes  int
	relapses int
	rate     float64
	until    time.Time
}

// note takes the end of a request. With mayEject false no server is left out.
func (h *health) note(now time.Time, g *group, result Result, r Rand, mayEject bool) {
	switch result {
	case Succeeded:
		h.strikes = 0
		h.relapses = 0
		h.sample(g, 0)
	case Failed:
		h.strikes = 0
		h.sample(g, 1)
	case Broken, TimedOut:
		h.sample(g, 1)
		h.strikes++
		if (h.strikes >= strikesOut || result == TimedOut) && mayEject {
			h.eject(now, g, r)
		}
	case Declined, Abandoned:
	}
}

func (h *health) sample(g *group, failed float64) {
	h.rate += rateWeight * (failed - h.rate)
	g.failRate += groupRateWeight * (failed - g.failRate)
}

// eject leaves the server out for a time that doubles with each relapse.
func (h *health) eject(now time.Time, g *group, r Rand) {
	out := 0
	for _, st := range g.states {
		if now.Before(st.health.until) {
			out++
		}
	}
	if float64(out+1) > ejectedShare*float64(len(g.states)) {
		return
	}
	pause := min(ejectMax, ejectMin<<min(h.relapses, maxDoublings))
	h.relapses++
	h.strikes = 0
	h.until = now.Add(pause + time.Duration(r.Float64()*float64(pause)/2))
}

// cost is what the server's failures add to its predicted time.
func (h *health) cost(g *group) time.Duration {
	beyond := h.rate - g.failRate - usualSpread
	if beyond <= 0 {
		return 0
	}
	return time.Duration(beyond * float64(failureCost))
}
