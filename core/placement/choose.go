package placement

import (
	"slices"
	"time"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
)

const (
	// loadTTL is how long the load reported by an entry is counted: a few
	// heartbeats.
	loadTTL = time.Second
	// jitter is the upper bound of a random addition to the cost of each server.
	// Entries learn of each other's choices one heartbeat late; without jitter all
	// of them would choose the same server until then.
	jitter = 12 * time.Millisecond
	// otherRegionCost is the cost of a server in another region, where each event
	// crosses the link between the regions.
	otherRegionCost = 25 * time.Millisecond
	// outdatedCost is the cost of an engine whose version is about to be replaced.
	// Streams that still run there at the change are prefilled again elsewhere, or
	// delay the load of the new version by several times the duration of that
	// prefill.
	outdatedCost = 60 * time.Millisecond
	// failureCost is the cost of a server whose responses all fail, relative to one
	// whose failure rate is usual for the service.
	failureCost = 2 * time.Second
	// maxOverflowFailureCost is the cost of failures up to which a server takes requests
	// that the cheapest one cannot: that of a server that fails a quarter of its requests
	// more than usual.
	maxOverflowFailureCost = failureCost / 4
	// suspectCost is the cost of a server that runs a suspect request. A request
	// that crashes its server also ends all others there; with suspects on
	// different servers, the next crash shows which one was the cause.
	suspectCost = 100 * time.Millisecond
	// maxWaitShare is the share of the shortest target latency of a service that a
	// request may wait at an engine, apart from its own prefill. It is the same for
	// all kinds and sizes of requests: with individual limits, the requests with a
	// longer target would keep the engines so busy that no others would ever be
	// placed.
	maxWaitShare = 0.45
	// maxWaitShareLate is the same for requests that are already late.
	maxWaitShareLate = 0.35
	// lateSlotShare is the share of an engine's slots up to which late requests are
	// placed. The remaining slots are reserved for requests that can still be on
	// time. Late requests wait at the entry for a free slot, so under lasting
	// overload they would otherwise take every slot that becomes free, and within
	// seconds all requests would be late.
	lateSlotShare = 0.85
	// tooLongFactor is the factor by which the predicted time to the end of an
	// response must exceed the time left for the request to be refused. For half of
	// the responses, the callers' estimates are off by a factor of more than 1.4 in
	// either direction.
	tooLongFactor = 1.25
	// reportDelay is the time within which the entries have received each other's
	// reports of their first requests at a server.
	reportDelay = 150 * time.Millisecond
	// plainQueueFactor is the number of requests per slot at which a server of a
	// plain service is full.
	plainQueueFactor = 3
	// initialDuration is the assumed duration of a request of a plain service
	// before the first one has ended.
	initialDuration = 50 * time.Millisecond
)

// Reason is why no server was chosen.
type Reason string

const (
	// NoServer: no server of the service can accept requests.
	NoServer Reason = "no_server"
	// NoAllowedServer: no server in the regions in which the request may be served can
	// accept it.
	NoAllowedServer Reason = "no_allowed_server"
	// Full: no server would answer in time.
	Full Reason = "full"
	// NoSlot: a server would start in time but has no capacity for this request:
	// the queue of the plain service is full, the request is late and the slots for
	// late requests are taken, or it needs too much memory.
	NoSlot Reason = "no_place"
	// Reserved: a server would start in time, but its free slots are reserved for more
	// urgent requests.
	Reserved Reason = "reserved"
	// Limited: the servers that could serve the request have rate limits, and this
	// entry has used up its share of them.
	Limited Reason = "limited"
	// BackedOff: the servers that could serve the request have requested a backoff.
	BackedOff Reason = "backoff"
	// Evacuated: all servers that are not leaving are in evacuated zones.
	Evacuated Reason = "evacuated"
	// TooLong: the response would not be complete before the caller's deadline.
	TooLong Reason = "too_long"
	// TooLarge: the request needs more memory than an idle server has.
	TooLarge Reason = "too_large"
)

