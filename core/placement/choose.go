package placement

import (
	"slices"
	"time"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
)

const (
	// loadLife is how long the load that an entry told is believed: a few of
	// its heartbeats.
	loadLife = time.Second
	// jitter is added at random to the cost of each server. Entries hear of each
	// other's choices a heartbeat late; without it they would all choose the same
	// server until then.
	jitter = 12 * time.Millisecond
	// otherRegion is the cost of a server in another region, where each event
	// crosses the link between them.
	otherRegion = 25 * time.Millisecond
	// outdatedCost is the cost of an engine whose version is about to be replaced.
	// Streams that still run there when it changes are prefilled again elsewhere, or
	// delay its load by several times what that takes.
	outdatedCost = 60 * time.Millisecond
	// failureCost is the cost of a server whose answers all fail, next to one
	// whose share of failures is usual.
	failureCost = 2 * time.Second
	// suspectCost is the cost of a server that runs a suspect request. A request that
	// crashes its server ends all others there, and suspects on different servers are
	// distinguished by the next crash.
	suspectCost = 100 * time.Millisecond
	// waitShare is the part of the shortest aim of a service for which a request
	// may wait at an engine until its own prompt is read. It is the same for all
	// kinds and sizes of request: by their own aims, those with the longer aim
	// would keep the engines so busy that no other was ever placed.
	waitShare = 0.45
	// lateShare is the same for a request that is late already.
	lateShare = 0.35
	// lateSlots is the share of an engine's places up to which late requests are
	// placed. The rest is left to those that can still be on time. Late requests
	// wait for room, so under lasting overload they would else get every place
	// that falls free, and after some seconds all requests would be late.
	lateSlots = 0.85
	// tooLong is by how much the expected time to the end of an answer must
	// exceed the time left. Callers' estimates are off by more than 1.4 either
	// way for half of the answers.
	tooLong = 1.25
	// hearWithin is the time in which entries have heard of each other's first
	// requests at a server.
	hearWithin = 150 * time.Millisecond
	// plainQueue is the number of requests for each place of a plain service
	// beyond which it is full.
	plainQueue = 3
	// firstDuration is what a request of a plain service is taken to last before
	// one has ended.
	firstDuration = 50 * time.Millisecond
)

// Reason says why no server was chosen.
type Reason string

const (
	// NoServer: no server of the service can take requests.
	NoServer Reason = "no_server"
	// Full: no server would answer in time.
	Full Reason = "full"
	// NoSlot: a server would begin in time, but has no place for this request: it
	// is late, and the places for such are taken, or it needs too much memory.
	NoSlot Reason = "no_place"
	// Limited: the servers that could take the request have limits, and this entry has
	// used its share of them.
	Limited Reason = "limited"
	// TooLong: the answer would not be whole before the caller gives up.
	TooLong Reason = "too_long"
)

// Refusal says that a request was not placed and when it may come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// Predicted is the shortest time to an answer; 0 with NoServer.
	Predicted time.Duration
	// Candidates is the number of servers that were looked at.
	Candidates int
}

// Choose places a request. The Ticket must be ended. A nil Ticket comes with a
// Refusal.
func (b *Balancer) Choose(now time.Time, ask Request) (*Assignment, Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.services[ask.Service]
	if g == nil {
		return nil, Refusal{Reason: NoServer, RetryAfter: comeBackLater(ask.TimeLeft)}
	}
	usable := b.candidates(now, g, ask)
	if len(usable) == 0 && g.isLimited(now) {
		return nil, Refusal{Reason: Limited, RetryAfter: b.comeBack(ask)}
	}
	if len(usable) == 0 {
		return nil, Refusal{Reason: NoServer, RetryAfter: comeBackLater(ask.TimeLeft)}
	}
	if b.off.LateLast {
		ask.Late = false
	}
	best, predicted := b.cheapest(now, usable, ask)
	if reason := b.refusedFor(ask, predicted, b.work(now, best), best); reason != "" {
		return nil, Refusal{Reason: reason, RetryAfter: b.comeBack(ask), Predicted: predicted, Candidates: len(usable)}
	}
	t := &Assignment{
		board: b, state: best, Server: best.Server, Predicted: predicted, ServerTimeout: ask.within(best),
		prompt: ask.PromptTokens, answer: ask.OutputTokens, suspect: ask.Suspect, placed: now,
	}
	best.limit.take()
	if t.suspect {
		best.suspects++
	}
	best.own[t] = struct{}{}
	b.touch(best)
	return t, Refusal{}
}

// refusedFor returns why a request is not sent to the best server; empty if it is.
func (b *Balancer) refusedFor(a Request, predicted time.Duration, w enginemodel.Work, s *state) Reason {
	switch {
	case predicted-a.reading() > a.patience() && !b.off.RefuseFull:
		return Full
	case a.MaxPause > 0 && predicted > a.MaxPause:
		return Full
	case !a.fits(w, s):
		return NoSlot
	case a.isTooLong(predicted, w) && !b.off.RefuseLong:
		return TooLong
	default:
		return ""
	}
}

// patience is the longest wait with which a request is still sent.
//
// In a burst each request that is placed too late to be on time takes a place
// from one that would be, and soon all are late. Refused at once, its caller
// comes back when the burst is over.
func (a Request) patience() time.Duration {
	aim := a.TargetLatency
	if aim <= 0 {
		aim = a.TimeLeft
	}
	if a.Late {
		return time.Duration(lateShare * float64(aim))
	}
	return time.Duration(waitShare * float64(aim))
}

