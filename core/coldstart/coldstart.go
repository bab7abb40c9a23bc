// Package coldstart limits what an entry sends to cold servers: servers that bear only few
// requests for some time after their start.
//
// Each entry computes its own quota by a rule that all entries compute alike. No entry
// asks or informs another, so nothing has to be settled again when one of them starts,
// stops, is paused or is cut off. The package has no I/O and no clock.
package coldstart

import (
	"math"
	"time"

	"chivespindle.example/core/fleet"
)

const (
	// Window is the time to which a quota applies. The bound applies to any second; the
	// rest is the difference between the delays on the way of two requests.
	Window = 1250 * time.Millisecond
	// StartupPeriod is how long after its start an entry counts as new: it may not know
	// all others yet.
	StartupPeriod = 3 * time.Second
	// MaxLeft is the longest remaining cold time that a server can state.
	MaxLeft = time.Minute
	// largestFleet is the number of entries that one without any information assumes.
	largestFleet = 512
)

// Rate is the number of requests that a cold server bears.
type Rate struct {
	// PerSecond is the rate that all entries together aim at.
	PerSecond float64
	// In any second, all entries together may send Overage times PerSecond requests,
	// plus Slack. If both are 0, they may send PerSecond.
	Overage, Slack float64
}

// bound is the number of requests that all entries together may send in any second.
func (r Rate) bound() float64 {
	if r.Overage == 0 && r.Slack == 0 {
		return r.PerSecond
	}
	return r.Overage*r.PerSecond + r.Slack
}

// budget is the number of requests that all entries together send in any Window.
func (r Rate) budget() int { return toCount(min(r.PerSecond, r.bound())) }

// spare is the rest of the bound, for entries that do not know all others.
func (r Rate) spare() int { return toCount(r.bound()) - r.budget() }

// toCount rounds down to a number of requests.
func toCount(requests float64) int {
	const most = math.MaxInt32
	return int(max(0, min(most, requests)))
}

// Entries is what an entry knows of the entries of the fleet.
type Entries struct {
	Self   fleet.InstanceID
	Others []fleet.InstanceID
	// IsNew is true for an entry that started less than StartupPeriod ago.
	IsNew bool
	// IsUninformed is true for an entry that knows no other, or too few to rank itself
	// among them, although there are others.
	IsUninformed bool
}

// Quota is the number of requests that an entry may send to a cold server in any Window.
type Quota struct {
	Requests int
	// LastResort applies instead of Requests if the entry has no other server for a
	// request.
	LastResort int
}

// Quota returns the quota of the entry for a server.
//
// If the budget were divided among all entries of a large fleet, the part of each would be
// less than one request. So only as many entries use a server as the budget allows. Each
// server is used by others, which are those that rank first by rendezvous hashing.
//
// An entry that is new or knows no other sends requests of the spare part of the bound,
// only as a last resort. The entries that know their rank keep to that part by it. One
// that is uninformed uses as few of the servers as if it were one of the largest fleet:
// after a power failure all entries are uninformed at the same time.
func (e Entries) Quota(server fleet.InstanceID, rate Rate) Quota {
	switch {
	case e.IsUninformed:
		const hashShare = math.MaxUint64 / largestFleet
		if fleet.RendezvousRank(server, e.Self)/hashShare < uint64(rate.spare()) {
			return Quota{LastResort: 1}
		}
		return Quota{}
	case e.IsNew:
		if e.rank(server) < rate.spare() {
			return Quota{LastResort: 1}
		}
		return Quota{}
	}
	budget := rate.budget()
	requests := max(1, budget/(1+len(e.Others)))
	if e.rank(server) >= budget/requests {
		return Quota{}
	}
	return Quota{Requests: requests, LastResort: requests}
}

// rank returns the number of other entries that rank before this one.
func (e Entries) rank(server fleet.InstanceID) int {
	own := fleet.RendezvousRank(server, e.Self)
	rank := 0
	for _, id := range e.Others {
		if other := fleet.RendezvousRank(server, id); other < own || other == own && id < e.Self {
			rank++
		}
	}
	return rank
}
