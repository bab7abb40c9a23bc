package agent

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/serving"
)

// reorderEvery is the pause between two orders for adapters and role, so that
// an engine which does not report them as ordered is not ordered all the time.
const reorderEvery = 5 * time.Second

// withExtras adds the adapters and the role of the text to an order. Every
// order carries them, so that a version is never loaded with those of another
// text.
func (a *Agent) withExtras(order serving.Order) serving.Order {
	if !a.known {
		return order
	}
	order.Adapters = append([]string{}, a.service.Adapters...)
	order.Role = a.service.EngineRole
	return order
}

// orderExtras orders the engine again if its adapters or its role are not
// those of the text. What is served goes on: neither changes the version.
func (a *Agent) orderExtras(now time.Time, status serving.EngineStatus) {
	if !a.known || now.Before(a.nextReorder) || a.hasExtras(status) {
		return
	}
	a.nextReorder = now.Add(reorderEvery)
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
