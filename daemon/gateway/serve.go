package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"chivespindle.example/core/delivery"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/memlimit"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/quarantine"
	"chivespindle.example/core/residency"
	"chivespindle.example/core/routing"
)

const (
	// noViewRetryAfter is the Retry-After of an entry that has no configuration yet. It
	// reads one within a second.
	noViewRetryAfter = 500 * time.Millisecond
	// responseMargin is subtracted from the caller's timeout until a response has started, so
	// that an error response of this entry still reaches the caller in time.
	responseMargin = 20 * time.Millisecond
	// maxUnsentAttempts bounds the attempts whose server could not be reached, which may
	// last until the dial times out. Nothing arrives there, so they do not count against
	// the retry budget. Connections that are refused in time are not bounded; see
	// isRefusedInTime.
	maxUnsentAttempts = 4
)

// job is the state of one call while it is served.
type job struct {
	g         *Gateway
	call      *Call
	reply     *reply
	view      *view
	route     *routing.Route
	service   *routing.Service
	workspace fleet.Workspace
	// allowed are the regions in which the route and the workspace allow the call to be
	// served.
	allowed  residency.Regions
	deadline time.Time
	// fingerprint is a digest of the call's content, nil until it is needed.
	fingerprint *quarantine.Fingerprint
	// parts are the parts of the call's prompt that other calls may share.
	parts []quarantine.Part

	// refusedBefore is true if the call is a retry by a caller that was refused before.
	refusedBefore bool
	attempts      int // sent
	unsent        int // could not be sent
	refusedInTime int // of these, see isRefusedInTime
	exclude       []fleet.InstanceID
	holdLimiter   *placement.HoldLimiter // where the call waits, nil if it does not
	wasHeld       bool                   // the call was held until a server could take it
	urgency       urgency
	// responseStartedAt is when the server of the current attempt started to respond, zero if
	// it has not. isProved is true once it has responded for provingTime.
	responseStartedAt time.Time
	isProved          bool
	// mayHaveRun is true once a server may have run the call.
	mayHaveRun bool
	// heldResponse is a server's error response. The caller gets it if all further attempts
	// fail.
	heldResponse *heldResponse
	// responseHold counts the bytes of buffered responses.
	responseHold memlimit.Hold

	// awaited is the attempt whose response is being read, nil if none is, and giveUpAt when
	// it is given up even if no other server can take the call.
	awaited  *placement.Assignment
	giveUpAt time.Time
	// alternative is the next attempt, placed while the server of the last one was silent;
	// its assignment is nil if there is none.
	alternative placedAttempt
	// successor has resumed the stream of a server that was silent, nil if none has.
	successor *successor
	// handoverTried is true once a handover of the stream to another server was tried.
	handoverTried bool

	predicted time.Duration
	// predictedFirst is the predicted time to the first event of the attempt that
	// returned it, placedAt when that attempt was placed.
	predictedFirst time.Duration
	placedAt       time.Time
	sentAt         time.Time // when the call was last sent to a server
	firstEventAt   time.Time
	// longestPause is the longest time between two events sent to the caller,
	// lastEventAt when the last one was sent.
	longestPause time.Duration
	lastEventAt  time.Time
	// lastAttempt is the response to the last attempt, nil before there is one; endFramed is
	// whether its server marks the end of it.
	lastAttempt *delivery.Attempt
	endFramed   bool
	// respondedBy is the server whose response the caller gets, the last one of a stream that
	// was resumed.
	respondedBy fleet.InstanceID
	// progressAt is when the server last made progress: when its last event came,
	// or when the request was sent to it.
	progressAt time.Time
	// serverDeadline is the server's own deadline for the call.
	serverDeadline time.Time
}

type heldResponse struct {
	response Response
	body     []byte
	server   fleet.InstanceID
}

// Serve answers a call. It returns when the caller has its response or has
// disconnected, which cancels ctx.
func (g *Gateway) Serve(ctx context.Context, call *Call, caller Caller) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer g.log.panicked(call)
	j := &job{g: g, call: call, reply: newReply(g, call, caller), view: g.currentView(ctx, call), responseHold: g.NewHold()}
	defer j.responseHold.Release()
	if response, ok := j.admit(); !ok {
		j.refuse(response)
		return
	}
	if !g.beginServiceCall(j.service.Name) {
		j.refuse(overloaded())
		return
	}
	defer g.endServiceCall(j.service.Name)
	if !j.route.MayResume() {
		j.reply.ignoreLastEvent()
	}
	j.reply.writeBy = j.deadline.Add(writeSlack)
	ctx, cancel := g.callContext(ctx, j.forwardUntil())
	defer cancel()
	defer j.endLevel()
	g.budget(j.service.Name).RecordRequest(call.Arrived)
	defer j.releaseAlternative()
	for j.tryServer(ctx) {
	}
	j.leaveHold(time.Now(), false)
}

