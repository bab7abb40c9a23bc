package priority

import "time"

// Request is the state of one request at an entry, until it is placed or refused. It is used
// by one goroutine.
type Request struct {
	demand *Demand
	level  Level
	// isRestricted is true if the request may use only some of the servers.
	isRestricted bool
	// rank is that under which the request waits, if isWaiting.
	rank        Rank
	isWaiting   bool
	foundNoRoom bool
	hasEnded    bool
}

// NewRequest counts a request that has arrived and returns its state. isRestricted is true if
// the request may use only some of the servers.
func (d *Demand) NewRequest(now time.Time, l Level, isRestricted bool) *Request {
	d.Arrived(now, l)
	return &Request{demand: d, level: l, isRestricted: isRestricted}
}

// Limits returns what the request may use now.
func (r *Request) Limits(now time.Time) Limits { return r.demand.Limits(now, r.level) }

// Yields reports whether the request must not be placed now, since a more urgent one waits.
func (r *Request) Yields(now time.Time, late bool) bool {
	return r.demand.Yields(now, r.rankIf(late))
}

// FoundNoRoom records that no server had room for the request.
func (r *Request) FoundNoRoom(now time.Time) {
	if !r.foundNoRoom {
		r.foundNoRoom = true
		r.demand.FoundNoRoom(now)
	}
}

// Wait starts or continues the wait of the request for room. It reports false if the request
// has to give way to others that wait.
func (r *Request) Wait(now time.Time, late bool) bool {
	rank := r.rankIf(late)
	if r.isWaiting && r.rank == rank {
		r.isWaiting = r.demand.Stay(now, rank)
		return r.isWaiting
	}
	r.leave()
	r.isWaiting = r.demand.Wait(now, rank)
	r.rank = rank
	return r.isWaiting
}

func (r *Request) rankIf(late bool) Rank {
	return Rank{Level: r.level, Late: late, Restricted: r.isRestricted}
}

// IsWaiting reports whether the request waits for room.
func (r *Request) IsWaiting() bool { return r.isWaiting }

// Placed ends the wait and counts the first placement of the request.
func (r *Request) Placed(now time.Time) {
	r.leave()
	if !r.hasEnded {
		r.hasEnded = true
		r.demand.Placed(now, r.level)
	}
}

// Refused ends the wait and counts the refusal, unless the request was placed before.
func (r *Request) Refused(now time.Time) {
	r.leave()
	if !r.hasEnded {
		r.hasEnded = true
		r.demand.Refused(now, r.level)
	}
}

func (r *Request) leave() {
	if r.isWaiting {
		r.isWaiting = false
		r.demand.Leave(r.rank)
	}
}