// isTooLong reports whether the answer to a late request is expected to take
// much longer than the caller waits.
func (a Request) isTooLong(first time.Duration, w enginemodel.Work) bool {
	if a.Engine == nil || !a.Late || a.ExpectedTokens == 0 || a.TimeLeft <= 0 {
		return false
	}
	whole := first + a.Engine.DecodeTime(w, a.ExpectedTokens)
	return float64(whole) > tooLong*float64(a.TimeLeft)
}

// reading is the part of a prediction that is the request's own prompt.
func (a Request) reading() time.Duration {
	if a.Engine == nil {
		return 0
	}
	return a.Engine.PrefillTime(a.PromptTokens)
}

// fits bounds what waits at a plain service, whose times are not predicted
// well, and what an engine may hold in memory: beyond it, it drops a running
// stream and reads it anew.
func (a Request) fits(w enginemodel.Work, s *state) bool {
	if a.Engine == nil {
		return w.Running < max(1, s.Slots)*plainQueue
	}
	if a.Late && float64(w.Running) >= lateSlots*float64(s.Slots) {
		return false
	}
	if a.Engine.MemoryTokens == 0 {
		return true
	}
	return w.Context+a.PromptTokens+a.OutputTokens <= a.Engine.MemoryTokens
}

// candidates are the servers that may take the request. Ejected ones are left
// out unless no others are left: a wrong suspicion must not close the service.
func (b *Balancer) candidates(now time.Time, g *group, ask Request) []*state {
	var sound, ejected []*state
	for _, st := range g.states {
		switch {
		case st.Leaving, st.Reloading, st.limit.isEmpty(now), slices.Contains(ask.Exclude, st.ID):
		case !b.versionFits(now, st, ask):
		case st.Unreachable, now.Before(st.health.until):
			ejected = append(ejected, st)
		default:
			sound = append(sound, st)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return slices.DeleteFunc(ejected, func(st *state) bool { return st.Unreachable })
}

// versionFits reports whether an engine may be used for a request by the version
// that it holds.
func (b *Balancer) versionFits(now time.Time, st *state, ask Request) bool {
	switch use, left := ask.use(st.LoadedVersion); use {
	case Eligible:
		return true
	case EligibleOutdated:
		return b.endsWithin(now, st, ask, left)
	default:
		return false
	}
}

// cheapest returns the server with the least cost and its predicted time.
func (b *Balancer) cheapest(now time.Time, usable []*state, ask Request) (*state, time.Duration) {
	var best *state
	var bestCost, bestTime time.Duration
	for _, st := range usable {
		predicted := b.predict(now, st, ask)
		cost := b.cost(now, st, ask, predicted)
		if best == nil || cost < bestCost {
			best, bestCost, bestTime = st, cost, predicted
		}
	}
	return best, bestTime
}

// cost is the predicted time with what else speaks against a server.
func (b *Balancer) cost(now time.Time, st *state, ask Request, predicted time.Duration) time.Duration {
	cost := predicted
	if b.off.Prediction {
		cost = time.Duration(b.rounds(now, st) * float64(st.group.duration))
	}
	if !b.off.FailureCost {
		cost += st.health.cost(st.group)
	}
	if !b.off.Jitter {
		cost += time.Duration(b.rand.Float64() * float64(jitter))
	}
	if st.suspects > 0 {
		cost += suspectCost
	}
	if st.Place.Region != ask.EntryPlace.Region && !b.off.NearServers {
		cost += otherRegion
	}
	if ask.Engine != nil {
		cost += b.costOfOthers(st)
	}
	if use, _ := ask.use(st.LoadedVersion); use == EligibleOutdated && !b.off.NewerFirst {
		cost += outdatedCost
	}
	return cost
}

// rounds is how often a server's places are taken.
func (b *Balancer) rounds(now time.Time, st *state) float64 {
	return float64(b.work(now, st).Running) / float64(max(1, st.Slots))
}

// predict returns the time in which a server would begin to answer, for a
// plain service to answer.
func (b *Balancer) predict(now time.Time, st *state, ask Request) time.Duration {
	switch {
	case ask.Engine == nil:
		return time.Duration(b.rounds(now, st) * float64(st.group.duration))
	case b.off.Prediction:
		return time.Duration(max(0, b.rounds(now, st)-1) * float64(st.group.duration))
	default:
		pace := max(1, st.Slowdown)
		if b.off.Pace {
			pace = 1
		}
		return time.Duration(pace * float64(ask.Engine.TimeToFirstEvent(b.work(now, st), ask.PromptTokens)))
	}
}

// comeBack is when a refused caller may come back.
func (b *Balancer) comeBack(ask Request) time.Duration {
	if b.off.SpreadReturn {
		return comeBackLater(ask.TimeLeft)
	}
	return comeBackSpread(ask.TimeLeft, b.rand.Float64())
}

// comeBackLater is for a caller whom nobody can serve now: as late as callers
// honour, which is a third of the time that they have left, since servers
// come back in seconds.
func comeBackLater(left time.Duration) time.Duration { return left / honoured }

// honoured is the part of the time left up to which callers wait as told.
const honoured = 3

// comeBackSpread spreads callers that a burst turned away, so that they do not
// form the next burst.
func comeBackSpread(left time.Duration, draw float64) time.Duration {
	const least = 0.3
	return time.Duration((least + (1-least)*draw) * float64(left/honoured))
}

// Exclude returns ids with one more.
func Exclude(ids []fleet.InstanceID, id fleet.InstanceID) []fleet.InstanceID {
	return append(slices.Clone(ids), id)
}