const (
	// staleViewWait is how long a call waits for a current view after the process was
	// paused. The platform answers in milliseconds.
	staleViewWait = 400 * time.Millisecond
	// firstViewWait is how long a call waits for the first configuration of an entry
	// that has just started.
	firstViewWait = 1200 * time.Millisecond
	// viewPollInterval is the interval at which a waiting call checks the view.
	viewPollInterval = 10 * time.Millisecond
)

// currentView waits for a reliable view and returns it, or nil if there is none in
// time.
//
// After a power failure all callers connect at once to entries that have no
// configuration yet. If they were refused, they would use their last retry while the
// engines are still loading.
func (g *Gateway) currentView(ctx context.Context, call *Call) *view {
	for waited := time.Duration(0); ; waited += viewPollInterval {
		v := g.view.Load()
		limit := staleViewWait
		switch {
		case v == nil || v.table == nil:
			limit = firstViewWait
			if call.Timeout > 0 {
				limit = min(limit, call.Timeout/holdDivisor)
			}
		case !v.predatesPause(time.Now()):
			return v
		}
		if waited >= limit || ctx.Err() != nil {
			return nil
		}
		wait(ctx, viewPollInterval)
	}
}

// admit finds the route and the workspace of the call.
func (j *job) admit() (ErrorResponse, bool) {
	v := j.view
	if v == nil || v.table == nil {
		return ErrorResponse{Code: Unavailable, RetryAfter: noViewRetryAfter, Reason: "no_view"}, false
	}
	j.route = v.table.Match(j.call.Host, j.call.Path)
	if j.route == nil {
		return j.ifAuthoritative(v.isCurrent, ErrorResponse{Code: NoRoute, Reason: "no_route"})
	}
	w := v.table.Workspace(j.call.Key)
	switch {
	case w != nil:
		j.workspace = w.Name
		j.allowed = residency.Of(j.route.AllowedRegions, w.AllowedRegions)
	case v.table.NeedsKey(j.route):
		return j.ifAuthoritative(v.isCurrent, ErrorResponse{Code: UnknownKey, Reason: "no_key"})
	default:
		j.allowed = residency.Of(j.route.AllowedRegions)
	}
	j.service = v.table.Service(j.route.Target(rand.Float64()))
	j.refusedBefore = !j.g.opts.Disabled.TellReturned && j.g.retryDetector.IsClientRetry(j.route.Name, j.call.Timeout, j.call.IsReusedConn)
	timeout := j.route.Timeout
	if j.call.Timeout > 0 {
		timeout = min(timeout, j.call.Timeout)
	}
	j.deadline = j.call.Arrived.Add(timeout - responseMargin)
	j.parts = quarantine.NewParts(j.service.Model, j.call.SharedParts)
	j.setLevel(v.table.Workspace(j.call.Key))
	return ErrorResponse{}, true
}

// ifAuthoritative returns the error response v if the configuration of this entry is
// known to be current. An entry that is partitioned may lack a route or a key that
// others have, so it must not tell the caller that there is none.
func (j *job) ifAuthoritative(current bool, v ErrorResponse) (ErrorResponse, bool) {
	if !current {
		return ErrorResponse{Code: Unavailable, RetryAfter: noViewRetryAfter, Reason: "cut_off"}, false
	}
	return v, false
}

// tryServer sends the call to one server and reports whether to make another attempt.
func (j *job) tryServer(ctx context.Context) bool {
	if j.g.currentView(ctx, j.call) == nil {
		return j.endCall(ctx, time.Now(), "no_view")
	}
	now := time.Now()
	if j.isCallOver(ctx, now) {
		return j.endCall(ctx, now, reasonTimeout)
	}
	if s := j.quarantineStatus(now); s.IsQuarantined() {
		j.g.log.notPlacedQuarantined(j, s)
		j.giveUp(reasonQuarantined, s.Until.Sub(now))
		return false
	}
	if j.mustLeaveToOthers(now) {
		j.giveUp(reasonShutdown, 0)
		return false
	}
	placed, again := j.place(ctx, now)
	if placed.assignment == nil {
		return again
	}
	return j.attempt(ctx, placed)
}

// placedAttempt is an attempt that is about to be made.
type placedAttempt struct {
	assignment *placement.Assignment
	at         time.Time
}