// Refusal describes why a request was not placed and when the caller may retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// Predicted is the predicted time to a response at the best server; 0 if there
	// was none.
	Predicted time.Duration
	// Candidates is the number of servers that were considered.
	Candidates int
	// NotBefore is, for Cold, the time before which no server can take the request, unless
	// the cold servers or the quotas change; zero if it is not known.
	NotBefore time.Time
	// Regions are, for NoAllowedServer, the regions with servers in service that the
	// request may not use.
	Regions []fleet.Region
}

// Choose assigns a request to a server. The caller must end the Assignment. If no
// server is chosen, the Assignment is nil and the Refusal says why.
func (b *Balancer) Choose(now time.Time, req Request) (*Assignment, Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.services[req.Service]
	if g == nil {
		return nil, Refusal{Reason: NoServer, RetryAfter: maxRetryAfter(req.TimeLeft)}
	}
	if req.IsTooLarge() {
		return nil, Refusal{Reason: TooLarge, RetryAfter: maxRetryAfter(req.TimeLeft)}
	}
	candidates, cold := b.candidates(now, g, req)
	if len(candidates) == 0 && len(cold) > 0 {
		return nil, b.coldRefusal(now, g, req, cold)
	}
	if len(candidates) == 0 {
		return nil, b.refusalWithoutCandidates(now, g, req)
	}
	if b.disabled.LateLast {
		req.Late = false
	}
	best, predicted := b.cheapest(now, candidates, req)
	if reason := b.refusalReason(req, predicted, b.work(now, best), best); reason != "" {
		considered := len(candidates)
		if candidates = b.retainOpen(now, candidates, req); len(candidates) == 0 {
			return nil, Refusal{Reason: reason, RetryAfter: b.retryAfter(req), Predicted: predicted, Candidates: considered}
		}
		best, predicted = b.cheapest(now, candidates, req)
	}
	timeout, _ := b.serverTimeout(now, best, req)
	assignment := &Assignment{
		balancer: b, state: best, Server: best.Server, Predicted: predicted, ServerTimeout: timeout,
		Refused:      now.Before(best.health.refusedUntil),
		promptTokens: req.PromptTokens, outputTokens: req.OutputTokens, suspect: req.Suspect, placed: now,
	}
	best.limit.take()
	best.health.recordPlaced(now)
	assignment.countedCold = best.takeCold(now)
	if best.statements != nil {
		best.statements.backoff.placed(assignment)
	}
	if assignment.suspect {
		best.suspects++
	}
	best.own[assignment] = struct{}{}
	b.markChanged(best)
	return assignment, Refusal{}
}

// refusalWithoutCandidates returns why no server can be considered.
func (b *Balancer) refusalWithoutCandidates(now time.Time, g *serverGroup, req Request) Refusal {
	if g.isLimited(now, req) {
		return Refusal{Reason: Limited, RetryAfter: b.retryAfter(req)}
	}
	if at, ok := g.firstReturn(now, req); ok {
		return Refusal{Reason: BackedOff, RetryAfter: b.retryAfterBackoff(at.Sub(now), req)}
	}
	if g.isEvacuated(req) {
		return Refusal{Reason: Evacuated, RetryAfter: maxRetryAfter(req.TimeLeft)}
	}
	if refusal, ok := g.refusalForResidency(req); ok {
		return refusal
	}
	return Refusal{Reason: NoServer, RetryAfter: maxRetryAfter(req.TimeLeft)}
}

// refusalReason returns why a request is not sent to the best server; empty if it
// is sent.
func (b *Balancer) refusalReason(req Request, predicted time.Duration, w enginemodel.Work, s *serverState) Reason {
	switch {
	case predicted-req.prefillTime() > req.maxWait() && !b.disabled.RefuseFull:
		return Full
	case req.MaxPause > 0 && predicted > req.MaxPause:
		return Full
	case !req.fits(w, s):
		return NoSlot
	case !req.fitsReserve(w, s):
		return Reserved
	case req.isTooLong(predicted, w) && !b.disabled.RefuseLong:
		return TooLong
	default:
		return ""
	}
}

