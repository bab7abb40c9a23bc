package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"chivespindle.example/core/delivery"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/quarantine"
	"chivespindle.example/core/routing"
)

const (
	// starting is when a caller may come back to an entry that knows no
	// configuration yet: it reads one within a second.
	starting = 500 * time.Millisecond
	// answerMargin is taken off the caller's time, so that our own answer still
	// reaches it.
	answerMargin = 20 * time.Millisecond
	// unsentAttempts is how many servers may be tried that could not be reached;
	// nothing arrives there, so they draw on no budget.
	unsentAttempts = 4
)

// job is one call on its way.
type job struct {
	g         *Gateway
	call      *Call
	reply     *reply
	view      *view
	route     *routing.Route
	service   *routing.Service
	workspace fleet.Workspace
	deadline  time.Time
	// fingerprint is of the call's content; nil until it is needed.
	fingerprint *quarantine.Fingerprint

	// returned is true for a caller that was refused before.
	returned bool
	attempts int // sent
	unsent   int // could not be sent
	exclude  []fleet.InstanceID
	room     *placement.HoldRoom // in which it waits; nil if it does not
	waits    bool                // it waits here for a server
	// mayHaveRun is true once a server may have run the call.
	mayHaveRun bool
	// held is a server's failure, given to the caller if nothing better comes.
	held *heldAnswer

	// moveTried is true once it was tried to have the stream go on elsewhere.
	moveTried bool

	predicted time.Duration
	// predictedFirst is what was predicted for the attempt that gave the first event,
	// placedAt when that was placed.
	predictedFirst time.Duration
	placedAt       time.Time
	firstAt        time.Time
	// longestPause is the longest time between two events that were given on,
	// eventAt when the last one was.
	longestPause time.Duration
	eventAt      time.Time
	// run is that of the last server, endFramed whether it marks the end of its answer.
	run       *delivery.Attempt
	endFramed bool
	// progressAt is when the server last gave something: the answer's last event,
	// or the request's way to it.
	progressAt time.Time
	// serverUntil is when the server ends its work on the call.
	serverUntil time.Time
}

type heldAnswer struct {
	answer Answer
	body   []byte
}

// Serve answers a call. It returns when the caller has its answer or has left,
// which ends ctx.
func (g *Gateway) Serve(ctx context.Context, call *Call, caller Caller) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer g.log.panicked(call)
	j := &job{g: g, call: call, reply: newReply(g, call, caller), view: g.currentView(ctx, call)}
	if verdict, ok := j.admit(); !ok {
		j.refuse(verdict)
		return
	}
	if !j.route.MayResume() {
		j.reply.passAll()
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	g.budget(call.Arrived, j.service.Name).Request(call.Arrived)
	for j.attempt(ctx) {
	}
	j.leaveRoom(time.Now(), false)
}

const (
	// doubtFor is how long a call waits for a view that is not from before a
	// pause of the process; the platform answers in milliseconds.
	doubtFor = 400 * time.Millisecond
	// firstViewFor is how long a call waits at an entry that has just started for its
	// first configuration.
	firstViewFor = 1200 * time.Millisecond
	// viewPoll is how often it looks.
	viewPoll = 10 * time.Millisecond
)

// currentView returns the view in force, nil while there is none to rely on.
//
// After a loss of power all callers come at once to entries that know nothing yet.
// Refused, they would come back while the engines still load, and have no retry left
// after that.
func (g *Gateway) currentView(ctx context.Context, call *Call) *view {
	for waited := time.Duration(0); ; waited += viewPoll {
		v := g.view.Load()
		limit := doubtFor
		switch {
		case v == nil || v.table == nil:
			limit = firstViewFor
			if call.Patience > 0 {
				limit = min(limit, call.Patience/holdShare)
			}
		case !v.doubtful:
			return v
		}
		if waited >= limit || ctx.Err() != nil {
			return nil
		}
		wait(ctx, viewPoll)
	}
}