// place places the next attempt. If there is none, it reports whether to try again.
func (j *job) place(ctx context.Context, now time.Time) (placed placedAttempt, again bool) {
	if placed = j.takeAlternative(); placed.assignment != nil {
		return placed, true
	}
	assignment, refusal := j.choose(now)
	if assignment == nil && j.mayHold(now, refusal) {
		if !j.wasHeld {
			j.wasHeld = true
			j.g.log.held(j, refusal)
		}
		wait(ctx, holdPollInterval)
		return placedAttempt{}, ctx.Err() == nil || j.endCall(ctx, time.Now(), reasonTimeout)
	}
	j.leaveHold(now, assignment != nil)
	if assignment == nil {
		j.handleNotPlaced(refusal)
		return placedAttempt{}, false
	}
	if j.attempts > 0 && !j.g.allowRetry(now, j.service.Name) {
		assignment.End(now, placement.Abandoned)
		j.giveUp("retry_budget", j.retryAfter(now))
		return placedAttempt{}, false
	}
	return placedAttempt{assignment: assignment, at: now}, true
}

// attempt sends the call to a server and reports whether to make another attempt.
func (j *job) attempt(ctx context.Context, placed placedAttempt) bool {
	assignment, now := placed.assignment, placed.at
	j.predicted = assignment.Predicted
	if !j.hasStarted() {
		j.predictedFirst = assignment.Predicted
		j.placedAt = now
	}
	j.progressAt = now
	opts := j.sendOptions(now, assignment)
	j.serverDeadline = opts.Deadline
	opts.StartDeadline = j.await(assignment, j.responseStartBounds(now, opts))
	j.lastAttempt = nil
	j.startAttempt(time.Time{})
	response, err := j.send(ctx, now, assignment, opts)
	j.awaited = nil
	if failure.OutcomeOf(err) != failure.NotRun {
		j.sentAt = now
	}
	if err != nil {
		return j.handleSendError(ctx, assignment, err)
	}
	j.attempts++
	if rejectsCall(response) && !j.mayHaveRun {
		return j.forwardRejection(ctx, assignment, response)
	}
	if response.NotRun() || response.Misdirected() {
		response.Close(true)
		assignment.End(time.Now(), placement.Declined)
		return j.handleDeclined(ctx, assignment.Server, response)
	}
	return j.handleResponse(ctx, assignment, response)
}

const (
	// maxHold bounds how long a call is held while no server can take it and one is
	// expected to be able to soon.
	maxHold = 2000 * time.Millisecond
	// holdDivisor bounds the same time relative to the call's timeout: at most one
	// holdDivisor-th of it.
	holdDivisor = 3
	// holdPollInterval is the interval at which a held call tries to be placed again.
	holdPollInterval = 25 * time.Millisecond
)

// mayHold reports whether the call is held here until a server can take it.
//
// After a power failure all engines load at the same time. Callers that are refused
// shortly before the load ends retry seconds later, and those without a retry left
// fail; held until the load ends, they are answered. If no engine is expected in
// time, the caller is refused at once and told when to retry.
//
// The first engine that is ready is full immediately, and the others are ready a
// moment later. So a call that can still be on time waits for the next one too.
//
// A late call, such as a retry, waits for a free slot, since it fails for good if it
// is refused again. Soon after the start of this entry it may wait for an engine as
// well, since all engines may be about to load.
//
// A call for which only cold servers are left is not held as busy if none of them can take it
// in time, unless this entry is new and its quotas are about to change.
func (j *job) mayHold(now time.Time, refusal placement.Refusal) bool {
	reason := refusal.Reason
	timeout := j.deadline.Sub(j.call.Arrived)
	until := j.call.Arrived.Add(min(maxHold, timeout/holdDivisor))
	if !now.Before(until) || reason == placement.TooLong || reason == placement.TooLarge || reason == placement.Evacuated {
		return false
	}
	v := j.g.view.Load()
	isColdTooLong := !refusal.NotBefore.Before(until) && !v.coldEntries.IsNew && !v.coldEntries.IsUninformed
	isBusy := isBusy(reason) && !isColdTooLong
	isLate := j.isLate(now)
	if isBusy && !isLate && j.mayWaitOnTime(now) {
		return true
	}
	if isBusy && !isLate {
		until = earlier(until, j.call.Arrived.Add(j.route.TargetLatency))
	}
	at, expected := v.nextEngineReady.next(j.service.Name, j.allowed)
	engineExpected := expected && at.Before(until) && !j.g.opts.Disabled.HoldForLoad
	if isBusy && isLate {
		return engineExpected && v.isNew || !j.g.opts.Disabled.HoldLate && j.wait(now, true) && j.enterHold(now)
	}
	return engineExpected
}