// maxWait is the longest predicted wait with which a request is still sent.
//
// In a burst, each request that is placed too late to be on time takes a slot from
// one that would be, and soon all are late. If it is refused at once, its caller
// can retry after the burst.
func (r Request) maxWait() time.Duration {
	target := r.TargetLatency
	if target <= 0 {
		target = r.TimeLeft
	}
	if r.Late {
		return time.Duration(maxWaitShareLate * float64(target))
	}
	return time.Duration(maxWaitShare * float64(target))
}

// isTooLong reports whether the response to a late request is predicted to take much
// longer than the time left.
func (r Request) isTooLong(first time.Duration, w enginemodel.Work) bool {
	if r.Engine == nil || !r.Late || r.ExpectedTokens == 0 || r.TimeLeft <= 0 {
		return false
	}
	total := first + r.Engine.DecodeTime(w, r.ExpectedTokens)
	return float64(total) > tooLongFactor*float64(r.TimeLeft)
}

// prefillTime is the part of a prediction that is spent on the request's own
// prompt.
func (r Request) prefillTime() time.Duration {
	if r.Engine == nil {
		return 0
	}
	return r.Engine.PrefillTime(r.PromptTokens)
}

// fits limits the queue of a plain service, whose latency is hard to predict, and
// the memory use of an engine: an engine that runs out of memory drops a running
// stream and prefills it again.
func (r Request) fits(w enginemodel.Work, s *serverState) bool {
	if r.Engine == nil {
		return w.Running < max(1, s.Slots)*plainQueueFactor
	}
	if r.Late && float64(w.Running) >= lateSlotShare*float64(s.Slots) {
		return false
	}
	if r.Engine.MemoryTokens == 0 {
		return true
	}
	return w.Context+r.PromptTokens+r.OutputTokens <= r.Engine.MemoryTokens
}

// IsTooLarge reports whether the request needs more memory than an idle engine has. No wait
// helps such a request, and none must yield to it.
func (r Request) IsTooLarge() bool {
	if r.Engine == nil || r.Engine.MemoryTokens == 0 {
		return false
	}
	left := r.Engine.MemoryTokens - r.PromptTokens // the sum of the counts may overflow
	return left < 0 || r.OutputTokens > left
}

// candidates returns the servers that may serve the request. Ejected and paused servers
// are left out unless there are no others: a false alarm must not make the service
// unavailable. A cold server is a candidate only within the quota for it. Servers that
// refused a connection come last. If there are no candidates, the reachable cold servers are
// returned as well.
func (b *Balancer) candidates(now time.Time, g *serverGroup, req Request) (usable, withoutQuota []*serverState) {
	var healthy, avoided, cold, refused []*serverState
	for _, st := range g.states {
		switch {
		case !req.isAllowed(st):
		case st.Evacuated, st.Leaving, st.Reloading, st.limit.isEmpty(now), st.backsOff(now), slices.Contains(req.Exclude, st.ID):
		case !b.isVersionEligible(now, st, req):
		case st.isCold(now):
			cold = append(cold, st)
		case now.Before(st.health.refusedUntil):
			refused = append(refused, st)
		case st.isAvoided(now):
			avoided = append(avoided, st)
		default:
			healthy = append(healthy, st)
		}
	}
	healthy = append(healthy, withinQuota(now, cold, regularQuota)...)
	if len(healthy) > 0 {
		return healthy, nil
	}
	isUnreachable := func(st *serverState) bool { return st.Unreachable }
	if avoided = slices.DeleteFunc(avoided, isUnreachable); len(avoided) > 0 {
		return avoided, nil
	}
	if usable = withinQuota(now, cold, lastResortQuota); len(usable) > 0 {
		return usable, nil
	}
	return slices.DeleteFunc(refused, isUnreachable), slices.DeleteFunc(cold, isUnreachable)
}

// isVersionEligible reports whether the loaded version of an engine allows it to
// serve the request.
func (b *Balancer) isVersionEligible(now time.Time, st *serverState, req Request) bool {
	_, ok := b.serverTimeout(now, st, req)
	return ok
}