// admit finds the route and the workspace of the call.
func (j *job) admit() (Verdict, bool) {
	v := j.view
	if v == nil || v.table == nil {
		return Verdict{Code: Unavailable, RetryAfter: starting, Reason: "no_view"}, false
	}
	j.route = v.table.Match(j.call.Host, j.call.Path)
	if j.route == nil {
		return j.unless(v.sure, Verdict{Code: NoRoute, Reason: "no_route"})
	}
	if v.table.NeedsKey(j.route) {
		w := v.table.Workspace(j.call.Key)
		if w == nil {
			return j.unless(v.sure, Verdict{Code: NoKey, Reason: "no_key"})
		}
		j.workspace = w.Name
	} else if w := v.table.Workspace(j.call.Key); w != nil {
		j.workspace = w.Name
	}
	j.service = v.table.Service(j.route.Target(rand.Float64()))
	j.returned = !j.g.opts.Off.TellReturned && j.g.patience.IsReturned(j.route.Name, j.call.Patience, j.call.IsKept)
	timeout := j.route.Timeout
	if j.call.Patience > 0 {
		timeout = min(timeout, j.call.Patience)
	}
	j.deadline = j.call.Arrived.Add(timeout - answerMargin)
	return Verdict{}, true
}

// unless returns the verdict if this entry is sure of its configuration. One
// that is cut off may lack a route or a key that others have: it must not tell
// the caller that there is none.
func (j *job) unless(sure bool, v Verdict) (Verdict, bool) {
	if !sure {
		return Verdict{Code: Unavailable, RetryAfter: starting, Reason: "cut_off"}, false
	}
	return v, false
}

// attempt sends the call to one server and reports whether it is to be tried
// again.
func (j *job) attempt(ctx context.Context) bool {
	now := time.Now()
	if s := j.standing(now); s.IsQuarantined() {
		j.g.log.keptBack(j, s)
		j.giveUp(reasonQuarantined, s.Until.Sub(now))
		return false
	}
	ticket, refusal := j.g.board.Choose(now, j.ask(now))
	if ticket == nil && j.mayHold(now, refusal.Reason) {
		if !j.waits {
			j.waits = true
			j.g.log.held(j, refusal)
		}
		wait(ctx, holdPoll)
		return ctx.Err() == nil || j.ended(ctx, time.Now(), "timeout")
	}
	j.leaveRoom(now, ticket != nil)
	if ticket == nil {
		j.notPlaced(refusal)
		return false
	}
	if j.attempts > 0 && !j.g.allowRepeat(now, j.service.Name) {
		ticket.End(now, placement.Abandoned)
		j.giveUp("retry_budget", j.comeBack(now))
		return false
	}
	j.predicted = ticket.Predicted
	if !j.hasStarted() {
		j.predictedFirst = ticket.Predicted
		j.placedAt = now
	}
	j.progressAt = now
	order := j.order(now, ticket)
	j.serverUntil = order.Until
	order.FirstBy = j.firstBy(now, order)
	answer, err := j.g.opts.Backend.Send(ctx, j.call, order)
	if err != nil {
		return j.sendFailed(ctx, ticket, err)
	}
	j.attempts++
	j.noteLimit(now, ticket.Server, answer)
	if answer.NotRun() || answer.Misdirected() {
		answer.Close(true)
		ticket.End(time.Now(), placement.Declined)
		return j.declined(ctx, ticket.Server)
	}
	return j.answered(ctx, ticket, answer)
}

const (
	// holdFor is the longest time for which a call is held while no server can
	// take it and one is expected to.
	holdFor = 2000 * time.Millisecond
	// holdShare is the same as a part of the caller's time.
	holdShare = 3
	// holdPoll is how often a held call looks again.
	holdPoll = 25 * time.Millisecond
)