// enterHold adds the call to those that wait for a free slot, unless it is among them
// already. It reports whether the call may wait.
func (j *job) enterHold(now time.Time) bool {
	if j.holdLimiter == nil {
		limiter := j.g.holdLimiter(j.service.Name)
		if !limiter.TryAcquire(now) {
			return false
		}
		j.holdLimiter = limiter
	}
	return true
}

func (j *job) leaveHold(now time.Time, placed bool) {
	if j.holdLimiter != nil {
		j.holdLimiter.Release(now, placed)
		j.holdLimiter = nil
	}
}

func (j *job) placementRequest(now time.Time) placement.Request {
	a := placement.Request{
		Service:        j.service.Name,
		Engine:         j.service.Engine,
		PromptTokens:   j.call.PromptTokens,
		OutputTokens:   j.call.MaxTokens,
		ExpectedTokens: j.call.ExpectedTokens,
		TargetLatency:  j.view.table.ShortestTargetLatency(j.service.Name),
		TimeLeft:       j.deadline.Sub(now),
		Late:           j.isLate(now),
		Exclude:        j.exclude,
		Suspect:        j.quarantineStatus(now).IsSuspect(),
		EntryPlace:     j.g.opts.Place,
		AllowedRegions: j.allowed,
	}
	if j.service.Engine != nil {
		a.Versions = j.usableVersions(now)
		a.MaxSilence = maxServerSilence
	}
	return a
}

// isLate reports whether the response can no longer meet the route's target latency.
func (j *job) isLate(now time.Time) bool {
	return j.refusedBefore || j.hasStarted() || now.Sub(j.call.Arrived) >= j.route.TargetLatency || j.isEntryWaitOver(now)
}

// sendOptions returns the options of an attempt at the assigned server.
func (j *job) sendOptions(now time.Time, assignment *placement.Assignment) SendOptions {
	deadline := j.deadline
	if assignment.ServerTimeout > 0 {
		deadline = earlier(deadline, now.Add(assignment.ServerTimeout))
	}
	o := SendOptions{
		Server:    assignment.Server,
		Workspace: j.workspace,
		Level:     j.urgency.level,
		HasLevel:  j.urgency.isKnown,
		Deadline:  deadline,
		LastEvent: j.reply.progress.LastEvent(),

		IsRevoked: func() bool {
			now := time.Now()
			return !now.Before(deadline) || assignment.IsRevoked(now) || j.g.view.Load().predatesPause(now) || j.mustLeaveToOthers(now)
		},
	}
	if j.service.Engine != nil {
		o.RequiredVersion = assignment.Server.LoadedVersion
	}
	return o
}

const (
	// streamStallTimeout is how much later than predicted a stream may begin, or how
	// long it may pause, before another server is searched for. It is longer than
	// any pause of a healthy engine and shorter than the timeouts of callers.
	streamStallTimeout = 1500 * time.Millisecond
	// plainStallFactor is the same for the response of a plain service, as a multiple of
	// the route's target latency.
	plainStallFactor = 2
)

// responseStartBounds returns the bounds of the wait for the start of the response. If another
// attempt is allowed, the search leaves time for that.
func (j *job) responseStartBounds(now time.Time, opts SendOptions) readBounds {
	by := j.startDeadline(now, opts.Server, opts.Deadline)
	if !j.mayRetryAfterNext() {
		return readBounds{search: by, giveUp: by}
	}
	allowed := plainStallFactor * j.route.TargetLatency
	if j.service.Engine != nil {
		allowed = j.predicted + streamStallTimeout
	}
	search := earlier(j.usualResponseTime(opts.Deadline), now.Add(allowed))
	return readBounds{search: earlier(by, search), giveUp: by}
}

// mayRetryAfterNext reports whether the call may be retried on another server if the next
// attempt fails.
func (j *job) mayRetryAfterNext() bool {
	return j.isRetryable() && j.attempts+1 < j.route.MaxAttempts
}

// isRetryable reports whether the call may be sent to another server after one may
// have run it. After the first event, the next server must be able to resume the
// stream.
func (j *job) isRetryable() bool {
	if j.hasStarted() {
		return j.route.MayResume() && j.reply.progress.CanResume()
	}
	return j.route.Idempotent()
}

// hasStarted reports whether the caller has received a part of its response.
func (j *job) hasStarted() bool { return j.reply.progress.HasStarted() }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
