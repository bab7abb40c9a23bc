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

// claim orders nothing but the fencing number.
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
	c.deadline = now.Add(c.opt.OrderTimeout)
	c.do(SendOrder{Attempt: c.attempt, Order: order, NotAfter: now.Add(c.opt.PauseThreshold)})
}

func (c *Changeover) orderDone(now time.Time, attempt uint64) {
	if c.paused || c.phase != PhaseOrdering || attempt != c.attempt {
		return
	}
	c.accepted = true
	c.acceptedAt = now
	c.phase = PhaseReading
	c.deadline = now.Add(c.opt.LoadTimeout)
	c.readStatus(now)
}

// orderFailed stands down if the engine has seen a higher number than that of
// the newest order. An older order, given up and delivered late, is refused
// because of the newer ones of this process and says nothing.
func (c *Changeover) orderFailed(now time.Time, e OrderFailed) {
	if c.paused || c.phase != PhaseOrdering || e.Attempt != c.attempt {
		return
	}
	if errorx.IsOfType(e.Err, failure.Refused) {
		c.fence.RecordRefusal()
		c.standDown(c.fence.check())
		return
	}
	c.fail(now)
}

// fail ends an attempt whose effect is not known. The engine is claimed again,
// and what it then reports decides. The stage is not trusted either: fetching
// again costs nothing for chunks that are still held.
func (c *Changeover) fail(now time.Time) {
	if c.ordered.IsZero() {
		c.claimFailures++
		c.backOff(now, c.claimFailures)
	} else {
		delete(c.staged, c.ordered.Manifest)
		c.failures++
		c.backOff(now, c.failures)
		if c.failures == c.opt.MaxFailures {
			c.do(Alarm{Reason: "the engine failed to load " + c.ordered.String() + " several times"})
		}
	}
	c.reclaim(now)
}

// backOff puts off the next attempt after the given number of failed ones.
func (c *Changeover) backOff(now time.Time, failed int) {
	const maxDoublings = 20
	pause := c.opt.InitialBackoff << min(failed-1, maxDoublings)
	pause = min(pause, c.opt.MaxBackoff)
	jitter := time.Duration(c.opt.Rand.Int64N(int64(pause)/2 + 1))
	c.notBefore = now.Add(pause/2 + jitter)
}

func (c *Changeover) clearFailures() {
	c.failures = 0
	c.putOffs = 0
	c.notBefore = time.Time{}
}

// reclaim starts over with reading the engine. Answers to earlier orders are
// ignored from here on.
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
	rebooted := c.boot != "" && c.boot != e.Status.BootID
	c.status = e.Status
	c.statusAt = e.RequestedAt
	if rebooted {
		c.engineRestarted(now)
	}
	c.boot = e.Status.BootID
	if c.paused || c.phase == PhaseLeaving {
		return
	}
	switch c.phase {
	case PhaseClaiming:
		c.claimRead(now)
	case PhaseOrdering:
	case PhaseReading:
		c.readBack(now, e)
	default:
		c.checkLoaded(now)
	}
}

// claimRead claims the engine. Orders sent to an engine that is loading would
// wait for it, so the claim waits instead.
func (c *Changeover) claimRead(now time.Time) {
	if c.status.Loading || now.Before(c.notBefore) {
		return
	}
	if err := c.fence.TakeOver(c.status.Fence); err != nil {
		c.standDown(err)
		return
	}
	c.claim(now)
}

// readBack looks at the first status that was asked for after the engine
// accepted the order.
func (c *Changeover) readBack(now time.Time, e StatusRead) {
	if e.RequestedAt.Before(c.acceptedAt) || e.Status.Loading {
		return
	}
	if !c.ordered.IsZero() && e.Status.Loaded != c.ordered {
		c.fail(now)
		return
	}
	c.claimed = true
	c.claimFailures = 0
	if c.overtaken() {
		c.goal = c.target
		c.sendOrder(now)
		return
	}
	c.resume(now)
}

// overtaken reports whether a newer target came while the engine loaded the
// former one, and is staged. The replica is out of service already, so it
// loads the newer one at once.
func (c *Changeover) overtaken() bool {
	return !c.ordered.IsZero() && c.ordered != c.target && c.staged[c.target.Manifest] && !c.target.IsZero()
}

// checkLoaded notices an engine that has changed without an order: an operator
// or another process has been at it.
func (c *Changeover) checkLoaded(now time.Time) {
	undisturbed := !c.status.Loading && c.status.Loaded == c.before
	if undisturbed || !c.admitting && c.phase != PhaseDraining {
		return
	}
	c.stopAdmitting(now)
	c.reclaim(now)
}

