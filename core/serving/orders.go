package serving

import (
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// sendOrder orders the engine to load the goal.
func (c *Changeover) sendOrder(now time.Time) {
	number, err := c.fence.Next()
	if err != nil {
		c.standDown(err)
		return
	}
	c.send(now, Order{Fence: number, Version: c.goal})
}

// claim sends an order that carries only the fencing number.
func (c *Changeover) claim(now time.Time) {
	order, err := c.fence.Claim()
	if err != nil {
		c.standDown(err)
		return
	}
	c.send(now, order)
}

func (c *Changeover) send(now time.Time, order Order) {
	c.attempt++
	c.ordered = order.Version
	c.accepted = false
	if !order.Version.IsZero() {
		c.lastOrdered = order.Version
	}
	c.phase = PhaseOrdering
	c.deadline = now.Add(c.opts.OrderTimeout)
	c.emit(SendOrder{Attempt: c.attempt, Order: order, NotAfter: now.Add(c.opts.PauseThreshold)})
}

func (c *Changeover) orderDone(now time.Time, attempt uint64) {
	if c.paused || c.phase != PhaseOrdering || attempt != c.attempt {
		return
	}
	c.accepted = true
	c.acceptedAt = now
	c.phase = PhaseReading
	c.deadline = now.Add(c.opts.LoadTimeout)
	c.readStatus(now)
}

// orderFailed stands down if the engine has seen a higher number than that of
// the latest order. A refusal of an older order, which timed out and was
// delivered late, is caused by this process's own newer orders and is ignored.
func (c *Changeover) orderFailed(now time.Time, e OrderFailed) {
	if c.paused || c.phase != PhaseOrdering || e.Attempt != c.attempt {
		return
	}
	if errorx.IsOfType(e.Err, failure.Refused) {
		c.fence.RecordRefusal()
		c.standDown(c.fence.checkSuperseded())
		return
	}
	c.attemptFailed(now)
}

// attemptFailed ends an attempt whose effect is unknown. The engine is claimed
// again, and the version that it then reports decides. The staged chunks are no
// longer trusted either; fetching again costs nothing for chunks that are still
// present.
func (c *Changeover) attemptFailed(now time.Time) {
	if c.ordered.IsZero() {
		c.claimFailures++
		c.scheduleRetry(now, c.claimFailures)
	} else {
		delete(c.staged, c.ordered.Manifest)
		c.failures++
		c.scheduleRetry(now, c.failures)
		if c.failures == c.opts.MaxFailures {
			c.emit(Alarm{Reason: "the engine failed to load " + c.ordered.String() + " several times"})
		}
	}
	c.reclaim(now)
}

// scheduleRetry delays the next attempt after the given number of failures.
func (c *Changeover) scheduleRetry(now time.Time, failures int) {
	const maxDoublings = 20
	delay := c.opts.InitialBackoff << min(failures-1, maxDoublings)
	delay = min(delay, c.opts.MaxBackoff)
	jitter := time.Duration(c.opts.Rand.Int64N(int64(delay)/2 + 1))
	c.retryAt = now.Add(delay/2 + jitter)
}

func (c *Changeover) clearFailures() {
	c.failures = 0
	c.drainTimeouts = 0
	c.retryAt = time.Time{}
}

// reclaim starts over by reading the engine's status. Responses to earlier
// orders are ignored from here on.
func (c *Changeover) reclaim(now time.Time) {
	c.stopFetch()
	c.attempt++
	c.claimed = false
	c.phase = PhaseClaiming
	c.readStatus(now)
}

func (c *Changeover) statusRead(now time.Time, e StatusRead) {
	if e.RequestedAt.Before(c.statusAt) || e.RequestedAt.Before(c.pausedAt) {
		return
	}
	if err := c.fence.Observe(e.Status.Fence); err != nil {
		c.standDown(err)
		return
	}
	restarted := c.bootID != "" && c.bootID != e.Status.BootID
	c.status = e.Status
	c.statusAt = e.RequestedAt
	if restarted {
		c.engineRestarted(now)
	}
	c.bootID = e.Status.BootID
	if c.paused || c.phase == PhaseLeaving {
		return
	}
	switch c.phase {
	case PhaseClaiming:
		c.claimWhenIdle(now)
	case PhaseOrdering:
	case PhaseReading:
		c.verifyLoaded(now, e)
	default:
		c.detectForeignChange(now)
	}
}

// claimWhenIdle claims the engine unless it is loading: an order sent to an
// engine that is loading would have to wait until it has finished, so the claim
// is delayed.
func (c *Changeover) claimWhenIdle(now time.Time) {
	if c.status.Loading || now.Before(c.retryAt) {
		return
	}
	if err := c.fence.TakeOver(c.status.Fence); err != nil {
		c.standDown(err)
		return
	}
	c.claim(now)
}

// verifyLoaded checks the first status that was requested after the engine
// accepted the order.
func (c *Changeover) verifyLoaded(now time.Time, e StatusRead) {
	if e.RequestedAt.Before(c.acceptedAt) || e.Status.Loading {
		return
	}
	if !c.ordered.IsZero() && e.Status.Loaded != c.ordered {
		c.attemptFailed(now)
		return
	}
	c.claimed = true
	c.claimFailures = 0
	if c.shouldLoadNewerTarget() {
		c.goal = c.target
		c.sendOrder(now)
		return
	}
	c.advance(now)
}

// shouldLoadNewerTarget reports whether the target changed while the engine was
// loading the previous one, and the new one is staged. The replica is out of
// service already, so it loads the newer version at once.
func (c *Changeover) shouldLoadNewerTarget() bool {
	return !c.ordered.IsZero() && c.ordered != c.target && c.staged[c.target.Manifest] && !c.target.IsZero()
}

// detectForeignChange detects an engine that has changed without an order, for
// example through an operator or another process.
func (c *Changeover) detectForeignChange(now time.Time) {
	unchanged := !c.status.Loading && c.status.Loaded == c.lastServed
	if unchanged || !c.admitting && c.phase != PhaseDraining {
		return
	}
	c.stopAdmitting(now)
	c.reclaim(now)
}

// engineRestarted handles a restart of the engine: the staged chunks and the
// loaded version are lost.
func (c *Changeover) engineRestarted(now time.Time) {
	clear(c.staged)
	clear(c.partlyStaged)
	c.stopAdmitting(now)
	if c.paused || c.phase == PhaseLeaving {
		return
	}
	c.reclaim(now)
}

// engineConfigDrifted claims an idle engine again. Requests continue to be
// served, since a claim does not change the version. An engine that is being
// changed receives another order anyway.
func (c *Changeover) engineConfigDrifted(now time.Time) {
	if !c.paused && c.phase == PhaseIdle {
		c.reclaim(now)
	}
}

func (c *Changeover) stopAdmitting(deadline time.Time) {
	if !c.admitting {
		return
	}
	c.admitting = false
	c.drain++
	c.emit(StopAdmitting{Drain: c.drain, Deadline: deadline})
}

// advance decides the next step. The engine has been claimed since its last
// restart and its status has been read since the claim.
func (c *Changeover) advance(now time.Time) {
	c.serveLoaded(now)
	c.chooseGoal()
	switch {
	case c.goal.IsZero(), c.admitting && c.lastServed == c.goal:
		c.stopFetch()
		c.phase = PhaseIdle
	case now.Before(c.retryAt):
		c.stopFetch()
		c.phase = PhaseWaiting
	case c.staged[c.goal.Manifest]:
		c.stopFetch()
		c.phase = PhaseStaged
		c.requestTurn()
	default:
		c.startFetch()
	}
}

// isIntended reports whether a version may be served if it is found loaded.
func (c *Changeover) isIntended(v fleet.Version) bool {
	if v.IsZero() {
		return false
	}
	return v == c.target || v == c.lastServed || v == c.lastOrdered || c.isServedElsewhere(v)
}

// serveLoaded starts serving the loaded version if it is intended.
func (c *Changeover) serveLoaded(now time.Time) {
	loaded := c.status.Loaded
	if !c.claimed || !c.isIntended(loaded) {
		c.stopAdmitting(now)
		return
	}
	if c.admitting && c.lastServed == loaded {
		return
	}
	switch {
	case loaded == c.target:
		c.clearFailures()
	case c.failures >= c.opts.MaxFailures:
		c.retryAt = now.Add(c.opts.MaxBackoff)
	}
	c.lastServed = loaded
	c.verified = loaded.Manifest
	c.admitting = true
	c.emit(StartServing{Version: loaded})
}

// chooseGoal picks the version to load next: the target, or the last served
// version if the target has failed too often and nothing is served.
func (c *Changeover) chooseGoal() {
	previous := c.goal
	c.goal = c.target
	if c.failures >= c.opts.MaxFailures && !c.admitting && !c.lastServed.IsZero() {
		c.goal = c.lastServed
	}
	if c.phase == PhaseFetching && previous != c.goal {
		c.emit(StopFetch{Version: previous})
		c.phase = PhaseIdle
	}
}

func (c *Changeover) startFetch() {
	if c.phase == PhaseFetching {
		return
	}
	c.phase = PhaseFetching
	c.evictStaged()
	c.fetch++
	c.emit(StartFetch{Fetch: c.fetch, Version: c.goal, Reuse: c.reusable()})
	c.partlyStaged[c.goal.Manifest] = true
}

// evictStaged drops complete older versions: the stage holds the version being
// served and one more. The version served before is kept until the next fetch
// starts, so that a rollback needs no fetch.
func (c *Changeover) evictStaged() {
	for manifest := range c.staged {
		if manifest != c.lastServed.Manifest && manifest != c.goal.Manifest {
			c.dropStage(manifest)
		}
	}
}

func (c *Changeover) dropStage(manifest fleet.Digest) {
	delete(c.staged, manifest)
	delete(c.partlyStaged, manifest)
	c.emit(DropStage{Manifest: manifest})
}

func (c *Changeover) reusable() []fleet.Digest {
	reusable := map[fleet.Digest]bool{c.lastServed.Manifest: true}
	maps.Copy(reusable, c.staged)
	maps.Copy(reusable, c.partlyStaged)
	delete(reusable, c.goal.Manifest)
	delete(reusable, fleet.Digest{})
	list := slices.Collect(maps.Keys(reusable))
	slices.SortFunc(list, func(a, b fleet.Digest) int { return slices.Compare(a[:], b[:]) })
	return list
}

func (c *Changeover) stopFetch() {
	if c.phase != PhaseFetching {
		return
	}
	c.phase = PhaseIdle
	c.emit(StopFetch{Version: c.goal})
}

// suspend stops all orders until state has been refreshed. The outcome of
// anything in flight is unknown.
func (c *Changeover) suspend(now time.Time) {
	c.paused = true
	c.pausedAt = now
	c.attempt++
	c.claimed = false
	c.emit(Refresh{})
	c.readStatus(now)
}

// refreshed claims the engine again, since a successor may have taken over
// during the pause.
func (c *Changeover) refreshed(now, requestedAt time.Time) {
	if !c.paused || requestedAt.Before(c.pausedAt) {
		return
	}
	c.paused = false
	if c.phase == PhaseLeaving {
		return
	}
	c.reclaim(now)
}

func (c *Changeover) standDown(err error) {
	c.stopFetch()
	c.phase = PhaseStoodDown
	c.admitting = false
	c.emit(StandDown{Err: err})
}