// cheapest returns the server with the lowest cost and its predicted latency.
func (b *Balancer) cheapest(now time.Time, candidates []*serverState, req Request) (*serverState, time.Duration) {
	var best *serverState
	var bestCost, bestTime time.Duration
	for _, st := range candidates {
		predicted := b.predict(now, st, req)
		cost := b.cost(now, st, req, predicted)
		if best == nil || cost < bestCost {
			best, bestCost, bestTime = st, cost, predicted
		}
	}
	return best, bestTime
}

// retainOpen retains the servers that can take a request which the cheapest one cannot. One
// that fails many of its requests is always idle, so all requests of an overload would go
// there.
func (b *Balancer) retainOpen(now time.Time, candidates []*serverState, req Request) []*serverState {
	return slices.DeleteFunc(candidates, func(st *serverState) bool {
		if !b.disabled.FailureCost && st.health.cost(now, st.group) > maxOverflowFailureCost {
			return true
		}
		return b.refusalReason(req, b.predict(now, st, req), b.work(now, st), st) != ""
	})
}

// cost is the predicted latency of a server plus all penalties.
func (b *Balancer) cost(now time.Time, st *serverState, req Request, predicted time.Duration) time.Duration {
	cost := predicted
	if b.disabled.Prediction {
		cost = time.Duration(b.occupancy(now, st) * float64(st.group.duration))
	}
	if !b.disabled.FailureCost {
		cost += st.health.cost(now, st.group)
	}
	if !b.disabled.Jitter {
		cost += time.Duration(b.rand.Float64() * float64(jitter))
	}
	if st.suspects > 0 {
		cost += suspectCost
	}
	if st.Place.Region != req.EntryPlace.Region && !b.disabled.NearServers {
		cost += otherRegionCost
	}
	if req.Engine != nil {
		cost += b.notPreferredPenalty(st)
	}
	if req.hasReserve() && !req.fitsReserve(b.work(now, st), st) {
		cost += reservedCost
	}
	if eligibility, _ := req.eligibility(st.LoadedVersion); eligibility == EligibleOutdated && !b.disabled.NewerFirst {
		cost += outdatedCost
	}
	return cost
}

// occupancy is the number of running requests per slot of a server.
func (b *Balancer) occupancy(now time.Time, st *serverState) float64 {
	return float64(b.work(now, st).Running) / float64(max(1, st.Slots))
}

// predict returns the time after which a server would start to answer; for a plain
// service, the time to its response.
func (b *Balancer) predict(now time.Time, st *serverState, req Request) time.Duration {
	switch {
	case req.Engine == nil:
		return time.Duration(b.occupancy(now, st) * float64(st.group.duration))
	case b.disabled.Prediction:
		return time.Duration(max(0, b.occupancy(now, st)-1) * float64(st.group.duration))
	default:
		slowdown := max(1, st.Slowdown)
		if b.disabled.Pace {
			slowdown = 1
		}
		return time.Duration(slowdown * float64(req.Engine.TimeToFirstEvent(b.work(now, st), req.PromptTokens)))
	}
}

// retryAfter is the delay after which a refused caller may retry.
func (b *Balancer) retryAfter(req Request) time.Duration {
	if b.disabled.SpreadReturn {
		return maxRetryAfter(req.TimeLeft)
	}
	return spreadRetryAfter(req.TimeLeft, b.rand.Float64())
}

// maxRetryAfter is the delay for a caller that no server can serve now: the longest
// that callers honour, which is a third of the time left, since servers recover
// within seconds.
func maxRetryAfter(left time.Duration) time.Duration { return left / retryDivisor }

// retryDivisor divides the time left: the quotient is the longest retry delay that
// callers honour.
const retryDivisor = 3

// spreadRetryAfter spreads the retries of callers that were refused in a burst, so
// that they do not form the next burst. draw is a random number in [0, 1).
func spreadRetryAfter(left time.Duration, draw float64) time.Duration {
	const minShare = 0.3
	return time.Duration((minShare + (1-minShare)*draw) * float64(left/retryDivisor))
}

// Exclude returns a copy of ids with id appended.
func Exclude(ids []fleet.InstanceID, id fleet.InstanceID) []fleet.InstanceID {
	return append(slices.Clone(ids), id)
}
