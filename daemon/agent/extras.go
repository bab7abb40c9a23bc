package agent

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/serving"
)

// reorderInterval is the pause between two orders for adapters and role. It limits
// the orders to an engine that does not report the adapters and role that were
// ordered.
const reorderInterval = 5 * time.Second

// withExtras adds the configured adapters and role to an order. Every order carries
// them, so that a version is never loaded with those of another configuration.
func (a *Agent) withExtras(order serving.Order) serving.Order {
	if !a.inConfig {
		return order
	}
	order.Adapters = append([]string{}, a.service.Adapters...)
	order.Role = a.service.EngineRole
	return order
}

// orderExtras sends another order if the engine's adapters or role differ from the
// configuration. Serving continues, since neither changes the version.
func (a *Agent) orderExtras(now time.Time, status serving.EngineStatus) {
	if !a.inConfig || now.Before(a.nextReorder) || a.hasExtras(status) {
		return
	}
	a.nextReorder = now.Add(reorderInterval)
	a.opts.Logger.Info("engine_extras_differ",
		zap.Strings("adapters", status.Adapters), zap.String("engine_role", status.EngineRole))
	a.step(now, serving.EngineConfigDrifted{})
}

func (a *Agent) hasExtras(status serving.EngineStatus) bool {
	loaded := slices.Clone(status.Adapters)
	slices.Sort(loaded)
	role := a.service.EngineRole
	return slices.Equal(loaded, a.service.Adapters) && (role == "" || role == status.EngineRole)
}
