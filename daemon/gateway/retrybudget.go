package gateway

import (
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/retry"
)

// allowRetry takes one retry from the budget of a service and reports whether the budget
// allowed it.
func (g *Gateway) allowRetry(now time.Time, service fleet.ServiceName) bool {
	return g.budget(service).TryRetry(now)
}

func (g *Gateway) budget(service fleet.ServiceName) *retry.Window {
	g.callsMu.Lock()
	defer g.callsMu.Unlock()
	w := g.budgets[service]
	if w == nil {
		w = retry.NewWindow(g.started, g.opts.Budget, g.budgetEntries())
		g.budgets[service] = w
	}
	return w
}

// budgetEntries returns the number of entries that share the retry budgets. Silent ones
// count, since they may be alive behind a partition and send retries.
func (g *Gateway) budgetEntries() int {
	if v := g.view.Load(); v != nil {
		return 1 + len(v.entries)
	}
	return 1
}

// logRetryBudgets logs the budget of each service for which a retry was requested since
// the last time, if a line is due.
func (g *Gateway) logRetryBudgets(now time.Time) {
	if now.Sub(g.budgetsLoggedAt) < resultLogInterval {
		return
	}
	g.budgetsLoggedAt = now
	g.callsMu.Lock()
	defer g.callsMu.Unlock()
	for service, w := range g.budgets {
		u := w.Usage(now)
		if u.Granted == 0 && u.Denied == 0 {
			continue
		}
		g.opts.Logger.Info("retry_budget", zap.String("service", string(service)),
			zap.Int("granted", u.Granted), zap.Int("denied", u.Denied),
			zap.Float64("retries", u.Retries), zap.Float64("requests", u.Requests), zap.Float64("slack", u.Slack))
	}
}
