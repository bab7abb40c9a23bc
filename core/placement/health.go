package placement

import (
	"math"
	"time"
)

const (
	// maxStrikes is the number of consecutive broken responses or time-outs after
	// which a server is ejected. A single time-out ejects at once.
	maxStrikes = 2
	// minEjection is the least duration of the first ejection; it doubles with each
	// further one, up to maxEjection.
	minEjection = 700 * time.Millisecond
	maxEjection = 6 * time.Second
	// maxDoublings bounds the shift; it is enough to reach maxEjection.
	maxDoublings = 4
	// unresponsiveInterval is the time between two requests to a server whose ejection is
	// over and that has not responded since. An idle server has the lowest predicted
	// latency, so without a limit it attracts requests until the first of them times out.
	unresponsiveInterval = 700 * time.Millisecond
	// refusalPause is how long a server that refused a connection is avoided. Its process
	// has ended, so each further request there costs a round trip. A server that is back
	// under the same ID is out of use for as long.
	refusalPause = 500 * time.Millisecond
	// rateWeight is the weight of the newest response in the failure rate of a
	// server, which thus covers about ten responses.
	rateWeight = 0.1
	// rateHalfLife is the time in which the failure rate of a server that receives no
	// requests falls by half. Without it, a server whose rate is high is not tried again
	// for as long as others have room.
	rateHalfLife = 10 * time.Second
	// groupRateWeight is the same for the whole service.
	groupRateWeight = 0.01
	// usualSpread is by how much the failure rate of a server may exceed that of
	// its service by chance.
	usualSpread = 0.15
	// maxEjectedShare is the largest share of the servers of a service that is
	// ejected: if more seem to fail, the fault is more likely on this side.
	maxEjectedShare = 0.5
)

// health is the state of a server as shown by its latest responses.
//
// A health check can pass while a server fails some of its requests, so only its
// responses reveal the fault. Errors that a kind of request causes at every server
// are no reason to avoid one: what counts is the failure rate of a server relative
// to that of its service.
type health struct {
	consecutiveFailures int
	ejections           int
	// failureRate is the share of failed responses as of ratedAt.
	failureRate  float64
	ratedAt      time.Time
	ejectedUntil time.Time
	// unresponsiveAt is when time-outs or broken responses were last a reason to eject the
	// server. isUnresponsive is true from such an ejection until the server responds.
	unresponsiveAt time.Time
	isUnresponsive bool
	// refusedUntil is until when the server is avoided since it refused a connection.
	refusedUntil time.Time
}

// record updates the health with the result of a request that was placed at the given
// time. If mayEject is false, no server is ejected.
func (h *health) record(now, placed time.Time, g *serverGroup, result Result, r Rand, mayEject bool) {
	switch result {
	case Succeeded:
		h.recordSuccess(now, g)
	case Failed:
		h.consecutiveFailures = 0
		h.recordResponse(placed)
		h.addSample(now, g, 1)
	case Broken, TimedOut:
		// A silent server times out all requests that it holds, which is one failure.
		if placed.Before(h.unresponsiveAt) {
			return
		}
		h.addSample(now, g, 1)
		h.consecutiveFailures++
		if h.consecutiveFailures >= maxStrikes || result == TimedOut {
			h.unresponsiveAt = now
			h.isUnresponsive = h.eject(now, g, r, mayEject) || h.isUnresponsive
		}
	case Refused:
		h.recordRefusal(now, g, r, mayEject)
	case Declined:
		h.recordResponse(placed)
	case Abandoned:
	}
}

// recordSuccess ends the ejection of an unresponsive server. That of a server that refuses
// connections goes on: it may still complete the requests that it holds.
func (h *health) recordSuccess(now time.Time, g *serverGroup) {
	h.consecutiveFailures = 0
	h.ejections = 0
	h.refusedUntil = time.Time{}
	if h.isUnresponsive {
		h.isUnresponsive = false
		h.ejectedUntil = time.Time{}
	}
	h.addSample(now, g, 0)
}

// recordPlaced records that a request is placed at the server. If it is the first one after
// an ejection, the server is avoided until it responds or the next one is due.
func (h *health) recordPlaced(now time.Time) {
	if h.isUnresponsive && !now.Before(h.ejectedUntil) {
		h.ejectedUntil = now.Add(unresponsiveInterval)
	}
}

// recordResponse records that the server has responded to a request, if only with an error or
// the start of a stream. With requests placed before the latest ejection this does not show
// that it completes any now.
func (h *health) recordResponse(placed time.Time) {
	if h.isUnresponsive && placed.After(h.unresponsiveAt) {
		h.isUnresponsive = false
		h.ejectedUntil = time.Time{}
	}
}

func (h *health) recordRefusal(now time.Time, g *serverGroup, r Rand, mayEject bool) {
	if mayEject {
		h.refusedUntil = now.Add(refusalPause)
	}
	h.addSample(now, g, 1)
	h.consecutiveFailures++
	if h.consecutiveFailures >= maxStrikes {
		h.isUnresponsive = !h.eject(now, g, r, mayEject) && h.isUnresponsive
	}
}

func (h *health) addSample(now time.Time, g *serverGroup, failed float64) {
	h.failureRate = h.rate(now)
	h.ratedAt = now
	h.failureRate += rateWeight * (failed - h.failureRate)
	g.failureRate += groupRateWeight * (failed - g.failureRate)
}

// rate returns the failure rate, which falls with the time since the latest response.
func (h *health) rate(now time.Time) float64 {
	halfLives := max(0, now.Sub(h.ratedAt)).Seconds() / rateHalfLife.Seconds()
	return h.failureRate * math.Exp2(-halfLives)
}

// eject excludes the server for a random time of which the minimum doubles with
// each repeated ejection, and reports whether it did. If mayEject is false, it does not.
func (h *health) eject(now time.Time, g *serverGroup, r Rand, mayEject bool) bool {
	if !mayEject {
		return false
	}
	ejected := 0
	for _, st := range g.states {
		if &st.health != h && now.Before(st.health.ejectedUntil) {
			ejected++
		}
	}
	if float64(ejected+1) > maxEjectedShare*float64(len(g.states)) {
		return false
	}
	pause := min(maxEjection, minEjection<<min(h.ejections, maxDoublings))
	h.ejections++
	h.consecutiveFailures = 0
	h.ejectedUntil = now.Add(pause + time.Duration(r.Float64()*float64(pause)/2))
	return true
}

// cost is the penalty for the server's failures.
func (h *health) cost(now time.Time, g *serverGroup) time.Duration {
	usual := g.failureRate + usualSpread
	if h.failureRate <= usual {
		return 0
	}
	excess := max(0, h.rate(now)-usual)
	return time.Duration(excess * float64(failureCost))
}
