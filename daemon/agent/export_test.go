package agent

import (
	"chivespindle.example/core/serving"
)

// Reported returns the load that is reported to entries, and a channel that is
// closed when a newer report must be sent at once.
func (a *Agent) Reported() (load serving.Load, urgent <-chan struct{}) {
	p := a.report.Load()
	return p.Load, p.urgent
}