// mayHold reports whether the call waits here for a server.
//
// After a loss of power all engines load at the same moment. Callers that are
// refused just before it come back seconds later, and those that have no retry
// left are lost; held for the rest of the load, they are answered. Where no
// engine is expected in time, a caller is told at once to come back.
//
// The first engine that is ready is full at once, with the others ready a moment
// later. So a call that can still be on time waits for the next one too.
//
// A caller that comes back waits for room: refused again, it is lost. Soon after the
// start of this entry it may wait for an engine too, since all engines may be about
// to load.
func (j *job) mayHold(now time.Time, reason placement.Reason) bool {
	timeout := j.deadline.Sub(j.call.Arrived)
	until := j.call.Arrived.Add(min(holdFor, timeout/holdShare))
	if !now.Before(until) || reason == placement.TooLong {
		return false
	}
	isBusy := reason == placement.Full || reason == placement.NoPlace
	isLate := j.isLate(now)
	if isBusy && !isLate {
		until = earlier(until, j.call.Arrived.Add(j.route.Aim))
	}
	v := j.g.view.Load()
	at, expected := v.soonest[j.service.Name]
	comes := expected && at.Before(until) && !j.g.opts.Off.HoldForLoad
	if isBusy && isLate {
		return comes && v.isNew || !j.g.opts.Off.HoldLate && j.enterRoom(now)
	}
	return comes
}

// enterRoom takes the call among those that wait for room, once.
func (j *job) enterRoom(now time.Time) bool {
	if j.room == nil {
		room := j.g.holdRoom(j.service.Name)
		if !room.Enter(now) {
			return false
		}
		j.room = room
	}
	return true
}

func (j *job) leaveRoom(now time.Time, placed bool) {
	if j.room != nil {
		j.room.Leave(now, placed)
		j.room = nil
	}
}

func (j *job) ask(now time.Time) placement.Ask {
	a := placement.Ask{
		Service:  j.service.Name,
		Engine:   j.service.Engine,
		Prompt:   j.call.Prompt,
		Answer:   j.call.Answer,
		Expected: j.call.Expected,
		Aim:      j.view.table.ShortestAim(j.service.Name),
		Left:     j.deadline.Sub(now),
		Late:     j.isLate(now),
		Exclude:  j.exclude,
		Suspect:  j.standing(now).IsSuspect(),
		Near:     j.g.opts.Place,
	}
	if j.service.Engine != nil {
		a.Versions = j.versions(now)
	}
	return a
}

// isLate reports whether the answer cannot be on time any more.
func (j *job) isLate(now time.Time) bool {
	return j.returned || j.hasStarted() || now.Sub(j.call.Arrived) >= j.route.Aim
}

// order describes an attempt at the ticket's server.
func (j *job) order(now time.Time, ticket *placement.Ticket) Order {
	o := Order{
		Server:    ticket.Server,
		Workspace: j.workspace,
		Until:     j.deadline,
		LastEvent: j.reply.progress.LastEvent(),
	}
	if ticket.Within > 0 {
		o.Until = earlier(j.deadline, now.Add(ticket.Within))
	}
	if j.service.Engine != nil {
		o.Require = ticket.Server.Loaded
	}
	return o
}

const (
	// streamSilence is how much later than predicted a stream may begin, or how
	// long it may pause, before it is continued elsewhere. It is longer than any
	// pause of a sound engine and shorter than callers wait.
	streamSilence = 1500 * time.Millisecond
	// safeSilence is the same for the answer of a plain service, in aims.
	safeSilence = 2
)

// firstBy is when the answer must have begun: early enough for another server
// if one may be tried.
func (j *job) firstBy(now time.Time, order Order) time.Time {
	by := j.beginBy(now, order.Server, order.Until)
	switch {
	case !j.mayRepeat():
		return by
	case j.service.Engine != nil:
		return earlier(by, now.Add(j.predicted+streamSilence))
	default:
		return earlier(by, now.Add(safeSilence*j.route.Aim))
	}
}

// mayRepeat reports whether another server may get the call after the one that
// it is sent to next.
func (j *job) mayRepeat() bool {
	return j.mayBeSentAgain() && j.attempts+1 < j.route.MaxAttempts
}

// mayBeSentAgain reports whether another server may get the call once one may have run
// it. After the first event, the next server must be able to resume the stream.
func (j *job) mayBeSentAgain() bool {
	if j.hasStarted() {
		return j.route.MayResume() && j.reply.progress.CanResume()
	}
	return j.route.Idempotent()
}

// hasStarted reports whether the caller has a part of its answer.
func (j *job) hasStarted() bool { return j.reply.progress.HasStarted() }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