// engineRestarted: what was staged and loaded is gone with the old process.
func (c *Changeover) engineRestarted(now time.Time) {
	clear(c.staged)
	clear(c.partial)
	c.stopAdmitting(now)
	if c.paused || c.phase == PhaseLeaving {
		return
	}
	c.reclaim(now)
}

// reorder claims an idle engine again. What is served goes on, since a claim
// changes no version; an engine under change gets the next order anyway.
func (c *Changeover) reorder(now time.Time) {
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
	c.do(StopAdmitting{Drain: c.drain, Deadline: deadline})
}

// resume decides what comes next. The engine has been claimed in its present
// boot and its status read since.
func (c *Changeover) resume(now time.Time) {
	c.serveLoaded(now)
	c.chooseGoal()
	switch {
	case c.goal.IsZero(), c.admitting && c.before == c.goal:
		c.stopFetch()
		c.phase = PhaseIdle
	case now.Before(c.notBefore):
		c.stopFetch()
		c.phase = PhaseWaiting
	case c.staged[c.goal.Manifest]:
		c.stopFetch()
		c.phase = PhaseStaged
		c.askTurn()
	default:
		c.startFetch()
	}
}

// intended reports whether a version may be served if it is found loaded.
func (c *Changeover) intended(v fleet.Version) bool {
	if v.IsZero() {
		return false
	}
	return v == c.target || v == c.before || v == c.lastOrdered || c.isVouched(v)
}

// serveLoaded serves what the engine has loaded if it is intended.
func (c *Changeover) serveLoaded(now time.Time) {
	loaded := c.status.Loaded
	if !c.claimed || !c.intended(loaded) {
		c.stopAdmitting(now)
		return
	}
	if c.admitting && c.before == loaded {
		return
	}
	switch {
	case loaded == c.target:
		c.clearFailures()
	case c.failures >= c.opt.MaxFailures:
		c.notBefore = now.Add(c.opt.MaxBackoff)
	}
	c.before = loaded
	c.verified = loaded.Manifest
	c.admitting = true
	c.do(StartServing{Version: loaded})
}

// chooseGoal picks the version to load next: the target, or the version
// served before once the target has failed too often and nothing is served.
func (c *Changeover) chooseGoal() {
	former := c.goal
	c.goal = c.target
	if c.failures >= c.opt.MaxFailures && !c.admitting && !c.before.IsZero() {
		c.goal = c.before
	}
	if c.phase == PhaseFetching && former != c.goal {
		c.do(StopFetch{Version: former})
		c.phase = PhaseIdle
	}
}

func (c *Changeover) startFetch() {
	if c.phase == PhaseFetching {
		return
	}
	c.phase = PhaseFetching
	c.makeRoom()
	c.fetch++
	c.do(StartFetch{Fetch: c.fetch, Version: c.goal, Reuse: c.reusable()})
	c.partial[c.goal.Manifest] = true
}

// makeRoom drops whole former versions: a stage holds what is served and one
// more. What was served last is kept until then, so that going back to it
// needs no fetch.
func (c *Changeover) makeRoom() {
	for manifest := range c.staged {
		if manifest != c.before.Manifest && manifest != c.goal.Manifest {
			c.dropStage(manifest)
		}
	}
}

func (c *Changeover) dropStage(manifest fleet.Digest) {
	delete(c.staged, manifest)
	delete(c.partial, manifest)
	c.do(DropStage{Manifest: manifest})
}

func (c *Changeover) reusable() []fleet.Digest {
	useful := map[fleet.Digest]bool{c.before.Manifest: true}
	maps.Copy(useful, c.staged)
	maps.Copy(useful, c.partial)
	delete(useful, c.goal.Manifest)
	delete(useful, fleet.Digest{})
	list := slices.Collect(maps.Keys(useful))
	slices.SortFunc(list, func(a, b fleet.Digest) int { return slices.Compare(a[:], b[:]) })
	return list
}

func (c *Changeover) stopFetch() {
	if c.phase != PhaseFetching {
		return
	}
	c.phase = PhaseIdle
	c.do(StopFetch{Version: c.goal})
}

// pause stops all orders until the world has been read again. What is in
// flight has an unknown outcome.
func (c *Changeover) pause(now time.Time) {
	c.paused = true
	c.pausedAt = now
	c.attempt++
	c.claimed = false
	c.do(Refresh{})
	c.readStatus(now)
}

// woke claims the engine anew: a successor may have taken over meanwhile.
func (c *Changeover) woke(now, asked time.Time) {
	if !c.paused || asked.Before(c.pausedAt) {
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
	c.do(StandDown{Err: err})
}
