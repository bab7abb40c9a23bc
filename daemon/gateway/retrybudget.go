package gateway

import (
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/retry"
)

// budgetShare is the part of the retry budget that is used. The windows of the
// platform and of the entries do not start at the same time, so a request and its
// retry may be counted in different windows.
const budgetShare = 0.7

// allowRetry takes one retry from the budget of a service and reports whether the budget
// allowed it.
func (g *Gateway) allowRetry(now time.Time, service fleet.ServiceName) bool {
	return g.budget(now, service).TryRetry(now)
}

func (g *Gateway) budget(now time.Time, service fleet.ServiceName) *retry.Window {
	g.callsMu.Lock()
	defer g.callsMu.Unlock()
	w := g.budgets[service]
	if w == nil {
		b := g.opts.Budget
		w = retry.NewWindow(now, b.Window, b.Ratio*budgetShare, g.slack())
		g.budgets[service] = w
	}
	return w
}

// slack returns this entry's part of the budget's Slack. Silent entries keep theirs,
// since they may be alive behind a partition and use it.
func (g *Gateway) slack() float64 {
	entries := 1
	if v := g.view.Load(); v != nil {
		entries += len(v.entries)
	}
	return g.opts.Budget.Slack * budgetShare / float64(entries)
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
