package gateway

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/priority"
	"chivespindle.example/core/routing"
)

const (
	// reasonYielded is the reason of a refusal while a more urgent call waits here.
	reasonYielded placement.Reason = "yielded"
	// reasonGaveWay is the reason of the refusal of a call that waited here until too many
	// others did.
	reasonGaveWay placement.Reason = "gave_way"
)

// urgency is the level of a call and its state among the calls of other levels.
type urgency struct {
	// isKnown is true if the configuration has several levels and that of the call is known.
	isKnown bool
	level   priority.Level
	// request is the call among those of its service, nil if levels do not count here.
	request *priority.Request
	// entryWait is how long the call may wait here and still be on time.
	entryWait time.Duration
	// waitsOnTime is true once the call has waited for room while it could be on time.
	waitsOnTime bool
	// gaveWay is true once a wait of the call was ended in favour of others.
	gaveWay bool
}

// setLevel determines the level of an admitted call. w is nil if it has no workspace.
func (j *job) setLevel(w *routing.Workspace) {
	table := j.view.table
	if table.Scale().Levels() < 2 {
		return
	}
	u := &j.urgency
	u.isKnown = true
	u.level = table.Level(j.route, w)
	j.g.log.countLevel(j, "arrived")
	if j.g.opts.Disabled.Priorities {
		return
	}
	isRestricted := len(j.route.AllowedRegions) > 0 || w != nil && len(w.AllowedRegions) > 0
	u.request = j.g.demand(j.service.Name).NewRequest(j.call.Arrived, u.level, isRestricted)
	var first time.Duration
	if j.service.Engine != nil {
		first = j.service.Engine.TimeToFirstEvent(enginemodel.Work{}, j.call.PromptTokens)
	}
	u.entryWait = priority.EntryWait(j.route.TargetLatency, first)
}

// demand returns the calls of a service by level.
func (g *Gateway) demand(service fleet.ServiceName) *priority.Demand {
	g.callsMu.Lock()
	defer g.callsMu.Unlock()
	d := g.demands[service]
	if d == nil {
		d = &priority.Demand{}
		g.demands[service] = d
	}
	return d
}

// choose chooses a server for the call, unless the call has to leave the choice to a more
// urgent one.
func (j *job) choose(now time.Time) (*placement.Assignment, placement.Refusal) {
	req := j.placementRequest(now)
	waiting := j.urgency.request
	if waiting == nil || req.IsTooLarge() {
		return j.g.balancer.Choose(now, req)
	}
	req.Limits = waiting.Limits(now)
	if j.urgency.waitsOnTime && !req.Late {
		req.MaxPause = priority.TimeToFirst(j.route.TargetLatency, now.Sub(j.call.Arrived))
	}
	if !j.hasStarted() && waiting.Yields(now, req.Late) {
		return nil, placement.Refusal{Reason: reasonYielded, RetryAfter: j.g.balancer.RetryAfter(req)}
	}
	assignment, refusal := j.g.balancer.Choose(now, req)
	switch {
	case assignment != nil:
		waiting.Placed(now)
	case isBusy(refusal.Reason):
		waiting.FoundNoRoom(now)
	}
	return assignment, refusal
}

// isBusy reports whether a call may be placed once requests at the servers have ended.
func isBusy(reason placement.Reason) bool {
	switch reason {
	case placement.Full, placement.NoSlot, placement.Cold, placement.Reserved, reasonYielded:
		return true
	default:
		return false
	}
}

// mayWaitOnTime reports whether the call may wait here for room, since it can still be on
// time and calls of other levels compete for it.
func (j *job) mayWaitOnTime(now time.Time) bool {
	u := &j.urgency
	if u.request == nil || now.Sub(j.call.Arrived) >= u.entryWait || !u.request.Limits(now).MayWait {
		return false
	}
	u.waitsOnTime = j.wait(now, false)
	return u.waitsOnTime
}

// wait starts or continues the wait of the call among those of other levels, and reports
// whether it may.
func (j *job) wait(now time.Time, late bool) bool {
	u := &j.urgency
	if u.request == nil {
		return true
	}
	wasWaiting := u.request.IsWaiting()
	isAllowed := u.request.Wait(now, late)
	u.gaveWay = wasWaiting && !isAllowed
	return isAllowed
}

// isEntryWaitOver reports whether the call has waited here for so long that it cannot be on
// time any more.
func (j *job) isEntryWaitOver(now time.Time) bool {
	return j.urgency.waitsOnTime && now.Sub(j.call.Arrived) >= j.urgency.entryWait
}

// endLevel ends the wait of a call that is not placed. It comes before the response, whose
// caller may read slowly: others would yield to the call until then.
func (j *job) endLevel() {
	if j.urgency.request != nil {
		j.urgency.request.Refused(time.Now())
	}
}

// refusalReason returns why a call that was not placed is refused.
func (j *job) refusalReason(r placement.Refusal) placement.Reason {
	if j.urgency.gaveWay {
		return reasonGaveWay
	}
	return r.Reason
}

// levelFields returns the log field for the level; none if the configuration has only one.
// The key level is that of the severity of a line.
func (j *job) levelFields() []zap.Field {
	if !j.urgency.isKnown {
		return nil
	}
	return []zap.Field{zap.Uint8("priority_level", uint8(j.urgency.level))}
}

// countLevel counts what became of a call, by its level.
func (l *requestLog) countLevel(j *job, outcome string) {
	if j.urgency.isKnown {
		l.metrics.Tagged(map[string]string{"level": strconv.Itoa(int(j.urgency.level)), "outcome": outcome}).Counter("calls_by_level").Inc(1)
	}
}

// checkPriorities logs and counts the priorities of a new configuration that are out of
// range.
func (g *Gateway) checkPriorities() {
	n := g.table.Scale().OutOfRange()
	if n == 0 {
		return
	}
	g.opts.Metrics.Counter("priorities_out_of_range").Inc(int64(n))
	g.opts.Logger.Warn("priorities_out_of_range", zap.Int64("version", g.table.Version()), zap.Int("count", n))
}
