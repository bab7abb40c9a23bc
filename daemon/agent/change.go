package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/rollout"
	"chivespindle.example/core/serving"
	"chivespindle.example/core/spread"
	"chivespindle.example/daemon/control"
)

// Timeouts of calls to the engine.
const (
	statusTimeout = 2 * time.Second
	orderTimeout  = 30 * time.Second
	// rereadEvery is the pause between tries to read the world after a pause.
	rereadEvery = 200 * time.Millisecond
)

// step feeds the change-over and carries out what it asks for.
func (a *Agent) step(now time.Time, event serving.Event) {
	before := a.change.Phase()
	actions := a.change.Step(now, event)
	for _, action := range actions {
		a.carryOut(now, action)
	}
	if after := a.change.Phase(); after != before {
		a.opts.Logger.Info("changeover", zap.Stringer("from", before), zap.Stringer("to", after),
			zap.Stringer("target", a.change.Target()), zap.Stringer("serving", a.change.Serving()))
	}
	if len(actions) > 0 || a.change.Phase() != before {
		a.publish(now)
	}
}

func (a *Agent) carryOut(now time.Time, action serving.Action) {
	switch action := action.(type) {
	case serving.StartFetch:
		a.turnFor = fleet.Version{}
		a.swarm.Gather(now, action.Version, a.spreadSettings(), action.Reuse)
	case serving.StopFetch:
		a.swarm.Stop(action.Version.Manifest)
	case serving.RequestTurn:
		a.turnFor = action.Version
		a.nextTurn = now
	case serving.StopAdmitting:
		a.publish(now)
		a.work.whenIdle(func() { go a.post(serving.Drained{Drain: action.Drain}) })
	case serving.ResumeAdmitting, serving.StartServing:
		a.turnFor = fleet.Version{}
		a.publish(now)
	case serving.SendOrder:
		action.Order = a.withExtras(action.Order)
		go a.sendOrder(action)
	case serving.ReadStatus:
		a.readStatus(now)
	case serving.DropStage:
		a.swarm.Drop(action.Manifest)
	case serving.Refresh:
		go a.readAgain(now)
	case serving.Alarm:
		a.opts.Metrics.Counter("alarms").Inc(1)
		a.opts.Logger.Error("alarm", zap.String("reason", action.Reason))
	case serving.StandDown:
		a.opts.Metrics.Counter("stood_down").Inc(1)
		a.opts.Logger.Error("orders_of_another_process", zap.Error(action.Err))
	}
}

// post queues an event. The control loop itself must not call it: it would
// wait for room in a full queue that only it can empty, for ever.
func (a *Agent) post(event serving.Event) {
	a.opts.Loop.Post(a.ctx, control.Func(func(now time.Time) { a.step(now, event) }))
}

// sendOrder gives the engine an order. The clock is read just before, on the
// goroutine that sends: an order that was held up by a pause of this process
// may come from a time when another process had not yet taken over, and an
// engine that ignores fencing numbers would obey it.
func (a *Agent) sendOrder(order serving.SendOrder) {
	ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
	defer cancel()
	if order.Expired(time.Now()) {
		a.post(serving.OrderFailed{Attempt: order.Attempt, Err: failure.Timeout.New("the order is too old to be sent")})
		return
	}
	if err := a.opts.Engine.Order(ctx, order.Order); err != nil {
		a.opts.Logger.Warn("order_failed", zap.Uint64("attempt", order.Attempt), zap.Error(err))
		a.post(serving.OrderFailed{Attempt: order.Attempt, Err: err})
		return
	}
	a.post(serving.OrderAccepted{Attempt: order.Attempt})
}

// readStatus reads the engine's status unless a read is under way.
func (a *Agent) readStatus(now time.Time) {
	if a.reading {
		return
	}
	a.reading = true
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, statusTimeout)
		defer cancel()
		status, err := a.opts.Engine.Status(ctx)
		a.opts.Loop.Post(a.ctx, control.Func(func(at time.Time) { a.statusRead(at, status, now, err) }))
	}()
}

func (a *Agent) statusRead(now time.Time, status serving.EngineStatus, asked time.Time, err error) {
	a.reading = false
	if err != nil {
		a.opts.Metrics.Counter("engine_status_failures").Inc(1)
		a.opts.Logger.Debug("engine_status_not_read", zap.Error(err))
		return
	}
	if a.boot != "" && a.boot != status.BootID {
		a.opts.Logger.Warn("engine_restarted", zap.String("boot", status.BootID))
		a.swarm.Forget()
	}
	a.boot = status.BootID
	a.load = status.Load
	a.step(now, serving.StatusRead{Status: status, RequestedAt: asked})
	a.orderExtras(now, status)
	a.checkFencing()
	a.publish(now)
}

// readAgain reads the text and waits for a neighbour's word after a pause,
// then lets the change-over go on. What it says is as old as since: a pause
// that comes meanwhile has a reading of its own.
func (a *Agent) readAgain(since time.Time) {
	a.opts.Logger.Warn("woke")
	for a.ctx.Err() == nil {
		if a.node.Reread(a.ctx, since) {
			a.post(serving.Refreshed{RequestedAt: since})
			return
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(rereadEvery):
		}
	}
}

