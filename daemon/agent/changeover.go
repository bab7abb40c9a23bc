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
	// rereadInterval is the pause between attempts to read the configuration after
	// a pause of the process.
	rereadInterval = 200 * time.Millisecond
)

// step passes an event to the changeover and executes the resulting actions.
func (a *Agent) step(now time.Time, event serving.Event) {
	before := a.changeover.Phase()
	actions := a.changeover.Step(now, event)
	for _, action := range actions {
		a.execute(now, action)
	}
	if after := a.changeover.Phase(); after != before {
		a.opts.Logger.Info("changeover", zap.Stringer("from", before), zap.Stringer("to", after),
			zap.Stringer("target", a.changeover.Target()), zap.Stringer("serving", a.changeover.Serving()))
	}
	if len(actions) > 0 || a.changeover.Phase() != before {
		a.publish(now)
	}
}

func (a *Agent) execute(now time.Time, action serving.Action) {
	switch action := action.(type) {
	case serving.StartFetch:
		a.pendingVersion = fleet.Version{}
		a.swarm.Fetch(now, action.Version, a.spreadSettings(), action.Reuse)
	case serving.StopFetch:
		a.swarm.Stop(action.Version.Manifest)
	case serving.RequestTurn:
		a.pendingVersion = action.Version
		a.nextRolloutCheck = now
	case serving.StopAdmitting:
		a.publish(now)
		a.inFlight.whenIdle(func() { go a.post(serving.Drained{Drain: action.Drain}) })
	case serving.ResumeAdmitting, serving.StartServing:
		a.pendingVersion = fleet.Version{}
		a.publish(now)
	case serving.SendOrder:
		action.Order = a.withExtras(action.Order)
		go a.sendOrder(action)
	case serving.ReadStatus:
		a.readStatus(now)
	case serving.DropStage:
		a.swarm.Drop(action.Manifest)
	case serving.Refresh:
		go a.rereadAfterPause(now)
	case serving.Alarm:
		a.opts.Metrics.Counter("alarms").Inc(1)
		a.opts.Logger.Error("alarm", zap.String("reason", action.Reason))
	case serving.StandDown:
		a.opts.Metrics.Counter("stood_down").Inc(1)
		a.opts.Logger.Error("orders_of_another_process", zap.Error(action.Err))
	}
}

// post queues an event. It must not be called on the control loop: with a full
// queue it would wait forever for the loop to empty it.
func (a *Agent) post(event serving.Event) {
	a.opts.Loop.Post(a.ctx, control.Func(func(now time.Time) { a.step(now, event) }))
}

// sendOrder sends an order to the engine. It checks the clock immediately before,
// on the sending goroutine: while this process was paused, another one may have
// taken over, and an engine that ignores fencing numbers would execute the outdated
// order.
func (a *Agent) sendOrder(order serving.SendOrder) {
	ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
	defer cancel()
	if order.Expired(time.Now()) {
		a.post(serving.OrderFailed{Attempt: order.Attempt, Err: failure.Timeout.New("order expired before it was sent")})
		return
	}
	if err := a.opts.Engine.Order(ctx, order.Order); err != nil {
		a.opts.Logger.Warn("order_failed", zap.Uint64("attempt", order.Attempt), zap.Error(err))
		a.post(serving.OrderFailed{Attempt: order.Attempt, Err: err})
		return
	}
	a.post(serving.OrderAccepted{Attempt: order.Attempt})
}

// readStatus reads the engine's status unless a read is in progress.
func (a *Agent) readStatus(now time.Time) {
	if a.readingStatus {
		return
	}
	a.readingStatus = true
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, statusTimeout)
		defer cancel()
		status, err := a.opts.Engine.Status(ctx)
		a.opts.Loop.Post(a.ctx, control.Func(func(at time.Time) { a.handleStatus(at, status, now, err) }))
	}()
}

func (a *Agent) handleStatus(now time.Time, status serving.EngineStatus, requestedAt time.Time, err error) {
	a.readingStatus = false
	if err != nil {
		a.opts.Metrics.Counter("engine_status_failures").Inc(1)
		a.opts.Logger.Debug("engine_status_not_read", zap.Error(err))
		return
	}
	if a.engineBoot != "" && a.engineBoot != status.BootID {
		a.opts.Logger.Warn("engine_restarted", zap.String("boot", status.BootID))
		a.swarm.Reset()
	}
	a.engineBoot = status.BootID
	a.load = status.Load
	a.step(now, serving.StatusRead{Status: status, RequestedAt: requestedAt})
	a.orderExtras(now, status)
	a.checkFencing()
	a.publish(now)
}