// versionGathered is the swarm's word that all chunks are staged.
func (a *Agent) versionGathered(now time.Time, version fleet.Version) {
	a.step(now, serving.ChunksComplete{Version: version})
}

func (a *Agent) spreadSettings() spread.Settings {
	policy := spread.PolicyTime
	if a.service.Spread == fleettext.SpreadOrigin {
		policy = spread.PolicyOrigin
	}
	return spread.Settings{
		Policy:       policy,
		OriginCopies: a.service.OriginCopies,
		OriginRate:   a.service.OriginRate,
		MaxFetches:   a.opts.Fetches,
		MaxUploads:   a.opts.UploadSlots,
	}
}

// members are the agents that the text and the list make want the same
// version. Silent ones count: if each part of a split fleet left the others
// out, each member's quota of origin bytes would grow, and the parts together
// would draw more than the limit.
func (a *Agent) members(text *fleettext.Fleet) []spread.Member {
	self := a.opts.Self
	members := []spread.Member{{ID: self.ID, Place: self.Place, Addr: self.PeerAddr}}
	for _, p := range a.node.View().Peers {
		if p.Role != fleet.RoleAgent || p.IsLeaving() {
			continue
		}
		if service, ok := text.Service(p.Service); ok && service.Version == a.service.Version {
			members = append(members, spread.Member{ID: p.ID, Place: p.Place, Addr: p.PeerAddr})
		}
	}
	return members
}

// turnEvery is how often a waiting replica looks at its turn when nothing new
// was heard. A look goes through all replicas of the service.
const turnEvery = 200 * time.Millisecond

// takeTurn asks the rollout's rule whether the replica may leave service now.
func (a *Agent) takeTurn(now time.Time) {
	a.nextTurn = now.Add(turnEvery)
	state := a.node.InForce()
	if a.change == nil || state == nil {
		return
	}
	question := a.question()
	turn := rollout.NextOrder(question)
	a.node.UpdateSelf(now, func(r *gossip.Record) { r.RolloutOrder = turn })
	if a.turnFor.IsZero() {
		a.reason = ""
		return
	}
	if ready, reason := a.dependenciesReady(state.Fleet); !ready {
		a.reason = reason
		return
	}
	decision := rollout.Decide(question)
	a.reason = decision.Reason
	a.alarmIfBlocked(decision)
	if !decision.Allowed {
		return
	}
	version := a.turnFor
	a.turnFor = fleet.Version{}
	a.step(now, serving.TurnGranted{Version: version})
}

func (a *Agent) question() rollout.Request {
	return rollout.Request{
		Self:           a.opts.Self.ID,
		Target:         a.change.Target(),
		TargetSince:    a.targetSince,
		Replicas:       a.replicas(),
		MaxUnavailable: a.service.MaxUnavailable,
		ServingNothing: a.change.Serving().IsZero(),
	}
}

// replicas are those of the own service. The view may be older than the own
// record, which is put in its place.
func (a *Agent) replicas() []rollout.Replica {
	replicas := rollout.ReplicasOf(a.node.View(), a.opts.Self.Service)
	self := a.node.Self()
	for i, r := range replicas {
		if r.ID != self.ID {
			continue
		}
		replicas[i].State = self.State
		replicas[i].Serving = self.Serving
		replicas[i].Target = self.Target
		replicas[i].Order = self.RolloutOrder
		replicas[i].Leaving = self.Leaving
		replicas[i].Revision = self.Revision
	}
	return replicas
}

// checkFencing raises an alarm if the text says that the engine checks fencing
// numbers and the engine, idle after a claim, has not shown the one it was
// given. A second agent's orders would then be obeyed.
func (a *Agent) checkFencing() {
	fence := a.change.Fence()
	ignored := a.service.EngineFencing == fleettext.FencingChecked &&
		a.change.Phase() == serving.PhaseIdle && !fence.IsAcknowledged()
	if ignored && !a.unfenced {
		a.opts.Metrics.Counter("alarms").Inc(1)
		a.opts.Logger.Error("alarm", zap.String("reason", "the text says that this engine checks fencing numbers, and it does not"))
	}
	a.unfenced = ignored
}

func (a *Agent) alarmIfBlocked(d rollout.Decision) {
	if d.Blocked && !a.blocked {
		a.opts.Metrics.Counter("alarms").Inc(1)
		a.opts.Logger.Error("alarm", zap.String("reason", d.Reason))
	}
	a.blocked = d.Blocked
}

// dependenciesReady reports whether all that the service depends on is ready.
// A replica that serves nothing waits as well: what it would answer needs its
// dependencies just the same.
func (a *Agent) dependenciesReady(text *fleettext.Fleet) (bool, string) {
	for _, name := range a.service.DependsOn {
		dependency, ok := text.Service(name)
		if !ok {
			continue
		}
		replicas := rollout.ReplicasOf(a.node.View(), name)
		ready, reason := rollout.DependencyReady(replicas, dependency.Version, dependency.MaxUnavailable, a.opts.Self.Place)
		if !ready {
			return false, string(name) + ": " + reason
		}
	}
	return true, ""
}