// rereadAfterPause reads the configuration after a pause of the process, waits
// until the platform or a neighbour has been heard from, and lets the changeover
// continue. The result is only as recent as since: a later pause causes a separate
// read.
func (a *Agent) rereadAfterPause(since time.Time) {
	a.opts.Logger.Warn("woke")
	for a.ctx.Err() == nil {
		if a.node.ConfirmContact(a.ctx, since) {
			a.post(serving.Refreshed{RequestedAt: since})
			return
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(rereadInterval):
		}
	}
}

// handleVersionComplete is called by the swarm when all chunks of a version are
// staged.
func (a *Agent) handleVersionComplete(now time.Time, version fleet.Version) {
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
		MaxFetches:   a.opts.MaxFetches,
		MaxUploads:   a.opts.MaxUploads,
	}
}

// members returns the agents that need the same version according to the
// configuration and the platform's list. Silent agents count: if each side of a
// network partition excluded the other, each member's quota of origin bytes would
// grow, and both sides together would exceed the limit.
func (a *Agent) members(config *fleettext.Fleet) []spread.Member {
	self := a.opts.Self
	members := []spread.Member{{ID: self.ID, Place: self.Place, Addr: self.PeerAddr}}
	for _, p := range a.node.View().Peers {
		if p.Role != fleet.RoleAgent || p.IsLeaving() {
			continue
		}
		if service, ok := config.Service(p.Service); ok && service.Version == a.service.Version {
			members = append(members, spread.Member{ID: p.ID, Place: p.Place, Addr: p.PeerAddr})
		}
	}
	return members
}

// rolloutCheckInterval is the time between two checks of a waiting replica without
// a change of configuration or view. Each check visits all replicas of the service.
const rolloutCheckInterval = 200 * time.Millisecond

// checkRollout asks the rollout rules whether the replica may leave service now.
func (a *Agent) checkRollout(now time.Time) {
	a.nextRolloutCheck = now.Add(rolloutCheckInterval)
	state := a.node.ActiveConfig()
	if a.changeover == nil || state == nil {
		return
	}
	request := a.rolloutRequest()
	order := rollout.NextOrder(request)
	a.node.UpdateSelf(now, func(r *gossip.Record) { r.RolloutOrder = order })
	if a.pendingVersion.IsZero() {
		a.waitReason = ""
		return
	}
	if ready, reason := a.dependenciesReady(state.Fleet); !ready {
		a.waitReason = reason
		return
	}
	decision := rollout.Decide(request)
	a.waitReason = decision.Reason
	a.alarmIfBlocked(decision)
	if !decision.Allowed {
		return
	}
	version := a.pendingVersion
	a.pendingVersion = fleet.Version{}
	a.step(now, serving.TurnGranted{Version: version})
}

func (a *Agent) rolloutRequest() rollout.Request {
	return rollout.Request{
		Self:           a.opts.Self.ID,
		Target:         a.changeover.Target(),
		TargetSince:    a.targetSince,
		Replicas:       a.replicas(),
		MaxUnavailable: a.service.MaxUnavailable,
		ServingNothing: a.changeover.Serving().IsZero(),
	}
}

// replicas returns the replicas of this service. The view may be older than the
// agent's own record, which replaces it.
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

// checkFencing raises an alarm if the configuration says that the engine checks
// fencing numbers, but the idle engine has not reported the number of the last
// claim. It would then also execute the orders of a second agent.
func (a *Agent) checkFencing() {
	fence := a.changeover.Fence()
	ignored := a.service.EngineFencing == fleettext.FencingChecked &&
		a.changeover.Phase() == serving.PhaseIdle && !fence.IsAcknowledged()
	if ignored && !a.fencingIgnored {
		a.opts.Metrics.Counter("alarms").Inc(1)
		a.opts.Logger.Error("alarm", zap.String("reason", "the text says that this engine checks fencing numbers, and it does not"))
	}
	a.fencingIgnored = ignored
}

func (a *Agent) alarmIfBlocked(d rollout.Decision) {
	if d.Blocked && !a.rolloutBlocked {
		a.opts.Metrics.Counter("alarms").Inc(1)
		a.opts.Logger.Error("alarm", zap.String("reason", d.Reason))
	}
	a.rolloutBlocked = d.Blocked
}

// dependenciesReady reports whether all dependencies of the service are ready. A
// replica that serves nothing waits as well, since its responses would need the
// dependencies too.
func (a *Agent) dependenciesReady(config *fleettext.Fleet) (bool, string) {
	for _, name := range a.service.DependsOn {
		dependency, ok := config.Service(name)
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
